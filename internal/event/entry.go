package event

import "github.com/rs/zerolog"

// Events of the entry.
var (
	RouteChosen = Event{1001, "routeChosen", zerolog.InfoLevel, "an upstream was chosen for an attempt"}
)

var entryEvents = []Event{RouteChosen}
