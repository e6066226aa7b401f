package gateway_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/internal/gateway"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// historyStore is an object store that keeps its history, fails, and comes back from copies like the platform's store. Its
// objects are kept with their revisions and handed out with their versions.
type historyStore struct {
	fighollow.ObjectStore
	mu        sync.Mutex
	era       uint64
	answered  uint64 // era of the last answer
	version   uint64 // revision
	objects   map[fighollow.Kind]map[string]fighollow.Object
	history   []fighollow.Object
	compacted uint64        // watches from before this revision have expired
	changed   chan struct{} // closed at each change
	down      bool
	lists     int
	copied    func() // restores the last copy
}

func (s *historyStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered
}

// copy keeps the content for a later comeBack.
func (s *historyStore) copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	version, history, objects := s.version, slices.Clone(s.history), make(map[fighollow.Kind]map[string]fighollow.Object)
	for kind, of := range s.objects {
		objects[kind] = maps.Clone(of)
	}
	s.copied = func() {
		s.version, s.history, s.objects = version, slices.Clone(history), make(map[fighollow.Kind]map[string]fighollow.Object)
		for kind, of := range objects {
			s.objects[kind] = maps.Clone(of)
		}
	}
}

// comeBack replaces the content by the last copy and begins a new era.
func (s *historyStore) comeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied()
	s.era++
	s.compacted = min(s.compacted, s.version)
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer returns an object as the store hands it out now.
func (s *historyStore) answer(o fighollow.Object) fighollow.Object {
	o.Version = fighollow.NewVersion(s.era, o.Version)
	return o
}

func newHistoryStore() *historyStore {
	return &historyStore{objects: make(map[fighollow.Kind]map[string]fighollow.Object), changed: make(chan struct{})}
}

// write puts an object, or removes it when value is nil.
func (s *historyStore) write(kind fighollow.Kind, name string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	o := fighollow.Object{Kind: kind, Name: name, Version: s.version, Deleted: value == nil}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]fighollow.Object)
	}
	if value == nil {
		delete(s.objects[kind], name)
	} else {
		b, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		o.Value = b
		s.objects[kind][name] = o
	}
	s.history = append(s.history, o)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *historyStore) List(_ context.Context, kind fighollow.Kind) ([]fighollow.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.down {
		return nil, 0, fighollow.ErrUnavailable
	}
	var out []fighollow.Object
	for _, o := range s.objects[kind] {
		out = append(out, s.answer(o))
	}
	s.answered = s.era
	return out, fighollow.NewVersion(s.era, s.version), nil
}

func (s *historyStore) Watch(ctx context.Context, kind fighollow.Kind, after uint64) ([]fighollow.Object, uint64, error) {
	end := time.Now().Add(2 * time.Second)
	for {
		s.mu.Lock()
		down, changed, version := s.down, s.changed, fighollow.NewVersion(s.era, s.version)
		expired := fighollow.VersionEra(after) != s.era || fighollow.VersionRevision(after) < s.compacted
		var out []fighollow.Object
		for _, o := range s.history {
			if o = s.answer(o); o.Kind == kind && o.Version > after {
				out = append(out, o)
			}
		}
		if !down {
			s.answered = s.era
		}
		s.mu.Unlock()
		switch {
		case down:
			return nil, after, fighollow.ErrUnavailable
		case expired:
			return nil, after, fighollow.ErrWatchExpired
		case len(out) > 0:
			return out, version, nil
		}
		t := time.NewTimer(time.Until(end))
		select {
		case <-changed:
			t.Stop()
		case <-t.C:
			return nil, version, nil
		case <-ctx.Done():
			t.Stop()
			return nil, after, ctx.Err()
		}
	}
}

// changeStore is a historyStore whose changes can be read without waiting.
type changeStore struct{ *historyStore }

func (s changeStore) Changes(_ context.Context, kind fighollow.Kind, after uint64) ([]fighollow.Object, uint64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	objects, version, err := s.Watch(ctx, kind, after)
	if errors.Is(err, context.Canceled) {
		return nil, after, nil
	}
	return objects, version, err
}

