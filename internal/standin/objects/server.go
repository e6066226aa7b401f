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

// DefaultMaxWait bounds how long a watch waits for a write.
const DefaultMaxWait = 30 * time.Second

// Options adjust a Server; the zero value means the defaults.
type Options struct {
	History int           // writes kept for watches; default 10,000
	MaxWait time.Duration // bound of a watch's waiting time; default 30 s
}

// Control is the body of POST /control and the answer of GET /control. It replaces all faults in force.
type Control struct {
	Down       bool  `json:"down,omitempty"`       // connections close without an answer and calls have no effect
	SlowMs     int64 `json:"slowMs,omitempty"`     // delay before each call takes effect
	LoseWrites int   `json:"loseWrites,omitempty"` // so many next writes take effect and get no answer
	// HoldWrites delays so many next writes until a Control with HoldWrites 0 arrives, even if the writer is gone by then.
	HoldWrites int `json:"holdWrites,omitempty"`
}

// Counts is the answer of GET /counts: calls taken so far, by kind, and watches that wait now.
type Counts struct {
	Gets    int64 `json:"gets"`
	Lists   int64 `json:"lists"`
	Puts    int64 `json:"puts"`
	Deletes int64 `json:"deletes"`
	Watches int64 `json:"watches"`
	Waiting int64 `json:"waiting"`
	Refused int64 `json:"refused"` // calls that arrived while the API was down
}

// Server is the stand-in. It implements http.Handler.
type Server struct {
	opts  Options
	store *store
	mux   *http.ServeMux

	mu       sync.Mutex
	control  Control
	released chan struct{} // closed when held writes may go on
	downed   chan struct{} // closed when the API goes down, which ends waiting watches
	counts   Counts
}

// New returns an empty Server.
func New(opts Options) *Server {
	if opts.MaxWait <= 0 {
		opts.MaxWait = DefaultMaxWait
	}
	s := &Server{
		opts: opts, store: newStore(opts.History), mux: http.NewServeMux(),
		released: make(chan struct{}), downed: make(chan struct{}),
	}
	s.mux.HandleFunc("GET /objects", s.api(s.list))
	s.mux.HandleFunc("GET /objects/{kind}/{name}", s.api(s.get))
	s.mux.HandleFunc("PUT /objects/{kind}/{name}", s.api(s.put))
	s.mux.HandleFunc("DELETE /objects/{kind}/{name}", s.api(s.remove))
	s.mux.HandleFunc("GET /watch", s.api(s.watch))
	s.mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Record()) })
	s.mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Counts()) })
	s.mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Control()) })
	s.mux.HandleFunc("POST /control", s.postControl)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Load writes objects as if a client had put them. Only Kind, Name and Value are used.
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

// Record returns every write decided so far, conflicts included.
func (s *Server) Record() []Write { return s.store.recorded() }

// Counts returns the calls so far.
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
		close(s.downed)
		s.downed = make(chan struct{})
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
		fail(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	s.SetControl(c)
	reply(w, c)
}

// api applies the faults that concern every call.
func (s *Server) api(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			s.delay(r.Context())
		}
		if s.Control().Down {
			s.count(&s.counts.Refused, 1)
			drop()
		}
		h(w, r)
	}
}

// delay applies Control.SlowMs. It ends early with ctx.
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

// drop ends the connection without an answer.
func drop() { panic(http.ErrAbortHandler) }

func (s *Server) count(n *int64, by int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n += by
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.count(&s.counts.Lists, 1)
	objects, version := s.store.list(fighollow.Kind(r.URL.Query().Get("kind")))
	reply(w, listing{objects, version})
}

type listing struct {
	Objects []fighollow.Object `json:"objects"`
	Version uint64             `json:"version"`
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.count(&s.counts.Gets, 1)
	o, ok := s.store.get(keyOf(r))
	if !ok {
		fail(w, http.StatusNotFound, "notFound", "no such object")
		return
	}
	reply(w, o)
}

func keyOf(r *http.Request) key {
	return key{fighollow.Kind(r.PathValue("kind")), r.PathValue("name")}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	s.count(&s.counts.Puts, 1)
	value, err := io.ReadAll(io.LimitReader(r.Body, fighollow.MaxValueBytes+1))
	if err != nil {
		drop() // the writer broke off
	}
	if len(value) > fighollow.MaxValueBytes {
		fail(w, http.StatusRequestEntityTooLarge, "tooLarge", "the value exceeds 1 MiB")
		return
	}
	if !json.Valid(value) {
		fail(w, http.StatusBadRequest, "invalid", "the value is not JSON")
		return
	}
	k := keyOf(r)
	s.decide(w, r, fighollow.Object{Kind: k.kind, Name: k.name, Value: value})
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.count(&s.counts.Deletes, 1)
	k := keyOf(r)
	s.decide(w, r, fighollow.Object{Kind: k.kind, Name: k.name, Deleted: true})
}

func (s *Server) decide(w http.ResponseWriter, r *http.Request, o fighollow.Object) {
	expected, err := strconv.ParseUint(r.URL.Query().Get("expected"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "invalid", "expected must be a version")
		return
	}
	s.delay(context.Background()) // a slow write takes effect even when its writer has given up
	lose := s.admitWrite()
	line := Write{
		AtMs: time.Now().UnixMilli(), Writer: r.Header.Get("X-Writer"), Kind: string(o.Kind), Name: o.Name,
		Expected: expected, Deleted: o.Deleted, WriteID: writeID(o.Value), Lost: lose, Value: o.Value,
	}
	version := s.store.write(line, o)
	if lose {
		drop()
	}
	if version == 0 {
		fail(w, http.StatusConflict, "conflict", "the present version is another one")
		return
	}
	reply(w, struct {
		Version uint64 `json:"version"`
	}{version})
}

// admitWrite waits while writes are held and reports whether the answer is to be withheld.
func (s *Server) admitWrite() (lose bool) {
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
		fail(w, http.StatusBadRequest, "invalid", "after must be a version")
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
	objects, next, err := s.await(ctx, fighollow.Kind(r.URL.Query().Get("kind")), after)
	if errors.Is(err, errExpired) {
		fail(w, http.StatusGone, "expired", "the history after that version is gone")
		return
	}
	reply(w, listing{objects, next})
}

// await waits for writes to objects of a kind (of any kind when it is empty), and returns them with the version to
// watch from next.
func (s *Server) await(ctx context.Context, kind fighollow.Kind, after uint64) ([]fighollow.Object, uint64, error) {
	s.mu.Lock()
	downed := s.downed
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
		case <-downed:
			drop()
		case <-ctx.Done():
			return []fighollow.Object{}, after, nil
		}
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client is gone.
	_ = json.NewEncoder(w).Encode(v)
}

func fail(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"code": code, "message": message})
}
