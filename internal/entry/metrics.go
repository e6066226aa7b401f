package entry

import (
	"github.com/rcrowley/go-metrics"

	"github.com/fighollow/fighollow/internal/admin"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// entryMetrics holds the entry's metrics. It is safe for concurrent use.
type entryMetrics struct {
	registry metrics.Registry
	requests metrics.Counter
	retries  metrics.Counter
	tokens   metrics.Counter

	firstPart    *admin.Latency // from arrival to the first part of an answer
	betweenParts *admin.Latency
	duration     *admin.Latency
}

func newMetrics(open func() int) *entryMetrics {
	r := metrics.NewRegistry()
	metrics.NewRegisteredFunctionalGauge("openRequests", r, func() int64 { return int64(open()) })
	return &entryMetrics{
		registry:     r,
		requests:     metrics.NewRegisteredCounter("requests", r),
		retries:      metrics.NewRegisteredCounter("retries", r),
		tokens:       metrics.NewRegisteredCounter("tokens", r),
		firstPart:    admin.NewLatency("firstPartMicros", r),
		betweenParts: admin.NewLatency("betweenPartsMicros", r),
		duration:     admin.NewLatency("wholeMicros", r),
	}
}

// countRefusal counts a refusal by its outcome and code.
func (m *entryMetrics) countRefusal(r *fighollow.Refusal) {
	metrics.GetOrRegisterCounter("refusals."+string(r.Outcome)+"."+string(r.Code), m.registry).Inc(1)
}
