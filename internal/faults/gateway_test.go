package faults_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fighollow/fighollow/platform"
	"github.com/fighollow/fighollow/platform/standin"
)

const (
	usageKind   = "fighollow-usage-reports" // of the store
	usageWindow = 2 * time.Second
	gatewayHost = "callers.example"
)

// gatewayFleet is a store, a plain service, the address of the usage API, at which nothing listens at first, and entries.
type gatewayFleet struct {
	ctx      context.Context
	t        *testing.T
	dir      string
	store    *standin.Store
	usage    string
	entries  []*process
	ingress  []string
	mu       sync.Mutex
	arrived  []http.Header // of the requests at the service
	frozen   [][]byte      // last acknowledged write of usage reports by each entry
	requests int
	flags    func(entry int) []string                                // further flags of an entry; nil for none
	front    func(entry int, w http.ResponseWriter, r *http.Request) // between an entry and the store; nil for serveStore
}

func newGatewayFleet(t *testing.T, entries int, workspaces ...standin.Workspace) *gatewayFleet {
	ctx, cancel := context.WithTimeout(context.Background(), cellLimit)
	f := &gatewayFleet{ctx: ctx, t: t, dir: t.TempDir(), store: standin.NewStore(), usage: freeAddr(t), frozen: make([][]byte, entries)}
	t.Cleanup(cancel)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.arrived = append(f.arrived, r.Header.Clone())
		f.mu.Unlock()
		w.Header().Set(standin.HeaderRequest, r.Header.Get(standin.HeaderRequest))
		w.Header().Set(standin.HeaderSignature, "sig-plain1")
	}))
	t.Cleanup(service.Close)
	f.configure(1, workspaces...)
	registration := standin.Registration{
		Service: "plain", Address: service.Listener.Addr().String(), DataCentre: "a", Version: "v1", Slots: 16, Born: time.Now().UnixMilli(),
	}
	f.store.Put(standin.KindUpstreams, "plain1", registration.Spec())
	for i := range entries {
		f.startEntry(i)
	}
	return f
}

// configure writes a configuration with workspaces.
func (f *gatewayFleet) configure(version int, workspaces ...standin.Workspace) {
	configuration := object{
		"version":  version,
		"routes":   []object{{"name": "any", "host": gatewayHost, "pathPrefix": "/any/", "kind": "idempotent", "timeoutMs": 2500, "service": "plain", "maxAttempts": 2}},
		"services": []object{{"name": "plain", "maxConnections": 200}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 20000},
	}
	standin.SetWorkspaces(configuration, workspaces)
	f.store.Put("config", "main", configuration)
}

// startEntry starts an entry and waits until it is ready.
func (f *gatewayFleet) startEntry(i int) {
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.front != nil {
			f.front(i, w, r)
			return
		}
		f.serveStore(i, w, r)
	}))
	f.t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
	})
	name, ingress, ready := fmt.Sprintf("entry-%d", i+1), freeAddr(f.t), freeAddr(f.t)
	file := filepath.Join(f.dir, name+".toml")
	settings := standin.EntrySettings{
		Name: name, IP: "127.0.0.1", DataCentre: "a", Ingress: ingress, Readiness: ready, Store: store.Listener.Addr().String(), MemoryMB: 284,
		Drain: time.Second, Grace: 4 * time.Second, Config: 2 * time.Second, Stable: 3 * time.Second, Lease: 3 * time.Second,
		RetryRatio: 0.2, RetrySlack: 10, Revocation: &standin.RevocationSettings{Within: 4 * time.Second},
		Usage: &standin.UsageSettings{API: f.usage, CallsPerSec: 50, Window: usageWindow, Share: 0.05, Due: 6 * time.Second},
	}
	if err := os.WriteFile(file, []byte(settings.File()), 0o600); err != nil {
		f.t.Fatal(err)
	}
	p := &process{name: name, args: []string{"fighollow", "gateway", "--settings", file}, log: filepath.Join(f.dir, name+".log")}
	if f.flags != nil {
		p.args = append(p.args, f.flags(i)...)
	}
	p.start(f.t)
	f.t.Cleanup(func() {
		if !p.ended() {
			p.kill()
		}
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", p.name, p.tail())
		}
	})
	f.entries, f.ingress = append(f.entries, p), append(f.ingress, ingress)
	until(f.ctx, f.t, name+" is ready", func() bool { return get("http://"+ready+platform.ReadinessPath, nil) })
}

// serveStore passes a call of an entry on to the store and keeps the acknowledged writes of usage reports.
func (f *gatewayFleet) serveStore(i int, w http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.URL.Path, usageKind) || r.Method != http.MethodPut && r.Method != http.MethodPost {
		f.store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the entry has left
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	res := httptest.NewRecorder()
	f.store.ServeHTTP(res, r)
	if res.Code < http.StatusMultipleChoices {
		f.mu.Lock()
		f.frozen[i] = body
		f.mu.Unlock()
	}
	maps.Copy(w.Header(), res.Header())
	w.WriteHeader(res.Code)
	_, _ = w.Write(res.Body.Bytes()) // the entry may have left
}

