package event

import "github.com/rs/zerolog"

// Events of the entry.
var (
	RouteChosen        = Event{1001, "routeChosen", zerolog.InfoLevel, "an upstream was chosen for an attempt"}
	RouteMissing       = Event{1002, "routeMissing", zerolog.InfoLevel, "no upstream may get an attempt: none serves the target, or all are leaving, draining or already tried"}
	RequestFailed      = Event{1003, "requestFailed", zerolog.InfoLevel, "a request ended without a complete answer; the line names the code and whether it may have run"}
	AttemptInterrupted = Event{1004, "attemptInterrupted", zerolog.WarnLevel, "the link of an attempt broke; the entry asks the upstream what became of it"}
	AttemptResumed     = Event{1005, "attemptResumed", zerolog.InfoLevel, "the upstream answered for an attempt whose link had broken"}
	UpstreamLeaving    = Event{1006, "upstreamLeaving", zerolog.InfoLevel, "a sidecar takes no new work and gets none from here on"}
)

var entryEvents = []Event{RouteChosen, RouteMissing, RequestFailed, AttemptInterrupted, AttemptResumed, UpstreamLeaving}
