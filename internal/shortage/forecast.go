package shortage

import "time"

// Key identifies a software version of a service's engines.
type Key struct {
	Service string
	Version string
}

// State is what the holder of the role lease knows of the decode engines of a version.
type State uint8

// States.
const (
	Unknown  State = iota // the holder has not answered
	Serving               // the holder reads the reports of a decode engine
	Changing              // an engine becomes a decode engine
	None                  // no engine of the version can become one now
)

func (s State) String() string {
	return [...]string{Unknown: "unknown", Serving: "serving", Changing: "changing", None: "none"}[min(s, None)]
}

// Forecast is when an entry can expect a decode engine of a version.
type Forecast struct {
	State      State
	ReadyAt    time.Time // if State is Changing
	ReportedAt time.Time // when this entry first reported the shortage
	HeardAt    time.Time // when this entry first heard of State
}

const (
	// answerTimeout is how long the holder's answer is awaited: it reads the engines' reports, which takes half a second where one is cut off,
	// and sends the order.
	answerTimeout = 1500 * time.Millisecond
	// servingTime is how long a decode engine that only the holder knows of is awaited: its registration is on the way.
	servingTime = 400 * time.Millisecond
	// firstEventTime is the time from the end of a role change to the first event of a stream that waits for it: the registration is read,
	// and the prompt computed or fetched.
	firstEventTime = 500 * time.Millisecond
	// returnMargin is how much later a caller is sent to another entry than its patience requires: it takes time to get there.
	returnMargin = 300 * time.Millisecond
)

// Wait describes a stream that waits for a decode engine.
type Wait struct {
	Deadline   time.Time
	GivesUp    time.Time     // when its caller gives up unless an event arrives
	Patience   time.Duration // for which a caller that takes the stream up again waits for its first event
	Begun      bool          // the caller has the beginning of the answer
	RoleChange time.Duration // duration of a role change
}

// Decision is what to do with a stream that waits.
type Decision struct {
	Hold bool
	// Until is when to decide again at the latest, if Hold is set.
	Until time.Time
	// RetryAfter is the time after which the caller can go on if the stream is not held.
	RetryAfter time.Duration
}

// Decide returns whether a stream waits here for a decode engine. It does until the holder has answered. One that cannot go on before its
// deadline is refused at once. If its caller would give up before, a stream that has begun is held until a caller that takes it up elsewhere
// waits long enough, and another one is sent back for that time.
func Decide(now time.Time, f Forecast, w Wait) Decision {
	if f.State == Unknown && now.Add(firstEventTime).Before(w.Deadline) && now.Before(w.GivesUp) {
		answerBy := f.ReportedAt.Add(answerTimeout)
		return Decision{Hold: now.Before(answerBy), Until: answerBy, RetryAfter: w.RoleChange}
	}
	readyAt, ok := f.expected(now)
	if !ok {
		return Decision{RetryAfter: w.RoleChange}
	}
	eventAt := readyAt.Add(firstEventTime)
	if eventAt.After(w.Deadline) {
		return Decision{RetryAfter: readyAt.Sub(now)}
	}
	if !eventAt.After(w.GivesUp) {
		return Decision{Hold: true, Until: eventAt}
	}
	returnAt := eventAt.Add(returnMargin - w.Patience)
	if w.Begun && returnAt.After(now) && returnAt.Before(w.GivesUp) {
		return Decision{Hold: true, Until: returnAt}
	}
	return Decision{RetryAfter: max(0, returnAt.Sub(now))}
}

// expected returns when a decode engine is expected, or false if none is.
func (f Forecast) expected(now time.Time) (time.Time, bool) {
	switch f.State {
	case Changing:
		// The engine first ends what it runs, and its registration can be late.
		return later(f.ReadyAt, now), now.Sub(f.ReadyAt) <= answerTimeout
	case Serving:
		return now, now.Sub(f.HeardAt) < servingTime
	case Unknown, None:
	}
	return time.Time{}, false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
