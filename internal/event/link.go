package event

import "github.com/rs/zerolog"

// Events of links between processes.
var (
	LinkRefused = Event{7001, "linkRefused", zerolog.WarnLevel, "a connection did not become a link: wrong certificate, protocol or first frame"}
	LinkClosed  = Event{7002, "linkClosed", zerolog.InfoLevel, "a link ended; the line names the reason, as a malformed or oversized frame"}
)

var linkEvents = []Event{LinkRefused, LinkClosed}
