package event

import "github.com/rs/zerolog"

// Events of the ledger of idempotency keys.
var (
	KeyRefused = Event{5001, "keyRefused", zerolog.InfoLevel, "a request was refused because of its idempotency key"}
)

var ledgerEvents = []Event{KeyRefused}
