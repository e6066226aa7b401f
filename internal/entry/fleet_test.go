package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/entry"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/settings"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// fleet is an entry with fake sidecars.
type fleet struct {
	t     testing.TB
	store *memoryStore
	entry *entry.Entry
	url   string
	admin string
	stop  context.CancelFunc
	done  chan error
	keys  *fakeLedger
	log   *logBuffer
	wait  func()
}

type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) addLine(s string) { _, _ = l.Write([]byte(s + "\n")) }

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

const workspaceKey = "secret-of-acme"

// startFleet runs an entry with the workspace acme, whose key is workspaceKey, and the models m and once (not idempotent).
func startFleet(t testing.TB, change ...func(*settings.Entry)) *fleet {
	cfg := settings.Entry{
		Process: settings.Process{
			ID: "entry-1", DataCentre: "dc", Region: "r", Link: "127.0.0.1:0", Admin: "127.0.0.1:0",
			MaxFrameBytes: settings.DefaultMaxFrameBytes,
		},
		HTTP: "127.0.0.1:0", MaxBodyBytes: 1 << 20, MaxOpenRequests: 2000,
	}
	for _, f := range change {
		f(&cfg)
	}
	f := &fleet{t: t, store: newMemoryStore(), done: make(chan error, 1), log: new(logBuffer)}
	e, err := entry.New(cfg, f.store, zerolog.New(f.log))
	qt.Assert(t, err, qt.IsNil)
	f.store.entry = e
	f.store.put(fighollow.KindInForce, fighollow.InForceName, fighollow.InForce{})
	f.store.put(fighollow.KindModel, "m", fighollow.Model{Name: "m"})
	f.store.put(fighollow.KindModel, "once", fighollow.Model{Name: "once", NonIdempotent: true})
	f.store.put(fighollow.KindService, "orders", fighollow.Service{Name: "orders"})
	f.store.put(fighollow.KindWorkspace, "acme", fighollow.Workspace{Name: "acme", Key: workspaceKey, Worth: 2, Priority: 7})
	f.keys = &fakeLedger{answers: make(map[string]*fighollow.StoredResponse), outcomes: make(map[string]fighollow.Outcome)}
	e.SetKeyLedger(f.keys)
	e.SetDemandHandler(func(c *link.Conn, topic string, _ []byte) { f.log.addLine(c.Peer().ID + " tells " + topic) })
	e.SetLedgerHandler(func(_ context.Context, c *link.Conn, topic string, _ []byte) (any, error) {
		return c.Peer().ID + " asks " + topic, nil
	})
	qt.Assert(t, e.Listen(), qt.IsNil)
	callers, admin, _ := e.Addrs()
	f.entry, f.url, f.admin = e, "http://"+callers, "http://"+admin
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() { f.done <- e.Run(ctx) }()
	f.wait = sync.OnceFunc(func() {
		cancel()
		select {
		case err := <-f.done:
			qt.Check(t, err, qt.IsNil)
		case <-time.After(testTimeout):
			t.Error("the entry did not stop")
		}
	})
	t.Cleanup(f.wait)
	eventually(t, func() bool { return f.status(f.admin+"/readyz") == http.StatusOK })
	return f
}

// add starts a fake sidecar for an engine that the plan assigns to model.
func (f *fleet) add(id, model string, serve func(context.Context, *link.Call, *link.ServerStream)) *fakeSidecar {
	return f.addInstance(id, fighollow.Instance{ID: id, Kind: fighollow.InstanceEngine, DataCentre: "dc-of-" + model}, model, serve)
}

