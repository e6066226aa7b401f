package roles

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

var traits = fighollow.EngineTraits{Slots: 64, KVCapacityTokens: 500_000, RoleSwitch: 3 * time.Second}

// testFleet is a planner with a fleet of engines whose reports are set by the test.
type testFleet struct {
	engines []Engine
	planner *Planner
	now     time.Time
	orders  int
}

func newTestFleet(prefill, decode int) *testFleet {
	f := &testFleet{planner: NewPlanner(traits), now: time.Unix(1000, 0)}
	for i := range prefill + decode {
		role := fighollow.RoleDecode
		if i < prefill {
			role = fighollow.RolePrefill
		}
		f.engines = append(f.engines, Engine{
			Upstream: fighollow.Upstream{ID: fmt.Sprintf("e%02d", i), DataCentre: fmt.Sprintf("dc%d", i%3)},
			Report:   fighollow.EngineReport{Role: role, KVTotal: 1000}, Fresh: true,
		})
	}
	return f
}

// round advances the clock by one second, runs the planner and carries out its orders immediately.
func (f *testFleet) round(set func(e *Engine)) []Order {
	f.now = f.now.Add(time.Second)
	for i := range f.engines {
		if set != nil {
			set(&f.engines[i])
		}
	}
	orders, _ := f.planner.Plan(f.now, f.engines)
	for _, o := range orders {
		f.orders++
		for i := range f.engines {
			if f.engines[i].Upstream.ID == o.Engine.Upstream.ID {
				f.engines[i].Report.Role = o.Role
			}
		}
	}
	return orders
}

func (f *testFleet) count(role fighollow.Role) int {
	n := 0
	for _, e := range f.engines {
		if e.Report.Role == role {
			n++
		}
	}
	return n
}

// load returns a function that sets the queue length of prefill engines and the share of KV cache in use of decode
// engines.
func load(queued int, used float64) func(e *Engine) {
	return func(e *Engine) {
		e.Report.Queued, e.Report.Running, e.Report.KVUsed = 0, 1, 0
		if e.Report.Role == fighollow.RolePrefill {
			e.Report.Queued = queued
		} else {
			e.Report.KVUsed = int(used * 1000)
		}
	}
}

// Guards against a fleet that keeps an unsuitable proportion of roles after its start. Changes cost nothing before the
// first request.
func TestProportionBeforeDemand(t *testing.T) {
	f := newTestFleet(7, 11)
	f.round(nil)
	qt.Assert(t, f.count(fighollow.RolePrefill), qt.Equals, 12)
	for range 10 {
		f.round(nil)
	}
	qt.Assert(t, f.orders, qt.Equals, 5)
	decodeByDataCentre := make(map[string]int)
	for _, e := range f.engines {
		if e.Report.Role == fighollow.RoleDecode {
			decodeByDataCentre[e.Upstream.DataCentre]++
		}
	}
	qt.Assert(t, decodeByDataCentre, qt.DeepEquals, map[string]int{"dc0": 2, "dc1": 2, "dc2": 2})
}

// Guards against a large fleet that meets its first requests at the wrong proportion, against more orders than that takes or at once,
// and against orders of the initial proportion under load: by the first planner, or by a successor of one that has left it.
func TestInitialProportionOfALargeFleet(t *testing.T) {
	for _, c := range []struct {
		name             string
		prefill, decode  int
		lead             int // rounds before demand
		wantOrders, want int // prefill engines
	}{
		{"180 engines", 63, 117, 5, 58, 121},
		{"1,000 engines", 300, 700, 60, 370, 670},
		{"demand comes first", 300, 700, 3, 3 * maxInitialOrders, 300 + 3*maxInitialOrders},
		{"successor", 63, 117, 0, 0, 63},
	} {
		f := newTestFleet(c.prefill, c.decode)
		for range c.lead {
			qt.Check(t, len(f.round(nil)) <= maxInitialOrders, qt.IsTrue)
		}
		for range 20 {
			f.round(load(1, 0.3))
		}
		qt.Check(t, f.orders, qt.Equals, c.wantOrders, qt.Commentf(c.name))
		qt.Check(t, f.count(fighollow.RolePrefill), qt.Equals, c.want, qt.Commentf(c.name))
	}
}

// Guards against a fleet that follows a shift of the mix the more slowly the larger it is.
func TestLargeFleetFollowsAShiftAsFastAsASmallOne(t *testing.T) {
	share := func(engines int) float64 {
		f := newTestFleet(engines/2, engines-engines/2)
		f.round(load(1, 0.2))
		for range 20 {
			f.round(load(6, 0.02))
		}
		return float64(f.count(fighollow.RolePrefill)) / float64(engines)
	}
	qt.Assert(t, share(18) > 0.65, qt.IsTrue)
	qt.Assert(t, share(180) >= share(18)-0.01, qt.IsTrue, qt.Commentf("%.2f, %.2f", share(180), share(18)))
}

