package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storePage is the number of items of a page of a list.
	storePage = 50
	// storeHistory is how long changes are kept.
	storeHistory = 20 * time.Second
	// storeLatency is how long an answer takes.
	storeLatency = 4 * time.Millisecond
	// heartbeat is the pause between two writes of an engine, and lapse the silence after which its entry is removed.
	heartbeat = 1200 * time.Millisecond
	lapse     = 3 * heartbeat
)

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreateRev  uint64   `json:"createRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	Removed  bool   `json:"removed"`
	Object   object `json:"object"`
	kind     string
	revision uint64
	at       time.Time
}

// store is the platform's metadata store. Each machine reaches it at an address of its own, which can be turned away.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	changes  []change
	dropped  uint64 // revision up to which the history is gone
	changed  chan struct{}
	beats    map[string]time.Time // last write of each engine
}

func newStore() *store {
	s := &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{}), beats: map[string]time.Time{}}
	go s.expire()
	return s
}

// expire removes the entries of engines that have been silent, and old changes.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, at := range s.beats {
			if time.Since(at) > lapse {
				s.removeLocked("servers", id)
			}
		}
		for len(s.changes) > 0 && time.Since(s.changes[0].at) > storeHistory {
			s.dropped = s.changes[0].revision
			s.changes = s.changes[1:]
		}
		s.mu.Unlock()
	}
}

// beat writes an engine's entry.
func (s *store) beat(id string, spec any) {
	data, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats[id] = time.Now()
	s.writeLocked("servers", id, data)
}

// put writes an object as the operator does.
func (s *store) put(kind, name string, spec any) {
	data, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(kind, name, data)
}

func (s *store) writeLocked(kind, name string, spec json.RawMessage) object {
	old, ok := s.objects[kind][name]
	if ok && bytes.Equal(old.Spec, spec) {
		return old
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, CreateRev: s.revision, Finalizers: []string{}}, Spec: spec, Status: []byte("null")}
	if ok {
		o.Metadata.CreateRev = old.Metadata.CreateRev
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.tell(kind, o, false)
	return o
}

func (s *store) removeLocked(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	if kind == "servers" {
		delete(s.beats, name)
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.tell(kind, o, true)
}

func (s *store) tell(kind string, o object, removed bool) {
	s.changes = append(s.changes, change{removed, o, kind, s.revision, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// storePort is the address at which one machine reaches the store.
type storePort struct {
	*store
	addr string

	portMu sync.Mutex
	away   bool // calls of this machine are not answered
}

// open returns a new address of the store.
func (s *store) open() (*storePort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storePort{store: s, addr: l.Addr().String()}
	go func() { _ = http.Serve(l, p) }() //nolint:gosec // ends with the process
	return p, nil
}

// turnAway sets whether the calls of this machine get no answer. Watches that wait get none either.
func (p *storePort) turnAway(away bool) {
	p.portMu.Lock()
	defer p.portMu.Unlock()
	p.away = away
}

func (p *storePort) isAway() bool {
	p.portMu.Lock()
	defer p.portMu.Unlock()
	return p.away
}

func (p *storePort) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	if p.isAway() {
		<-r.Context().Done()
		return
	}
	status, body := p.serve(r)
	if p.isAway() {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (p *storePort) serve(r *http.Request) (int, any) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		return http.StatusNotFound, nil
	}
	kind, name, _ := strings.Cut(rest, "/")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name != "":
		p.mu.Lock()
		defer p.mu.Unlock()
		if o, ok := p.objects[kind][name]; ok {
			return http.StatusOK, o
		}
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet && q.Has("watch"):
		return p.watch(r.Context(), kind, q.Get("watch"), q.Get("waitMs"))
	case r.Method == http.MethodGet:
		return p.list(kind, q.Get("after"))
	}
	var in object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&in) != nil {
		return http.StatusBadRequest, nil
	}
	if v, err := strconv.ParseUint(q.Get("revision"), 10, 64); err == nil {
		in.Metadata.Revision = v
	}
	return p.change(r.Method, kind, name, in)
}

func (p *storePort) change(method, kind, name string, in object) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if method == http.MethodPost {
		if o, ok := p.objects[kind][in.Metadata.Name]; ok {
			return http.StatusConflict, o
		}
		return http.StatusCreated, p.writeLocked(kind, in.Metadata.Name, in.Spec)
	}
	o, ok := p.objects[kind][name]
	switch {
	case !ok:
		return http.StatusNotFound, nil
	case in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision:
		return http.StatusConflict, o
	case method == http.MethodDelete:
		p.removeLocked(kind, name)
		return http.StatusOK, o
	}
	return http.StatusOK, p.writeLocked(kind, name, in.Spec)
}

func (p *storePort) list(kind, after string) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	items := []object{}
	for name, o := range p.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > storePage
	if more {
		items = items[:storePage]
	}
	return http.StatusOK, map[string]any{"items": items, "morePages": more, "storeRevision": p.revision}
}

func (p *storePort) watch(ctx context.Context, kind, from, waitMs string) (int, any) {
	after, err := strconv.ParseUint(from, 10, 64)
	wait, _ := strconv.Atoi(waitMs)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		p.mu.Lock()
		revision, changed, gone := p.revision, p.changed, after < p.dropped || after > p.revision
		events := []change{}
		for _, c := range p.changes {
			if c.kind == kind && c.revision > after {
				events = append(events, c)
			}
		}
		p.mu.Unlock()
		switch {
		case gone:
			return http.StatusGone, nil
		case len(events) > 0 || ctx.Err() != nil:
			return http.StatusOK, map[string]any{"events": events, "storeRevision": revision}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
