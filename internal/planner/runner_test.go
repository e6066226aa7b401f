package planner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/planner"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// store is an in-memory object store that can be unavailable, lose responses and delay writes.
type store struct {
	fighollow.ObjectStore // methods that the planner does not use
	mu                    sync.Mutex
	version               uint64
	objects               map[catalog.Key]fighollow.Object
	down                  bool
	faults                map[fighollow.Kind]string // "after": applied, response lost; "before": the write is delayed
	delayed               []func()
	puts                  int
}

func newStore() *store {
	return &store{objects: make(map[catalog.Key]fighollow.Object), faults: make(map[fighollow.Kind]string)}
}

func (s *store) Get(_ context.Context, kind fighollow.Kind, name string) (fighollow.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return fighollow.Object{}, fighollow.ErrUnavailable
	}
	o, ok := s.objects[catalog.Key{Kind: kind, Name: name}]
	if !ok {
		return o, fighollow.ErrNotFound
	}
	return o, nil
}

func (s *store) Put(_ context.Context, o fighollow.Object, expected uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, fighollow.ErrUnavailable
	}
	s.puts++
	fault := s.faults[o.Kind]
	delete(s.faults, o.Kind)
	if fault == "before" {
		s.delayed = append(s.delayed, func() { _, _ = s.Put(context.Background(), o, expected) })
		return 0, fighollow.ErrUnknownOutcome
	}
	key := catalog.Key{Kind: o.Kind, Name: o.Name}
	if s.objects[key].Version != expected {
		return 0, fighollow.ErrConflict
	}
	s.version++
	o.Version = s.version
	s.objects[key] = o
	if fault == "after" {
		return 0, fighollow.ErrUnknownOutcome
	}
	return o.Version, nil
}

func (s *store) set(kind fighollow.Kind, name string, v any) {
	raw, _ := json.Marshal(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.objects[catalog.Key{Kind: kind, Name: name}] = fighollow.Object{Kind: kind, Name: name, Version: s.version, Value: raw}
}

func (s *store) syncTo(c *catalog.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.objects {
		c.Apply(o)
	}
}

func (s *store) plan(t *testing.T, dc string) fighollow.Plan {
	t.Helper()
	var p fighollow.Plan
	o, err := s.Get(context.Background(), fighollow.KindPlan, dc)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, json.Unmarshal(o.Value, &p), qt.IsNil)
	return p
}

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// process is an entry that competes for the planner lease.
type process struct {
	cat    *catalog.Catalog
	runner *planner.Runner
}

func newProcess(s *store, id string) *process {
	n := 0
	cat := catalog.New()
	opts := planner.Options{Holder: id, Region: "north", NewID: func() string { n++; return fmt.Sprint(id, "-", n) }}
	return &process{cat: cat, runner: planner.New(opts, s, cat, zerolog.Nop())}
}

// step brings the process's catalog up to date and makes one planning step.
func (p *process) step(s *store, second int) {
	s.syncTo(p.cat)
	p.runner.Step(context.Background(), start.Add(time.Duration(second)*time.Second))
}

func populate(s *store, preset fighollow.Preset, engines int, dcs ...string) {
	for i := range engines {
		id := fmt.Sprintf("engine-%02d", i)
		s.set(fighollow.KindInstance, id, fighollow.Instance{
			ID: id, Kind: fighollow.InstanceEngine, DataCentre: dcs[i%len(dcs)], Region: "north",
		})
	}
	s.set(fighollow.KindInForce, fighollow.InForceName, fighollow.InForce{Preset: preset})
}

func twoModels() fighollow.Preset {
	return fighollow.Preset{Name: "ordinary", Models: []fighollow.PresetModel{
		{Model: "memo", ModelVersion: "1", MinEngines: 2, Disaggregated: true, PrefillShare: 0.35},
		{Model: "summary", ModelVersion: "4", MinEngines: 1},
	}}
}

