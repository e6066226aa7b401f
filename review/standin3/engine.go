//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fighollow/fighollow/platform/standin"
)

const (
	// engineDown is how long an engine is down after a crash, and engineLapse when the store drops the registration of the incarnation that
	// crashed: after three heartbeats.
	engineDown  = 2 * time.Second
	engineLapse = 3600 * time.Millisecond
	// roleSwitch is how long an engine takes to change its stage, as the configuration says.
	roleSwitch = 3 * time.Second
	// prefillTime and eventTime are how long an engine takes for a prompt, and for an event of a stream.
	prefillTime = 20 * time.Millisecond
	eventTime   = 100 * time.Millisecond
)

// arrival is a request that reached an engine.
type arrival struct {
	at          time.Time
	request     string
	prompt      string
	fingerprint string // method, path and body
}

// engine is a model engine that can crash under a request. Unlike standin.Engine it registers its stage again after an order.
type engine struct {
	b       *bench
	name    string
	version string // of its software
	events  int    // of a stream
	// crashes reports whether the engine crashes under a request, and after how many events of its answer.
	crashes func(prompt, body string) (after int, ok bool)

	mu       sync.Mutex
	run      int // incarnation
	id       string
	born     int64
	role     string
	sequence int
	changing bool
	draining bool
	down     bool
	gone     bool // it does not come back after a crash
	active   int
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	arrivals []arrival
	crashed  []time.Time
	handles  int
}

// noCrash is an engine's crashes if none happen.
func noCrash(string, string) (int, bool) { return 0, false }

// startEngine starts and registers an engine.
func (b *bench) startEngine(name, role, version string, events int, crashes func(prompt, body string) (int, bool)) (*engine, error) {
	e := &engine{b: b, name: name, role: role, version: version, events: events, crashes: crashes, address: "127.0.0.1:0"}
	e.mu.Lock()
	defer e.mu.Unlock()
	b.closers = append(b.closers, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.down = true
		e.listener.Close()
	})
	return e, e.start()
}

// start begins an incarnation. e.mu must be held.
func (e *engine) start() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.run++
	e.id, e.born, e.sequence, e.changing, e.down, e.active = fmt.Sprintf("i-%s-%d", e.name, e.run), time.Now().UnixMilli(), 0, false, false, 0
	e.address, e.listener, e.conns = l.Addr().String(), l, make(map[net.Conn]bool)
	s := &http.Server{Handler: e, ConnState: e.track} //nolint:gosec // a stand-in
	go s.Serve(l)                                     //nolint:errcheck // ends with the listener
	e.register()
	return nil
}

// register writes the engine's entry. e.mu must be held.
func (e *engine) register() {
	e.b.store.Put("servers", e.id, object{
		"service": "models", "address": e.address, "zone": "zone-a", "version": e.version, "slots": 64, "state": e.state(), "coldRemainingMs": 0,
		"stage": e.role, "models": []object{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": e.sequence, "born": e.born,
	})
}

// state returns the engine's state. e.mu must be held.
func (e *engine) state() string {
	if e.draining {
		return "draining"
	}
	return "ready"
}

// stage returns the engine's stage, and serves whether it takes requests.
func (e *engine) stage() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

func (e *engine) serves() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.draining && !e.down && !e.changing
}

// drain makes the engine leave: it serves on, and its entry goes a little later than drainTime.
func (e *engine) drain(drainTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.register()
	id := e.id
	time.AfterFunc(drainTime+500*time.Millisecond, func() { e.b.store.Remove("servers", id) })
}

func (e *engine) track(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[c] = true
	case http.StateClosed:
		delete(e.conns, c)
	}
}

