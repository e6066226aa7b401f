package event

import "github.com/rs/zerolog"

// Events of the sidecar.
var (
	OrderSent = Event{2001, "orderSent", zerolog.InfoLevel, "an order was sent to the engine"}
)

var sidecarEvents = []Event{OrderSent}
