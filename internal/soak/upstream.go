package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fighollow/fighollow/platform/standin"
)

// heartbeat is the pause between two writes of an upstream's object.
const heartbeat = 1200 * time.Millisecond

// Upstream is an engine, or a plain service if its role is empty, that serves as drawn from a seed.
type Upstream struct {
	ID       string
	Service  string
	Role     string
	Address  string // that it registers: of the proxy in front of it
	Listen   string
	Store    string // address of the store
	Seed     uint64
	Faulty   float64 // share of the answers that are cut or followed by other bytes
	Recorder *Recorder

	restart func() // starts the next incarnation

	mu       sync.Mutex
	rnd      *rand.Rand
	id       string // of the incarnation that runs
	listener net.Listener
	conns    map[net.Conn]bool
	crashes  int
	down     bool   // from a crash to the next incarnation
	crashOn  string // part of prompts that crashes the engine; empty for none
	born     int64
	role     string
	orders   uint64
	handles  map[string]bool
	running  int
	draining bool
	limit    float64 // named in answers, in requests a second; 0 for none
}

// Run serves until ctx is done. Then it reports that it drains, serves for drainTime and removes its object.
func (u *Upstream) Run(ctx context.Context, drainTime time.Duration) error {
	u.rnd, u.conns = rand.New(rand.NewPCG(u.Seed, uint64(time.Now().UnixNano()))), make(map[net.Conn]bool)
	srv := &http.Server{Handler: u, ReadHeaderTimeout: 10 * time.Second, ConnState: u.track}
	u.restart = func() {
		for u.start(srv) != nil { // the port may be in use for a moment
			time.Sleep(heartbeat / 4)
		}
	}
	if err := u.start(srv); err != nil {
		return err
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
			u.register()
		}
	}
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	for end := time.Now().Add(drainTime); time.Now().Before(end); time.Sleep(heartbeat / 4) {
		u.register()
	}
	u.call(http.MethodDelete, standin.UpstreamsPath+"/"+u.instance(), nil)
	time.Sleep(drainTime)
	return srv.Close()
}

// start listens and registers an incarnation, which knows nothing of those before it.
func (u *Upstream) start(srv *http.Server) error {
	l, err := net.Listen("tcp", u.Listen)
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	u.mu.Lock()
	u.id, u.listener, u.down, u.crashOn = u.ID, l, false, ""
	if u.crashes > 0 {
		u.id = fmt.Sprintf("%s-%d", u.ID, u.crashes)
	}
	u.born, u.role, u.orders, u.handles, u.limit = time.Now().UnixMilli(), u.Role, 0, make(map[string]bool), 0
	u.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	u.register()
	return nil
}

// track notes the connections, which a crash resets. One that an answer takes over is noted until its end; see serve.
func (u *Upstream) track(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case state == http.StateClosed:
		delete(u.conns, c)
	case state == http.StateNew && u.down:
		reset(c)
	case state == http.StateNew:
		u.conns[c] = true
	}
}

// crashDownTime is how long an engine is away after a crash.
const crashDownTime = 2 * time.Second

// crash resets all connections, and starts the next incarnation after some time.
func (u *Upstream) crash(request, part string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down {
		return
	}
	u.Recorder.Add(Record{Kind: KindCrash, Request: request, Instance: u.id, Part: part})
	u.down = true
	u.crashes++
	_ = u.listener.Close()
	for c := range u.conns {
		reset(c)
	}
	clear(u.conns)
	time.AfterFunc(crashDownTime, u.restart)
}

// instance returns the id of the incarnation that runs.
func (u *Upstream) instance() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.id
}

// register writes the upstream's object, unless it is down.
func (u *Upstream) register() {
	u.mu.Lock()
	if u.down {
		u.mu.Unlock()
		return
	}
	id := u.id
	registration := standin.Registration{
		Service: u.Service, Address: u.Address, DataCentre: soakDataCentre, Version: "v1", Role: u.role, Slots: 16, Draining: u.draining,
		Orders: u.orders, Born: u.born,
	}
	u.mu.Unlock()
	object := map[string]any{"metadata": map[string]any{"name": id}, "spec": registration.Spec()}
	if u.call(http.MethodPut, standin.UpstreamsPath+"/"+id, object) == http.StatusNotFound {
		u.call(http.MethodPost, standin.UpstreamsPath, object)
	}
}

// call sends a call to the store and returns the status, or 0 without an answer.
func (u *Upstream) call(method, path string, body any) int {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // maps of strings and numbers always encode
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.Store+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0 // written again with the next heartbeat
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(standin.HeaderExpectID); want != "" && want != u.instance() {
		w.Header().Set(standin.HeaderNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == limitPath:
		u.setLimit(r.URL.Query().Get("perSecond"))
	case r.URL.Path == crashPath:
		u.mu.Lock()
		u.crashOn = r.URL.Query().Get("part")
		u.mu.Unlock()
	case r.URL.Path == standin.ReportPath:
		u.report(w)
	case r.URL.Path == standin.OrderPath:
		u.order(w, r)
	case r.URL.Path == standin.CacheEventsPath:
		writeJSON(w, map[string]any{"epoch": u.born, "next": 0, "lost": false, "events": []any{}})
	case strings.HasPrefix(r.URL.Path, standin.HandlePath):
		w.WriteHeader(http.StatusOK)
	default:
		u.serve(w, r)
	}
}

// limitPath and crashPath are where the soak sets an upstream's request limit, and the part of prompts that crashes an engine.
const (
	limitPath = "/soak/limit"
	crashPath = "/soak/crash"
)

func (u *Upstream) setLimit(text string) {
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return
	}
	u.mu.Lock()
	u.limit = perSecond
	u.mu.Unlock()
	u.Recorder.Add(Record{Kind: KindLimit, Instance: u.instance(), Limit: perSecond})
}

