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

// store is an object API that holds the ledger object only and can lose the answers of writes.
type store struct {
	fighollow.ObjectStore
	mu      sync.Mutex
	object  fighollow.Object
	lost    int // answers of writes to lose
	arrives bool
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
	lost := s.lost > 0
	if lost {
		s.lost--
	}
	if !lost || s.arrives {
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
	cat      *catalog.Catalog
	listener *link.Listener
	mu       sync.Mutex
	loseNext bool // break the link instead of answering the next claim
}

func (*entry) ServeCall(context.Context, *link.Call, *link.ServerStream) {}
func (*entry) HandleTell(*link.Conn, string, []byte)                     {}
func (*entry) HandleOpen(*link.Conn)                                     {}
func (*entry) HandleClose(*link.Conn, error)                             {}

func (e *entry) ServeAsk(ctx context.Context, c *link.Conn, topic string, body []byte) (any, error) {
	out, err := e.Ledger.ServeAsk(ctx, c, topic, body)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loseNext && topic == ledger.TopicClaim {
		e.loseNext = false
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

const agedMs = 60_000 // entries of a fleet started a minute ago, so that they vouch for present keys

func newFleet(t *testing.T, ids ...string) *fleet {
	f := &fleet{store: &store{}, entries: make(map[string]*entry)}
	for _, id := range ids {
		e := &entry{cat: catalog.New()}
		self := link.Hello{ID: id, Incarnation: time.Now().UnixMilli() - agedMs, Region: region}
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
	f.spread()
	return f
}

func (f *fleet) spread() {
	o, _ := f.store.Get(context.Background(), "", "")
	for _, e := range f.entries {
		e.cat.Apply(o)
	}
}

// heldBy returns a new key of the holder with an id.
func (f *fleet) heldBy(t *testing.T, id string) string {
	var e ledger.Epochs
	_, err := f.entries[id].cat.Decode(fighollow.KindLedger, region, &e)
	qt.Assert(t, err, qt.IsNil)
	for {
		text := uuid.Must(uuid.NewV7()).String()
		key, _ := ledger.ParseKey(text)
		if p, ok := e.Holder(workspace, key); ok && p.Holder == id {
			return text
		}
	}
}

func ctx(t *testing.T) context.Context {
	c, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return c
}

var customer = fighollow.Workspace{Name: workspace}

// claim returns "granted", "answer" or the code of the refusal.
func (e *entry) claim(t *testing.T, key, request string) string {
	a, err := e.Claim(ctx(t), time.Now(), customer, key, request)
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
	e.Settle(ctx(t), time.Now(), customer, key, request, o, &fighollow.StoredAnswer{Status: 200, Body: []byte("ok")})
}

// Guards against a key that two entries get, and against an answer that does not reach the other entry.
func TestClaimAndSettleAcrossEntries(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	for _, holder := range []string{"a", "b", "c"} {
		key := f.heldBy(t, holder)
		qt.Assert(t, f.entries["a"].claim(t, key, "1"), qt.Equals, "granted")
		qt.Assert(t, f.entries["b"].claim(t, key, "2"), qt.Equals, "keyInProgress")
		f.entries["a"].settle(t, key, "1", fighollow.NotRun)
		qt.Assert(t, f.entries["b"].claim(t, key, "3"), qt.Equals, "granted")
		f.entries["b"].settle(t, key, "3", fighollow.Completed)
		qt.Assert(t, f.entries["c"].claim(t, key, "4"), qt.Equals, "answer")
	}
}

// Guards against a second grant after the reply to the first was lost: the repeat on a new link is the same grant.
func TestClaimWithLostReply(t *testing.T) {
	f := newFleet(t, "a", "b")
	key := f.heldBy(t, "b")
	f.entries["b"].loseNext = true
	qt.Assert(t, f.entries["a"].claim(t, key, "1"), qt.Equals, "granted")
	qt.Assert(t, f.entries["a"].claim(t, key, "2"), qt.Equals, "keyInProgress")
}

// Guards against an entry that guesses when the holder is gone.
func TestHolderUnreachableIsUnknown(t *testing.T) {
	f := newFleet(t, "a", "b")
	key := f.heldBy(t, "b")
	f.entries["b"].listener.Close()
	qt.Assert(t, f.entries["a"].claim(t, key, "1"), qt.Equals, "keyUnknown")
	f.members = f.members[:1]
	qt.Assert(t, f.entries["a"].claim(t, key, "2"), qt.Equals, "keyUnknown")
}

// Guards against a key from the near future that is refused although its holder could wait.
func TestKeyFromNearFutureWaits(t *testing.T) {
	f := newFleet(t, "a")
	w := &world{nowMs: time.Now().UnixMilli()}
	qt.Assert(t, f.entries["a"].claim(t, w.newKey(300), "1"), qt.Equals, "granted")
	qt.Assert(t, f.entries["a"].claim(t, w.newKey(5000), "2"), qt.Equals, "keyUnknown")
}

// Guards against keys that are lost in a planned stop, also when the answer to the write of the delegation is lost
// before or after it took effect.
func TestStopDelegates(t *testing.T) {
	for name, arrives := range map[string]bool{"write lost": false, "answer lost": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, "a", "b")
			ran, fresh := f.heldBy(t, "b"), f.heldBy(t, "b")
			qt.Assert(t, f.entries["a"].claim(t, ran, "1"), qt.Equals, "granted")
			f.store.lost, f.store.arrives = 1, arrives
			qt.Assert(t, f.entries["b"].Stop(ctx(t)), qt.IsNil)
			qt.Assert(t, f.entries["a"].claim(t, fresh, "2"), qt.Equals, "keyUnknown")
			f.spread()
			qt.Assert(t, f.entries["a"].claim(t, ran, "3"), qt.Equals, "keyInProgress")
			f.entries["a"].settle(t, ran, "1", fighollow.Completed)
			qt.Assert(t, f.entries["a"].claim(t, ran, "4"), qt.Equals, "answer")
			qt.Assert(t, f.entries["a"].claim(t, fresh, "5"), qt.Equals, "granted")
		})
	}
}

// Guards against a stop that hangs or claims success when nobody can take the keys.
func TestStopWithoutSuccessor(t *testing.T) {
	f := newFleet(t, "a")
	qt.Assert(t, f.entries["a"].Stop(ctx(t)), qt.ErrorIs, ledger.ErrNoSuccessor)
	qt.Assert(t, f.entries["a"].claim(t, f.heldBy(t, "a"), "1"), qt.Equals, "keyUnknown")
}

// Guards against a transfer that does not fit into one frame: 10 MB of stored answers.
func TestStopTransfersManyAnswers(t *testing.T) {
	f := newFleet(t, "a", "b")
	var keys []string
	for range 160 {
		key := f.heldBy(t, "b")
		keys = append(keys, key)
		qt.Assert(t, f.entries["a"].claim(t, key, "1"), qt.Equals, "granted")
		f.entries["a"].Settle(ctx(t), time.Now(), customer, key, "1", fighollow.Completed,
			&fighollow.StoredAnswer{Body: make([]byte, ledger.DefaultMaxAnswerBytes)})
	}
	qt.Assert(t, f.entries["b"].Stop(ctx(t)), qt.IsNil)
	f.spread()
	for _, key := range keys {
		qt.Assert(t, f.entries["a"].claim(t, key, "2"), qt.Equals, "answer")
	}
}
