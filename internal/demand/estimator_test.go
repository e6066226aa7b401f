package demand_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/demand"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// feed reports a rate of tokens from one engine and returns the estimate after each second.
type feed struct {
	est    *demand.Estimator
	second int
	count  demand.ModelCount
	skip   func(second int) bool // reports that are lost
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
		if f.second%5 == 0 && (f.skip == nil || !f.skip(f.second)) {
			f.est.HandleReport(now, demand.Report{Engine: "e1", Incarnation: start.UnixMilli(), Models: []demand.ModelCount{f.count}})
		}
		e = f.est.Estimates(now, func(string) time.Duration { return 20 * time.Second })["memo"]
	}
	return e
}

func near(t *testing.T, got, want float64) {
	t.Helper()
	qt.Assert(t, got > 0.9*want && got < 1.1*want, qt.IsTrue, qt.Commentf("got %v, want about %v", got, want))
}

// Guards against a burst shorter than a role change that is planned for.
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

// Guards against a lasting change that is never planned for, and against a level that stays behind.
func TestLastingChangeIsShift(t *testing.T) {
	f := newFeed()
	f.run(300, 1000, 0, 500)
	e := f.run(60, 3000, 0, 200)
	qt.Assert(t, e.Shift, qt.IsTrue)
	near(t, e.Level().Prefill, 3000)
	e = f.run(600, 3000, 0, 200)
	qt.Assert(t, e.Shift, qt.IsFalse)
	near(t, e.Level().Prefill, 3000)
	near(t, e.Level().Decode, 200)
}

// Guards against swings that look as lasting each time: the expected rest of a swing shrinks once some went back.
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

// Guards against demand that disappears because it is refused.
func TestRefusedWorkIsDemand(t *testing.T) {
	f := newFeed()
	near(t, f.run(300, 1000, 2000, 500).Level().Prefill, 3000)
}

// Guards against lost, repeated or overtaken reports that change the estimate.
func TestLostAndLateReports(t *testing.T) {
	f := newFeed()
	f.skip = func(second int) bool { return second%15 != 0 }
	near(t, f.run(300, 1000, 0, 500).Level().Prefill, 1000)
	old := f.count
	near(t, f.run(60, 1000, 0, 500).Level().Prefill, 1000)
	f.est.HandleReport(start.Add(361*time.Second), demand.Report{Engine: "e1", Incarnation: start.UnixMilli(), Models: []demand.ModelCount{old}})
	near(t, f.run(30, 1000, 0, 500).Level().Prefill, 1000)
}

// Guards against a restarted planner or sidecar whose totals count as one interval's work.
func TestTotalsOfUnseenTimeAreNoRate(t *testing.T) {
	f := newFeed()
	f.count.PrefillTokens = 1_000_000_000
	f.second = 1000
	near(t, f.run(300, 1000, 0, 500).Level().Prefill, 1000)
}

// Guards against a level that stays low for minutes because few engines had reported at the start.
func TestFirstReportsAreNoLevel(t *testing.T) {
	f := newFeed()
	f.run(10, 10, 0, 5)
	qt.Assert(t, f.run(15, 1000, 0, 500), qt.Equals, demand.Estimate{})
	near(t, f.run(100, 1000, 0, 500).Slow.Prefill, 1000)
}

// Guards against silence that is read as no demand, after which models would lose their engines.
func TestSilenceIsUnknown(t *testing.T) {
	f := newFeed()
	f.run(100, 1000, 0, 500)
	f.skip = func(int) bool { return true }
	f.run(100, 1000, 0, 500)
	now := start.Add(300 * time.Second)
	qt.Assert(t, f.est.Estimates(now, func(string) time.Duration { return 0 }), qt.HasLen, 0)
}
