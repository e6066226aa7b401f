package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engineConfig is how an engine, or a plain service if stage is empty, behaves.
type engineConfig struct {
	id, service, zone, version, stage string
	events                            int           // of a whole stream
	gap                               time.Duration // between two events
	first                             time.Duration // until the first event, or a plain answer
	prompt                            time.Duration // until a prompt has been read
	roleSwitch                        time.Duration
}

// engine is a stand-in for a model engine or a server of a plain service.
type engine struct {
	engineConfig
	store *store
	rec   *recorder
	addr  string

	mu       sync.Mutex
	state    string // in the store
	busy     bool
	sequence uint64
	born     int64
	active   int
	handles  map[string]bool
	nextID   int
	down     bool
	conns    map[net.Conn]bool
	listener net.Listener
	ran      map[string]bool // requests that it began to work on
	answers  int             // since the start of duplicates
	repeats  repeats
}

// startEngine starts an engine, which registers itself and writes its entry again and again.
func startEngine(c engineConfig, s *store, rec *recorder) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		engineConfig: c, store: s, rec: rec, addr: l.Addr().String(), state: "ready", born: time.Now().UnixMilli(),
		handles: map[string]bool{}, conns: map[net.Conn]bool{}, listener: l, ran: map[string]bool{},
	}
	e.serve(l)
	e.beat()
	go func() {
		for range time.Tick(heartbeat) {
			e.beat()
		}
	}()
	rec.add("engine %s starts at %s: service %s, version %s, stage %q, zone %s", c.id, e.addr, c.service, c.version, c.stage, c.zone)
	return e, nil
}

// serve serves the connections of a listener.
func (e *engine) serve(l net.Listener) {
	srv := &http.Server{
		Handler: e, ConnState: e.track, ConnContext: withConn, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 5 * time.Second,
	}
	go func() { _ = srv.Serve(repeatListener{l, e.rec}) }()
}

// identity returns the id of the present incarnation.
func (e *engine) identity() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

// restart starts the engine again after a crash, at the same address and under a new id.
func (e *engine) restart(id string) error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.id, e.born, e.sequence, e.handles, e.listener, e.down = id, time.Now().UnixMilli(), 0, map[string]bool{}, l, false
	e.mu.Unlock()
	e.serve(l)
	e.beat()
	e.rec.say("the engine at %s is back as %s", e.addr, id)
	return nil
}

// hasRun reports whether the engine began to work on a request.
func (e *engine) hasRun(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[id]
}

// beat writes the entry, unless the engine is down.
func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	spec := map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": e.version, "slots": 64, "state": e.state,
		"coldRemainingMs": 0, "sequence": e.sequence, "born": e.born,
	}
	if e.stage != "" {
		spec["stage"] = e.stage
		spec["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	e.store.beat(e.id, spec)
}

func (e *engine) track(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
	}
}

// crash ends the engine: all connections are reset and none is accepted. Its entry lapses.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	_ = e.listener.Close()
	for c := range e.conns {
		if rc, ok := c.(*repeatConn); ok {
			_ = rc.Conn.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
	e.rec.say("engine %s crashes", e.id)
}

// drain announces in the store that the engine leaves.
func (e *engine) drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.beat()
	e.rec.say("engine %s reports draining", e.id)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want, id := r.Header.Get("Expect-Instance"), e.identity(); want != "" && want != id {
		e.rec.add("engine %s answers %s %s, which expects %s, with 421", id, r.Method, r.URL.Path, want)
		if r.URL.Path == "/api/kv-events" {
			e.repeatOn(r)
		}
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.countAnswer()
	switch {
	case r.URL.Path == "/api/report":
		e.report(w)
	case r.URL.Path == "/api/order":
		e.order(w, r)
	case r.URL.Path == "/api/kv-events":
		e.cacheEvents(w)
	case strings.HasPrefix(r.URL.Path, "/api/kv-handle/"):
		e.take(strings.TrimPrefix(r.URL.Path, "/api/kv-handle/"))
		w.WriteHeader(http.StatusOK)
	default:
		e.request(w, r)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": e.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": e.busy, "born": e.born,
		"sequence": e.sequence, "queued": 0, "active": e.active, "kvUsed": 1000 * e.active, "kvTotal": 400000, "kvHandles": len(e.handles),
	})
}

