package objects

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// DefaultMaxWait is the longest time that a watch waits for a write by default.
const DefaultMaxWait = 30 * time.Second

// Options configure a Server. Zero values select the defaults.
type Options struct {
	History int           // number of writes kept for watches; default 10,000
	MaxWait time.Duration // longest wait of a watch; default 30 s
}

// Control is the body of POST /control and the reply to GET /control. It replaces all faults in force.
type Control struct {
	Down       bool  `json:"down,omitempty"`       // connections are closed without a reply, and calls have no effect
	SlowMs     int64 `json:"slowMs,omitempty"`     // delay before each call takes effect
	LoseWrites int   `json:"loseWrites,omitempty"` // the next LoseWrites writes take effect but get no reply
	// HoldWrites holds back the next HoldWrites writes until a Control with HoldWrites 0 arrives. They take effect then, even if the
	// writer has disconnected.
	HoldWrites int `json:"holdWrites,omitempty"`
}

// Counts is the reply to GET /counts: the calls handled so far, by method, and the watches that wait at present.
type Counts struct {
	Gets    int64 `json:"gets"`
	Lists   int64 `json:"lists"`
	Puts    int64 `json:"puts"`
	Deletes int64 `json:"deletes"`
	Watches int64 `json:"watches"`
	Waiting int64 `json:"waiting"` // watches
	Refused int64 `json:"refused"` // calls that arrived while the API was down
}

// Server is a stand-in for the object API. It implements http.Handler and is safe for concurrent use.
type Server struct {
	opts  Options
	store *store
	mux   *http.ServeMux

	mu       sync.Mutex
	control  Control
	released chan struct{} // closed and replaced when held writes are released
	wentDown chan struct{} // closed and replaced when the API goes down, which breaks waiting watches
	counts   Counts
}

// New returns a Server without objects.
func New(opts Options) *Server {
	if opts.MaxWait <= 0 {
		opts.MaxWait = DefaultMaxWait
	}
	s := &Server{
		opts: opts, store: newStore(opts.History), mux: http.NewServeMux(),
		released: make(chan struct{}), wentDown: make(chan struct{}),
	}
	s.mux.HandleFunc("GET /objects", s.withFaults(s.list))
	s.mux.HandleFunc("GET /objects/{kind}/{name}", s.withFaults(s.get))
	s.mux.HandleFunc("PUT /objects/{kind}/{name}", s.withFaults(s.put))
	s.mux.HandleFunc("DELETE /objects/{kind}/{name}", s.withFaults(s.remove))
	s.mux.HandleFunc("GET /watch", s.withFaults(s.watch))
	s.mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Record()) })
	s.mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	s.mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Control()) })
	s.mux.HandleFunc("POST /control", s.postControl)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Load creates objects as a client with the writer name "load" would. It uses only their Kind, Name and Value, and returns an
// error when an object already exists.
func (s *Server) Load(objects []fighollow.Object) error {
	for _, o := range objects {
		o = fighollow.Object{Kind: o.Kind, Name: o.Name, Value: o.Value}
		w := Write{AtMs: time.Now().UnixMilli(), Writer: "load", Kind: string(o.Kind), Name: o.Name, WriteID: writeID(o.Value), Value: o.Value}
		if s.store.write(w, o) == 0 {
			return fmt.Errorf("objects: %s/%s exists", o.Kind, o.Name)
		}
	}
	return nil
}

// Record returns the writes that were applied or refused so far, in order.
func (s *Server) Record() []Write { return s.store.writes() }

// Counts returns the number of calls so far and of waiting watches.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Control returns the faults in force.
func (s *Server) Control() Control {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control
}

// SetControl replaces the faults in force.
func (s *Server) SetControl(c Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Down && !s.control.Down {
		close(s.wentDown)
		s.wentDown = make(chan struct{})
	}
	if c.HoldWrites == 0 {
		close(s.released)
		s.released = make(chan struct{})
	}
	s.control = c
}

func (s *Server) postControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	s.SetControl(c)
	writeJSON(w, c)
}

// withFaults wraps a handler with the faults Down and SlowMs. Writes are delayed by conditionalWrite instead.
func (s *Server) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			s.delay(r.Context())
		}
		if s.Control().Down {
			s.count(&s.counts.Refused, 1)
			abort()
		}
		h(w, r)
	}
}

// delay waits for Control.SlowMs or until ctx ends.
func (s *Server) delay(ctx context.Context) {
	ms := s.Control().SlowMs
	if ms <= 0 {
		return
	}
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-ctx.Done():
	}
}

// abort closes the connection without a reply.
func abort() { panic(http.ErrAbortHandler) }

