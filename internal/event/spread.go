package event

import "github.com/rs/zerolog"

// Events of membership and of the distribution of objects.
var (
	MemberChanged     = Event{3001, "memberChanged", zerolog.InfoLevel, "a member of the data centre changed its state or its announcement; cause names how the change was detected"}
	ObjectsTaken      = Event{3002, "objectsTaken", zerolog.DebugLevel, "newer versions of objects were received from the object API or a peer"}
	WatchStarted      = Event{3003, "watchStarted", zerolog.InfoLevel, "this process was elected to watch the object API for its data centre"}
	WatchEnded        = Event{3004, "watchEnded", zerolog.InfoLevel, "this process no longer watches the object API; other members do"}
	WatchFailed       = Event{3005, "watchFailed", zerolog.WarnLevel, "the object API cannot be read or watched; the current configuration stays in force, and recovery is not logged"}
	PeerUnreachable   = Event{3006, "peerUnreachable", zerolog.DebugLevel, "no link to a process of this data centre could be established"}
	RemoteUnreachable = Event{3007, "remoteUnreachable", zerolog.DebugLevel, "object versions could not be compared with another data centre"}
)

var spreadEvents = []Event{
	MemberChanged, ObjectsTaken, WatchStarted, WatchEnded, WatchFailed, PeerUnreachable, RemoteUnreachable,
}
