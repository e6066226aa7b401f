package gateway

import (
	"github.com/rcrowley/go-metrics"

	"github.com/fighollow/fighollow/internal/admin"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

type gatewayMetrics struct {
	registry    metrics.Registry
	firstPart   *admin.Latency // from the arrival to the first byte of the answer
	wholeAnswer *admin.Latency // from the arrival to the end of the answer
}

func newMetrics(r metrics.Registry) *gatewayMetrics {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return &gatewayMetrics{
		registry:    r,
		firstPart:   admin.NewLatency("requests.firstPartMicros", r),
		wholeAnswer: admin.NewLatency("requests.wholeMicros", r),
	}
}

func (m *gatewayMetrics) count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

func (m *gatewayMetrics) countOutcome(name string) { m.count("requests." + name) }

func (m *gatewayMetrics) countRefusal(r *fighollow.Refusal) {
	m.count("requests." + string(r.Outcome))
	m.count("refusals." + string(r.Code))
}

func (m *gatewayMetrics) recordAnswer(x *exchange) {
	m.count("requests.answered")
	m.firstPart.Record(x.firstByte)
	m.wholeAnswer.Record(x.total)
}
