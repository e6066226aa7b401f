package planner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/demand"
	"github.com/fighollow/fighollow/internal/planner"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// fakeEngine applies its planned assignment some time after the plan changes.
type fakeEngine struct {
	dc         string
	planned    fighollow.Assignment
	assigned   bool
	changedAt  time.Time // of the plan's last change
	complete   bool      // has served planned since changedAt
	readyAt    time.Time
	state      fighollow.EngineState
	reported   fighollow.EngineState
	reportedAt time.Time // of the last report; zero without one
	drain      *fighollow.Drain
}

func (e *fakeEngine) schedulable() bool { return e.drain == nil }

// serving reports whether the last report shows e serving its planned assignment.
func (e *fakeEngine) serving() bool {
	return e.assigned && e.schedulable() && !e.reportedAt.IsZero() && e.reported.Phase == fighollow.PhaseReady &&
		e.reported.Assignment.EqualIgnoringFence(e.planned)
}

// machine is a rapid state machine that drives a Planner with engines that change slowly, crash and report late.
type machine struct {
	now     time.Time
	p       *planner.Planner
	engines map[string]*fakeEngine
	names   []string
	plans   map[string]fighollow.Plan
	fences  map[string]uint64
	presets []fighollow.Preset
	preset  int
	version uint64
	demand  map[string]demand.Estimate
}

func newMachine(t *rapid.T) *machine {
	m := &machine{now: start, p: planner.NewPlanner(planner.Policy{}), engines: make(map[string]*fakeEngine),
		plans: make(map[string]fighollow.Plan), fences: make(map[string]uint64), version: 1, demand: make(map[string]demand.Estimate)}
	dcs := rapid.IntRange(1, 3).Draw(t, "dataCentres")
	for i := range rapid.IntRange(2, 12).Draw(t, "engines") {
		id := fmt.Sprintf("engine-%02d", i)
		m.names = append(m.names, id)
		m.engines[id] = &fakeEngine{dc: fmt.Sprintf("dc-%d", i%dcs)}
	}
	for i := range 3 {
		m.presets = append(m.presets, drawPreset(t, i))
	}
	return m
}

func drawPreset(t *rapid.T, i int) fighollow.Preset {
	p := fighollow.Preset{Name: fmt.Sprintf("preset-%d", i), Policy: fighollow.Policy{
		MaxChangesPerDataCentre: rapid.IntRange(0, 2).Draw(t, "perDataCentre"),
		MaxChangesPerModel:      rapid.IntRange(0, 2).Draw(t, "perModel"),
		MinDwellMs:              int64(rapid.IntRange(20, 120).Draw(t, "dwell")) * 1000,
	}}
	for _, model := range []string{"a", "b", "c"} {
		if model != "a" && rapid.Bool().Draw(t, "without "+model) {
			continue
		}
		p.Models = append(p.Models, fighollow.PresetModel{
			Model: model, ModelVersion: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"),
			MinEngines: rapid.IntRange(1, 2).Draw(t, "min"), MaxEngines: rapid.SampledFrom([]int{0, 0, 3}).Draw(t, "max"),
			Disaggregated: rapid.Bool().Draw(t, "split"), PrefillShare: 0.4,
		})
	}
	return p
}

func (m *machine) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
	for _, id := range m.names {
		e := m.engines[id]
		if !e.assigned {
			continue
		}
		if !e.state.Assignment.EqualIgnoringFence(e.planned) || e.state.Phase != fighollow.PhaseReady {
			if e.readyAt.IsZero() {
				e.readyAt = m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "change")) * time.Second)
			}
			e.state.Phase = fighollow.PhaseChanging
			if !m.now.Before(e.readyAt) {
				e.state.Phase, e.state.Assignment = fighollow.PhaseReady, e.planned
			}
		}
		e.complete = e.complete || e.state.Phase == fighollow.PhaseReady
		if rapid.IntRange(0, 3).Draw(t, "report") > 0 {
			e.reported, e.reportedAt = e.state, m.now
		}
	}
}

func (m *machine) crash(t *rapid.T) {
	e := m.engines[rapid.SampledFrom(m.names).Draw(t, "engine")]
	e.state, e.readyAt = fighollow.EngineState{Phase: fighollow.PhaseEmpty}, time.Time{}
}

func (m *machine) toggleDrain(t *rapid.T) {
	e := m.engines[rapid.SampledFrom(m.names).Draw(t, "engine")]
	if e.drain != nil {
		e.drain = nil
		return
	}
	action := rapid.SampledFrom([]fighollow.DrainAction{fighollow.ActionDrain, fighollow.ActionWithdraw}).Draw(t, "action")
	e.drain = &fighollow.Drain{Action: action}
}

func (m *machine) changePreset(t *rapid.T) {
	m.preset, m.version = rapid.IntRange(0, 2).Draw(t, "preset"), m.version+1
}

