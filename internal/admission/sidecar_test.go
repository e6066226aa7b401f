package admission_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/internal/admission"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

var epoch = time.UnixMilli(1_800_000_000_000)

// oracle keeps what must hold in plain lists.
type oracle struct {
	now     time.Time
	slots   int
	length  int
	open    bool
	running []admission.Ticket
	waiting []admission.Ticket // in the order of arrival
	next    int
}

// sorted returns the waiting tickets in the order in which they must be served.
func (o *oracle) sorted() []admission.Ticket {
	out := append([]admission.Ticket(nil), o.waiting...)
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].Worth == out[j].Worth {
			return out[i].Deadline.Before(out[j].Deadline)
		}
		return out[i].Worth > out[j].Worth
	})
	return out
}

func without(list []admission.Ticket, id string) []admission.Ticket {
	var out []admission.Ticket
	for _, t := range list {
		if t.ID != id {
			out = append(out, t)
		}
	}
	return out
}

func (o *oracle) offer(t *rapid.T, s *admission.Sidecar) {
	o.next++
	ticket := admission.Ticket{
		ID:       fmt.Sprint(o.next),
		Worth:    float64(rapid.IntRange(1, 3).Draw(t, "worth")),
		Deadline: o.now.Add(time.Duration(rapid.IntRange(-1, 30).Draw(t, "deadline")) * time.Second),
		Cost:     time.Duration(rapid.IntRange(0, 5).Draw(t, "cost")) * time.Second,
	}
	d := s.Offer(o.now, ticket)
	switch d.Verdict {
	case admission.Started:
		if len(o.running) >= o.slots || len(o.waiting) > 0 {
			t.Fatalf("started past the slots or the queue")
		}
		o.mayRun(t, ticket)
		o.running = append(o.running, ticket)
	case admission.Queued:
		if len(o.running) < o.slots && len(o.waiting) == 0 {
			t.Fatalf("queued with a free slot")
		}
		o.waiting = append(o.waiting, ticket)
		if d.Evicted != nil && d.Evicted.Ticket.ID == ticket.ID {
			t.Fatalf("admitted %+v only to evict it", ticket)
		}
		o.evicted(t, d.Evicted)
	case admission.Refused:
		o.refused(t, ticket, d.Refusal)
	}
}

func (o *oracle) mayRun(t *rapid.T, ticket admission.Ticket) {
	if o.now.Add(ticket.Cost).After(ticket.Deadline) {
		t.Fatalf("started %+v, which misses its deadline", ticket)
	}
}

func (o *oracle) evicted(t *rapid.T, e *admission.Removed) {
	if !o.open {
		t.Fatalf("admitted while closed")
	}
	if (e != nil) != (len(o.waiting) > o.length) {
		t.Fatalf("%d wait of at most %d, evicted %+v", len(o.waiting), o.length, e)
	}
	if e == nil {
		return
	}
	if last := o.sorted()[len(o.waiting)-1]; last.ID != e.Ticket.ID {
		t.Fatalf("evicted %+v, the last is %+v", e.Ticket, last)
	}
	o.waiting = without(o.waiting, e.Ticket.ID)
}

// refused checks that a refusal has a reason. The exact wait is not modelled, only its bounds.
func (o *oracle) refused(t *rapid.T, ticket admission.Ticket, r *fighollow.Refusal) {
	if r.Outcome != fighollow.NotRun || r.RetryAfterMs <= 0 {
		t.Fatalf("refusal %+v is not a not run with a retry", r)
	}
	most := ticket.Cost
	for _, other := range append(append([]admission.Ticket(nil), o.running...), o.waiting...) {
		most += other.Cost
	}
	full := len(o.waiting) >= o.length && o.sorted()[o.length-1].Worth >= ticket.Worth
	switch {
	case !o.open, o.slots == 0, full:
	case r.Code == fighollow.CodeTooLate && o.now.Add(most).After(ticket.Deadline):
	default:
		t.Fatalf("refused %+v without need: %+v", ticket, r)
	}
}

