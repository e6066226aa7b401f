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

// historyStore is an object store that keeps its history and fails like the platform's store.
type historyStore struct {
	fighollow.ObjectStore
	mu        sync.Mutex
	version   uint64
	objects   map[fighollow.Kind]map[string]fighollow.Object
	history   []fighollow.Object
	compacted uint64        // watches from before this version have expired
	changed   chan struct{} // closed at each change
	down      bool
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
	if s.down {
		return nil, 0, fighollow.ErrUnavailable
	}
	var out []fighollow.Object
	for _, o := range s.objects[kind] {
		out = append(out, o)
	}
	return out, s.version, nil
}

func (s *historyStore) Watch(ctx context.Context, kind fighollow.Kind, after uint64) ([]fighollow.Object, uint64, error) {
	end := time.Now().Add(2 * time.Second)
	for {
		s.mu.Lock()
		down, compacted, version, changed := s.down, s.compacted, s.version, s.changed
		var out []fighollow.Object
		for _, o := range s.history {
			if o.Kind == kind && o.Version > after {
				out = append(out, o)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			return nil, after, fighollow.ErrUnavailable
		case after < compacted:
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
			"put", "put", "put", "remove", "garbage", "routing", "badRouting", "forget", "down", "up",
		}).Draw(t, "what"),
		upstream: fighollow.Upstream{
			ID: fmt.Sprint("e", rapid.IntRange(0, 5).Draw(t, "id")), Service: rapid.SampledFrom([]string{"one", "two"}).Draw(t, "service"),
			Address: "a", DataCentre: "a", Draining: rapid.Bool().Draw(t, "draining"),
		},
		version: rapid.Uint64Range(1, 30).Draw(t, "version"),
	}
}

// Guards against missed changes when the store is down, compacts its history, or holds undecodable objects and versions that
// decrease. The oracle is what the test wrote.
func TestFollowerEndsWithWhatTheStoreHas(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 60).Draw(rt, "steps")
		var fault string
		synctest.Test(t, func(*testing.T) { fault = runStoreSteps(steps) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// runStoreSteps runs a follower on a store that goes through the steps. It returns a description of the fault, or an empty
// string.
func runStoreSteps(steps []storeStep) string {
	s := newHistoryStore()
	fleet := placement.New(placement.Options{DataCentre: "a", DrainTime: 2 * time.Second})
	g := gateway.New(gateway.Options{}, fleet, nil, zerolog.Nop())
	f := gateway.NewFollower(s, decodeJSON, g, fleet, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	defer func() {
		cancel()
		wg.Wait()
	}()
	want := make(map[string]fighollow.Upstream)
	var inForce, newest uint64
	for _, step := range steps {
		time.Sleep(step.after)
		id := step.upstream.ID
		switch step.op {
		case "put":
			want[id] = step.upstream
			s.write(fighollow.KindInstance, id, step.upstream)
		case "remove":
			delete(want, id)
			s.write(fighollow.KindInstance, id, nil)
		case "garbage":
			delete(want, id)
			s.write(fighollow.KindInstance, id, 7)
		case "routing":
			newest = step.version
			s.write(fighollow.KindRouting, fighollow.RoutingName, fighollow.Routing{Version: step.version})
		case "badRouting":
			newest = 0
			s.write(fighollow.KindRouting, fighollow.RoutingName, 7)
		case "forget":
			s.set(func(s *historyStore) { s.history, s.compacted = nil, s.version })
		case "down":
			s.set(func(s *historyStore) { s.down = true })
		case "up":
			s.set(func(s *historyStore) { s.down = false })
		}
		if r := g.Routing(); r != nil {
			if r.Version < inForce {
				return fmt.Sprintf("the configuration went back from %d to %d", inForce, r.Version)
			}
			inForce = r.Version
		}
	}
	s.set(func(s *historyStore) { s.down = false })
	time.Sleep(3 * time.Second) // long enough for a pending watch to end or a failed call to be repeated
	got := make(map[string]fighollow.Upstream)
	for _, u := range slices.Concat(fleet.Upstreams("one"), fleet.Upstreams("two")) {
		got[u.ID] = u
	}
	if !maps.Equal(got, want) {
		return fmt.Sprintf("the fleet has %v, the store %v", got, want)
	}
	if r := g.Routing(); newest > 0 && (r == nil || r.Version < newest) {
		return fmt.Sprintf("version %d is not in force", newest)
	}
	return ""
}

// Guards against a follower that reports ready although its store has never answered, and against a SinceLastAnswer that
// then counts from the Unix epoch or from a failed call instead of from the follower's start.
func TestFollowerWithoutAStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHistoryStore()
		s.down = true
		fleet := placement.New(placement.Options{DataCentre: "a"})
		g := gateway.New(gateway.Options{}, fleet, nil, zerolog.Nop())
		f := gateway.NewFollower(s, decodeJSON, g, fleet, zerolog.Nop())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		f.Run(ctx)
		qt.Assert(t, errors.Is(ctx.Err(), context.DeadlineExceeded), qt.IsTrue)
		qt.Assert(t, f.Ready(), qt.IsFalse)
		qt.Assert(t, f.SinceLastAnswer(time.Now()), qt.Equals, 5*time.Second)
	})
}