// gatewayCaller is one connection to an entry.
type gatewayCaller struct {
	f  *gatewayFleet
	nc net.Conn
	br *bufio.Reader
}

func (f *gatewayFleet) dial(entry int) (*gatewayCaller, error) {
	nc, err := net.Dial("tcp", f.ingress[entry])
	if err != nil {
		return nil, err
	}
	return &gatewayCaller{f, nc, bufio.NewReader(nc)}, nil
}

// ask sends a request on the connection and returns the status, or 0 if the connection has ended.
func (c *gatewayCaller) ask(key string) int {
	c.f.mu.Lock()
	c.f.requests++
	n := c.f.requests
	c.f.mu.Unlock()
	_ = c.nc.SetDeadline(time.Now().Add(4 * time.Second)) // fails only on a closed connection
	fields := standin.RequestFields(fmt.Sprintf("q%d", n), 3*time.Second)
	if _, err := fmt.Fprintf(c.nc, "GET /any/x HTTP/1.1\r\nHost: %s\r\n%s%s: %s\r\n\r\n", gatewayHost, fields, standin.HeaderKey, key); err != nil {
		return 0
	}
	res, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil || res.Close {
		return 0
	}
	return res.StatusCode
}

// Guards against a removed key that stays in force on connections which were open before its removal.
func TestRemovedKeyIsRefusedOnAnOpenConnection(t *testing.T) {
	t.Parallel()
	f := newGatewayFleet(t, 1, standin.Workspace{Name: "north", Keys: []string{"key-old", "key-new"}})
	open, err := f.dial(0)
	if err != nil {
		t.Fatal(err)
	}
	defer open.nc.Close()
	until(f.ctx, t, "a request with the key is answered", func() bool { return open.ask("key-old") == http.StatusOK })
	f.configure(2, standin.Workspace{Name: "north", Keys: []string{"key-new"}})
	removed := time.Now()
	other, err := f.dial(0)
	if err != nil {
		t.Fatal(err)
	}
	defer other.nc.Close()
	until(f.ctx, t, "the key is refused on another connection", func() bool { return other.ask("key-old") == http.StatusUnauthorized })
	if d := time.Since(removed); d > 3*time.Second {
		t.Errorf("the key was refused %v after its removal", d)
	}
	f.mu.Lock()
	before := len(f.arrived)
	f.mu.Unlock()
	if got := open.ask("key-old"); got != http.StatusUnauthorized {
		t.Errorf("removed key on the open connection: status %d", got)
	}
	if got := open.ask("key-new"); got != http.StatusOK {
		t.Errorf("other key on the open connection: status %d", got)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.arrived) - before; n != 1 {
		t.Errorf("%d requests reached the service, and one of two had a valid key", n)
	}
	for _, h := range f.arrived {
		if h.Get(standin.HeaderWorkspace) != "north" || h.Get(standin.HeaderKey) != "" {
			t.Fatalf("the service got workspace %q and key %q", h.Get(standin.HeaderWorkspace), h.Get(standin.HeaderKey))
		}
	}
}

// Guards against versions of the configuration in quick succession that keep a removed key in force, that cost a read of the store each, or
// during which a key that stays is refused.
func TestRemovedKeyIsRefusedInAStormOfVersions(t *testing.T) {
	t.Parallel()
	const (
		versions = 200
		interval = 15 * time.Millisecond
	)
	f := newGatewayFleet(t, 0)
	var answers atomic.Int64
	f.front = func(_ int, w http.ResponseWriter, r *http.Request) {
		f.store.ServeHTTP(w, r)
		if strings.HasPrefix(r.URL.Path, standin.ObjectsPath+"config") && r.Context().Err() == nil {
			answers.Add(1)
		}
	}
	workspace := func(keys ...string) standin.Workspace {
		return standin.Workspace{Name: "north", Keys: append(keys, "key-steady")}
	}
	f.configure(2, workspace("key-old"))
	f.startEntry(0)
	c, err := f.dial(0)
	if err != nil {
		t.Fatal(err)
	}
	defer c.nc.Close()
	until(f.ctx, t, "a request with the key is answered", func() bool { return c.ask("key-old") == http.StatusOK })
	answers.Store(0)
	f.configure(3, workspace("key-old"))
	until(f.ctx, t, "the entry has read a version, after which it pauses", func() bool { return answers.Load() > 0 })
	began := time.Now()
	f.configure(4, workspace()) // the key is gone in all that follow
	refused := time.Duration(0)
	for v := range versions {
		f.configure(5+v, workspace(fmt.Sprint("key-", v)), standin.Workspace{Name: "faulty", Keys: []string{fmt.Sprint("key-", v), ""}}, standin.Workspace{})
		if got := c.ask("key-steady"); got != http.StatusOK {
			t.Fatalf("status %d for a key that stays, at version %d", got, 5+v)
		}
		switch got := c.ask("key-old"); {
		case got == http.StatusUnauthorized && refused == 0:
			refused = time.Since(began)
		case got != http.StatusUnauthorized && (refused > 0 || got != http.StatusOK):
			t.Fatalf("status %d for the removed key at version %d", got, 5+v)
		}
		if wait(f.ctx.Done(), interval) {
			break
		}
	}
	took := time.Since(began)
	if refused == 0 || refused > 2*time.Second { // configMs
		t.Errorf("the key was refused %v after its removal", refused)
	}
	// An entry pauses for a quarter of configMs after changes.
	if n, most := answers.Load(), int64(took/(500*time.Millisecond))+2; n > most {
		t.Errorf("%d reads of the configuration in %v, %d allowed", n, took, most)
	}
	t.Logf("refused after %v; %d reads of the configuration for %d versions in %v", refused, answers.Load(), versions, took)
}

