package event

import "github.com/rs/zerolog"

// Events of links between processes.
var (
	LinkRefused = Event{7001, "linkRefused", zerolog.WarnLevel, "a connection was rejected before it became a link: wrong certificate, protocol version or first frame"}
	LinkClosed  = Event{7002, "linkClosed", zerolog.InfoLevel, "a link was closed; the line has the reason, such as a malformed or oversized frame"}
)

var linkEvents = []Event{LinkRefused, LinkClosed}
