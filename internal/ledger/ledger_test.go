package ledger_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/ledger"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// store is an object API that holds the ledger object only and can lose the replies to writes.
type store struct {
	fighollow.ObjectStore
	mu          sync.Mutex
	object      fighollow.Object
	lostReplies int  // number of replies to writes still to lose
	applyLost   bool // a write whose reply is lost takes effect
}

func (s *store) Get(context.Context, fighollow.Kind, string) (fighollow.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.object.Version == 0 {
		return fighollow.Object{}, fighollow.ErrNotFound
	}
	return s.object, nil
}

func (s *store) Put(_ context.Context, o fighollow.Object, expected uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if expected != s.object.Version {
		return 0, fighollow.ErrConflict
	}
	lost := s.lostReplies > 0
	if lost {
		s.lostReplies--
	}
	if !lost || s.applyLost {
		o.Version = expected + 1
		s.object = o
	}
	if lost {
		return 0, fighollow.ErrUnknownOutcome
	}
	return s.object.Version, nil
}

// entry is one process with a Ledger on a link of its own.
type entry struct {
	*ledger.Ledger
	cat           *catalog.Catalog
	listener      *link.Listener
	mu            sync.Mutex
	loseNextClaim bool // close the link instead of replying to the next claim
}

func (*entry) ServeCall(context.Context, *link.Call, *link.ServerStream) {}
func (*entry) HandleTell(*link.Conn, string, []byte)                     {}
func (*entry) HandleOpen(*link.Conn)                                     {}
func (*entry) HandleClose(*link.Conn, error)                             {}

func (e *entry) ServeAsk(ctx context.Context, c *link.Conn, topic string, body []byte) (any, error) {
	out, err := e.Ledger.ServeAsk(ctx, c, topic, body)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loseNextClaim && topic == ledger.TopicClaim {
		e.loseNextClaim = false
		c.Close()
	}
	return out, err
}

// fleet is a set of entries that share an object API.
type fleet struct {
	store   *store
	entries map[string]*entry
	members []membership.Member
}

const uptimeMs = 60_000 // simulated uptime of a fleet's entries, so that they may grant keys created now

func newFleet(t *testing.T, ids ...string) *fleet {
	f := &fleet{store: &store{}, entries: make(map[string]*entry)}
	for _, id := range ids {
		e := &entry{cat: catalog.New()}
		self := link.Hello{ID: id, Incarnation: time.Now().UnixMilli() - uptimeMs, Region: region}
		l, err := link.Listen("127.0.0.1:0", self, e, link.Options{}, nil)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(l.Close)
		e.listener = l
		f.members = append(f.members, membership.Member{
			ID: id, Kind: fighollow.InstanceEntry, Link: l.Addr(), State: membership.Alive,
		})
		e.Ledger = ledger.New(ledger.Options{AskTimeout: 500 * time.Millisecond}, self, f.store, e.cat,
			func() []membership.Member { return f.members }, zerolog.Nop())
		f.entries[id] = e
	}
	m := ledger.Maintainer{
		Store: f.store, Catalog: catalog.New(), Region: region, Entries: func() []string { return ids }, Log: zerolog.Nop(),
	}
	qt.Assert(t, m.Step(ctx(t), time.Now().Add(-10*time.Second)), qt.IsNil)
	for _, e := range f.entries {
		qt.Assert(t, e.Run(ctx(t)), qt.IsNil)
	}
	f.syncCatalogs()
	return f
}

// syncCatalogs copies the current ledger object to the catalog of every entry.
func (f *fleet) syncCatalogs() {
	o, _ := f.store.Get(context.Background(), "", "")
	for _, e := range f.entries {
		e.cat.Apply(o)
	}
}

// heldBy returns a new key whose holder is the entry with this id.
func (f *fleet) heldBy(t *testing.T, id string) string {
	var e ledger.Epochs
	_, err := f.entries[id].cat.Decode(fighollow.KindLedger, region, &e)
	qt.Assert(t, err, qt.IsNil)
	for {
		text := uuid.Must(uuid.NewV7()).String()
		key, _ := ledger.ParseKey(text)
		if a, ok := e.Lookup(workspace, key); ok && a.Holder == id {
			return text
		}
	}
}

func ctx(t *testing.T) context.Context {
	c, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return c
}

var testWorkspace = fighollow.Workspace{Name: workspace}

// claim returns "granted", "answer" or the code of the refusal.
func (e *entry) claim(t *testing.T, key, request string) string {
	a, err := e.Claim(ctx(t), time.Now(), testWorkspace, key, request)
	if err == nil && a == nil {
		return "granted"
	}
	if err == nil {
		return "answer"
	}
	r, ok := err.(*fighollow.Refusal) //nolint:errorlint // the interface promises this type
	qt.Assert(t, ok, qt.IsTrue)
	return string(r.Code)
}

func (e *entry) settle(t *testing.T, key, request string, o fighollow.Outcome) {
	e.Settle(ctx(t), time.Now(), testWorkspace, key, request, o, &fighollow.StoredResponse{Status: 200, Body: []byte("ok")})
}

