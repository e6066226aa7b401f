// Package plain is a stand-in for a plain HTTP service. It replies to each call with a JSON echo and records the calls.
package plain

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Options configure a Service. Zero values select the defaults.
type Options struct {
	Name string        // service name in each reply; default "service"
	Work time.Duration // processing time of a call; default 0
}

// Steps at which calls can be held by a Control.
const (
	StepReceived = "received" // before the call runs
	StepHead     = "head"     // after the call ran, before the reply
	StepBody     = "body"     // after the header and half of the body of the reply
)

// Actions of a Control.
const (
	ActionHold    = "hold"
	ActionRelease = "release"
	ActionFail    = "fail" // the next Count calls run and are answered with Status
	ActionDrop    = "drop" // the next Count calls run, and their connections are closed without a reply
)

// Control is the body of POST /control.
type Control struct {
	Action string `json:"action"`
	Step   string `json:"step,omitempty"`
	Status int    `json:"status,omitempty"`
	Count  int    `json:"count,omitempty"`
}

// CallRecord describes one call that ran.
type CallRecord struct {
	Number int    `json:"number"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"` // Idempotency-Key
	Body   string `json:"body"`
	AtMs   int64  `json:"atMs"`
	Result string `json:"result"` // running, answered, failed, dropped or abandoned
}

// Record is the reply to GET /record.
type Record struct {
	Calls []CallRecord   `json:"calls"`
	Held  map[string]int `json:"held"` // calls held at present, by step
}

// Answer is the body of the reply to a call.
type Answer struct {
	Service string `json:"service"`
	Number  int    `json:"number"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// Service is a stand-in for a plain HTTP service. It implements http.Handler and is safe for concurrent use.
type Service struct {
	opts Options

	mu        sync.Mutex
	calls     []CallRecord
	gates     map[string]chan struct{} // by step; closed when the step is released
	heldCalls map[string]int           // number of held calls by step
	fault     Control                  // Count is the number of calls that still fail
}

// New returns a stand-in with an empty record.
func New(opts Options) *Service {
	if opts.Name == "" {
		opts.Name = "service"
	}
	return &Service{opts: opts, gates: make(map[string]chan struct{}), heldCalls: make(map[string]int)}
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/record":
		writeJSON(w, s.Record())
	case "/control":
		s.control(w, r)
	default:
		s.call(w, r)
	}
}

// Record returns a copy of the record of calls.
func (s *Service) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := Record{Calls: append([]CallRecord(nil), s.calls...), Held: make(map[string]int)}
	for k, n := range s.heldCalls {
		if n > 0 {
			rec.Held[k] = n
		}
	}
	return rec
}

func (s *Service) control(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Control(c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// Control holds or releases a step, or lets the next calls fail. It returns an error for an unknown action.
func (s *Service) Control(c Control) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch c.Action {
	case ActionHold:
		if s.gates[c.Step] == nil {
			s.gates[c.Step] = make(chan struct{})
		}
	case ActionRelease:
		if g := s.gates[c.Step]; g != nil {
			close(g)
			delete(s.gates, c.Step)
		}
	case ActionFail, ActionDrop:
		s.fault = c
	default:
		return fmt.Errorf("plain: unknown action %q", c.Action)
	}
	return nil
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.wait(r, StepReceived) {
		return
	}
	n, fault := s.beginCall(r, body)
	if s.opts.Work > 0 {
		t := time.NewTimer(s.opts.Work)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
		}
	}
	s.wait(r, StepHead)
	switch fault.Action {
	case ActionDrop:
		s.endCall(n, "dropped")
		panic(http.ErrAbortHandler)
	case ActionFail:
		s.endCall(n, "failed")
		http.Error(w, "failed on request", fault.Status)
		return
	}
	s.answer(w, r, n, body)
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, n int, body []byte) {
	data, err := json.Marshal(Answer{Service: s.opts.Name, Number: n, Method: r.Method, Path: r.URL.RequestURI(), Body: string(body)})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(data[:len(data)/2])
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	s.wait(r, StepBody)
	if _, err := w.Write(data[len(data)/2:]); err != nil || r.Context().Err() != nil {
		s.endCall(n, "abandoned")
		return
	}
	s.endCall(n, "answered")
}

func (s *Service) beginCall(r *http.Request, body []byte) (int, Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.calls)
	s.calls = append(s.calls, CallRecord{
		Number: n, Method: r.Method, Path: r.URL.RequestURI(), Key: r.Header.Get("Idempotency-Key"),
		Body: string(body), AtMs: time.Now().UnixMilli(), Result: "running",
	})
	if s.fault.Count <= 0 {
		return n, Control{}
	}
	s.fault.Count--
	return n, s.fault
}

func (s *Service) endCall(n int, result string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[n].Result = result
}

// wait blocks while step is held. It reports false when the caller has disconnected.
func (s *Service) wait(r *http.Request, step string) bool {
	s.mu.Lock()
	g := s.gates[step]
	if g == nil {
		s.mu.Unlock()
		return true
	}
	s.heldCalls[step]++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.heldCalls[step]--
	}()
	select {
	case <-g:
		return true
	case <-r.Context().Done():
		return false
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
