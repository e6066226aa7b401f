package roles

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/lease"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// fakeStore is a store with a lease and a preset in force.
type fakeStore struct {
	fighollow.ObjectStore
	mu        sync.Mutex
	version   uint64
	value     json.RawMessage
	loseReply bool                            // the next write takes effect, but its reply is lost
	inForce   fighollow.Object                // the preset in force; version 0 if there is none
	onPut     func(ctx context.Context) error // called before each write, which is of unknown outcome if it fails; nil for none
}

func (s *fakeStore) Get(_ context.Context, kind fighollow.Kind, _ string) (fighollow.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == fighollow.KindInForce {
		if s.inForce.Version == 0 {
			return fighollow.Object{}, fighollow.ErrNotFound
		}
		return s.inForce, nil
	}
	if s.version == 0 {
		return fighollow.Object{}, fighollow.ErrNotFound
	}
	return fighollow.Object{Version: s.version, Value: s.value}, nil
}

func (s *fakeStore) Put(ctx context.Context, o fighollow.Object, expected uint64) (uint64, error) {
	if s.onPut != nil && s.onPut(ctx) != nil {
		return 0, fighollow.ErrUnknownOutcome
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if expected != s.version {
		return 0, fighollow.ErrConflict
	}
	s.version++
	s.value = o.Value
	if s.loseReply {
		s.loseReply = false
		return 0, fighollow.ErrUnknownOutcome
	}
	return s.version, nil
}

// fakeControl counts and carries out orders. Engines in unanswered neither carry out an order nor reply to it.
type fakeControl struct {
	mu         sync.Mutex
	roles      map[string]fighollow.Role
	unanswered map[string]bool
	orders     map[string]int
	reports    int
}

func (c *fakeControl) Report(_ context.Context, u fighollow.Upstream) (fighollow.EngineReport, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports++
	return fighollow.EngineReport{Role: c.roles[u.ID]}, nil
}

func (c *fakeControl) Order(_ context.Context, u fighollow.Upstream, o fighollow.RoleOrder) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders[u.ID]++
	if c.unanswered[u.ID] {
		return fighollow.ErrUnknownOutcome
	}
	c.roles[u.ID] = o.Role
	return nil
}

func newTestRunner(engines int) (*Runner, *fakeStore, *fakeControl) {
	store := &fakeStore{}
	control := &fakeControl{roles: make(map[string]fighollow.Role), unanswered: make(map[string]bool), orders: make(map[string]int)}
	var ups []fighollow.Upstream
	for i := range engines {
		u := fighollow.Upstream{ID: fmt.Sprintf("e%03d", i), DataCentre: "a"}
		control.roles[u.ID] = fighollow.RoleDecode
		ups = append(ups, u)
	}
	routing := &fighollow.Routing{Services: map[string]fighollow.ServiceTraits{"m": {Name: "m", Engine: &traits}}}
	holder := lease.New(lease.Options{Self: "n1", Duration: 3 * time.Second}, store, zerolog.Nop())
	r := New(Options{Self: "n1"}, holder, store, control, func() *fighollow.Routing { return routing },
		func(string) []fighollow.Upstream { return append([]fighollow.Upstream(nil), ups...) }, zerolog.Nop())
	return r, store, control
}

// Guards against a second order to an engine while an earlier one with an unknown outcome may still be carried out.
func TestOrderWithoutAnswerIsNotRepeated(t *testing.T) {
	r, _, control := newTestRunner(6)
	for id := range control.roles {
		control.unanswered[id] = true
	}
	for range 5 {
		qt.Assert(t, r.acquireOrRenew(context.Background()), qt.IsTrue)
		r.round(context.Background())
	}
	for id, n := range control.orders {
		qt.Assert(t, n, qt.Equals, 1, qt.Commentf("%s", id))
	}
	qt.Assert(t, len(control.orders) > 0, qt.IsTrue)
}

