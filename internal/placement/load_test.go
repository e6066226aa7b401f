package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/emulator"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against an engine that was slow for a while staying idle for ever, as only its own answers correct its latency
// estimate. It must get its share of the load again, and the others must not be overloaded meanwhile.
func TestEngineThatWasSlowIsTriedAgain(t *testing.T) {
	ids := []string{"d-a-1", "d-a-2", "d-a-3", "d-a-4"}
	f := newFleet(ids...)
	pool := f.Pool(models)
	clock := &emulator.Clock{Now: start}
	slowUntil := start.Add(5 * time.Second)
	got := make(map[string]int)
	running := make(map[string]int)
	maxRunning := 0
	var arrive func()
	n := uint64(0)
	arrive = func() {
		now := clock.Now
		n++
		q := prompt(n, 1000+n)
		q.Phase, q.Seed = fighollow.RequestDecode, n
		c, ok := pool.Choose(now, q)
		qt.Assert(t, ok, qt.IsTrue)
		a := pool.Begin(now, c, q)
		id := c.Upstream.ID
		running[id]++
		first := time.Duration(30+2*running[id]) * time.Millisecond
		if id == "d-a-1" && now.Before(slowUntil) {
			first += 900 * time.Millisecond
		}
		if now.After(slowUntil.Add(3 * time.Second)) {
			got[id]++
			maxRunning = max(maxRunning, running[id])
		}
		clock.After(first, func() { pool.Started(clock.Now, a) })
		clock.After(first+300*time.Millisecond, func() {
			running[id]--
			pool.End(clock.Now, a, placement.Answered)
		})
		clock.After(10*time.Millisecond, arrive)
	}
	clock.After(0, arrive)
	clock.RunUntil(start.Add(14 * time.Second))
	total := 0
	for _, c := range got {
		total += c
	}
	for _, id := range ids {
		qt.Assert(t, got[id] > total/8, qt.IsTrue, qt.Commentf("%s got %d of %d", id, got[id], total))
	}
	// 100 requests a second that take a third of a second each are 33 in flight, 8 at each engine.
	qt.Assert(t, maxRunning <= 16, qt.IsTrue, qt.Commentf("one engine had %d in flight", maxRunning))
}

// Guards against a prefill engine that was slow for a while keeping its low rate estimate.
func TestPrefillEngineThatWasSlowIsTriedAgain(t *testing.T) {
	ids := []string{"p-a-1", "p-a-2", "p-a-3"}
	f := newFleet(ids...)
	pool := f.Pool(models)
	clock := &emulator.Clock{Now: start}
	slowUntil := start.Add(4 * time.Second)
	got := make(map[string]int)
	free := make(map[string]time.Time) // when the engine finishes the prompts that it was sent
	var arrive func()
	n := uint64(0)
	arrive = func() {
		now := clock.Now
		n++
		q := placement.Query{Phase: fighollow.RequestPrefill, PromptTokens: 4000, Seed: n}
		c, ok := pool.Choose(now, q)
		qt.Assert(t, ok, qt.IsTrue)
		a := pool.Begin(now, c, q)
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
		clock.After(free[id].Sub(now)+100*time.Millisecond, func() { pool.End(clock.Now, a, placement.Answered) })
		clock.After(40*time.Millisecond, arrive)
	}
	clock.After(0, arrive)
	clock.RunUntil(start.Add(20 * time.Second))
	// 100 tokens a millisecond take the full rate of two engines.
	for _, id := range ids {
		qt.Assert(t, got[id] > 15, qt.IsTrue, qt.Commentf("%v of 100", got))
	}
}