func (e *engine) cacheEvents(w http.ResponseWriter) {
	reply(w, http.StatusOK, map[string]any{"epoch": 1, "next": 0, "lost": false, "events": []any{}})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Stage, Holder string
		FencingToken      uint64
		Expect            *uint64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "stage" || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case o.Stage == e.stage && !e.busy:
		status = http.StatusOK
	case e.busy, o.Expect != nil && *o.Expect != e.sequence:
		status = http.StatusConflict
	default:
		e.busy = true
		e.sequence++
		time.AfterFunc(e.roleSwitch, func() {
			e.mu.Lock()
			e.stage, e.busy = o.Stage, false
			e.mu.Unlock()
			e.beat()
		})
	}
	e.rec.add("engine %s order stage=%s holder=%s token=%d: %d", e.id, o.Stage, o.Holder, o.FencingToken, status)
	w.WriteHeader(status)
}

// take removes a handle, and reports whether it was there.
func (e *engine) take(handle string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.handles[handle] {
		return false
	}
	delete(e.handles, handle)
	return true
}

// notRun answers that a request was not run.
func (e *engine) notRun(w http.ResponseWriter, id string, status int) {
	e.rec.add("engine %s refuses %s with %d, not run", e.id, id, status)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// fleet finds the engine at an address, from which a KV cache is fetched.
var fleet sync.Map

func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	prefill, source := r.Header.Get("Inference-Stage") == "prefill", r.Header.Get("Kv-Source")
	e.mu.Lock()
	stage, busy := e.stage, e.busy
	e.mu.Unlock()
	e.rec.add("engine %s gets %s from %s prefill=%t source=%q last=%q", e.id, id, r.RemoteAddr, prefill, source, r.Header.Get("Last-Event-Id"))
	switch {
	case busy:
		e.notRun(w, id, http.StatusServiceUnavailable)
		return
	case stage != "" && prefill != (stage == "prefill"):
		e.notRun(w, id, http.StatusMisdirectedRequest)
		return
	}
	if source != "" {
		addr, handle, _ := strings.Cut(source, "/")
		from, ok := fleet.Load(addr)
		if !ok || !from.(*engine).take(handle) {
			e.notRun(w, id, http.StatusServiceUnavailable)
			return
		}
	}
	e.mu.Lock()
	e.active++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.active--
		e.mu.Unlock()
	}()
	w.Header().Set("Request-Id", id)
	switch {
	case prefill:
		if !pause(r.Context(), e.prompt) {
			return
		}
		e.mu.Lock()
		e.nextID++
		handle := fmt.Sprintf("%s-%x", e.id, e.nextID)
		e.handles[handle] = true
		e.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"handle": handle, "tokens": 1460, "version": 1})
	case stage == "":
		e.rec.add("engine %s runs %s", e.id, id)
		if !pause(r.Context(), e.first) {
			e.rec.add("engine %s: the caller of %s has left", e.id, id)
			return
		}
		w.Header().Set("Server-Signature", "sig."+e.id+"."+id)
		_, _ = io.WriteString(w, "answer of "+e.id+" to "+id)
	default:
		e.stream(w, r, id, source != "")
	}
}

// stream generates the events after the last one that the caller has.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string, promptRead bool) {
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	first := e.first
	if !promptRead {
		first += e.prompt
	}
	if !pause(r.Context(), first) {
		return
	}
	e.mu.Lock()
	e.ran[id] = true
	e.mu.Unlock()
	e.rec.add("engine %s version %s runs %s from event %d", e.id, e.version, id, from+1)
	w.Header().Set("Server-Signature", "sig."+e.id+"."+id)
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := from + 1; i <= e.events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", i, e.version, e.id, i)
		if rc.Flush() != nil || !pause(r.Context(), e.gap) {
			e.rec.add("engine %s: the caller of %s has left after event %d", e.id, id, i)
			return
		}
	}
	e.rec.add("engine %s completes %s", e.id, id)
}

// pause waits. It returns false if the caller leaves meanwhile.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
