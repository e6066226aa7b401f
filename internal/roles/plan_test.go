package roles

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

var traits = fighollow.EngineTraits{Slots: 64, KVCapacityTokens: 500_000, RoleSwitch: 3 * time.Second}

// testFleet is a fleet of engines whose reports the test sets.
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
			Report:   fighollow.EngineReport{Role: role, KVTotal: 1000}, Known: true,
		})
	}
	return f
}

// round plans once a second and carries out the orders at once.
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

// load sets the requests that wait at prefill engines, and the share of memory that decode engines use.
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

// Guards against a start with roles that do not fit: the time before the first request is when changes cost nothing.
func TestProportionBeforeDemand(t *testing.T) {
	f := newTestFleet(7, 11)
	f.round(nil)
	qt.Assert(t, f.count(fighollow.RolePrefill), qt.Equals, 12)
	for range 10 {
		f.round(nil)
	}
	qt.Assert(t, f.orders, qt.Equals, 5)
	perCentre := make(map[string]int)
	for _, e := range f.engines {
		if e.Report.Role == fighollow.RoleDecode {
			perCentre[e.Upstream.DataCentre]++
		}
	}
	qt.Assert(t, perCentre, qt.DeepEquals, map[string]int{"dc0": 2, "dc1": 2, "dc2": 2})
}

// Guards against a large fleet that is rearranged for no demand. Seen in the sweep at tenterbrook-uw: 279 orders at 300
// machines.
func TestFewChangesBeforeDemand(t *testing.T) {
	f := newTestFleet(300, 700)
	for range 20 {
		f.round(nil)
	}
	qt.Assert(t, f.orders, qt.Equals, maxFirstOrders)
}

// Engines that start together become known one after the other.
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

// Guards against the collapse seen on trouble-1 at tenterbrook-uw: decode gave engines while it was in use, and was full
// when the mix shifted.
func TestUsedDecodeSparesNothing(t *testing.T) {
	f := newTestFleet(13, 5)
	for range 40 {
		f.round(load(2, 0.3))
	}
	qt.Assert(t, f.count(fighollow.RoleDecode), qt.Equals, 5)
	// A lull does not make it spare one at once.
	for range 3 {
		f.round(load(2, 0))
	}
	qt.Assert(t, f.count(fighollow.RoleDecode), qt.Equals, 5)
}

// Guards against engines that change to and fro: each change takes an engine away for seconds.
func TestShiftsDoNotFlutter(t *testing.T) {
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

// A preset's weight of role changes: the same waves of load cause fewer of them.
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

// Nobody generates answers where all engines prefill; decode engines can do both. This is so at the start of a small fleet,
// and when the last decode engine is lost.
func TestFleetWithoutDecodeGetsIt(t *testing.T) {
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
	f.engines[3].Known = false
	for range 10 {
		for _, o := range f.round(nil) {
			qt.Assert(t, o.Engine.Upstream.ID == "e02" || o.Engine.Upstream.ID == "e03", qt.IsFalse)
		}
	}
}
