package demand_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/demand"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// feed reports token rates of one engine to an Estimator.
type feed struct {
	est    *demand.Estimator
	second int
	count  demand.ModelCount
	lost   func(second int) bool // reports that are lost
}

func newFeed() *feed {
	return &feed{est: demand.NewEstimator(demand.Options{}), count: demand.ModelCount{Model: "memo"}}
}

func (f *feed) run(seconds int, prefill, refused, decode int64) demand.Estimate {
	var e demand.Estimate
	for range seconds {
		f.second++
		now := start.Add(time.Duration(f.second) * time.Second)
		f.count.PrefillTokens += prefill
		f.count.RefusedPrefill += refused
		f.count.DecodeTokens += decode
		if f.second%5 == 0 && (f.lost == nil || !f.lost(f.second)) {
			f.est.HandleReport(now, demand.Report{Engine: "e1", Incarnation: start.UnixMilli(), Models: []demand.ModelCount{f.count}})
		}
		e = f.est.Estimates(now, func(string) time.Duration { return 20 * time.Second })["memo"]
	}
	return e
}

func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	qt.Assert(t, got > 0.9*want && got < 1.1*want, qt.IsTrue, qt.Commentf("got %v, want about %v", got, want))
}

// Guards against a burst that is shorter than a role change and counts as a shift.
func TestBurstIsNoShift(t *testing.T) {
	f := newFeed()
	f.run(300, 1000, 0, 500)
	for range 10 {
		qt.Assert(t, f.run(1, 4000, 0, 500).Shift, qt.IsFalse)
	}
	for range 60 {
		e := f.run(1, 1000, 0, 500)
		qt.Assert(t, e.Shift, qt.IsFalse, qt.Commentf("%+v", e))
	}
}

// Guards against a lasting change that never counts as a shift, and against a slow average that does not follow it.
func TestLastingChangeIsShift(t *testing.T) {
	f := newFeed()
	f.run(300, 1000, 0, 500)
	e := f.run(60, 3000, 0, 200)
	qt.Assert(t, e.Shift, qt.IsTrue)
	assertNear(t, e.Level().Prefill, 3000)
	e = f.run(600, 3000, 0, 200)
	qt.Assert(t, e.Shift, qt.IsFalse)
	assertNear(t, e.Level().Prefill, 3000)
	assertNear(t, e.Level().Decode, 200)
}

// Guards against swings that are expected to last each time: after some have reverted, the expected remaining time of the
// next must be shorter.
func TestSwingsAreLearnt(t *testing.T) {
	f := newFeed()
	for range 4 {
		f.run(90, 3000, 0, 500)
		f.run(90, 1000, 0, 500)
	}
	e := f.run(80, 3000, 0, 500)
	if e.Shift {
		qt.Assert(t, e.Remaining < 40*time.Second, qt.IsTrue, qt.Commentf("%+v", e))
	}
}

// Guards against an estimate that omits refused requests.
func TestRefusedWorkIsDemand(t *testing.T) {
	f := newFeed()
	assertNear(t, f.run(300, 1000, 2000, 500).Level().Prefill, 3000)
}

// Guards against lost, repeated or reordered reports that change the estimate.
func TestLostAndLateReports(t *testing.T) {
	f := newFeed()
	f.lost = func(second int) bool { return second%15 != 0 }
	assertNear(t, f.run(300, 1000, 0, 500).Level().Prefill, 1000)
	old := f.count
	assertNear(t, f.run(60, 1000, 0, 500).Level().Prefill, 1000)
	f.est.HandleReport(start.Add(361*time.Second), demand.Report{Engine: "e1", Incarnation: start.UnixMilli(), Models: []demand.ModelCount{old}})
	assertNear(t, f.run(30, 1000, 0, 500).Level().Prefill, 1000)
}

// Guards against totals that count as the work of one interval after the planner or a sidecar was restarted.
func TestFirstTotalsOnlySetBaseline(t *testing.T) {
	f := newFeed()
	f.count.PrefillTokens = 1_000_000_000
	f.second = 1000
	assertNear(t, f.run(300, 1000, 0, 500).Level().Prefill, 1000)
}

// Guards against averages that stay low for minutes because only a few engines had reported at the start.
func TestFirstReportsDoNotDistortAverages(t *testing.T) {
	f := newFeed()
	f.run(10, 10, 0, 5)
	qt.Assert(t, f.run(15, 1000, 0, 500), qt.Equals, demand.Estimate{})
	assertNear(t, f.run(100, 1000, 0, 500).Slow.Prefill, 1000)
}

// Guards against missing reports that count as zero demand, so that models lose their engines.
func TestMissingReportsMeanUnknownDemand(t *testing.T) {
	f := newFeed()
	f.run(100, 1000, 0, 500)
	f.lost = func(int) bool { return true }
	f.run(100, 1000, 0, 500)
	now := start.Add(300 * time.Second)
	qt.Assert(t, f.est.Estimates(now, func(string) time.Duration { return 0 }), qt.HasLen, 0)
}