// nameLimit adds the request limit to the header of an answer.
func (u *Upstream) nameLimit(h http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.limit > 0 {
		h.Set(standin.HeaderLimit, strconv.FormatFloat(u.limit, 'f', -1, 64))
	}
}

func (u *Upstream) report(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	writeJSON(w, standin.Report{Role: u.role, Sequence: u.orders, Born: u.born, Active: u.running, KVTotal: 1000})
}

func (u *Upstream) order(w http.ResponseWriter, r *http.Request) {
	var o standin.Order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.Recorder.Add(Record{Kind: KindOrder, Instance: u.instance(), Holder: o.Holder, Fence: o.Fence})
	u.mu.Lock()
	late := u.Faulty > 0 && u.rnd.IntN(lateOrders) == 0
	u.mu.Unlock()
	if late { // without an answer, and perhaps after newer orders
		time.AfterFunc(lateOrderDelay, func() { u.execute(o.Role, o.Expect) })
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(u.execute(o.Role, o.Expect))
}

const (
	lateOrders     = 8 // one order in so many is carried out late
	lateOrderDelay = 4 * time.Second
)

// execute carries out an order if its condition holds, and returns the status of the answer.
func (u *Upstream) execute(role string, expect *uint64) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if expect != nil && *expect != u.orders {
		return http.StatusConflict
	}
	u.role = role
	u.orders++
	return http.StatusAccepted
}

// serve runs a request, or refuses it.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	id, route := r.Header.Get(standin.HeaderRequest), routeOf(r.URL.Path)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // a request that is not whole does not run
	}
	prefill := r.Header.Get(standin.HeaderStage) == "prefill"
	status := u.admit(prefill, r.Header.Get(standin.HeaderKVSource))
	instance, prompt := u.instance(), r.Header.Get(standin.HeaderPrompt)
	u.Recorder.Add(Record{
		Kind: KindArrive, Request: id, Route: route, Instance: instance, Prefill: prefill, Accepted: prefill && status == 0, Part: partOf(prompt),
		Workspace: strings.Join(r.Header.Values(standin.HeaderWorkspace), ","), KeySeen: hasKey(r.Header),
	})
	u.nameLimit(w.Header())
	if status != 0 {
		w.Header().Set(standin.HeaderNotRun, "1")
		w.WriteHeader(status)
		return
	}
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
	}()
	if prefill {
		u.pause(20)
		w.Header().Set(standin.HeaderRequest, id)
		writeJSON(w, map[string]any{"handle": u.addHandle(), "tokens": 10, "version": 1})
		return
	}
	u.Recorder.Add(Record{Kind: KindRun, Request: id, Route: route, Instance: instance})
	u.pause(40)
	if part := partOf(prompt); part != "" && u.crashesOn(part) {
		u.crash(id, part)
		panic(http.ErrAbortHandler)
	}
	if isStream(route) && r.Header.Get(standin.HeaderWorkspace) != "" {
		u.Recorder.Add(Record{Kind: KindBegin, Request: id, Route: route, Instance: instance})
	}
	header := http.Header{standin.HeaderRequest: {id}, standin.HeaderSignature: {"sig-" + instance}}
	u.nameLimit(header)
	body := expectedBody(route, id)
	if isStream(route) {
		header.Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEvent)) // 0 if there is none
		body = strings.Join(streamEvents(id, after), "")
	}
	u.mu.Lock()
	d := drawDelivery(u.rnd, u.Faulty, header, body, isStream(route))
	u.mu.Unlock()
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() {
		c.Close()
		u.track(c, http.StateClosed)
	}()
	if d.answer.Send(c, d.cut, d.reset) == nil && d.late != "" {
		_, _ = io.WriteString(c, d.late) // the caller may have closed the connection
	}
}

// hasKey reports whether a header has a caller's key, in whichever field.
func hasKey(h http.Header) bool {
	for name, values := range h {
		if name == standin.HeaderKey || strings.Contains(strings.Join(values, ","), keyPrefix) {
			return true
		}
	}
	return false
}

func (u *Upstream) crashesOn(part string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashOn == part
}

// admit returns 0, or the status with which the upstream refuses.
func (u *Upstream) admit(prefill bool, source string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.role != "" && prefill != (u.role == "prefill"):
		return http.StatusMisdirectedRequest
	case u.running >= 16, source != "" && u.rnd.IntN(50) == 0:
		return http.StatusServiceUnavailable
	}
	u.running++
	return 0
}

func (u *Upstream) addHandle() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	h := fmt.Sprintf("%s-%d", u.id, u.rnd.Uint64())
	u.handles[h] = true
	return h
}

// pause works for a drawn time of this mean, in milliseconds.
func (u *Upstream) pause(meanMs float64) {
	u.mu.Lock()
	d := time.Duration(u.rnd.ExpFloat64() * meanMs * float64(time.Millisecond))
	u.mu.Unlock()
	time.Sleep(min(d, 2*time.Second))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has left
}
