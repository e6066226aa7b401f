package sidecar

import (
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/fighollow/fighollow/internal/admin"
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
	firstToken *admin.Latency

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
		firstToken: admin.NewLatency("attempts.firstTokenMicros", r),
	}
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
	return admin.Handler(admin.Options{
		Registry: s.metrics.registry,
		Status: func() admin.Status {
			return admin.NewStatus(s.cfg.Process, string(s.gate()), s.cat, s.node.Members())
		},
		Ready: func() (bool, string) {
			gate := s.gate()
			return gate == admission.Open, string(gate)
		},
	})
}

func (s *Sidecar) gate() admission.Gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.Gate()
}
