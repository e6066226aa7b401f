package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type change struct {
	kind     string
	revision uint64
	Removed  bool   `json:"removed"`
	Object   object `json:"object"`
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 100, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put writes an object without a condition, as the operator and the engines do.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, b)
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	if old, ok := s.objects[kind][name]; ok && bytes.Equal(old.Spec, spec) {
		return old
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o := s.record(kind, object{Metadata: metadata{Name: name}, Spec: spec}, false)
	s.objects[kind][name] = o
	return o
}

func (s *store) record(kind string, o object, removed bool) object {
	s.revision++
	o.Metadata.Revision = s.revision
	s.history = append(s.history, change{kind: kind, revision: s.revision, Removed: removed, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("after"))
	default:
		var in object
		if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, out := s.apply(r, kind, name, in)
		reply(w, status, out)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	const page = 500
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > page
	if more {
		items = items[:page]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "morePages": more, "storeRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) == 0 && ctx.Err() == nil {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
		return
	}
}

// apply executes a write of the system if its condition holds.
func (s *store) apply(r *http.Request, kind, name string, in object) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
		if o, ok := s.objects[kind][name]; ok {
			return http.StatusConflict, o
		}
		return http.StatusCreated, s.write(kind, name, in.Spec)
	}
	o, ok := s.objects[kind][name]
	if !ok {
		return http.StatusNotFound, object{}
	}
	expected := in.Metadata.Revision
	if v, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64); err == nil {
		expected = v
	}
	if expected != 0 && expected != o.Metadata.Revision {
		return http.StatusConflict, o
	}
	if r.Method == http.MethodDelete {
		delete(s.objects[kind], name)
		return http.StatusOK, s.record(kind, o, true)
	}
	return http.StatusOK, s.write(kind, name, in.Spec)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a failed write means that the caller has left
}

// serve serves h at a free port of an address until the process ends.
func serve(ip string, h http.Handler) (address string) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		unable("listen: %v", err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}
