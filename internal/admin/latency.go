package admin

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	maxLatencyMicros  = 10 * 60 * 1_000_000
	significantDigits = 2
)

// Latency is a histogram of durations in microseconds, up to ten minutes, with two significant digits. Unlike the samples
// of the metrics library, it counts every value, so that its high quantiles are accurate. It is safe for concurrent use.
type Latency struct {
	metrics.Histogram
	sample *hdrSample
}

// NewLatency returns a histogram that is registered in r under name.
func NewLatency(name string, r metrics.Registry) *Latency {
	s := &hdrSample{h: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
	l := &Latency{Histogram: metrics.NewHistogram(s), sample: s}
	_ = r.Register(name, l.Histogram) // fails only for duplicate names, and each name is registered once
	return l
}

// Record adds a duration to the histogram.
func (l *Latency) Record(d time.Duration) { l.sample.Update(d.Microseconds()) }

// hdrSample is a metrics.Sample that counts every value.
type hdrSample struct {
	mu  sync.Mutex
	h   *hdrhistogram.Histogram
	sum int64
}

// Update implements metrics.Sample. A value out of range counts as the nearest value in range.
func (s *hdrSample) Update(v int64) {
	v = min(max(v, 1), maxLatencyMicros)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sum += v
	_ = s.h.RecordValue(v) // v is in range
}

// Clear implements metrics.Sample.
func (s *hdrSample) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.h.Reset()
	s.sum = 0
}

// Snapshot implements metrics.Sample. It returns the sample itself, which is safe for concurrent use.
func (s *hdrSample) Snapshot() metrics.Sample { return s }

func (s *hdrSample) read(f func(h *hdrhistogram.Histogram) float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f(s.h)
}

// Count implements metrics.Sample.
func (s *hdrSample) Count() int64 {
	return int64(s.read(func(h *hdrhistogram.Histogram) float64 { return float64(h.TotalCount()) }))
}

// Max implements metrics.Sample.
func (s *hdrSample) Max() int64 {
	return int64(s.read(func(h *hdrhistogram.Histogram) float64 { return float64(h.Max()) }))
}

// Min implements metrics.Sample.
func (s *hdrSample) Min() int64 {
	return int64(s.read(func(h *hdrhistogram.Histogram) float64 { return float64(h.Min()) }))
}

// Mean implements metrics.Sample.
func (s *hdrSample) Mean() float64 { return s.read((*hdrhistogram.Histogram).Mean) }

// StdDev implements metrics.Sample.
func (s *hdrSample) StdDev() float64 { return s.read((*hdrhistogram.Histogram).StdDev) }

// Variance implements metrics.Sample.
func (s *hdrSample) Variance() float64 { return s.StdDev() * s.StdDev() }

// Percentile implements metrics.Sample. p is between 0 and 1.
func (s *hdrSample) Percentile(p float64) float64 {
	return s.read(func(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(100 * p)) })
}

// Percentiles implements metrics.Sample.
func (s *hdrSample) Percentiles(ps []float64) []float64 {
	out := make([]float64, len(ps))
	for i, p := range ps {
		out[i] = s.Percentile(p)
	}
	return out
}

// Size implements metrics.Sample.
func (s *hdrSample) Size() int { return int(s.Count()) }

// Sum implements metrics.Sample.
func (s *hdrSample) Sum() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sum
}

// Values implements metrics.Sample. It returns nil, because single values are not stored.
func (s *hdrSample) Values() []int64 { return nil }