// Guards against a first plan that omits engines, places a model in one data centre only or ignores the preset's prefill
// share.
func TestInitialPlanFollowsPreset(t *testing.T) {
	s := newStore()
	populate(s, twoModels(), 18, "hall-a", "hall-b", "hall-c")
	s.set(fighollow.KindInstance, "other", fighollow.Instance{ID: "other", Kind: fighollow.InstanceEngine, DataCentre: "x", Region: "south"})
	s.set(fighollow.KindInstance, "broker", fighollow.Instance{ID: "broker", Kind: fighollow.InstanceService, DataCentre: "hall-a", Region: "north"})
	p := newProcess(s, "entry-1")
	for i := range 15 {
		p.step(s, i)
	}
	count := make(map[string]int)
	for _, dc := range []string{"hall-a", "hall-b", "hall-c"} {
		plan := s.plan(t, dc)
		qt.Assert(t, len(plan.Engines), qt.Equals, 6)
		qt.Assert(t, plan.Revision, qt.Equals, uint64(1))
		for _, a := range plan.Engines {
			qt.Assert(t, a.Fence, qt.Equals, uint64(1))
			count[a.Model+" "+string(a.Role)]++
			count[dc+" "+a.Model]++
		}
		qt.Assert(t, count[dc+" memo"], qt.Equals, 3)
	}
	qt.Assert(t, count["memo prefill"], qt.Equals, 3)
	qt.Assert(t, count["memo decode"], qt.Equals, 6)
	qt.Assert(t, count["summary both"], qt.Equals, 9)
	_, err := s.Get(context.Background(), fighollow.KindPlan, "x")
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrNotFound)
}

// Guards against a plan write at every step, which would exhaust the object API's write rate and distribute needless
// updates.
func TestUnchangedPlanIsNotWritten(t *testing.T) {
	s := newStore()
	populate(s, twoModels(), 6, "hall-a", "hall-b")
	p := newProcess(s, "entry-1")
	for i := range 60 {
		p.step(s, i)
	}
	qt.Assert(t, s.plan(t, "hall-a").Revision, qt.Equals, uint64(1))
	qt.Assert(t, s.puts < 25, qt.IsTrue, qt.Commentf("%d writes in 60 s", s.puts))
}

// Guards against a write that counts as failed, or takes effect twice, although only its response was lost or it was
// delayed.
func TestLostAnswerIsSettled(t *testing.T) {
	for _, lose := range []string{"after", "before"} {
		t.Run(lose, func(t *testing.T) {
			s := newStore()
			populate(s, twoModels(), 4, "hall-a")
			s.faults[fighollow.KindPlan], s.faults[fighollow.KindPlannerLease] = lose, lose
			p := newProcess(s, "entry-1")
			for i := range 15 {
				p.step(s, i)
			}
			for _, write := range s.delayed {
				write()
			}
			for i := range 5 {
				p.step(s, 20+i)
			}
			plan := s.plan(t, "hall-a")
			qt.Assert(t, plan.Revision, qt.Equals, uint64(1))
			qt.Assert(t, len(plan.Engines), qt.Equals, 4)
		})
	}
}

// Guards against a paused leaseholder that overwrites its successor's plan when it continues, and against two processes
// that hold the lease at the same time.
func TestPausedLeaseholderCannotOverwritePlan(t *testing.T) {
	s := newStore()
	populate(s, twoModels(), 4, "hall-a")
	first, second := newProcess(s, "entry-1"), newProcess(s, "entry-2")
	for i := range 10 {
		first.step(s, i)
	}
	for i := 10; i < 40; i++ { // first is paused
		second.step(s, i)
	}
	qt.Assert(t, second.runner.HoldsLease(), qt.IsTrue)
	s.set(fighollow.KindInstance, "engine-99", fighollow.Instance{ID: "engine-99", Kind: fighollow.InstanceEngine, DataCentre: "hall-a", Region: "north"})
	second.step(s, 41)
	want := s.plan(t, "hall-a")
	qt.Assert(t, want.Revision, qt.Equals, uint64(2))

	first.cat.Apply(fighollow.Object{Kind: fighollow.KindInstance, Name: "engine-98", Version: 1000,
		Value: json.RawMessage(`{"id":"engine-98","kind":"engine","dataCentre":"hall-a","region":"north"}`)})
	first.runner.Step(context.Background(), start.Add(42*time.Second)) // with a stale catalog
	qt.Assert(t, s.plan(t, "hall-a"), qt.DeepEquals, want)
	first.step(s, 43)
	qt.Assert(t, first.runner.HoldsLease(), qt.IsFalse)
}

// Guards against processes that overload the object API with retries during an outage, and that do not recover after it.
func TestOutageIsSurvived(t *testing.T) {
	s := newStore()
	populate(s, twoModels(), 4, "hall-a")
	p := newProcess(s, "entry-1")
	for i := range 10 {
		p.step(s, i)
	}
	s.down = true
	for i := 10; i < 200; i++ {
		p.step(s, i)
	}
	s.down = false
	s.set(fighollow.KindInstance, "engine-99", fighollow.Instance{ID: "engine-99", Kind: fighollow.InstanceEngine, DataCentre: "hall-a", Region: "north"})
	p.step(s, 201)
	qt.Assert(t, len(s.plan(t, "hall-a").Engines), qt.Equals, 5)
}