// frozenReports finds the reports in a stored object, whatever their fields are called: an object with a window near a time, and one
// with only numbers by the names of workspaces.
func frozenReports(v any, now time.Time, workspaces ...string) map[int64]map[string]int64 {
	out := make(map[int64]map[string]int64)
	switch v := v.(type) {
	case []any:
		for _, e := range v {
			maps.Copy(out, frozenReports(e, now, workspaces...))
		}
	case map[string]any:
		var window int64
		near := now.UnixNano() / int64(usageWindow)
		var counts map[string]int64
		for _, field := range v {
			if n, ok := field.(float64); ok && max(int64(n)-near, near-int64(n)) < 100 {
				window = int64(n)
			}
			if c := countsOf(field, workspaces); len(c) > 0 {
				counts = c
			}
			maps.Copy(out, frozenReports(field, now, workspaces...))
		}
		if window != 0 && counts != nil {
			out[window] = counts
		}
	}
	return out
}

func countsOf(v any, workspaces []string) map[string]int64 {
	fields, _ := v.(map[string]any)
	out := make(map[string]int64)
	for _, w := range workspaces {
		if n, ok := fields[w].(float64); ok {
			out[w] = int64(n)
		}
	}
	if len(out) != len(fields) {
		return nil
	}
	return out
}

// Guards against a report that differs from the one which an earlier holder of the lease froze, and perhaps sent, before it was killed.
func TestFrozenReportIsRepeatedByTheNextHolder(t *testing.T) {
	t.Parallel()
	f := newGatewayFleet(t, 2, standin.Workspace{Name: "north", Keys: []string{"key-north"}}, standin.Workspace{Name: "south", Keys: []string{"key-south"}})
	// Requests with both keys reach both entries until the test ends.
	ctx, stop := context.WithCancel(f.ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	for i := range 4 {
		wg.Go(func() {
			for ctx.Err() == nil {
				c, err := f.dial(i % 2)
				for err == nil && ctx.Err() == nil && c.ask([]string{"key-north", "key-south"}[i/2]) != 0 {
					wait(ctx.Done(), 20*time.Millisecond)
				}
				if err == nil {
					c.nc.Close()
				}
				wait(ctx.Done(), 50*time.Millisecond)
			}
		})
	}
	// The usage API is down: what an entry freezes is not sent before it is killed.
	holder, frozen := 0, map[int64]map[string]int64{}
	read := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for i, body := range f.frozen {
			var v any
			if json.Unmarshal(body, &v) == nil {
				if reports := frozenReports(v, time.Now(), "north", "south"); len(reports) > 0 {
					holder, frozen = i, reports
				}
			}
		}
	}
	until(f.ctx, t, "a report is frozen", func() bool { read(); return len(frozen) > 0 })
	f.entries[holder].kill()
	read() // what was written until the end

	var mu sync.Mutex
	var reports []standin.UsageReport
	l, err := net.Listen("tcp", f.usage)
	if err != nil {
		t.Fatal(err)
	}
	api := &http.Server{ReadHeaderTimeout: time.Second, Handler: standin.UsageHandler(func(report standin.UsageReport, err error) int {
		if err != nil {
			t.Errorf("usage report: %v", err) // also without a fencing token
		}
		mu.Lock()
		defer mu.Unlock()
		reports = append(reports, report)
		return http.StatusOK
	})}
	go func() { _ = api.Serve(l) }()
	defer func() { _ = api.Close() }()
	until(f.ctx, t, fmt.Sprintf("the other entry reports %v", frozen), func() bool {
		mu.Lock()
		defer mu.Unlock()
		seen := make(map[int64]bool)
		for _, r := range reports {
			if seen[r.Window] = true; frozen[r.Window] != nil && !maps.Equal(r.Counts, frozen[r.Window]) {
				t.Fatalf("window %d: %v is reported and %v was frozen", r.Window, r.Counts, frozen[r.Window])
			}
		}
		for window := range frozen {
			if !seen[window] {
				return false
			}
		}
		return true
	})
	mu.Lock()
	defer mu.Unlock()
	for _, r := range reports {
		if r.Holder != f.entries[1-holder].name || r.Fence == 0 {
			t.Errorf("report of %q with fence %d, and %s holds the lease", r.Holder, r.Fence, f.entries[1-holder].name)
		}
	}
}
