package faults_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"github.com/fighollow/fighollow/platform"
	"github.com/fighollow/fighollow/platform/standin"
)

func smallSegments(_, _ string, c syscall.RawConn) error {
	var err error
	if ctlErr := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segmentBytes) }); ctlErr != nil {
		return ctlErr
	}
	return err
}

// entryPlay is an entry in a process of its own, with stand-ins for its store and upstreams in this one.
type entryPlay struct {
	t         *testing.T
	store     *standin.Store
	cfg       standin.EntrySettings
	metrics   string   // address
	upstreams []string // addresses
	client    http.Client
	entry     *exec.Cmd
	log       bytes.Buffer // of the entry; read after end
	seq       atomic.Int64
	peak      atomic.Int64    // of the heap, in bytes
	unread    atomic.Int64    // most callers that did not read at a time
	held      [2]atomic.Int64 // most bytes of requests and of answers held at a time
}

// addUpstream starts an upstream of a service.
func (p *entryPlay) addUpstream(id, role, service string, events int, f standin.EngineFaults) *standin.Engine {
	e := standin.NewEngine(id, role)
	e.Events = events
	f.RefuseControl = true // no orders for role changes
	e.SetFaults(f)
	l, err := (&net.ListenConfig{Control: smallSegments}).Listen(p.t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(p.t, err, qt.IsNil)
	s := httptest.NewUnstartedServer(e)
	s.Listener.Close()
	s.Listener = l
	s.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if tcp, ok := c.(*net.TCPConn); ok && state == http.StateNew {
			_ = tcp.SetWriteBuffer(64 << 10) // else the kernel buffers a whole answer; fails if the entry has closed the connection
		}
	}
	s.Start()
	p.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	p.upstreams = append(p.upstreams, l.Addr().String())
	p.store.Put("servers", id, e.Spec(service, l.Addr().String(), "a"))
	return e
}

// configure writes a configuration with a route for each service: plain services by paths /once/SERVICE/, others by /stream/SERVICE/. With
// workspaces, requests need a key.
func (p *entryPlay) configure(plain, models []string, workspaces ...standin.Workspace) {
	var routes, services []map[string]any
	for _, name := range plain {
		routes = append(routes, map[string]any{
			"name": name, "host": playHost, "pathPrefix": "/once/" + name + "/", "kind": "non_idempotent", "timeoutMs": playDeadline.Milliseconds(),
			"service": name, "maxAttempts": 2,
		})
		services = append(services, map[string]any{"name": name, "healthCheck": "/healthz", "maxConnections": 2000})
	}
	for _, name := range models {
		routes = append(routes, map[string]any{
			"name": name, "host": playHost, "pathPrefix": "/stream/" + name + "/", "kind": "streaming", "timeoutMs": playDeadline.Milliseconds(),
			"service": name, "maxAttempts": 2, "sessionAffinity": true, "resumable": true,
		})
		services = append(services, map[string]any{"name": name, "healthCheck": "/healthz", "maxConnections": 2000, "engine": standin.EngineTraits(2000, 100_000_000)})
	}
	configuration := map[string]any{
		"version": 1, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": longBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if len(workspaces) > 0 {
		standin.SetWorkspaces(configuration, workspaces)
	}
	p.store.Put("config", "main", configuration)
}

// start starts the entry.
func (p *entryPlay) start() {
	t := p.t
	settings := filepath.Join(t.TempDir(), "settings.toml")
	qt.Assert(t, os.WriteFile(settings, []byte(p.cfg.File()), 0o600), qt.IsNil)
	_, port, err := net.SplitHostPort(p.metrics)
	qt.Assert(t, err, qt.IsNil)
	entry := exec.CommandContext(t.Context(), filepath.Join(binaries, "fighollow"), "gateway", "--metrics-port", port, "--log", "info")
	entry.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	entry.Stdout, entry.Stderr = &p.log, &p.log
	qt.Assert(t, entry.Start(), qt.IsNil)
	p.entry = entry
	t.Cleanup(p.end)
	for end := time.Now().Add(20 * time.Second); !p.isReady(); time.Sleep(10 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("the entry is not ready"))
	}
}

func (p *entryPlay) isReady() bool {
	resp, err := http.Get("http://" + p.cfg.Readiness + platform.ReadinessPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// end ends the entry.
func (p *entryPlay) end() {
	_ = p.entry.Process.Kill()
	_ = p.entry.Wait()
}

// sample returns the value of a metric of the entry; 0 if it has none.
func (p *entryPlay) sample(name string) int64 {
	resp, err := http.Get("http://" + p.metrics + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if key, value, ok := strings.Cut(lines.Text(), " "); ok && key == name {
			n, _ := strconv.ParseFloat(value, 64)
			return int64(n)
		}
	}
	return 0
}

// newEntryPlay returns a play whose entry has the limits of a small instance. Its settings may be changed before start.
func newEntryPlay(t *testing.T) *entryPlay {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return &entryPlay{t: t, store: store, metrics: freeAddr(t), cfg: standin.EntrySettings{
		Name: "n1", IP: "127.0.0.1", DataCentre: "a", Ingress: freeAddr(t), Readiness: freeAddr(t), Store: strings.TrimPrefix(server.URL, "http://"),
		MemoryMB: smallMemoryMB, Drain: 2 * time.Second, Grace: 5 * time.Second, Config: 3 * time.Second, Stable: 3 * time.Second, Lease: 3 * time.Second,
		RetryRatio: 0.2, RetrySlack: 50,
	}}
}

// nextID returns the id of another request.
func (p *entryPlay) nextID() string { return fmt.Sprintf("r%d", p.seq.Add(1)) }