func (s *historyStore) set(f func(s *historyStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// decodeJSON decodes the objects that the test writes. A number in place of an object fails to decode.
var decodeJSON = gateway.Decoder{
	Routing: func(o fighollow.Object) (*fighollow.Routing, error) {
		r := new(fighollow.Routing)
		return r, json.Unmarshal(o.Value, r)
	},
	Upstream: func(o fighollow.Object) (fighollow.Upstream, error) {
		var u fighollow.Upstream
		err := json.Unmarshal(o.Value, &u)
		return u, err
	},
}

// storeStep is one change or fault of the store.
type storeStep struct {
	after    time.Duration
	op       string
	upstream fighollow.Upstream
	version  uint64 // of the configuration
}

func drawStep(t *rapid.T) storeStep {
	return storeStep{
		after: time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond,
		op: rapid.SampledFrom([]string{
			"put", "put", "put", "remove", "garbage", "routing", "badRouting", "forget", "down", "up", "copy", "return",
		}).Draw(t, "what"),
		upstream: fighollow.Upstream{
			ID: fmt.Sprint("e", rapid.IntRange(0, 5).Draw(t, "id")), Service: rapid.SampledFrom([]string{"one", "two"}).Draw(t, "service"),
			Address: "a", DataCentre: "a", Draining: rapid.Bool().Draw(t, "draining"),
		},
		version: rapid.Uint64Range(1, 30).Draw(t, "version"),
	}
}

// Guards against missed changes when the store is down, compacts its history, comes back from an older copy, or holds
// undecodable objects and versions that decrease. The oracle is what the test wrote.
func TestFollowerEndsWithWhatTheStoreHas(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 60).Draw(rt, "steps")
		readsChanges := rapid.Bool().Draw(rt, "readsChanges")
		var fault string
		synctest.Test(t, func(*testing.T) { fault = runStoreSteps(steps, readsChanges) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// runStoreSteps runs a follower on a store that goes through the steps, and that reads changes without waiting or not. It returns a description of the fault, or an empty
// string.
func runStoreSteps(steps []storeStep, readsChanges bool) string {
	s := newHistoryStore()
	var store fighollow.ObjectStore = s
	if readsChanges {
		store = changeStore{s}
	}
	fleet := placement.New(placement.Options{DataCentre: "a", DrainTime: 2 * time.Second})
	g := gateway.New(gateway.Options{}, fleet, nil, zerolog.Nop())
	f := gateway.NewFollower(store, decodeJSON, g, fleet, gateway.Freshness{}, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	defer func() {
		cancel()
		wg.Wait()
	}()
	o := &owners{store: s, fleet: fleet, want: make(map[string]fighollow.Upstream), seen: make(map[string]int64)}
	s.copy()
	var inForce uint64
	for i, step := range steps {
		time.Sleep(step.after)
		if fault := o.step(int64(i), step); fault != "" {
			return fault
		}
		if r := g.Routing(); r != nil {
			if r.Version < inForce {
				return fmt.Sprintf("the configuration went back from %d to %d", inForce, r.Version)
			}
			inForce = r.Version
		}
	}
	s.set(func(s *historyStore) { s.down = false })
	time.Sleep(8 * time.Second) // long enough for a pending watch to end, a failed call to be repeated, or a copy to be trusted
	if got := o.known(); !maps.Equal(got, o.want) {
		return fmt.Sprintf("the fleet has %v, the store %v", got, o.want)
	}
	if r := g.Routing(); o.newest > 0 && (r == nil || r.Version < o.newest) {
		return fmt.Sprintf("version %d is not in force", o.newest)
	}
	return ""
}

// owners are the operator and the upstreams, who write their objects to the store.
type owners struct {
	store  *historyStore
	fleet  *placement.Fleet
	want   map[string]fighollow.Upstream // what the upstreams last wrote
	seen   map[string]int64              // newest run of each upstream that the fleet had after some step
	newest uint64                        // version of the configuration; 0 if it is undecodable or there is none
}

// known returns the fleet's upstreams by id.
func (o *owners) known() map[string]fighollow.Upstream {
	got := make(map[string]fighollow.Upstream)
	for _, u := range slices.Concat(o.fleet.Upstreams("one"), o.fleet.Upstreams("two")) {
		got[u.ID] = u
		o.seen[u.ID] = max(o.seen[u.ID], u.StartedMs)
	}
	return got
}

func (o *owners) step(i int64, step storeStep) (fault string) {
	s, u := o.store, step.upstream
	old, exists := o.want[u.ID]
	switch step.op {
	case "put":
		u.StartedMs = old.StartedMs
		if !exists || old.Draining && !u.Draining {
			u.StartedMs = i + 1 // only another run of the upstream takes work again
		}
		o.want[u.ID] = u
		s.write(fighollow.KindInstance, u.ID, u)
	case "remove":
		delete(o.want, u.ID)
		s.write(fighollow.KindInstance, u.ID, nil)
	case "garbage":
		delete(o.want, u.ID)
		s.write(fighollow.KindInstance, u.ID, 7)
	case "routing":
		o.newest = step.version
		s.write(fighollow.KindRouting, fighollow.RoutingName, fighollow.Routing{Version: step.version})
	case "badRouting":
		o.newest = 0
		s.write(fighollow.KindRouting, fighollow.RoutingName, 7)
	case "forget":
		s.set(func(s *historyStore) { s.history, s.compacted = nil, s.version })
	case "down":
		s.set(func(s *historyStore) { s.down = true })
	case "up":
		s.set(func(s *historyStore) { s.down = false })
	case "copy":
		s.copy()
	case "return":
		return o.comeBack()
	}
	o.known()
	return ""
}

// comeBack lets the store come back from its copy and writes again what is missing in it. Meanwhile the fleet must keep the
// upstreams that it had, and must not believe the copy about those that drain or have left.
func (o *owners) comeBack() (fault string) {
	time.Sleep(3 * time.Second) // what was written before is known, unless the store is down
	before := o.known()
	seen := maps.Clone(o.seen)
	o.store.comeBack()
	for i := range 50 {
		time.Sleep(100 * time.Millisecond)
		now := o.known()
		for id, u := range before {
			if want, ok := o.want[id]; ok && want == u && now[id].ID == "" {
				return fmt.Sprintf("%s was dropped %d ms after the return", id, 100*i)
			}
			if u.Draining && now[id].ID != "" && now[id].StartedMs == u.StartedMs && !now[id].Draining {
				return fmt.Sprintf("%s is not draining any more %d ms after the return", id, 100*i)
			}
		}
		if i == 15 {
			for id, u := range o.want {
				o.store.write(fighollow.KindInstance, id, u)
			}
			if o.newest > 0 {
				o.store.write(fighollow.KindRouting, fighollow.RoutingName, fighollow.Routing{Version: o.newest})
			}
		}
		for id, u := range now {
			if _, ok := o.want[id]; !ok && before[id].ID == "" && u.StartedMs <= seen[id] {
				return fmt.Sprintf("%s came back %d ms after the return", id, 100*i)
			}
		}
	}
	for id := range map[string]bool{"e0": true, "e1": true, "e2": true, "e3": true, "e4": true, "e5": true} {
		if _, ok := o.want[id]; !ok {
			o.store.write(fighollow.KindInstance, id, nil)
		}
	}
	return ""
}

// Guards against a follower that reads all objects again after each failed call: a long configuration that has not changed would take a small
// link away from everything else, and all entries' lists at once the store's.
func TestFollowerReadsOnlyChangesAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHistoryStore()
		s.write(fighollow.KindRouting, fighollow.RoutingName, fighollow.Routing{Version: 1})
		fleet := placement.New(placement.Options{DataCentre: "a"})
		g := gateway.New(gateway.Options{}, fleet, nil, zerolog.Nop())
		f := gateway.NewFollower(changeStore{s}, decodeJSON, g, fleet, gateway.Freshness{}, zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { f.Run(ctx) })
		time.Sleep(time.Second)
		var listed, lists int
		s.set(func(s *historyStore) { listed, s.down = s.lists, true })
		time.Sleep(4 * time.Second)
		s.set(func(s *historyStore) { s.down = false })
		s.write(fighollow.KindRouting, fighollow.RoutingName, fighollow.Routing{Version: 2})
		time.Sleep(time.Second)
		qt.Check(t, g.Routing().Version, qt.Equals, uint64(2))
		s.set(func(s *historyStore) { lists = s.lists })
		qt.Check(t, lists, qt.Equals, listed)
		// What was lost with the history is in a list only.
		s.set(func(s *historyStore) { s.down = true })
		time.Sleep(4 * time.Second)
		s.write(fighollow.KindRouting, fighollow.RoutingName, fighollow.Routing{Version: 3})
		s.set(func(s *historyStore) { s.down, s.history, s.compacted = false, nil, s.version })
		time.Sleep(time.Second)
		qt.Check(t, g.Routing().Version, qt.Equals, uint64(3))
		s.set(func(s *historyStore) { lists = s.lists })
		qt.Check(t, lists > listed, qt.IsTrue)
		cancel()
		wg.Wait()
	})
}

// Guards against a follower that reports ready although its store has never answered, and against a SinceLastAnswer that
// then counts from the Unix epoch or from a failed call instead of from the follower's start.
func TestFollowerWithoutAStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHistoryStore()
		s.down = true
		fleet := placement.New(placement.Options{DataCentre: "a"})
		g := gateway.New(gateway.Options{}, fleet, nil, zerolog.Nop())
		f := gateway.NewFollower(s, decodeJSON, g, fleet, gateway.Freshness{}, zerolog.Nop())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		f.Run(ctx)
		qt.Assert(t, errors.Is(ctx.Err(), context.DeadlineExceeded), qt.IsTrue)
		qt.Assert(t, f.Ready(), qt.IsFalse)
		qt.Assert(t, f.SinceLastAnswer(time.Now()), qt.Equals, 5*time.Second)
	})
}
