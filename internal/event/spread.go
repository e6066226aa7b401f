package event

import "github.com/rs/zerolog"

// Events of membership and of the distribution of objects.
var (
	MemberChanged     = Event{3001, "memberChanged", zerolog.InfoLevel, "a member of the data centre changed its state or what it announces; cause says who found out"}
	ObjectsTaken      = Event{3002, "objectsTaken", zerolog.DebugLevel, "objects with a higher version came from the object API or a peer"}
	WatchStarted      = Event{3003, "watchStarted", zerolog.InfoLevel, "this process watches the object API for its data centre"}
	WatchEnded        = Event{3004, "watchEnded", zerolog.InfoLevel, "other members watch the object API now"}
	WatchFailed       = Event{3005, "watchFailed", zerolog.WarnLevel, "the object API cannot be read or watched; everything in force continues, and the next success is not logged"}
	PeerUnreachable   = Event{3006, "peerUnreachable", zerolog.DebugLevel, "no link to a process of this data centre could be made"}
	RemoteUnreachable = Event{3007, "remoteUnreachable", zerolog.DebugLevel, "no digest could be compared with another data centre"}
)

var spreadEvents = []Event{
	MemberChanged, ObjectsTaken, WatchStarted, WatchEnded, WatchFailed, PeerUnreachable, RemoteUnreachable,
}