// Guards against orders by an entry that cannot tell whether it still holds the lease, because the reply to its
// renewal was lost.
func TestLostReplyToRenewalEndsTheTerm(t *testing.T) {
	r, store, _ := newTestRunner(2)
	qt.Assert(t, r.acquireOrRenew(context.Background()), qt.IsTrue)
	store.loseReply = true
	qt.Assert(t, r.acquireOrRenew(context.Background()), qt.IsFalse)
	// The write took effect, so the next read returns this entry as the holder.
	qt.Assert(t, r.acquireOrRenew(context.Background()), qt.IsTrue)
	fence, ok := r.lease.Fence(0)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, fence, qt.Equals, uint64(3))
}

// Guards against polling that costs an entry more than it may spend in a large fleet.
func TestReportsOfALargeFleetAreBounded(t *testing.T) {
	r, _, control := newTestRunner(300)
	for round := 1; round <= 5; round++ {
		r.round(context.Background())
		qt.Assert(t, control.reports, qt.Equals, round*maxReportsPerRound)
	}
	qt.Assert(t, len(r.reports), qt.Equals, 300)
}

// Guards against orders that are sent again because the engine's report is older than the first one, in a fleet whose reports take several
// rounds to read.
func TestOrdersOfALargeFleetAreSentOnce(t *testing.T) {
	r, _, control := newTestRunner(300)
	qt.Assert(t, r.acquireOrRenew(context.Background()), qt.IsTrue)
	for range 30 {
		qt.Assert(t, r.acquireOrRenew(context.Background()), qt.IsTrue)
		r.round(context.Background())
	}
	prefill := 0
	for id, role := range control.roles {
		qt.Check(t, control.orders[id] <= 1, qt.IsTrue, qt.Commentf("%d orders to %s", control.orders[id], id))
		if role == fighollow.RolePrefill {
			prefill++
		}
	}
	qt.Assert(t, prefill, qt.Equals, 201)
}

// Guards against a policy that does not follow the preset in force, and against one that is replaced by an older or
// unreadable preset.
func TestPolicyOfThePresetInForce(t *testing.T) {
	store := &fakeStore{}
	r := New(Options{Self: "n1"}, nil, store, nil, nil, nil, zerolog.Nop())
	ctx := context.Background()
	putInForce := func(version uint64, value string) {
		store.inForce = fighollow.Object{Version: version, Value: json.RawMessage(value)}
		r.readPreset(ctx)
	}
	r.readPreset(ctx)
	qt.Assert(t, r.policy.RoleChangeWeight, qt.Equals, 0.0)
	putInForce(5, `{"preset": {"name": "few", "policy": {"roleChangeWeight": 3}}}`)
	qt.Assert(t, r.policy.RoleChangeWeight, qt.Equals, 3.0)
	putInForce(4, `{"preset": {"name": "old", "policy": {"roleChangeWeight": 1}}}`)
	qt.Assert(t, r.policy.RoleChangeWeight, qt.Equals, 3.0)
	putInForce(6, `"?"`)
	qt.Assert(t, r.policy.RoleChangeWeight, qt.Equals, 3.0)
}

// Guards against a planned stop that comes while the lease is renewed, and after which no other entry can act until the lease has expired.
func TestStopDuringARenewalReleasesTheLease(t *testing.T) {
	r, store, _ := newTestRunner(2)
	r.opts.Release = true
	ctx, stop := context.WithCancel(t.Context())
	writes := 0
	store.onPut = func(ctx context.Context) error {
		if writes++; writes == 2 {
			stop()
			time.Sleep(20 * time.Millisecond) // the write is on its way
		}
		return ctx.Err()
	}
	r.Run(ctx)
	var lease struct{ Released bool }
	qt.Assert(t, json.Unmarshal(store.value, &lease), qt.IsNil)
	qt.Assert(t, lease.Released, qt.IsTrue, qt.Commentf("%s", store.value))
}
