package entry

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// entryMetrics counts what the entry does. It is safe for concurrent use.
type entryMetrics struct {
	registry metrics.Registry
	requests metrics.Counter
	retries  metrics.Counter
	tokens   metrics.Counter

	firstPart    *latency // from arrival to the first part of an answer
	betweenParts *latency
	whole        *latency
}

func newMetrics() *entryMetrics {
	r := metrics.NewRegistry()
	return &entryMetrics{
		registry:     r,
		requests:     metrics.NewRegisteredCounter("requests", r),
		retries:      metrics.NewRegisteredCounter("retries", r),
		tokens:       metrics.NewRegisteredCounter("tokens", r),
		firstPart:    newLatency(),
		betweenParts: newLatency(),
		whole:        newLatency(),
	}
}

// refusal counts a refusal by its code and outcome.
func (m *entryMetrics) refusal(r *fighollow.Refusal) {
	metrics.GetOrRegisterCounter("refusals."+string(r.Outcome)+"."+string(r.Code), m.registry).Inc(1)
}

const (
	maxLatencyMicros = 10 * 60 * 1_000_000
	latencyDigits    = 2
)

// latency is a histogram of durations.
type latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram // microseconds
}

func newLatency() *latency {
	return &latency{h: hdrhistogram.New(1, maxLatencyMicros, latencyDigits)}
}

func (l *latency) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(min(max(1, d.Microseconds()), maxLatencyMicros)) // the value is in range
}

type latencyReport struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func (l *latency) report() latencyReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := func(q float64) float64 { return float64(l.h.ValueAtQuantile(q)) / 1000 }
	return latencyReport{Count: l.h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(l.h.Max()) / 1000}
}

type metricsReport struct {
	Counters     map[string]int64         `json:"counters"`
	OpenRequests int                      `json:"openRequests"`
	LatenciesMs  map[string]latencyReport `json:"latenciesMs"`
}

// serveMetrics reports the counters since the start of the process and the latencies in milliseconds.
func (e *Entry) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	m := e.metrics
	report := metricsReport{
		Counters: make(map[string]int64), OpenRequests: e.balance.open(),
		LatenciesMs: map[string]latencyReport{
			"firstPart": m.firstPart.report(), "betweenParts": m.betweenParts.report(), "whole": m.whole.report(),
		},
	}
	m.registry.Each(func(name string, v any) {
		if c, ok := v.(metrics.Counter); ok {
			report.Counters[name] = c.Count()
		}
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report) // an error means that the reader has left
}
