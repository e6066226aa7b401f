package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/emulator"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// prefillFleet plays prefill engines and idle decode engines under a steady load of prompts. Prefill engines compute one prompt
// after the other; a decode engine takes twice as long.
type prefillFleet struct {
	clock     *emulator.Clock
	pool      *placement.Pool
	rate      map[string]float64   // tokens per millisecond, by engine
	free      map[string]time.Time // when an engine has computed what it was sent
	overhead  time.Duration
	target    time.Duration
	tokens    int
	perSecond func(now time.Time) float64
	shared    func(n uint64) uint64 // the shared part of the n-th prompt
	sent      map[string]int
	onTime    int
	total     int
	n         uint64
	countFrom time.Time
}

func newPrefillFleet(rate float64, target time.Duration, ids ...string) *prefillFleet {
	f := &prefillFleet{
		clock: &emulator.Clock{Now: start}, pool: newFleet(ids...).Pool(models), rate: make(map[string]float64), free: make(map[string]time.Time),
		target: target, tokens: 4000, sent: make(map[string]int), countFrom: start, shared: func(n uint64) uint64 { return n },
	}
	for _, id := range ids {
		f.rate[id] = rate
	}
	return f
}

// run plays the load for d.
func (f *prefillFleet) run(d time.Duration) {
	f.clock.After(0, f.arrive)
	f.clock.RunUntil(start.Add(d))
}

func (f *prefillFleet) arrive() {
	f.n++
	now := f.clock.Now
	f.clock.After(time.Duration(float64(time.Second)/f.perSecond(now)), f.arrive)
	slo := placement.SLO{Arrived: now, Target: f.target, Deadline: now.Add(20 * f.target)}
	q := placement.Query{
		PromptTokens: f.tokens, Seed: f.n,
		Prompt: []fighollow.PromptPart{{ID: f.shared(f.n), Tokens: f.tokens / 2}, {ID: 1<<40 + f.n, Tokens: f.tokens - f.tokens/2}},
	}
	q.Phase = f.pool.Path(now, q, slo)
	counted := !now.Before(f.countFrom)
	if counted {
		f.total++
	}
	c, _, err := f.pool.Place(now, &q, slo)
	if err != nil {
		return
	}
	a := f.pool.Begin(now, c, q)
	id := c.Upstream.ID
	if counted {
		f.sent[id]++
	}
	ms := float64(f.tokens-c.Cached-c.Fetched) / f.rate[id]
	if q.Phase == fighollow.RequestWhole {
		ms *= 2
	}
	begin := now
	if f.free[id].After(now) {
		begin = f.free[id]
	}
	f.free[id] = begin.Add(time.Duration(ms * float64(time.Millisecond)))
	f.clock.After(f.free[id].Sub(now)+f.overhead, func() {
		if counted && f.clock.Now.Sub(now) <= f.target {
			f.onTime++
		}
		if q.Phase == fighollow.RequestWhole {
			f.pool.Started(f.clock.Now, a)
		}
		f.pool.End(f.clock.Now, a, placement.Answered)
	})
}

func steady(perSecond float64) func(time.Time) float64 {
	return func(time.Time) float64 { return perSecond }
}

// Guards against figures of one customer's engines in the decisions: engines that are ten times as fast, with ten times the load
// and a tenth of the latency target, must be used alike. Nine tenths of what the prefill engines can compute arrive, and prompts
// are often shared.
func TestFasterEnginesAreUsedAlike(t *testing.T) {
	for _, speed := range []float64{0.3, 1, 10, 30} {
		ids := []string{"p-a-1", "p-a-2", "p-b-1", "p-b-2", "d-a-1", "d-b-1"}
		f := newPrefillFleet(50*speed, time.Duration(float64(time.Second)/speed), ids...)
		f.overhead = time.Duration(float64(20*time.Millisecond) / speed)
		f.perSecond = steady(45 * speed)
		f.shared = func(n uint64) uint64 { return n % 50 }
		f.countFrom = start.Add(time.Duration(float64(time.Second) / speed))
		f.run(time.Duration(float64(10*time.Second) / speed))
		qt.Assert(t, float64(f.onTime) > 0.95*float64(f.total), qt.IsTrue, qt.Commentf("speed %g: %d of %d on time, %v", speed, f.onTime, f.total, f.sent))
	}
}

// Guards against prefill engines that are overloaded beside idle decode engines for as long as a change of roles takes: when the
// load of prompts grows by three times within a second, decode engines have to compute what the prefill engines cannot.
func TestDecodeEnginesComputeASurgeOfPrompts(t *testing.T) {
	ids := []string{"p-a-1", "p-a-2", "d-a-1", "d-a-2", "d-a-3", "d-a-4"}
	f := newPrefillFleet(400, 120*time.Millisecond, ids...)
	surge := start.Add(2 * time.Second)
	f.perSecond = func(now time.Time) float64 {
		if now.Before(surge) {
			return 100 // half of what two prefill engines compute
		}
		return 300
	}
	f.countFrom = surge
	f.run(5 * time.Second)
	qt.Assert(t, float64(f.onTime) > 0.9*float64(f.total), qt.IsTrue, qt.Commentf("%d of %d on time, %v", f.onTime, f.total, f.sent))
	f = newPrefillFleet(400, 120*time.Millisecond, ids...)
	f.perSecond = steady(100)
	f.countFrom = start.Add(time.Second)
	f.run(5 * time.Second)
	whole := f.sent["d-a-1"] + f.sent["d-a-2"] + f.sent["d-a-3"] + f.sent["d-a-4"]
	qt.Assert(t, whole < f.total/10, qt.IsTrue, qt.Commentf("%d of %d prompts computed by decode engines without need", whole, f.total))
}

// Guards against one popular shared part that makes its preferred engine a bottleneck: the demand for it has to spread over as
// many engines as it needs.
func TestHotPrefixSpreads(t *testing.T) {
	ids := []string{"p-a-1", "p-a-2", "p-a-3", "p-a-4", "p-b-1", "p-b-2", "p-b-3", "p-b-4", "d-a-1"}
	f := newPrefillFleet(50, 800*time.Millisecond, ids...)
	f.shared = func(uint64) uint64 { return 7 }
	f.perSecond = steady(150) // three quarters of what the engines compute when each holds the part
	f.countFrom = start.Add(2 * time.Second)
	f.run(8 * time.Second)
	qt.Assert(t, float64(f.onTime) > 0.95*float64(f.total), qt.IsTrue, qt.Commentf("%d of %d on time, %v", f.onTime, f.total, f.sent))
}

// Guards against an engine ten times slower than the others that gets an equal share of the prompts.
func TestSlowEngineGetsLittle(t *testing.T) {
	ids := []string{"p-a-1", "p-a-2", "p-a-3", "p-a-4", "d-a-1"}
	f := newPrefillFleet(50, 800*time.Millisecond, ids...)
	f.rate["p-a-1"] = 5
	f.perSecond = steady(25) // two thirds of what the other three compute
	f.countFrom = start.Add(2 * time.Second)
	f.run(10 * time.Second)
	qt.Assert(t, f.sent["p-a-1"] < f.total/10, qt.IsTrue, qt.Commentf("%v", f.sent))
	qt.Assert(t, float64(f.onTime) > 0.9*float64(f.total), qt.IsTrue, qt.Commentf("%d of %d on time, %v", f.onTime, f.total, f.sent))
}
