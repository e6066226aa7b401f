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

// stats holds the metrics of the process.
type stats struct {
	registry   metrics.Registry
	accepted   metrics.Counter
	resumed    metrics.Counter
	orders     metrics.Counter
	restarts   metrics.Counter
	firstToken *admin.Latency

	mu sync.Mutex // serialises the creation of the counters per refusal code and per outcome
}

func newStats(s *Sidecar) *stats {
	r := metrics.NewRegistry()
	m := &stats{
		registry:   r,
		accepted:   metrics.NewRegisteredCounter("attempts.accepted", r),
		resumed:    metrics.NewRegisteredCounter("attempts.resumed", r),
		orders:     metrics.NewRegisteredCounter("engine.orders", r),
		restarts:   metrics.NewRegisteredCounter("engine.restarts", r),
		firstToken: admin.NewLatency("attempts.firstTokenMicros", r),
	}
	load := func(field func(l fighollow.Load) int) func() int64 {
		return func() int64 { return int64(field(s.load())) }
	}
	metrics.NewRegisteredFunctionalGauge("slots.all", r, load(func(l fighollow.Load) int { return l.Slots }))
	metrics.NewRegisteredFunctionalGauge("slots.running", r, load(func(l fighollow.Load) int { return l.Running }))
	metrics.NewRegisteredFunctionalGauge("queue.length", r, load(func(l fighollow.Load) int { return l.Queued }))
	return m
}

func (m *stats) addRefused(code fighollow.Code) { m.counter("attempts.refused." + string(code)).Inc(1) }

func (m *stats) addEnded(o fighollow.Outcome) { m.counter("attempts.ended." + string(o)).Inc(1) }

func (m *stats) counter(name string) metrics.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	return metrics.GetOrRegisterCounter(name, m.registry)
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
	return s.queue.Gate()
}
