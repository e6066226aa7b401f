package event

import "github.com/rs/zerolog"

// Events of membership and of the distribution of objects.
var (
	MemberChanged = Event{3001, "memberChanged", zerolog.InfoLevel, "a member of the data centre changed its state"}
)

var spreadEvents = []Event{MemberChanged}
