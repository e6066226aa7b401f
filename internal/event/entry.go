package event

import "github.com/rs/zerolog"

// Events of the entry.
var (
	RouteChosen        = Event{1001, "routeChosen", zerolog.InfoLevel, "an upstream was chosen for an attempt"}
	RouteMissing       = Event{1002, "routeMissing", zerolog.InfoLevel, "no upstream can take an attempt: none serves the target, or all are leaving, draining or already tried"}
	RequestFailed      = Event{1003, "requestFailed", zerolog.InfoLevel, "a request ended without a complete answer; the line has the error code and whether the request may have run"}
	AttemptInterrupted = Event{1004, "attemptInterrupted", zerolog.WarnLevel, "the link broke during an attempt; the entry asks the upstream for the attempt's outcome"}
	AttemptResumed     = Event{1005, "attemptResumed", zerolog.InfoLevel, "the upstream returned the outcome of an attempt whose link had broken"}
	UpstreamLeaving    = Event{1006, "upstreamLeaving", zerolog.InfoLevel, "a sidecar has announced that it is leaving; this entry sends it no new work"}
)

var entryEvents = []Event{RouteChosen, RouteMissing, RequestFailed, AttemptInterrupted, AttemptResumed, UpstreamLeaving}
