package lease

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// memoryStore holds the lease and counts its calls.
type memoryStore struct {
	fighollow.ObjectStore
	version      uint64
	value        json.RawMessage
	reads, write int
}

func (s *memoryStore) Get(context.Context, fighollow.Kind, string) (fighollow.Object, error) {
	s.reads++
	if s.version == 0 {
		return fighollow.Object{}, fighollow.ErrNotFound
	}
	return fighollow.Object{Version: s.version, Value: s.value}, nil
}

func (s *memoryStore) Put(_ context.Context, o fighollow.Object, expected uint64) (uint64, error) {
	s.write++
	if expected != s.version {
		return 0, fighollow.ErrConflict
	}
	s.version, s.value = s.version+1, o.Value
	return s.version, nil
}

type noChoice struct{}

func (noChoice) Heard(uint64, int64) {}
func (noChoice) ChosenMs() int64     { return 0 }

// Guards against a release that other entries do not use at once, that the releasing entry takes back, or that comes while an act
// that was allowed may still arrive; and against a record or a number of calls that earlier versions do not know.
func TestReleaseHandsTheLeaseOver(t *testing.T) {
	ctx, store := context.Background(), &memoryStore{}
	now := time.Minute
	holder := func(name string) *Holder {
		return New(Options{Self: name, Duration: leaseTime, Clock: func() time.Duration { return now }}, store, zerolog.Nop())
	}
	a, b := holder("a"), holder("b")
	now += time.Minute
	qt.Assert(t, a.Step(ctx, noChoice{}), qt.IsTrue)
	qt.Assert(t, string(store.value), qt.Equals, `{"holder":"a","round":120000000000}`)
	qt.Assert(t, b.Step(ctx, noChoice{}), qt.IsFalse)
	qt.Assert(t, b.HolderName(), qt.Equals, "a")
	qt.Assert(t, store.reads, qt.Equals, 2)
	qt.Assert(t, store.write, qt.Equals, 1)

	g, ok := a.FenceUpTo(10*time.Millisecond, 50*time.Millisecond)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, g, qt.Equals, Grant{Token: 1, Tenure: 1, Time: 50 * time.Millisecond})
	start := time.Now()
	a.Release(ctx, noChoice{})
	qt.Assert(t, time.Since(start) >= 50*time.Millisecond, qt.IsTrue, qt.Commentf("the act may still arrive"))
	_, ok = a.Fence(0)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, a.Step(ctx, noChoice{}), qt.IsFalse)
	restarted := holder("a")
	qt.Assert(t, restarted.Step(ctx, noChoice{}), qt.IsFalse)
	qt.Assert(t, b.Step(ctx, noChoice{}), qt.IsTrue)
	qt.Assert(t, b.HolderName(), qt.Equals, "b")
}

// Guards against an act that outlasts the lease, and against a tenure that goes on although another entry can have held the lease.
func TestGrants(t *testing.T) {
	ctx, store := context.Background(), &memoryStore{}
	now := time.Minute
	h := New(Options{Self: "a", Duration: leaseTime, Clock: func() time.Duration { return now }}, store, zerolog.Nop())
	qt.Assert(t, h.Step(ctx, noChoice{}), qt.IsTrue)
	now += time.Second
	g, ok := h.FenceUpTo(300*time.Millisecond, 1200*time.Millisecond)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, g.Time, qt.Equals, 800*time.Millisecond-1)
	_, ok = h.Fence(900 * time.Millisecond)
	qt.Assert(t, ok, qt.IsFalse)
	now += 600 * time.Millisecond
	_, ok = h.FenceUpTo(300*time.Millisecond, 1200*time.Millisecond)
	qt.Assert(t, ok, qt.IsFalse)

	for _, c := range []struct {
		pause  time.Duration
		tenure uint64
	}{{2 * time.Second, 1}, {5 * time.Second, 4}} { // others wait for 5.5 s
		h.markLost()
		now += c.pause
		qt.Assert(t, h.Step(ctx, noChoice{}), qt.IsTrue)
		qt.Assert(t, h.Step(ctx, noChoice{}), qt.IsTrue)
		g, ok = h.FenceUpTo(0, 0)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, g.Tenure, qt.Equals, c.tenure)
	}
}

// Guards against an act that is allowed while a release waits for the acts before it: it could arrive after the next holder's first one.
func TestReleaseAllowsNoFurtherAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		h := New(Options{
			Self: "a", Duration: leaseTime, Clock: func() time.Duration { return time.Minute + time.Since(start) },
		}, &memoryStore{}, zerolog.Nop())
		qt.Assert(t, h.Step(t.Context(), noChoice{}), qt.IsTrue)
		_, ok := h.Fence(time.Second)
		qt.Assert(t, ok, qt.IsTrue)
		go h.Release(t.Context(), noChoice{})
		time.Sleep(100 * time.Millisecond)
		_, ok = h.Fence(0)
		qt.Assert(t, ok, qt.IsFalse)
	})
}
