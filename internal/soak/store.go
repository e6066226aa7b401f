package soak

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fighollow/fighollow/platform/standin"
)

// Modes of the store, for FaultStore.
const (
	storeUp      = "up"
	storeSilent  = "silent"
	storeDown    = "down"
	storeCompact = "compact"
	storeReturn  = "return"
)

// copyAge is how old the copy is from which the store comes back.
const copyAge = 2 * time.Second

// StoreServer is the platform's store: a stand-in that removes upstreams which no longer write, and is told its faults.
type StoreServer struct {
	store *standin.Store

	mu      sync.Mutex
	mode    string
	written map[string]time.Time // when an upstream last wrote, by its name
}

// NewStoreServer returns an empty store.
func NewStoreServer() *StoreServer {
	s := &StoreServer{store: standin.NewStore(), mode: storeUp, written: make(map[string]time.Time)}
	s.store.BeginEras()
	s.store.Copy()
	go s.keepCopies()
	go s.expire()
	return s
}

// keepCopies takes a copy now and then, so that a return goes back by copyAge at most.
func (s *StoreServer) keepCopies() {
	for range time.Tick(copyAge) {
		s.store.Copy()
	}
}

// expire removes upstreams after three heartbeats of silence.
func (s *StoreServer) expire() {
	for range time.Tick(heartbeat / 4) {
		s.mu.Lock()
		for name, at := range s.written {
			if s.mode == storeUp && time.Since(at) > 3*heartbeat {
				delete(s.written, name)
				s.store.Remove(standin.KindUpstreams, name)
			}
		}
		s.mu.Unlock()
	}
}

// ServeHTTP implements http.Handler. A POST to /mode/MODE sets the mode.
func (s *StoreServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if mode, ok := strings.CutPrefix(r.URL.Path, "/mode/"); ok {
		s.setMode(mode)
		return
	}
	s.mu.Lock()
	away := s.mode != storeUp
	if name, ok := strings.CutPrefix(r.URL.Path, standin.UpstreamsPath+"/"); ok && !away && r.Method == http.MethodPut {
		s.written[name] = time.Now()
	}
	s.mu.Unlock()
	s.store.ServeHTTP(w, r)
}

func (s *StoreServer) setMode(mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch mode {
	case storeCompact:
		s.store.Compact()
		return
	case storeSilent:
		s.store.SetFaults(standin.StoreFaults{Silent: true})
	case storeDown:
		s.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	case storeReturn:
		s.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
		s.store.Return()
	default:
		s.store.SetFaults(standin.StoreFaults{})
		for name := range s.written {
			s.written[name] = time.Now() // the platform counts silence anew
		}
	}
	s.mode = mode
}