// Guards against an initial proportion that is computed from the first engines only: engines that start together are
// discovered one after the other.
func TestProportionWhileEnginesAppear(t *testing.T) {
	f := newTestFleet(7, 11)
	all := f.engines
	for n := 4; n <= len(all); n += 7 {
		f.engines = all[:n]
		f.round(nil)
	}
	f.engines = all
	f.round(nil)
	qt.Assert(t, f.count(fighollow.RolePrefill), qt.Equals, 12)
}

func TestShortRoleGetsEngines(t *testing.T) {
	f := newTestFleet(12, 6)
	for range 30 {
		f.round(load(6, 0.05))
	}
	qt.Assert(t, f.count(fighollow.RolePrefill) > 12, qt.IsTrue)
	f = newTestFleet(12, 6)
	for range 30 {
		f.round(load(0, 0.9))
	}
	qt.Assert(t, f.count(fighollow.RoleDecode) > 6, qt.IsTrue)
}

// Guards against an overload of decode: it gave up engines while they were in use, and was full when the mix of requests
// shifted.
func TestBusyDecodeKeepsItsEngines(t *testing.T) {
	f := newTestFleet(13, 5)
	for range 40 {
		f.round(load(2, 0.3))
	}
	qt.Assert(t, f.count(fighollow.RoleDecode), qt.Equals, 5)
	// A short lull does not make decode give up an engine.
	for range 3 {
		f.round(load(2, 0))
	}
	qt.Assert(t, f.count(fighollow.RoleDecode), qt.Equals, 5)
}

// Guards against prefill engines that are ordered to decode while decode has room: engines with few slots are half full under a
// load that they carry with ease, and the next surge of prompts then finds too few prefill engines.
func TestHalfUsedDecodeGetsNoEngines(t *testing.T) {
	f := newTestFleet(5, 3)
	for range 40 {
		f.round(load(0, 0.6))
	}
	qt.Assert(t, f.orders, qt.Equals, 0)
}

// Guards against engines that change their role back and forth under alternating load. Each change makes an engine
// unavailable for seconds.
func TestAlternatingLoadDoesNotFlap(t *testing.T) {
	f := newTestFleet(12, 6)
	f.round(load(1, 0.2))
	for second := range 120 {
		if second/3%2 == 0 {
			f.round(load(3, 0.15))
		} else {
			f.round(load(0, 0.4))
		}
	}
	qt.Assert(t, f.orders <= 2, qt.IsTrue, qt.Commentf("%d orders in two minutes", f.orders))
}

func TestEachRoleKeepsAnEngine(t *testing.T) {
	f := newTestFleet(1, 2)
	for range 100 {
		f.round(load(50, 0))
	}
	qt.Assert(t, f.count(fighollow.RoleDecode), qt.Equals, 1)
	f = newTestFleet(2, 1)
	for range 100 {
		f.round(load(0, 1))
	}
	qt.Assert(t, f.count(fighollow.RolePrefill), qt.Equals, 1)
	f = newTestFleet(0, 1)
	qt.Assert(t, f.round(nil), qt.HasLen, 0)
}

// Guards against a role change weight without effect: with a higher weight the same waves of load must cause fewer
// changes.
func TestWeightMakesChangesRarer(t *testing.T) {
	orders := func(weight float64) int {
		f := newTestFleet(9, 9)
		f.planner.SetPolicy(fighollow.Policy{RoleChangeWeight: weight})
		for i := range 600 {
			if i/30%2 == 0 {
				f.round(load(4, 0.02))
			} else {
				f.round(load(0, 0.9))
			}
		}
		return f.orders
	}
	qt.Assert(t, orders(0), qt.Equals, orders(1))
	qt.Assert(t, orders(4) < orders(1), qt.IsTrue, qt.Commentf("%d and %d", orders(4), orders(1)))
	qt.Assert(t, orders(0.5) >= orders(1), qt.IsTrue)
}

// Guards against a fleet in which all engines prefill and none can generate tokens; decode engines can do both. It
// happens at the start of a small fleet and when the last decode engine is lost.
func TestFleetWithoutDecodeGetsOneDecodeEngine(t *testing.T) {
	for _, engines := range []int{1, 2, 6} {
		f := newTestFleet(engines, 0)
		f.round(nil)
		qt.Assert(t, f.count(fighollow.RoleDecode), qt.Equals, 1, qt.Commentf("%d engines", engines))
		for range 20 {
			f.round(nil)
		}
		qt.Assert(t, f.count(fighollow.RoleDecode) >= 1, qt.IsTrue)
	}
	f := newTestFleet(4, 1)
	for range 20 {
		f.round(load(2, 0.2))
	}
	f.engines = f.engines[:4]
	for range 10 {
		f.round(load(2, 0.2))
	}
	qt.Assert(t, f.count(fighollow.RoleDecode), qt.Equals, 1)
}

func TestDrainingAndUnknownEnginesAreLeftOut(t *testing.T) {
	f := newTestFleet(2, 4)
	f.engines[2].Upstream.Draining = true
	f.engines[3].Fresh = false
	for range 10 {
		for _, o := range f.round(nil) {
			qt.Assert(t, o.Engine.Upstream.ID == "e02" || o.Engine.Upstream.ID == "e03", qt.IsFalse)
		}
	}
}
