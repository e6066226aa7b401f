package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// engine is a model engine, or an instance of a plain service if it has no stage.
type engine struct {
	id, service, stage, address string
	slots                       int
	version                     string // of its software
	born                        int64
	st                          *store

	mu       sync.Mutex
	sequence int  // accepted orders
	busy     bool // the stage changes
	runs     []engineRun
	next     int                                               // number of the last handle
	handle   func(w http.ResponseWriter, r *http.Request) bool // takes a request over; nil for none
}

// engineRun is a request that the engine began to run.
type engineRun struct {
	id, path, after string
	at              time.Time
}

// roleSwitch is how long a change of the stage takes.
const roleSwitch = 3 * time.Second

// startEngine starts an engine and writes its entry into the store, which keeps it.
func startEngine(st *store, id, service, stage, ip string, slots int) *engine {
	e := &engine{id: id, service: service, stage: stage, slots: slots, version: "v1", born: time.Now().UnixMilli(), st: st}
	e.address = serve(ip, e)
	e.register()
	return e
}

func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	spec := map[string]any{
		"service": e.service, "address": e.address, "zone": zone, "version": e.version, "slots": e.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": e.sequence, "born": e.born,
	}
	if e.stage != "" {
		spec["stage"], spec["models"] = e.stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	e.st.put("servers", e.id, spec)
}

// process is one run of a model engine at an address that it keeps. It ends with all its connections.
type process struct {
	server *http.Server
}

// run begins to serve at the engine's address.
func (e *engine) run() *process {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		unable("engine %s: %v", e.id, err)
	}
	p := &process{server: &http.Server{Handler: e}}
	go func() { _ = p.server.Serve(l) }()
	return p
}

// crash ends the run.
func (p *process) crash() { _ = p.server.Close() }

// began returns the requests that the engine began to run.
func (e *engine) began() []engineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engineRun(nil), e.runs...)
}

func (e *engine) signature(id string) string { return "sig." + e.id + "." + id }

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/api/report":
		e.mu.Lock()
		report := map[string]any{
			"stage": e.stage, "models": []any{}, "busy": e.busy, "sequence": e.sequence, "born": e.born, "queued": 0, "active": 1,
			"kvUsed": 1000, "kvTotal": 532628, "kvHandles": 0,
		}
		e.mu.Unlock()
		reply(w, http.StatusOK, report)
		return
	case r.URL.Path == "/api/kv-events":
		reply(w, http.StatusOK, map[string]any{"epoch": e.born, "next": 0, "lost": false, "events": []any{}})
		return
	case r.URL.Path == "/api/order":
		w.WriteHeader(e.order(r))
		return
	case strings.HasPrefix(r.URL.Path, "/api/kv-handle/"):
		w.WriteHeader(http.StatusOK)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	isPrefill := r.Header.Get("Inference-Stage") == "prefill"
	e.mu.Lock()
	busy, stage := e.busy, e.stage
	e.mu.Unlock()
	switch {
	case busy:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case stage != "" && isPrefill != (stage == "prefill"):
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if isPrefill {
		e.mu.Lock()
		e.next++
		handle := fmt.Sprintf("%s%06x", e.id, e.next)
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "tokens": 10, "version": 1})
		return
	}
	e.mu.Lock()
	e.runs = append(e.runs, engineRun{id, r.URL.Path, r.Header.Get("Last-Event-Id"), time.Now()})
	e.mu.Unlock()
	w.Header().Set("Server-Signature", e.signature(id))
	if e.handle != nil && e.handle(w, r) {
		return
	}
	if stage == "" {
		fmt.Fprintf(w, "answer to %s", id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= 3; n++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		_ = http.NewResponseController(w).Flush()
	}
}

// order carries out an order and returns the status of its answer.
func (e *engine) order(r *http.Request) int {
	var o struct {
		Op     string `json:"op"`
		Stage  string `json:"stage"`
		Expect int    `json:"expect"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "stage" {
		return http.StatusBadRequest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy || o.Expect != e.sequence:
		return http.StatusConflict
	case o.Stage == e.stage:
		return http.StatusOK
	}
	e.sequence++
	e.busy = true
	time.AfterFunc(roleSwitch, func() {
		e.mu.Lock()
		e.stage, e.busy = o.Stage, false
		e.mu.Unlock()
		e.register()
	})
	return http.StatusAccepted
}

// newConfig returns a configuration like that of a small deployment.
func newConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "memo", "host": host, "pathPrefix": "/memo/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 1500,
				"priority": 2, "service": "models", "maxAttempts": 2, "sessionAffinity": true, "resumable": true, "gapTargetMs": 300,
			},
			map[string]any{
				"name": "status", "host": host, "pathPrefix": "/status/", "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 150,
				"priority": 2, "service": "portal", "maxAttempts": 1, "sessionAffinity": false,
			},
			map[string]any{
				"name": "fetch", "host": host, "pathPrefix": "/fetch/", "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 150,
				"priority": 2, "service": "portal", "maxAttempts": 2, "sessionAffinity": false,
			},
		},
		"services": []any{
			map[string]any{
				"name": "models", "healthCheck": "/healthz", "maxConnections": 620, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 128, "kvCapacityTokens": 532628, "kvTokenBytes": 35136, "bandwidthMbps": 390000.0, "moves": true, "backups": true,
					"stride": 6, "most": 12, "handleTtlS": 5.0, "roleSwitchS": 3.0, "pinMs": 4000.0, "holdMs": 2000.0,
					"models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": "portal", "healthCheck": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
