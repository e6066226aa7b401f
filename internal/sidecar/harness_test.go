package sidecar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/objectapi"
	"github.com/fighollow/fighollow/internal/settings"
	"github.com/fighollow/fighollow/internal/sidecar"
	"github.com/fighollow/fighollow/internal/standin/engine"
	"github.com/fighollow/fighollow/internal/standin/objects"
	"github.com/fighollow/fighollow/internal/standin/plain"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const testTimeout = 20 * time.Second

// fleet is one sidecar with its platform.
type fleet struct {
	t       *testing.T
	store   fighollow.ObjectStore
	engine  *engine.Engine
	plain   *plain.Service
	wrap    func(http.Handler) http.Handler // around the engine; may be nil
	cfg     settings.Sidecar
	cancel  context.CancelFunc
	stopped chan error
	tells   *tells
	log     *errorLog
}

// errorLog keeps the log lines of level error.
type errorLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *errorLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(p))
	return len(p), nil
}

func (l *errorLog) count(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, line := range l.lines {
		if strings.Contains(line, `"`+name+`"`) {
			n++
		}
	}
	return n
}

// tells is an entry's handler that records the topics of one-way messages.
type tells struct {
	mu     sync.Mutex
	topics []string
}

func (h *tells) ServeCall(context.Context, *link.Call, *link.ServerStream) {}
func (h *tells) ServeAsk(context.Context, *link.Conn, string, []byte) (any, error) {
	return nil, fmt.Errorf("no such topic")
}
func (h *tells) HandleTell(_ *link.Conn, topic string, _ []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.topics = append(h.topics, topic)
}
func (h *tells) HandleOpen(*link.Conn)         {}
func (h *tells) HandleClose(*link.Conn, error) {}

func (h *tells) count(topic string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, other := range h.topics {
		if other == topic {
			n++
		}
	}
	return n
}

var nextPort atomic.Int64

