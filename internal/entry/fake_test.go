package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/entry"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/internal/spread"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const testTimeout = 10 * time.Second

// memoryStore is an in-memory object store. Its writes are applied to the entry's catalog at once; the distribution of
// objects is tested in package spread.
type memoryStore struct {
	entry   *entry.Entry
	mu      sync.Mutex
	version uint64
	log     []fighollow.Object
	changed chan struct{}
}

func newMemoryStore() *memoryStore { return &memoryStore{changed: make(chan struct{})} }

func (m *memoryStore) put(kind fighollow.Kind, name string, v any) {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	m.log = append(m.log, fighollow.Object{Kind: kind, Name: name, Version: m.version, Value: value})
	m.entry.Catalog().Apply(m.log[len(m.log)-1])
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memoryStore) Get(context.Context, fighollow.Kind, string) (fighollow.Object, error) {
	return fighollow.Object{}, fighollow.ErrNotFound
}

func (m *memoryStore) List(context.Context, fighollow.Kind) ([]fighollow.Object, uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]fighollow.Object(nil), m.log...), m.version, nil
}

func (m *memoryStore) Put(context.Context, fighollow.Object, uint64) (uint64, error) {
	return 0, fighollow.ErrUnavailable
}

func (m *memoryStore) Delete(context.Context, fighollow.Kind, string, uint64) (uint64, error) {
	return 0, fighollow.ErrUnavailable
}

func (m *memoryStore) Watch(ctx context.Context, _ fighollow.Kind, after uint64) ([]fighollow.Object, uint64, error) {
	m.mu.Lock()
	changed := m.changed
	m.mu.Unlock()
	m.mu.Lock()
	if m.version == after {
		m.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, after, ctx.Err()
		}
		m.mu.Lock()
	}
	defer m.mu.Unlock()
	var out []fighollow.Object
	for _, o := range m.log {
		if o.Version > after {
			out = append(out, o)
		}
	}
	return out, m.version, nil
}

// fakeSidecar is a sidecar that records its calls and answers them with serve.
type fakeSidecar struct {
	id   string
	addr string
	l    *link.Listener

	mu    sync.Mutex
	serve func(ctx context.Context, call *link.Call, s *link.ServerStream)
	calls []link.Call
	conns []*link.Conn
	node  *spread.Node // nil if the sidecar does not take part in membership
}

func (f *fakeSidecar) ServeCall(ctx context.Context, call *link.Call, s *link.ServerStream) {
	f.mu.Lock()
	f.calls = append(f.calls, *call)
	serve := f.serve
	f.mu.Unlock()
	serve(ctx, call, s)
}

func (f *fakeSidecar) ServeAsk(ctx context.Context, c *link.Conn, topic string, body []byte) (any, error) {
	if n := f.member(); n != nil {
		return n.ServeAsk(ctx, c, topic, body)
	}
	return nil, io.EOF
}

func (f *fakeSidecar) HandleTell(c *link.Conn, topic string, body []byte) {
	if n := f.member(); n != nil {
		n.HandleTell(c, topic, body)
	}
}

func (f *fakeSidecar) member() *spread.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node
}

// join makes the sidecar a member of the entry's data centre, where it announces that its engine serves model.
func (f *fakeSidecar) join(t testing.TB, fl *fleet, model string) {
	_, _, peers := fl.entry.Addrs()
	self := membership.Member{
		ID: f.id, Incarnation: uint64(time.Now().UnixMilli()), Kind: fighollow.InstanceEngine, DataCentre: "dc", Link: f.addr,
	}
	n := spread.New(spread.Options{Peers: []string{peers}}, self, fl.store, catalog.New(), zerolog.Nop())
	n.Announce(func(m *membership.Member) { m.Model, m.Role = model, fighollow.RoleBoth })
	f.mu.Lock()
	f.node = n
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (f *fakeSidecar) HandleOpen(c *link.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns = append(f.conns, c)
}

func (f *fakeSidecar) HandleClose(*link.Conn, error) {}

// setServe replaces the handler of calls.
func (f *fakeSidecar) setServe(serve func(context.Context, *link.Call, *link.ServerStream)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serve = serve
}

func (f *fakeSidecar) received() []link.Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]link.Call(nil), f.calls...)
}

// closeLinks closes all links that the entry has opened so far.
func (f *fakeSidecar) closeLinks() {
	f.mu.Lock()
	conns := f.conns
	f.conns = nil
	f.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// tell sends a one-way message with an empty body on all links.
func (f *fakeSidecar) tell(topic string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Tell(topic, "")
	}
}

// restart simulates a restart of the sidecar: it listens again at the same address, with a higher incarnation.
func (f *fakeSidecar) restart(t testing.TB) {
	f.l.Close()
	eventually(t, func() bool {
		l, err := link.Listen(f.addr, link.Hello{ID: f.id, Kind: fighollow.InstanceEngine, Incarnation: time.Now().UnixMilli() + 1}, f, link.Options{}, nil)
		f.l = l
		return err == nil
	})
	t.Cleanup(f.l.Close)
}

// serveWords returns a handler that answers with the tokens "w0 " to "w(n-1) ", starting at the call's offset.
func serveWords(n int) func(context.Context, *link.Call, *link.ServerStream) {
	return func(_ context.Context, call *link.Call, s *link.ServerStream) {
		if s.Accept(fighollow.Load{Slots: 8}) != nil {
			return
		}
		if sendWords(call, s, n) == nil {
			finishCompleted(s, n)
		}
	}
}

func sendWords(call *link.Call, s *link.ServerStream, to int) error {
	for i := int(call.Offset); i < to; i++ {
		if err := s.Chunk(uint64(i), 1, []byte(word(i))); err != nil {
			return err
		}
	}
	return nil
}

func finishCompleted(s *link.ServerStream, n int) {
	_ = s.Finish(link.Finish{Outcome: fighollow.OutcomeCompleted, End: uint64(n), Result: &fighollow.GenerateResult{
		FinishReason: "stop", PromptTokens: 3, OutputTokens: n,
	}})
}

// refuseOverloaded is a handler that refuses every call as overloaded.
func refuseOverloaded(_ context.Context, _ *link.Call, s *link.ServerStream) {
	r := fighollow.Refusal{Code: fighollow.CodeOverloaded, Message: "refused", Outcome: fighollow.OutcomeNotRun}
	_ = s.Refuse(r, fighollow.Load{Slots: 8})
}

func word(i int) string { return fmt.Sprintf("w%d ", i) }

func wordText(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(word(i))
	}
	return b.String()
}
