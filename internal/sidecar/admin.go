package sidecar

import (
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/fighollow/fighollow/internal/admission"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	adminTimeout     = 5 * time.Second
	adminIdleTimeout = 30 * time.Second
)

// gauges are the metrics of the process.
type gauges struct {
	registry   metrics.Registry
	accepted   metrics.Counter
	resumed    metrics.Counter
	orders     metrics.Counter
	restarts   metrics.Counter
	firstToken metrics.Histogram // microseconds

	mu sync.Mutex // guards the creation of counters by code and outcome
}

func newGauges(s *Sidecar) *gauges {
	r := metrics.NewRegistry()
	g := &gauges{
		registry:   r,
		accepted:   metrics.NewRegisteredCounter("attempts.accepted", r),
		resumed:    metrics.NewRegisteredCounter("attempts.resumed", r),
		orders:     metrics.NewRegisteredCounter("engine.orders", r),
		restarts:   metrics.NewRegisteredCounter("engine.restarts", r),
		firstToken: metrics.NewHistogram(metrics.NewExpDecaySample(512, 0.015)),
	}
	_ = r.Register("attempts.firstTokenMicros", g.firstToken) // the name is new in this registry
	load := func(part func(l fighollow.Load) int) func() int64 {
		return func() int64 { return int64(part(s.load())) }
	}
	metrics.NewRegisteredFunctionalGauge("slots.all", r, load(func(l fighollow.Load) int { return l.Slots }))
	metrics.NewRegisteredFunctionalGauge("slots.running", r, load(func(l fighollow.Load) int { return l.Running }))
	metrics.NewRegisteredFunctionalGauge("queue.length", r, load(func(l fighollow.Load) int { return l.Queued }))
	return g
}

func (g *gauges) refused(code fighollow.Code) { g.counter("attempts.refused." + string(code)).Inc(1) }

func (g *gauges) ended(o fighollow.Outcome) { g.counter("attempts.ended." + string(o)).Inc(1) }

func (g *gauges) counter(name string) metrics.Counter {
	g.mu.Lock()
	defer g.mu.Unlock()
	return metrics.GetOrRegisterCounter(name, g.registry)
}

func (s *Sidecar) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		gate := s.gate()
		if gate != admission.Open {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		w.Write([]byte(string(gate) + "\n"))
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(s.metrics.registry, w)
	})
	return mux
}

func (s *Sidecar) gate() admission.Gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.Gate()
}