// Guards against a key that is granted to two entries, and against a stored answer that another entry does not get.
func TestClaimAndSettleAcrossEntries(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	for _, holder := range []string{"a", "b", "c"} {
		key := f.heldBy(t, holder)
		qt.Assert(t, f.entries["a"].claim(t, key, "1"), qt.Equals, "granted")
		qt.Assert(t, f.entries["b"].claim(t, key, "2"), qt.Equals, "keyInProgress")
		f.entries["a"].settle(t, key, "1", fighollow.OutcomeNotRun)
		qt.Assert(t, f.entries["b"].claim(t, key, "3"), qt.Equals, "granted")
		f.entries["b"].settle(t, key, "3", fighollow.OutcomeCompleted)
		qt.Assert(t, f.entries["c"].claim(t, key, "4"), qt.Equals, "answer")
	}
}

// Guards against a second grant after the reply to the first was lost: the retry on a new link must get the same grant.
func TestClaimWithLostReply(t *testing.T) {
	f := newFleet(t, "a", "b")
	key := f.heldBy(t, "b")
	f.entries["b"].loseNextClaim = true
	qt.Assert(t, f.entries["a"].claim(t, key, "1"), qt.Equals, "granted")
	qt.Assert(t, f.entries["a"].claim(t, key, "2"), qt.Equals, "keyInProgress")
}

// Guards against an entry that decides a claim itself when the holder is unreachable.
func TestHolderUnreachableIsUnknown(t *testing.T) {
	f := newFleet(t, "a", "b")
	key := f.heldBy(t, "b")
	f.entries["b"].listener.Close()
	qt.Assert(t, f.entries["a"].claim(t, key, "1"), qt.Equals, "keyUnknown")
	f.members = f.members[:1]
	qt.Assert(t, f.entries["a"].claim(t, key, "2"), qt.Equals, "keyUnknown")
}

// Guards against the refusal of a key whose creation time is ahead of the holder's clock by less than the tolerance:
// the claim must wait instead.
func TestKeyFromNearFutureWaits(t *testing.T) {
	f := newFleet(t, "a")
	w := &world{nowMs: time.Now().UnixMilli()}
	qt.Assert(t, f.entries["a"].claim(t, w.newKey(300), "1"), qt.Equals, "granted")
	qt.Assert(t, f.entries["a"].claim(t, w.newKey(5000), "2"), qt.Equals, "keyUnknown")
}

// Guards against the loss of keys in a planned stop, including one in which the write of the delegation or the reply to
// it is lost.
func TestStopDelegates(t *testing.T) {
	for name, applied := range map[string]bool{"write lost": false, "answer lost": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, "a", "b")
			ran, fresh := f.heldBy(t, "b"), f.heldBy(t, "b")
			qt.Assert(t, f.entries["a"].claim(t, ran, "1"), qt.Equals, "granted")
			f.store.lostReplies, f.store.applyLost = 1, applied
			qt.Assert(t, f.entries["b"].Stop(ctx(t)), qt.IsNil)
			qt.Assert(t, f.entries["a"].claim(t, fresh, "2"), qt.Equals, "keyUnknown")
			f.syncCatalogs()
			qt.Assert(t, f.entries["a"].claim(t, ran, "3"), qt.Equals, "keyInProgress")
			f.entries["a"].settle(t, ran, "1", fighollow.OutcomeCompleted)
			qt.Assert(t, f.entries["a"].claim(t, ran, "4"), qt.Equals, "answer")
			qt.Assert(t, f.entries["a"].claim(t, fresh, "5"), qt.Equals, "granted")
		})
	}
}

// Guards against a stop that hangs or reports success when no successor is available.
func TestStopWithoutSuccessor(t *testing.T) {
	f := newFleet(t, "a")
	qt.Assert(t, f.entries["a"].Stop(ctx(t)), qt.ErrorIs, ledger.ErrNoSuccessor)
	qt.Assert(t, f.entries["a"].claim(t, f.heldBy(t, "a"), "1"), qt.Equals, "keyUnknown")
}

// Guards against a transfer that fails because it exceeds one frame: it contains 10 MB of stored answers.
func TestStopTransfersManyAnswers(t *testing.T) {
	f := newFleet(t, "a", "b")
	var keys []string
	for range 160 {
		key := f.heldBy(t, "b")
		keys = append(keys, key)
		qt.Assert(t, f.entries["a"].claim(t, key, "1"), qt.Equals, "granted")
		f.entries["a"].Settle(ctx(t), time.Now(), testWorkspace, key, "1", fighollow.OutcomeCompleted,
			&fighollow.StoredResponse{Body: make([]byte, ledger.DefaultMaxAnswerBytes)})
	}
	qt.Assert(t, f.entries["b"].Stop(ctx(t)), qt.IsNil)
	f.syncCatalogs()
	for _, key := range keys {
		qt.Assert(t, f.entries["a"].claim(t, key, "2"), qt.Equals, "answer")
	}
}