// crash ends the incarnation: its connections are reset. The next one starts some seconds later under another id.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	e.crashed = append(e.crashed, time.Now())
	e.listener.Close()
	for c := range e.conns {
		_ = c.(*net.TCPConn).SetLinger(0) // the close below resets
		go c.Close()
	}
	old := e.id
	time.AfterFunc(engineLapse, func() { e.b.store.Remove("servers", old) })
	if e.gone {
		return
	}
	time.AfterFunc(engineDown, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if err := e.start(); err != nil {
			e.b.rec.logf("engine %s is not back: %v", e.name, err)
		}
	})
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	id, role, down, changing := e.id, e.role, e.down, e.changing
	e.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Instance-Id", id)
	if want := r.Header.Get(standin.HeaderExpectID); want != "" && want != id {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == standin.ReportPath:
		e.mu.Lock()
		defer e.mu.Unlock()
		reply(w, object{"stage": e.role, "busy": e.changing, "sequence": e.sequence, "born": e.born, "queued": 0, "active": e.active, "kvUsed": 0, "kvTotal": 460939, "kvHandles": 0})
	case r.URL.Path == standin.OrderPath:
		e.order(w, r)
	case r.URL.Path == standin.CacheEventsPath:
		reply(w, object{"epoch": e.born, "next": 0, "lost": false, "events": []any{}})
	case strings.HasPrefix(r.URL.Path, "/api/"):
		w.WriteHeader(http.StatusOK)
	case changing:
		refuse(w, http.StatusServiceUnavailable)
	default:
		e.serve(w, r, id, role)
	}
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(standin.HeaderNotRun, "1")
	w.WriteHeader(status)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has left
}

// order carries an order out: running work goes on, and the engine is back in its new stage after roleSwitch.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o standin.Order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changing || o.Expect != nil && *o.Expect != uint64(e.sequence) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.sequence++
	e.changing = true
	run := e.run
	time.AfterFunc(roleSwitch, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.run != run || e.down {
			return
		}
		e.changing, e.role = false, o.Role
		e.register()
	})
	w.WriteHeader(http.StatusAccepted)
}

// serve runs a request: a prefill, or a stream.
func (e *engine) serve(w http.ResponseWriter, r *http.Request, id, role string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request, prompt := r.Header.Get(standin.HeaderRequest), r.Header.Get(standin.HeaderPrompt)
	prefill := r.Header.Get(standin.HeaderStage) == "prefill"
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{time.Now(), request, prompt, r.Method + " " + r.RequestURI + " " + string(body)})
	e.handles++
	handle := fmt.Sprintf("%s-%x", id, e.handles)
	e.mu.Unlock()
	w.Header().Set(standin.HeaderRequest, request)
	if prefill != (role == "prefill") {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	e.add(1)
	defer e.add(-1)
	if prefill {
		time.Sleep(prefillTime)
		reply(w, object{"handle": handle, "tokens": 1460, "version": 1})
		return
	}
	w.Header().Set(standin.HeaderSignature, "sig-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	after, crashes := e.crashes(prompt, string(body))
	first, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEvent)) // 0 if there is none
	for i := first; i < e.events; i++ {
		if crashes && i-first == after {
			e.b.rec.logf("engine %s crashes under request %s after %d events", id, request, i)
			e.crash()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i+1, request, i+1)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(eventTime):
		case <-r.Context().Done():
			return
		}
	}
}

func (e *engine) add(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active += n
}

// allCrashes returns the times of the crashes of all engines, in order.
func allCrashes(engines []*engine) []time.Time {
	var out []time.Time
	for _, e := range engines {
		e.mu.Lock()
		out = append(out, e.crashed...)
		e.mu.Unlock()
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// arrivedAfter returns how many requests, told apart by their ids, reached engines after a time.
func arrivedAfter(engines []*engine, from time.Time, matches func(arrival) bool) int {
	ids := make(map[string]bool)
	for _, e := range engines {
		e.mu.Lock()
		for _, a := range e.arrivals {
			if a.at.After(from) && matches(a) {
				ids[a.request] = true
			}
		}
		e.mu.Unlock()
	}
	return len(ids)
}
