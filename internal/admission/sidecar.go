// Package admission decides which requests are let in. All its decisions are pure: they depend on the arguments and on
// earlier calls only.
package admission

import (
	"sort"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Gate says whether a sidecar takes new work, and if not, why.
type Gate string

// Gates. All but Open refuse new work; work admitted before is finished.
const (
	Open     Gate = "open"
	Draining Gate = "draining" // an operator drains the upstream
	Leaving  Gate = "leaving"  // the process stops
	Changing Gate = "changing" // the engine changes its role or model, or is about to
	Unsure   Gate = "unsure"   // the engine's state is not known
)

// Waits that refusals name when the load says nothing, in milliseconds.
const (
	minRetryMs      = 100
	maxRetryMs      = 10_000
	drainingRetryMs = 1000
	changingRetryMs = 2000
)

// Ticket is one attempt that asks for a slot.
type Ticket struct {
	ID       string
	Worth    float64 // higher goes first
	Deadline time.Time
	// Cost is the expected time in the slot; 0 where it is not known.
	Cost         time.Duration
	PromptTokens int
}

// Verdict is the decision about a ticket.
type Verdict int

// Verdicts.
const (
	Refused Verdict = iota
	Started         // holds a slot
	Queued          // waits for a slot
)

// Decision is the answer to Offer.
type Decision struct {
	Verdict Verdict
	Refusal *fighollow.Refusal // set for Refused
	// Evicted is a ticket of lower worth that lost its place in the queue to this one.
	Evicted *Removed
}

// Removed is a queued ticket that was given up before it ran.
type Removed struct {
	Ticket  Ticket
	Refusal fighollow.Refusal
}

type running struct {
	ticket Ticket
	since  time.Time
}

// Sidecar admits attempts to one upstream. It is not safe for concurrent use.
type Sidecar struct {
	queueLength int
	slots       int
	gate        Gate
	running     map[string]running
	queue       []Ticket // in the order of service
}

// NewSidecar returns an admission with no slots and gate Unsure.
func NewSidecar(queueLength int) *Sidecar {
	return &Sidecar{queueLength: queueLength, gate: Unsure, running: make(map[string]running)}
}

// SetGate opens or closes the admission of new work.
func (s *Sidecar) SetGate(g Gate) { s.gate = g }

// Gate returns the present gate.
func (s *Sidecar) Gate() Gate { return s.gate }

// SetSlots changes the number of slots. Fewer slots take effect as running attempts end.
func (s *Sidecar) SetSlots(n int) { s.slots = n }

// InFlight returns the admitted attempts that have not ended, queued ones included.
func (s *Sidecar) InFlight() int { return len(s.running) + len(s.queue) }

// Offer decides about a new ticket at once.
func (s *Sidecar) Offer(now time.Time, t Ticket) Decision {
	if r := s.closed(now); r != nil {
		return Decision{Refusal: r}
	}
	if len(s.running) < s.slots && len(s.queue) == 0 {
		if late(now, 0, t) {
			return Decision{Refusal: s.tooLate(now)}
		}
		s.running[t.ID] = running{ticket: t, since: now}
		return Decision{Verdict: Started}
	}
	at := sort.Search(len(s.queue), func(i int) bool { return before(t, s.queue[i]) })
	if at >= s.queueLength {
		return Decision{Refusal: s.refusal(now, fighollow.CodeOverloaded, "queue full")}
	}
	if late(now, s.wait(now, at), t) {
		return Decision{Refusal: s.tooLate(now)}
	}
	s.queue = append(s.queue, Ticket{})
	copy(s.queue[at+1:], s.queue[at:])
	s.queue[at] = t
	d := Decision{Verdict: Queued}
	if last := len(s.queue) - 1; last >= s.queueLength {
		d.Evicted = &Removed{Ticket: s.queue[last], Refusal: *s.refusal(now, fighollow.CodeOverloaded, "displaced by a request of higher worth")}
		s.queue = s.queue[:last]
	}
	return d
}

// before reports whether a is served before b. An equal ticket that came earlier stays ahead.
func before(a, b Ticket) bool {
	if a.Worth != b.Worth {
		return a.Worth > b.Worth
	}
	return a.Deadline.Before(b.Deadline)
}

func late(now time.Time, wait time.Duration, t Ticket) bool {
	return now.Add(wait + t.Cost).After(t.Deadline)
}

// Done frees the place of a running or queued attempt. An id that holds none changes nothing.
func (s *Sidecar) Done(id string) {
	delete(s.running, id)
	for i, t := range s.queue {
		if t.ID == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// Next gives free slots to queued tickets, whatever the gate: they were admitted before. It removes those that would
// miss their deadline.
func (s *Sidecar) Next(now time.Time) (start []Ticket, removed []Removed) {
	var rest []Ticket
	for _, t := range s.queue {
		switch {
		case late(now, 0, t):
			removed = append(removed, Removed{Ticket: t, Refusal: *s.tooLate(now)})
		case len(s.running) < s.slots:
			s.running[t.ID] = running{ticket: t, since: now}
			start = append(start, t)
		default:
			rest = append(rest, t)
		}
	}
	s.queue = rest
	return start, removed
}

// Load returns what replies tell of the load.
func (s *Sidecar) Load(now time.Time) fighollow.Load {
	l := fighollow.Load{Slots: s.slots, Running: len(s.running), Queued: len(s.queue), WaitMs: s.wait(now, len(s.queue)).Milliseconds()}
	for _, r := range s.running {
		l.QueuedTokens += r.ticket.PromptTokens
	}
	for _, t := range s.queue {
		l.QueuedTokens += t.PromptTokens
	}
	return l
}

// wait returns the expected time until a ticket at a place of the queue gets a slot.
func (s *Sidecar) wait(now time.Time, place int) time.Duration {
	if s.slots == 0 || len(s.running) < s.slots && place == 0 {
		return 0
	}
	free := make([]time.Duration, max(s.slots, len(s.running))) // when each slot becomes free
	i := 0
	for _, r := range s.running {
		free[i] = max(0, r.since.Add(r.ticket.Cost).Sub(now))
		i++
	}
	sort.Slice(free, func(i, j int) bool { return free[i] < free[j] })
	free = free[len(free)-s.slots:]
	for _, t := range s.queue[:place] {
		free[earliest(free)] += t.Cost
	}
	return free[earliest(free)]
}

func earliest(free []time.Duration) int {
	best := 0
	for i := range free {
		if free[i] < free[best] {
			best = i
		}
	}
	return best
}

// closed returns why no new work is taken, or nil.
func (s *Sidecar) closed(now time.Time) *fighollow.Refusal {
	switch s.gate {
	case Draining:
		return refuse(fighollow.CodeDraining, "upstream is being drained", drainingRetryMs)
	case Leaving:
		return refuse(fighollow.CodeStopping, "sidecar is stopping", drainingRetryMs)
	case Changing:
		return refuse(fighollow.CodeNotReady, "engine changes its assignment", changingRetryMs)
	case Unsure:
		return refuse(fighollow.CodeNotReady, "state of the upstream is not known", drainingRetryMs)
	}
	if s.slots == 0 {
		return s.refusal(now, fighollow.CodeNotReady, "upstream has no slots")
	}
	return nil
}

func (s *Sidecar) tooLate(now time.Time) *fighollow.Refusal {
	return s.refusal(now, fighollow.CodeTooLate, "deadline would be missed")
}

// refusal names the present wait as the time after which a retry can help.
func (s *Sidecar) refusal(now time.Time, code fighollow.Code, message string) *fighollow.Refusal {
	return refuse(code, message, s.wait(now, len(s.queue)).Milliseconds())
}