func (s *Server) count(n *int64, by int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n += by
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.count(&s.counts.Lists, 1)
	objects, version := s.store.list(fighollow.Kind(r.URL.Query().Get("kind")))
	writeJSON(w, listing{objects, version})
}

type listing struct {
	Objects []fighollow.Object `json:"objects"`
	Version uint64             `json:"version"`
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.count(&s.counts.Gets, 1)
	o, ok := s.store.get(keyOf(r))
	if !ok {
		writeError(w, http.StatusNotFound, "notFound", "no such object")
		return
	}
	writeJSON(w, o)
}

func keyOf(r *http.Request) key {
	return key{fighollow.Kind(r.PathValue("kind")), r.PathValue("name")}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	s.count(&s.counts.Puts, 1)
	value, err := io.ReadAll(io.LimitReader(r.Body, fighollow.MaxValueBytes+1))
	if err != nil {
		abort() // the client broke off the request
	}
	if len(value) > fighollow.MaxValueBytes {
		writeError(w, http.StatusRequestEntityTooLarge, "tooLarge", "the value exceeds 1 MiB")
		return
	}
	if !json.Valid(value) {
		writeError(w, http.StatusBadRequest, "invalid", "the value is not JSON")
		return
	}
	k := keyOf(r)
	s.conditionalWrite(w, r, fighollow.Object{Kind: k.kind, Name: k.name, Value: value})
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.count(&s.counts.Deletes, 1)
	k := keyOf(r)
	s.conditionalWrite(w, r, fighollow.Object{Kind: k.kind, Name: k.name, Deleted: true})
}

func (s *Server) conditionalWrite(w http.ResponseWriter, r *http.Request, o fighollow.Object) {
	expected, err := strconv.ParseUint(r.URL.Query().Get("expected"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid", "expected must be a version")
		return
	}
	s.delay(context.Background()) // a delayed write takes effect even when its client has disconnected
	loseReply := s.admitWrite()
	rec := Write{
		AtMs: time.Now().UnixMilli(), Writer: r.Header.Get("X-Writer"), Kind: string(o.Kind), Name: o.Name,
		Expected: expected, Deleted: o.Deleted, WriteID: writeID(o.Value), Lost: loseReply, Value: o.Value,
	}
	version := s.store.write(rec, o)
	if loseReply {
		abort()
	}
	if version == 0 {
		writeError(w, http.StatusConflict, "conflict", "the present version is another one")
		return
	}
	writeJSON(w, struct {
		Version uint64 `json:"version"`
	}{version})
}

// admitWrite blocks while the write is held back, and reports whether its reply must be withheld.
func (s *Server) admitWrite() (loseReply bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.control.HoldWrites > 0 {
		s.control.HoldWrites--
		released := s.released
		s.mu.Unlock()
		<-released
		s.mu.Lock()
	}
	if s.control.LoseWrites > 0 {
		s.control.LoseWrites--
		return true
	}
	return false
}

func writeID(value json.RawMessage) string {
	var v struct {
		WriteID string `json:"writeId"`
	}
	if json.Unmarshal(value, &v) != nil {
		return ""
	}
	return v.WriteID
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.count(&s.counts.Watches, 1)
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid", "after must be a version")
		return
	}
	wait := s.opts.MaxWait
	if ms, err := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64); err == nil {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	s.count(&s.counts.Waiting, 1)
	defer s.count(&s.counts.Waiting, -1)
	objects, next, err := s.awaitWrites(ctx, fighollow.Kind(r.URL.Query().Get("kind")), after)
	if errors.Is(err, errExpired) {
		writeError(w, http.StatusGone, "expired", "the history after that version is gone")
		return
	}
	writeJSON(w, listing{objects, next})
}

// awaitWrites waits for writes to objects of a kind, or of any kind if kind is empty. It returns them with the version from which to
// watch next, and no objects when ctx ends first.
func (s *Server) awaitWrites(ctx context.Context, kind fighollow.Kind, after uint64) ([]fighollow.Object, uint64, error) {
	s.mu.Lock()
	wentDown := s.wentDown
	s.mu.Unlock()
	for {
		objects, changed, err := s.store.since(after)
		if err != nil {
			return nil, after, err
		}
		if len(objects) > 0 {
			after = objects[len(objects)-1].Version
		}
		if kind != "" {
			objects = slices.DeleteFunc(objects, func(o fighollow.Object) bool { return o.Kind != kind })
		}
		if len(objects) > 0 {
			return objects, after, nil
		}
		select {
		case <-changed:
		case <-wentDown:
			abort()
		case <-ctx.Done():
			return []fighollow.Object{}, after, nil
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only when the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"code": code, "message": message})
}
