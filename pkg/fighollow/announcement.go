package fighollow

import "time"

// Announcement is what an upstream says of itself in the header of an answer.
type Announcement struct {
	SentAt     time.Time // when the request was sent
	ReceivedAt time.Time // when the header of the answer had arrived
	Limit      RequestLimit
	// Leaving reports that the upstream takes no new work and is going to end. It is never taken back.
	Leaving bool
	Pause   Pause
}

// PauseState is whether an answer asks for a pause.
type PauseState int

// States of a Pause.
const (
	PauseAbsent    PauseState = iota // the answer asks for none
	PauseAsked                       // the answer asks for a pause
	PauseMalformed                   // the answer asks for one that cannot be read, which changes nothing
)

// Pause is how long an upstream that turned a request away wants no other one from this entry.
type Pause struct {
	State    PauseState
	Duration time.Duration // from Announcement.ReceivedAt, 0 or more; set for PauseAsked
	Text     string        // the beginning of what was received; empty for PauseAbsent
}

// Announcements is told what the answers of upstreams' control APIs announce. Implementations are safe for concurrent use.
type Announcements interface {
	// ObserveControl applies what the answer to a call of u's control API announces.
	ObserveControl(u Upstream, call string, a Announcement)
	// IsPaused reports whether u has asked for a pause that has not ended.
	IsPaused(now time.Time, u Upstream) bool
}