func (m *machine) shiftDemand(t *rapid.T) {
	rate := demand.Rate{
		Prefill: float64(rapid.IntRange(0, 80_000).Draw(t, "prefill")),
		Decode:  float64(rapid.IntRange(0, 20_000).Draw(t, "decode")),
	}
	m.demand[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "model")] = demand.Estimate{Fast: rate, Slow: rate}
}

func (m *machine) decide(t *rapid.T) {
	in := planner.Input{Preset: m.presets[m.preset], PresetVersion: m.version, Plans: maps.Clone(m.plans), Demand: maps.Clone(m.demand)}
	for _, id := range m.names {
		e := m.engines[id]
		pe := planner.Engine{ID: id, DataCentre: e.dc, Drain: e.drain, ReportedAt: e.reportedAt}
		if !e.reportedAt.IsZero() {
			state := e.reported
			pe.State = &state
		}
		in.Engines = append(in.Engines, pe)
	}
	d := m.p.Decide(m.now, in)
	m.checkDwell(t, d)
	before := m.servedModels()
	lost := rapid.IntRange(0, 5).Draw(t, "outage") == 0
	if lost {
		return
	}
	for dc, plan := range d.Plans {
		m.apply(t, dc, plan)
	}
	m.checkLimits(t, d)
	m.checkServed(t, before)
}

func (m *machine) apply(t *rapid.T, dc string, plan fighollow.Plan) {
	if plan.Revision <= m.plans[dc].Revision {
		t.Fatalf("revision %d after %d", plan.Revision, m.plans[dc].Revision)
	}
	for id, a := range plan.Engines {
		e := m.engines[id]
		if e.assigned && e.planned.EqualIgnoringFence(a) {
			if a.Fence != e.planned.Fence {
				t.Fatalf("%s: unchanged, but fence %d after %d", id, a.Fence, e.planned.Fence)
			}
			continue
		}
		if a.Fence != plan.Revision || a.Fence <= m.fences[id] {
			t.Fatalf("%s: fence %d in revision %d after %d", id, a.Fence, plan.Revision, m.fences[id])
		}
		first := !e.assigned
		m.fences[id] = a.Fence
		e.planned, e.assigned, e.changedAt, e.complete, e.readyAt = a, true, m.now, first, time.Time{}
	}
	for _, id := range m.names {
		if _, ok := plan.Engines[id]; !ok && m.engines[id].dc == dc {
			m.engines[id].assigned = false
		}
	}
	m.plans[dc] = plan
}

func (m *machine) checkDwell(t *rapid.T, d planner.Decision) {
	for _, c := range d.Changes {
		optional := c.Reason == planner.ReasonRole || c.Reason == planner.ReasonModel
		dwell := time.Duration(m.presets[m.preset].Policy.MinDwellMs) * time.Millisecond
		if kept := m.now.Sub(m.engines[c.Engine].changedAt); optional && kept < dwell {
			t.Fatalf("%s changed after %v, dwell %v", c.Engine, kept, dwell)
		}
	}
}

// checkLimits compares the limits with the number of engines whose change is in fact incomplete, for each data centre
// and model in which the decision changed an engine.
func (m *machine) checkLimits(t *rapid.T, d planner.Decision) {
	limit := func(v int) int { return max(v, 1) }
	policy := m.presets[m.preset].Policy
	byDC, byModel := make(map[string]int), make(map[string]int)
	for _, e := range m.engines {
		if e.assigned && e.schedulable() && !e.complete {
			byDC[e.dc]++
			byModel[e.planned.Model]++
		}
	}
	for _, c := range d.Changes {
		if c.From.Model == "" || c.To.Model == "" {
			continue
		}
		if byDC[c.DataCentre] > limit(policy.MaxChangesPerDataCentre) || byModel[c.To.Model] > limit(policy.MaxChangesPerModel) {
			t.Fatalf("change of %s over the limits: %v %v", c.Engine, byDC, byModel)
		}
	}
}

func (m *machine) servedModels() map[string]bool {
	out := make(map[string]bool)
	for _, e := range m.engines {
		if e.serving() {
			out[e.planned.Model] = true
		}
	}
	return out
}

func (m *machine) checkServed(t *rapid.T, before map[string]bool) {
	after := m.servedModels()
	for _, model := range m.presets[m.preset].Models {
		e, known := m.demand[model.Model]
		if wanted := !known || e.Fast.Prefill+e.Fast.Decode > 0; wanted && before[model.Model] && !after[model.Model] {
			t.Fatalf("model %s lost its last engine", model.Model)
		}
	}
}