func (o *oracle) serve(t *rapid.T, s *admission.Sidecar) {
	start, removed := s.Next(o.now)
	want := o.sorted()
	for _, r := range removed {
		if !o.now.Add(r.Ticket.Cost).After(r.Ticket.Deadline) {
			t.Fatalf("removed %+v in time", r.Ticket)
		}
		want = without(want, r.Ticket.ID)
		o.waiting = without(o.waiting, r.Ticket.ID)
	}
	for i, ticket := range start {
		if ticket.ID != want[i].ID {
			t.Fatalf("started %+v before %+v", ticket, want[i])
		}
		o.mayRun(t, ticket)
		o.running = append(o.running, ticket)
		o.waiting = without(o.waiting, ticket.ID)
	}
	if len(o.waiting) > 0 && len(o.running) < o.slots {
		t.Fatalf("%d wait with %d of %d slots taken", len(o.waiting), len(o.running), o.slots)
	}
}

func (o *oracle) check(t *rapid.T, s *admission.Sidecar) {
	l := s.Load(o.now)
	if l.Running != len(o.running) || l.Queued != len(o.waiting) || s.InFlight() != len(o.running)+len(o.waiting) {
		t.Fatalf("load %+v, %d run and %d wait", l, len(o.running), len(o.waiting))
	}
	if l.Queued > o.length {
		t.Fatalf("%d wait of at most %d", l.Queued, o.length)
	}
}

// Guards against lost, doubled or displaced tickets, work that starts in the wrong order, past the slots or its deadline,
// and refusals without need.
func TestAdmissionAgainstLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{now: epoch, slots: 2, length: 3, open: true}
		s := admission.NewSidecar(o.length)
		s.SetSlots(o.slots)
		s.SetGate(admission.Open)
		gates := []admission.Gate{
			admission.Open, admission.Open, admission.Open, admission.Draining, admission.Leaving, admission.Changing, admission.Unsure,
		}
		actions := []string{"offer", "offer", "offer", "done", "done", "abandon", "time", "gate", "slots"}
		for range rapid.SampledFrom([]int{10, 100}).Draw(t, "steps") {
			switch rapid.SampledFrom(actions).Draw(t, "action") {
			case "offer":
				o.offer(t, s)
			case "done":
				if len(o.running) > 0 {
					id := rapid.SampledFrom(o.running).Draw(t, "ticket").ID
					s.Done(id)
					o.running = without(o.running, id)
					o.serve(t, s)
				}
			case "abandon":
				if len(o.waiting) > 0 {
					id := rapid.SampledFrom(o.waiting).Draw(t, "ticket").ID
					s.Done(id)
					o.waiting = without(o.waiting, id)
				}
			case "time":
				o.now = o.now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second)
				o.serve(t, s)
			case "gate":
				g := rapid.SampledFrom(gates).Draw(t, "gate")
				s.SetGate(g)
				o.open = g == admission.Open
			case "slots":
				o.slots = rapid.IntRange(0, 3).Draw(t, "slots")
				s.SetSlots(o.slots)
				o.serve(t, s)
			}
			o.check(t, s)
		}
	})
}

// Guards against a wait that counts one slot only, which would refuse requests that are in time.
func TestWaitCountsAllSlots(t *testing.T) {
	s := admission.NewSidecar(8)
	s.SetSlots(2)
	s.SetGate(admission.Open)
	for i, cost := range []int{4, 5, 6, 7} {
		ticket := admission.Ticket{ID: fmt.Sprint(i), Worth: 1, Deadline: epoch.Add(time.Hour), Cost: time.Duration(cost) * time.Second}
		qt.Assert(t, s.Offer(epoch, ticket).Verdict, qt.Not(qt.Equals), admission.Refused)
	}
	// The slots are free after 4 s and 5 s; those that wait take them until 10 s and 12 s.
	qt.Assert(t, s.Load(epoch).WaitMs, qt.Equals, int64(10_000))
	late := admission.Ticket{ID: "late", Deadline: epoch.Add(11 * time.Second), Cost: 2 * time.Second}
	qt.Assert(t, s.Offer(epoch, late).Refusal.Code, qt.Equals, fighollow.CodeTooLate)
	late.Deadline = epoch.Add(12 * time.Second)
	qt.Assert(t, s.Offer(epoch, late).Verdict, qt.Equals, admission.Queued)
}
