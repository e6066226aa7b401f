package planner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/demand"
	"github.com/fighollow/fighollow/internal/planner"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// testFleet is a data centre whose plans take effect immediately and whose engines report only when report is called.
type testFleet struct {
	p  *planner.Planner
	in planner.Input
}

func newTestFleet(preset fighollow.Preset, engines ...string) *testFleet {
	f := &testFleet{p: planner.NewPlanner(planner.Policy{}), in: planner.Input{Preset: preset, PresetVersion: 1, Plans: make(map[string]fighollow.Plan)}}
	for _, id := range engines {
		f.in.Engines = append(f.in.Engines, planner.Engine{ID: id, DataCentre: "hall-a"})
	}
	return f
}

func (f *testFleet) decide(second int) planner.Decision {
	d := f.p.Decide(start.Add(time.Duration(second)*time.Second), f.in)
	for dc, plan := range d.Plans {
		f.in.Plans[dc] = plan
	}
	return d
}

// report sets a state of engine i, received at second, in which it serves its assignment.
func (f *testFleet) report(i, second int) {
	e := &f.in.Engines[i]
	e.State = &fighollow.EngineState{Phase: fighollow.PhaseReady, Assignment: f.in.Plans[e.DataCentre].Engines[e.ID]}
	e.ReportedAt = start.Add(time.Duration(second) * time.Second)
}

func oneModel(version string) fighollow.Preset {
	return fighollow.Preset{Name: version, Models: []fighollow.PresetModel{{Model: "memo", ModelVersion: version, MinEngines: 1}}}
}

// Guards against changing the only engine known to serve a model. That happens if an engine without reports counts as
// serving while other engines report.
func TestSilentEngineDoesNotCountAsServing(t *testing.T) {
	f := newTestFleet(oneModel("1"), "a", "b")
	f.decide(0)
	f.decide(1)
	f.report(0, 5)
	f.decide(60)
	f.in.Preset = oneModel("2")
	d := f.decide(61)
	qt.Assert(t, d.Changes, qt.HasLen, 1)
	qt.Assert(t, d.Changes[0].Engine, qt.Equals, "b")
}

// Guards against exceeding the limits on changes. That happens if the change of an engine without reports counts as
// complete after some time, so that a second change starts.
func TestSilentChangeCountsAgainstLimits(t *testing.T) {
	f := newTestFleet(oneModel("1"), "a", "b", "c")
	f.decide(0)
	f.decide(1)
	f.report(0, 5)
	f.report(1, 5)
	f.decide(60)
	f.in.Preset = oneModel("2")
	qt.Assert(t, f.decide(61).Changes, qt.HasLen, 1)
	qt.Assert(t, f.decide(200).Changes, qt.HasLen, 0)
	f.report(2, 201)
	qt.Assert(t, f.decide(202).Changes, qt.HasLen, 1)
}

// Guards against a preset change that interrupts the only engine of a model although another model has one above its
// minimum.
func TestPresetChangeKeepsModelServed(t *testing.T) {
	f := newTestFleet(fighollow.Preset{Models: []fighollow.PresetModel{
		{Model: "memo", ModelVersion: "1", MaxEngines: 1}, {Model: "summary", ModelVersion: "1"}}}, "a", "b", "c")
	f.decide(0)
	f.decide(1)
	f.in.Preset.Models[0] = fighollow.PresetModel{Model: "memo", ModelVersion: "2"}
	f.in.PresetVersion = 2
	d := f.decide(100)
	qt.Assert(t, d.Changes, qt.HasLen, 1)
	qt.Assert(t, d.Changes[0].From.Model, qt.Equals, "summary")
	qt.Assert(t, d.Changes[0].To.ModelVersion, qt.Equals, "2")
	for second := 101; second < 400; second++ {
		f.decide(second)
	}
	for _, a := range f.in.Plans["hall-a"].Engines {
		qt.Assert(t, a.Model == "summary" || a.ModelVersion == "2", qt.IsTrue)
	}
}