// Guards against changes that exceed the limits or fall within the dwell time, a model with demand that loses its last
// engine, and fences that do not increase, under random crashes, drains, preset changes and shifts of demand.
func TestPlannerKeepsItsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.decide, "advance": m.advance, "more time": m.advance, "crash": m.crash, "operate": m.toggleDrain,
			"choosePreset": m.changePreset, "shift": m.shiftDemand,
		})
	})
}

// Guards against a planner with stale copies that overwrites another planner's plan, and against revisions that do not
// increase by one.
func TestPlannersRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		populate(s, twoModels(), 4, "hall-a", "hall-b")
		planners := []*process{newProcess(s, "entry-1"), newProcess(s, "entry-2"), newProcess(s, "entry-3")}
		second, extra := 0, 0
		last := make(map[string]fighollow.Plan)
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				second += rapid.IntRange(1, 10).Draw(t, "seconds")
				p := rapid.SampledFrom(planners).Draw(t, "planner")
				if rapid.Bool().Draw(t, "current") {
					s.syncTo(p.cat)
				}
				p.runner.Step(context.Background(), start.Add(time.Duration(second)*time.Second))
			},
			"engine": func(*rapid.T) {
				extra++
				id := fmt.Sprintf("extra-%03d", extra)
				s.set(fighollow.KindInstance, id, fighollow.Instance{ID: id, Kind: fighollow.InstanceEngine, DataCentre: "hall-a", Region: "north"})
			},
			"lose": func(t *rapid.T) {
				s.faults[rapid.SampledFrom([]fighollow.Kind{fighollow.KindPlan, fighollow.KindPlannerLease}).Draw(t, "kind")] =
					rapid.SampledFrom([]string{"before", "after"}).Draw(t, "when")
			},
			"arrive": func(*rapid.T) {
				writes := s.delayed
				s.delayed = nil
				for _, write := range writes {
					write()
				}
			},
			"": func(t *rapid.T) {
				for _, dc := range []string{"hall-a", "hall-b"} {
					var plan fighollow.Plan
					_ = json.Unmarshal(s.objects[catalog.Key{Kind: fighollow.KindPlan, Name: dc}].Value, &plan)
					checkSuccessor(t, last[dc], plan)
					last[dc] = plan
				}
			},
		})
	})
}

func checkSuccessor(t *rapid.T, old, plan fighollow.Plan) {
	if plan.Revision == old.Revision && plan.WriteID == old.WriteID {
		return
	}
	if plan.Revision != old.Revision+1 {
		t.Fatalf("revision %d after %d", plan.Revision, old.Revision)
	}
	for id, a := range old.Engines {
		if b, ok := plan.Engines[id]; !ok || b.EqualIgnoringFence(a) && b.Fence != a.Fence || !b.EqualIgnoringFence(a) && b.Fence != plan.Revision {
			t.Fatalf("%s: %+v became %+v in revision %d", id, a, b, plan.Revision)
		}
	}
}

func fleetInput(engines, models int) planner.Input {
	in := planner.Input{Models: make(map[string]fighollow.Model), Plans: make(map[string]fighollow.Plan),
		Demand: make(map[string]demand.Estimate), PresetVersion: 1}
	for i := range models {
		name := fmt.Sprintf("model-%02d", i)
		in.Preset.Models = append(in.Preset.Models, fighollow.PresetModel{Model: name, ModelVersion: "1", MinEngines: 1, Disaggregated: true, PrefillShare: 0.35})
		rate := demand.Rate{Prefill: 100_000 + 8000*float64(i%7), Decode: 30_000}
		in.Demand[name] = demand.Estimate{Fast: rate, Slow: rate}
	}
	for i := range engines {
		in.Engines = append(in.Engines, planner.Engine{ID: fmt.Sprintf("engine-%04d", i), DataCentre: fmt.Sprintf("dc-%02d", i%11)})
	}
	return in
}

// BenchmarkPlan measures a planning step for 1500 engines and 39 models: the first plan, and a step during a demand shift.
func BenchmarkPlan(b *testing.B) {
	b.Run("first", func(b *testing.B) {
		b.ReportAllocs()
		in := fleetInput(1500, 39)
		for range b.N {
			planner.NewPlanner(planner.Policy{}).Decide(start, in)
		}
	})
	b.Run("shift", func(b *testing.B) {
		b.ReportAllocs()
		in := fleetInput(1500, 39)
		p := planner.NewPlanner(planner.Policy{})
		in.Plans = p.Decide(start, in).Plans
		p.Decide(start, in)
		for name, e := range in.Demand {
			if len(name)%2 == 0 || name[len(name)-1]%2 == 0 {
				e.Slow.Prefill *= 2
				e.Slow.Decode /= 2
				in.Demand[name] = e
			}
		}
		changes := 0
		for range b.N {
			changes = len(p.Decide(start.Add(10*time.Minute), in).Changes)
		}
		b.ReportMetric(float64(changes), "changes")
	})
}