// freeAddress returns an address to listen on. It is below the range from which the system takes the ports of outgoing
// connections, one of which would otherwise sometimes take the address before the sidecar does.
func freeAddress(t *testing.T) string {
	const first, ports = 21_000, 9000
	for range 100 {
		port := first + (int64(os.Getpid())*37+nextPort.Add(1))%ports
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

func newFleet(t *testing.T, kind string) *fleet {
	api := objects.New(objects.Options{})
	apiServer := httptest.NewServer(api)
	t.Cleanup(apiServer.Close)
	f := &fleet{t: t, tells: &tells{}, log: &errorLog{}}
	f.store = objectapi.New(objectapi.Options{Address: strings.TrimPrefix(apiServer.URL, "http://"), WatchWait: time.Second})
	f.cfg = settings.Sidecar{
		Process: settings.Process{
			ID: "upstream-1", DataCentre: "hall-a", Region: "north", Link: freeAddress(t), Admin: freeAddress(t),
			MaxFrameBytes: settings.DefaultMaxFrameBytes,
		},
		Upstream: settings.Upstream{Kind: kind, OrderSettleMs: 100, Slots: 2, ChecksFence: true},
		// Short, so that tests of its end need not wait long.
		QueueLength: 4, ResumeWindowMs: 400,
	}
	f.put(fighollow.KindInForce, fighollow.InForceName, fighollow.InForce{Preset: fighollow.Preset{Name: "ordinary"}})
	return f
}

// startEngine starts an engine stand-in and a sidecar beside it, and waits until it takes work for model.
func startEngine(t *testing.T, opts engine.Options, change ...func(f *fleet)) *fleet {
	f := newFleet(t, "engine")
	if opts.Change == 0 {
		opts.Change = 20 * time.Millisecond
	}
	opts.ChecksFence = true
	for _, c := range change {
		c(f)
	}
	f.attach(opts)
	f.plan(1, assignment("loom", 1))
	f.start()
	f.awaitServing("loom")
	return f
}

// attach starts an engine stand-in for the sidecar.
func (f *fleet) attach(opts engine.Options) {
	f.engine = engine.New(opts)
	var h http.Handler = f.engine
	if f.wrap != nil {
		h = f.wrap(h)
	}
	srv := httptest.NewServer(h)
	f.t.Cleanup(func() {
		f.engine.Close()
		srv.Close()
	})
	f.cfg.Upstream.Address = strings.TrimPrefix(srv.URL, "http://")
}

func startPlain(t *testing.T) *fleet {
	f := newFleet(t, "service")
	f.cfg.Upstream.Service = "orders"
	f.plain = plain.New(plain.Options{})
	srv := httptest.NewServer(f.plain)
	t.Cleanup(srv.Close)
	f.cfg.Upstream.Address = strings.TrimPrefix(srv.URL, "http://")
	f.start()
	return f
}

func assignment(model string, fence uint64) fighollow.Assignment {
	return fighollow.Assignment{Role: fighollow.RoleBoth, Model: model, ModelVersion: "1", Fence: fence}
}

func testLog(t *testing.T) zerolog.Logger {
	return zerolog.New(os.Stderr).Level(zerolog.ErrorLevel).With().Str("test", t.Name()).Logger()
}

func (f *fleet) start() {
	s, err := sidecar.New(f.cfg, f.store, zerolog.New(f.log).Level(zerolog.ErrorLevel))
	qt.Assert(f.t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel, f.stopped = cancel, make(chan error, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		err := s.Run(ctx)
		if err != nil {
			f.t.Errorf("the sidecar did not start: %v", err)
		}
		f.stopped <- err
	}()
	f.t.Cleanup(func() {
		cancel()
		select {
		case <-done:
		case <-time.After(testTimeout):
			f.t.Error("the sidecar did not stop")
		}
	})
}

func (f *fleet) put(kind fighollow.Kind, name string, v any) {
	data, err := json.Marshal(v)
	qt.Assert(f.t, err, qt.IsNil)
	var expected uint64
	if o, err := f.store.Get(context.Background(), kind, name); err == nil {
		expected = o.Version
	}
	_, err = f.store.Put(context.Background(), fighollow.Object{Kind: kind, Name: name, Value: data}, expected)
	qt.Assert(f.t, err, qt.IsNil)
}

func (f *fleet) plan(revision uint64, a fighollow.Assignment) {
	f.put(fighollow.KindPlan, "hall-a", fighollow.Plan{
		Revision: revision, Engines: map[string]fighollow.Assignment{"upstream-1": a}, WriteID: fmt.Sprint(revision),
	})
}

// await polls until ok holds.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("no " + what)
}

func (f *fleet) awaitServing(model string) {
	c := f.dial()
	defer c.Close()
	await(f.t, "serving of "+model, func() bool {
		call := generate("probe", 0)
		call.Generate.Model = model
		r := f.run(c, call)
		return r.finish != nil && r.finish.Outcome == fighollow.Completed
	})
}

func (f *fleet) dial() *link.Conn {
	f.t.Helper()
	var c *link.Conn
	await(f.t, "link to the sidecar", func() bool {
		var err error
		c, err = link.Dial(context.Background(), f.cfg.Link, link.Hello{ID: "entry-1", Kind: fighollow.InstanceEntry}, f.tells, link.Options{})
		return err == nil
	})
	f.t.Cleanup(c.Close)
	return c
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

func generate(prompt string, tokens int) link.Call {
	id := newID()
	return link.Call{
		Kind: link.CallGenerate, Request: "request-" + id, Attempt: id, Worth: 1, Idempotent: true,
		Deadline: time.Now().Add(time.Minute).UnixMilli(),
		Generate: &fighollow.GenerateRequest{
			ID: id, Model: "loom", Phase: fighollow.RequestWhole, Prompt: prompt, PromptTokens: len(prompt)/4 + 1, MaxTokens: tokens,
		},
	}
}

// reply is what an entry got for one stream.
type reply struct {
	accepted bool
	refusal  *fighollow.Refusal
	head     *link.Head
	text     string
	units    uint64 // offset after the last chunk
	finish   *link.Finish
	err      error
}

// run opens a stream and receives it to its end.
func (f *fleet) run(c *link.Conn, call link.Call) reply {
	f.t.Helper()
	s, err := c.Open(call)
	if err != nil {
		return reply{err: err}
	}
	return f.receive(s, reply{units: call.Offset}, func(reply) bool { return false })
}

// receive adds to r what a stream brings, until its end or until enough holds.
func (f *fleet) receive(s *link.Stream, r reply, enough func(reply) bool) reply {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for !enough(r) {
		m, err := s.Recv(ctx)
		if err != nil {
			r.err = err
			return r
		}
		switch m := m.(type) {
		case *link.Accept:
			r.accepted = true
		case *link.Refuse:
			r.refusal = &m.Refusal
			return r
		case *link.Head:
			r.head = m
		case *link.Chunk:
			qt.Assert(f.t, m.Offset, qt.Equals, r.units, qt.Commentf("chunks are not contiguous"))
			r.units += uint64(m.Units)
			r.text += string(m.Data)
		case *link.Finish:
			r.finish = m
			return r
		}
	}
	return r
}

// attempts returns the engine's records of an attempt id.
func (f *fleet) attempts(id string) []engine.AttemptRecord {
	var out []engine.AttemptRecord
	for _, a := range f.engine.Record().Attempts {
		if a.ID == id {
			out = append(out, a)
		}
	}
	return out
}

func (f *fleet) awaitOutcome(id, outcome string) {
	f.t.Helper()
	await(f.t, "outcome "+outcome, func() bool {
		got := f.attempts(id)
		return len(got) == 1 && got[0].Outcome == outcome
	})
}

func (f *fleet) control(c engine.Control) {
	f.t.Helper()
	qt.Assert(f.t, f.engine.Control(c), qt.IsNil)
}
