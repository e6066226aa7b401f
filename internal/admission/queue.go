package admission

import (
	"sort"
	"time"

	"github.com/fighollow/fighollow/internal/quota"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Gate states whether a sidecar admits new work and, if it does not, why.
type Gate string

// Gates. All but Open refuse new work; work that was admitted before runs to its end.
const (
	Open     Gate = "open"
	Draining Gate = "draining" // an operator is draining the upstream
	Leaving  Gate = "leaving"  // the process is stopping
	Changing Gate = "changing" // the engine is changing its role or model, or is about to
	Unsure   Gate = "unsure"   // the engine's state is unknown
)

// Retry delays of refusals in milliseconds: the bounds, and the delays for closed gates, where the load gives no estimate.
const (
	minRetryMs      = 100
	maxRetryMs      = 10_000
	drainingRetryMs = 1000
	changingRetryMs = 2000
)

// Ticket is the request of one attempt for a slot.
type Ticket struct {
	ID       string
	Worth    float64 // a higher worth is served first
	Deadline time.Time
	// Cost is the expected time in the slot; 0 if unknown.
	Cost         time.Duration
	PromptTokens int
}

// Verdict is the result of Offer for a ticket.
type Verdict int

// Verdicts.
const (
	Refused Verdict = iota
	Started         // the ticket holds a slot
	Queued          // the ticket waits for a slot
)

// Decision is the result of Offer.
type Decision struct {
	Verdict Verdict
	Refusal *fighollow.Refusal // set if Verdict is Refused
	// Evicted is the last queued ticket if it was displaced from a full queue by this one; otherwise nil.
	Evicted *Removed
}

// Removed is a queued ticket that was removed before it ran, with the refusal for its caller.
type Removed struct {
	Ticket  Ticket
	Refusal fighollow.Refusal
}

type runningTicket struct {
	ticket    Ticket
	startedAt time.Time
}

// Queue admits attempts to the slots of one upstream and queues those that must wait. It is not safe for concurrent use.
type Queue struct {
	maxQueued int
	slots     int
	gate      Gate
	running   map[string]runningTicket
	queue     []Ticket // in service order
	limited   bool     // the upstream takes a limited number of requests a second
	permits   quota.Bucket
	started   quota.Rate // of tickets
}

// NewQueue returns a queue for at most maxQueued waiting tickets, with no slots and with gate Unsure.
func NewQueue(maxQueued int) *Queue {
	return &Queue{maxQueued: maxQueued, gate: Unsure, running: make(map[string]runningTicket)}
}

// SetGate opens or closes the admission of new work.
func (q *Queue) SetGate(g Gate) { q.gate = g }

// Gate returns the current gate.
func (q *Queue) Gate() Gate { return q.gate }

// SetSlots changes the number of slots. Fewer slots take effect as running attempts end.
func (q *Queue) SetSlots(n int) { q.slots = n }

// SetLimit sets how many requests a second the upstream takes; limited is false if there is no limit. A lower limit takes
// effect at once, with the requests that were just started counted in.
func (q *Queue) SetLimit(now time.Time, perSecond float64, limited bool) {
	perSecond = max(perSecond, quota.ProbeRate)
	if limited && !q.limited {
		q.permits = quota.NewBucket(now, perSecond, quota.Sole(perSecond), q.started.PerSecond(now, quota.RecentTime))
	}
	if q.limited = limited; limited {
		q.permits.Refill(now, quota.Sole(perSecond))
	}
}

// canStart reports whether there are a slot and a permit for another ticket.
func (q *Queue) canStart(now time.Time) bool {
	if q.limited {
		q.permits.Refill(now, q.permits.Share)
	}
	return len(q.running) < q.slots && (!q.limited || q.permits.Available())
}

func (q *Queue) start(now time.Time, t Ticket) {
	q.running[t.ID] = runningTicket{ticket: t, startedAt: now}
	q.started.Observe(now, quota.RecentTime)
	if q.limited {
		q.permits.Take()
	}
}

// NextPermit returns how long queued tickets wait for the upstream's limit although there is a slot; 0 if they do not.
func (q *Queue) NextPermit(now time.Time) time.Duration {
	if len(q.queue) == 0 || len(q.running) >= q.slots || q.canStart(now) {
		return 0
	}
	return max(time.Millisecond, q.permits.Wait(1)) // never 0, by rounding either
}

// InFlight returns the number of admitted attempts that have not ended, queued ones included.
func (q *Queue) InFlight() int { return len(q.running) + len(q.queue) }

// Offer starts, queues or refuses a new ticket. It does not block.
func (q *Queue) Offer(now time.Time, t Ticket) Decision {
	if r := q.gateRefusal(now); r != nil {
		return Decision{Refusal: r}
	}
	if len(q.queue) == 0 && q.canStart(now) {
		if isLate(now, 0, t) {
			return Decision{Refusal: q.lateRefusal(now)}
		}
		q.start(now, t)
		return Decision{Verdict: Started}
	}
	pos := sort.Search(len(q.queue), func(i int) bool { return before(t, q.queue[i]) })
	if pos >= q.maxQueued {
		return Decision{Refusal: q.refusal(now, fighollow.CodeOverloaded, "queue full")}
	}
	if isLate(now, q.wait(now, pos), t) {
		return Decision{Refusal: q.lateRefusal(now)}
	}
	q.queue = append(q.queue, Ticket{})
	copy(q.queue[pos+1:], q.queue[pos:])
	q.queue[pos] = t
	d := Decision{Verdict: Queued}
	if last := len(q.queue) - 1; last >= q.maxQueued {
		d.Evicted = &Removed{Ticket: q.queue[last], Refusal: *q.refusal(now, fighollow.CodeOverloaded, "displaced by a request of higher worth")}
		q.queue = q.queue[:last]
	}
	return d
}

// before reports whether a is served before b. Equal tickets are served in order of arrival.
func before(a, b Ticket) bool {
	if a.Worth != b.Worth {
		return a.Worth > b.Worth
	}
	return a.Deadline.Before(b.Deadline)
}

func isLate(now time.Time, wait time.Duration, t Ticket) bool {
	return now.Add(wait + t.Cost).After(t.Deadline)
}

// Remove frees the slot or the queue position of an attempt. It does nothing for an unknown id.
func (q *Queue) Remove(id string) {
	delete(q.running, id)
	for i, t := range q.queue {
		if t.ID == id {
			q.queue = append(q.queue[:i], q.queue[i+1:]...)
			return
		}
	}
}

// Dispatch gives free slots to queued tickets and removes those that would miss their deadline. It ignores the gate,
// since queued tickets have already been admitted.
func (q *Queue) Dispatch(now time.Time) (start []Ticket, removed []Removed) {
	var waiting []Ticket
	for _, t := range q.queue {
		switch {
		case isLate(now, 0, t):
			removed = append(removed, Removed{Ticket: t, Refusal: *q.lateRefusal(now)})
		case q.canStart(now):
			q.start(now, t)
			start = append(start, t)
		default:
			waiting = append(waiting, t)
		}
	}
	q.queue = waiting
	return start, removed
}

// Load returns the load that the sidecar reports in its replies.
func (q *Queue) Load(now time.Time) fighollow.Load {
	l := fighollow.Load{Slots: q.slots, Running: len(q.running), Queued: len(q.queue), WaitMs: q.wait(now, len(q.queue)).Milliseconds()}
	for _, r := range q.running {
		l.QueuedTokens += r.ticket.PromptTokens
	}
	for _, t := range q.queue {
		l.QueuedTokens += t.PromptTokens
	}
	return l
}

// wait returns the expected time until a ticket at this position of the queue gets a slot and a permit.
func (q *Queue) wait(now time.Time, position int) time.Duration {
	if !q.limited {
		return q.slotWait(now, position)
	}
	q.permits.Refill(now, q.permits.Share)
	return max(q.slotWait(now, position), q.permits.Wait(position+1))
}

// slotWait returns the expected time until a ticket at this position of the queue gets a slot.
func (q *Queue) slotWait(now time.Time, position int) time.Duration {
	if q.slots == 0 || len(q.running) < q.slots && position == 0 {
		return 0
	}
	freeIn := make([]time.Duration, max(q.slots, len(q.running))) // time until each slot becomes free
	i := 0
	for _, r := range q.running {
		freeIn[i] = max(0, r.startedAt.Add(r.ticket.Cost).Sub(now))
		i++
	}
	sort.Slice(freeIn, func(i, j int) bool { return freeIn[i] < freeIn[j] })
	freeIn = freeIn[len(freeIn)-q.slots:]
	for _, t := range q.queue[:position] {
		freeIn[minIndex(freeIn)] += t.Cost
	}
	return freeIn[minIndex(freeIn)]
}

func minIndex(waits []time.Duration) int {
	best := 0
	for i := range waits {
		if waits[i] < waits[best] {
			best = i
		}
	}
	return best
}

// gateRefusal returns the refusal for new work if the gate is closed or there are no slots, otherwise nil.
func (q *Queue) gateRefusal(now time.Time) *fighollow.Refusal {
	switch q.gate {
	case Draining:
		return refuse(fighollow.CodeDraining, "upstream is being drained", drainingRetryMs)
	case Leaving:
		return refuse(fighollow.CodeStopping, "sidecar is stopping", drainingRetryMs)
	case Changing:
		return refuse(fighollow.CodeNotReady, "engine changes its assignment", changingRetryMs)
	case Unsure:
		return refuse(fighollow.CodeNotReady, "state of the upstream is not known", drainingRetryMs)
	}
	if q.slots == 0 {
		return q.refusal(now, fighollow.CodeNotReady, "upstream has no slots")
	}
	return nil
}

func (q *Queue) lateRefusal(now time.Time) *fighollow.Refusal {
	return q.refusal(now, fighollow.CodeTooLate, "deadline would be missed")
}

// refusal returns a refusal whose retry delay is the expected wait of a new ticket.
func (q *Queue) refusal(now time.Time, code fighollow.Code, message string) *fighollow.Refusal {
	return refuse(code, message, q.wait(now, len(q.queue)).Milliseconds())
}