func (f *fleet) addInstance(id string, in fighollow.Instance, model string, serve func(context.Context, *link.Call, *link.ServerStream)) *fakeSidecar {
	s := &fakeSidecar{id: id, serve: serve}
	hello := link.Hello{ID: id, Kind: in.Kind, DataCentre: in.DataCentre, Incarnation: time.Now().UnixMilli()}
	l, err := link.Listen("127.0.0.1:0", hello, s, link.Options{}, nil)
	qt.Assert(f.t, err, qt.IsNil)
	f.t.Cleanup(l.Close)
	s.l, s.addr = l, l.Addr()
	in.Link, in.Region = s.addr, "r"
	f.store.put(fighollow.KindInstance, id, in)
	f.plan(in.DataCentre, id, model)
	f.waitRouted()
	return s
}

func (f *fleet) plan(dc, id, model string) {
	if model != "" {
		f.planRole(dc, id, model, fighollow.RoleBoth)
	}
}

func (f *fleet) planRole(dc, id, model string, role fighollow.Role) {
	var p fighollow.Plan
	_, _ = f.entry.Catalog().Decode(fighollow.KindPlan, dc, &p)
	if p.Engines == nil {
		p.Engines = make(map[string]fighollow.Assignment)
	}
	p.Engines[id] = fighollow.Assignment{Role: role, Model: model}
	f.store.put(fighollow.KindPlan, dc, p)
	f.waitRouted()
}

// waitRouted waits until the entry's routing includes the newest object.
func (f *fleet) waitRouted() {
	f.store.mu.Lock()
	version := f.store.version
	f.store.mu.Unlock()
	eventually(f.t, func() bool { return f.entry.RoutedVersion() >= version })
}

func (f *fleet) status(url string) int {
	res, err := http.Get(url)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

func (f *fleet) get(url string) string {
	res, err := http.Get(url)
	qt.Assert(f.t, err, qt.IsNil)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	qt.Assert(f.t, err, qt.IsNil)
	return string(b)
}

func eventually(t testing.TB, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("condition not met in time")
}

// answer is the HTTP answer that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
}

func (f *fleet) send(method, path, body string, header ...string) answer {
	f.t.Helper()
	res := f.open(context.Background(), method, path, body, header...)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		b = append(b, "\nBROKEN OFF"...)
	}
	return answer{res.StatusCode, res.Header, string(b)}
}

func (f *fleet) open(ctx context.Context, method, path, body string, header ...string) *http.Response {
	f.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, f.url+path, strings.NewReader(body))
	qt.Assert(f.t, err, qt.IsNil)
	req.Header.Set("X-Workspace-Key", workspaceKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	qt.Assert(f.t, err, qt.IsNil)
	return res
}

func (f *fleet) chat(model string, stream bool, header ...string) answer {
	f.t.Helper()
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":"hello"}]}`, model, stream)
	return f.send("POST", "/v1/chat/completions", body, header...)
}

// content returns the text of a completion, streamed or not.
func (a answer) content(t testing.TB) string {
	t.Helper()
	type choice struct {
		Message, Delta struct{ Content string }
		Text           string
	}
	var out strings.Builder
	appendContent := func(data string) {
		var v struct{ Choices []choice }
		qt.Assert(t, json.Unmarshal([]byte(data), &v), qt.IsNil, qt.Commentf("%s", data))
		for _, c := range v.Choices {
			out.WriteString(c.Message.Content + c.Delta.Content + c.Text)
		}
	}
	if !strings.HasPrefix(a.header.Get("Content-Type"), "text/event-stream") {
		appendContent(a.body)
		return out.String()
	}
	for line := range strings.SplitSeq(a.body, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok && data != "[DONE]" {
			appendContent(data)
		}
	}
	return out.String()
}

// refusal returns the error in the body or in the error event of an answer.
func (a answer) refusal(t testing.TB) (code string, notRun bool) {
	t.Helper()
	var v struct {
		Error struct {
			Code   string
			NotRun bool
		}
	}
	body := a.body
	if i := strings.LastIndex(body, `data: {"error"`); i >= 0 {
		body = strings.TrimPrefix(body[i:], "data: ")
	}
	qt.Assert(t, json.Unmarshal([]byte(body), &v), qt.IsNil, qt.Commentf("%s", a.body))
	return v.Error.Code, v.Error.NotRun
}
