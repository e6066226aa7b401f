package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against a request that cannot meet its target going before one that can, and against a less urgent route going
// before a more urgent one.
func TestUrgencyKeepsTheOrderOfRoutes(t *testing.T) {
	last := -1
	for priority := range 5 {
		for _, late := range []bool{false, true} {
			u := urgency(priority, late)
			qt.Assert(t, u > last, qt.IsTrue)
			last = u
		}
	}
	qt.Assert(t, urgency(20, true), qt.Equals, 9)
}

// Guards against shares that count the wait or what the engine has cached as a prompt's own work, and against a target that seems met
// although it is not.
func TestChoiceHasWorkAndWait(t *testing.T) {
	f := New(Options{DataCentre: "a", DrainTime: time.Second})
	f.Configure(&fighollow.Routing{Services: map[string]fighollow.ServiceTraits{
		"m": {Name: "m", Engine: &fighollow.EngineTraits{Slots: 8, KVCapacityTokens: 500_000}},
	}})
	now := time.Unix(1000, 0)
	f.Put(now, fighollow.Upstream{ID: "p", Service: "m", DataCentre: "a", Slots: 8, Role: fighollow.RolePrefill}, 1)
	f.Put(now, fighollow.Upstream{ID: "d", Service: "m", DataCentre: "a", Slots: 8, Role: fighollow.RoleDecode}, 1)
	p := f.Pool("m")
	place := func(own uint64) (Choice, Query) {
		q := Query{Phase: fighollow.RequestPrefill, PromptTokens: 14_000,
			Prompt: []fighollow.PromptPart{{ID: 1, Tokens: 10_000}, {ID: own, Tokens: 4000}}}
		c, _, err := p.Place(now, &q, SLO{Arrived: now, Target: 300 * time.Millisecond, Deadline: now.Add(time.Minute)})
		qt.Assert(t, err, qt.IsNil)
		return c, q
	}
	for i := range 20 {
		c, q := place(uint64(100 + i))
		a := p.Begin(now, c, q)
		now = now.Add(time.Duration(computedTokens(q, &c)) * time.Second / 40_000)
		p.End(now, a, Answered)
	}
	c, q := place(2)
	qt.Assert(t, c.Cached, qt.Equals, 10_000)
	qt.Assert(t, c.WorkMs > 80 && c.WorkMs < 120, qt.IsTrue, qt.Commentf("%v ms", c.WorkMs)) // 4,000 tokens at 40,000 a second
	qt.Assert(t, c.WaitMs < 20, qt.IsTrue, qt.Commentf("%v ms", c.WaitMs))
	qt.Assert(t, c.OverTarget < 0, qt.IsTrue)
	for i := range 4 {
		p.Begin(now, c, q)
		c, q = place(uint64(3 + i))
	}
	qt.Assert(t, c.WorkMs > 80 && c.WorkMs < 120, qt.IsTrue, qt.Commentf("%v ms", c.WorkMs))
	// The prompt is late, so that it waits for all four: the two that can meet the target and the two that were late before it.
	qt.Assert(t, c.WaitMs > 350 && c.WaitMs < 450, qt.IsTrue, qt.Commentf("%v ms", c.WaitMs))
	qt.Assert(t, c.OverTarget > 0, qt.IsTrue, qt.Commentf("%v", c.OverTarget))
}
