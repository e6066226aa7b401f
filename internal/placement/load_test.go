package placement_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// pendingEvent is something that happens at a time of a played load.
type pendingEvent struct {
	at time.Time
	do func(now time.Time)
}

// player plays a load against placement with a clock of its own.
type player struct {
	now    time.Time
	events []pendingEvent
}

func (p *player) after(d time.Duration, do func(now time.Time)) {
	e := pendingEvent{p.now.Add(d), do}
	at, _ := slices.BinarySearchFunc(p.events, e, func(a, b pendingEvent) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1 // events of one time happen in the order of their planning
	})
	p.events = slices.Insert(p.events, at, e)
}

func (p *player) run(until time.Time) {
	for len(p.events) > 0 && !p.events[0].at.After(until) {
		e := p.events[0]
		p.events = p.events[1:]
		p.now = e.at
		e.do(e.at)
	}
}

// An engine that answered slowly for a while must get its share of the load again, and the others must not be overrun
// meanwhile: an estimate that only its own answers correct keeps it idle for ever.
func TestEngineThatWasSlowIsTriedAgain(t *testing.T) {
	ids := []string{"d-a-1", "d-a-2", "d-a-3", "d-a-4"}
	f := newFleet(ids...)
	pool := f.Pool(models)
	p := &player{now: start}
	slowUntil := start.Add(5 * time.Second)
	got := make(map[string]int)
	running := make(map[string]int)
	most := 0
	var arrive func(now time.Time)
	n := uint64(0)
	arrive = func(now time.Time) {
		n++
		q := prompt(n, 1000+n)
		q.Phase, q.Seed = fighollow.RequestDecode, n
		c, ok := pool.Choose(now, q)
		qt.Assert(t, ok, qt.IsTrue)
		w := pool.Begin(now, c, q)
		id := c.Upstream.ID
		running[id]++
		first := time.Duration(30+2*running[id]) * time.Millisecond
		if id == "d-a-1" && now.Before(slowUntil) {
			first += 900 * time.Millisecond
		}
		if now.After(slowUntil.Add(3 * time.Second)) {
			got[id]++
			most = max(most, running[id])
		}
		p.after(first, func(now time.Time) { pool.Started(now, w) })
		p.after(first+300*time.Millisecond, func(now time.Time) {
			running[id]--
			pool.End(now, w, placement.Answered)
		})
		p.after(10*time.Millisecond, arrive)
	}
	p.after(0, arrive)
	p.run(start.Add(14 * time.Second))
	total := 0
	for _, c := range got {
		total += c
	}
	for _, id := range ids {
		qt.Assert(t, got[id] > total/8, qt.IsTrue, qt.Commentf("%s got %d of %d", id, got[id], total))
	}
	// 100 requests a second that take a third of a second each are 33 at once, 8 for each engine.
	qt.Assert(t, most <= 16, qt.IsTrue, qt.Commentf("one engine had %d at once", most))
}

// A prefill engine that was slow for a while is measured anew.
func TestPrefillEngineThatWasSlowIsTriedAgain(t *testing.T) {
	ids := []string{"p-a-1", "p-a-2", "p-a-3"}
	f := newFleet(ids...)
	pool := f.Pool(models)
	p := &player{now: start}
	slowUntil := start.Add(4 * time.Second)
	got := make(map[string]int)
	free := make(map[string]time.Time) // when the engine has computed what it was sent
	var arrive func(now time.Time)
	n := uint64(0)
	arrive = func(now time.Time) {
		n++
		q := placement.Query{Phase: fighollow.RequestPrefill, PromptTokens: 4000, Seed: n}
		c, ok := pool.Choose(now, q)
		qt.Assert(t, ok, qt.IsTrue)
		w := pool.Begin(now, c, q)
		id := c.Upstream.ID
		rate := 50.0 // tokens per millisecond
		if id == "p-a-1" && now.Before(slowUntil) {
			rate = 4
		}
		begin := now
		if free[id].After(now) {
			begin = free[id]
		}
		free[id] = begin.Add(time.Duration(4000 / rate * float64(time.Millisecond)))
		if now.After(slowUntil.Add(8*time.Second)) && now.Before(slowUntil.Add(12*time.Second)) {
			got[id]++
		}
		p.after(free[id].Sub(now)+100*time.Millisecond, func(now time.Time) { pool.End(now, w, placement.Answered) })
		p.after(40*time.Millisecond, arrive)
	}
	p.after(0, arrive)
	p.run(start.Add(20 * time.Second))
	// 100 tokens a millisecond need two of the engines whole.
	for _, id := range ids {
		qt.Assert(t, got[id] > 15, qt.IsTrue, qt.Commentf("%v of 100", got))
	}
}