// Guards against a replaced engine that stays out of service after its new process has started, and against one that
// loses its assignment during the replacement.
func TestReplacedEngineReturns(t *testing.T) {
	f := newTestFleet(oneModel("1"), "a", "b")
	f.decide(0)
	f.decide(1)
	before := f.in.Plans["hall-a"]
	f.in.Engines[0].Drain = &fighollow.Drain{Action: fighollow.ActionReplace, Incarnation: 1000}
	f.in.Preset = oneModel("2")
	f.decide(100)
	qt.Assert(t, f.in.Plans["hall-a"].Engines["a"], qt.DeepEquals, before.Engines["a"])
	f.report(0, 120)
	f.report(1, 120)
	f.in.Engines[0].State.StartedMs = 2000
	qt.Assert(t, f.decide(121).Changes, qt.HasLen, 1)
}

// Guards against fences that restart at 1 after the plan object was deleted.
func TestFencesGrowAfterPlanIsDeleted(t *testing.T) {
	f := newTestFleet(oneModel("1"), "a")
	f.decide(0)
	f.decide(1)
	f.report(0, 5)
	f.in.Engines[0].State.HighestFence = 41
	delete(f.in.Plans, "hall-a")
	f.decide(10)
	qt.Assert(t, f.in.Plans["hall-a"].Engines["a"].Fence, qt.Equals, uint64(42))
}

// Guards against a split that stays unbalanced under overload. Refused requests count as demand for both roles, so both
// seem equally short of capacity, although a request needs both prefill and decode.
func TestOverloadIsBalanced(t *testing.T) {
	preset := fighollow.Preset{Models: []fighollow.PresetModel{
		{Model: "memo", ModelVersion: "1", Disaggregated: true, PrefillShare: 0.25}}}
	f := newTestFleet(preset, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")
	w := demand.Rate{Prefill: 20 * 8000, Decode: 20 * 2000}
	f.in.Demand = map[string]demand.Estimate{"memo": {Fast: w, Slow: w}}
	for second := range 1000 {
		f.decide(second)
	}
	prefill := 0
	for _, a := range f.in.Plans["hall-a"].Engines {
		if a.Role == fighollow.RolePrefill {
			prefill++
		}
	}
	qt.Assert(t, prefill >= 5 && prefill <= 7, qt.IsTrue, qt.Commentf("%d of 12 prefill", prefill))
}

// Guards against a preset change that takes the only engine of a model with demand, and against one that stays blocked
// after the demand has ended.
func TestLastEngineBlocksPresetUntilDemandEnds(t *testing.T) {
	f := newTestFleet(oneModel("1"), "a")
	f.decide(0)
	f.decide(1)
	f.in.Preset = oneModel("2")
	d := f.decide(100)
	qt.Assert(t, d.Changes, qt.HasLen, 0)
	qt.Assert(t, d.Blocked, qt.DeepEquals, []string{"memo"})
	f.in.Demand = map[string]demand.Estimate{"memo": {}}
	d = f.decide(101)
	qt.Assert(t, d.Changes, qt.HasLen, 1)
	qt.Assert(t, d.Blocked, qt.HasLen, 0)
}

// Guards against a model that stays without an engine after operators drained its only one.
func TestDrainedLastEngineIsReplaced(t *testing.T) {
	f := newTestFleet(fighollow.Preset{Models: []fighollow.PresetModel{
		{Model: "memo", ModelVersion: "1", MaxEngines: 1}, {Model: "summary", ModelVersion: "1"}}}, "a", "b", "c")
	f.decide(0)
	f.decide(1)
	i := 0
	for f.in.Plans["hall-a"].Engines[f.in.Engines[i].ID].Model != "memo" {
		i++
	}
	f.in.Engines[i].Drain = &fighollow.Drain{Action: fighollow.ActionDrain}
	d := f.decide(100)
	qt.Assert(t, d.Changes, qt.HasLen, 1)
	qt.Assert(t, d.Changes[0].To.Model, qt.Equals, "memo")
	qt.Assert(t, d.Changes[0].Reason, qt.Equals, planner.ReasonMinimum)
}
