package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// observeLimit applies what the answer to an attempt says of its upstream's request limit.
func (x *exchange) observeLimit(a *attempt) {
	limit := a.reply.Limit
	if limit.State == fighollow.LimitMalformed {
		x.g.metrics.count("limits.malformed")
		event.LimitMalformed.Log(&x.log).Str("upstream", a.upstream.ID).Str("limit", limit.Text).Send()
		return
	}
	if change, ok := x.pool.ObserveLimit(time.Now(), a.placed, limit); ok {
		x.g.metrics.logLimit(&x.log, a.upstream.ID, change)
	}
}

// logLimit logs and counts a change of an upstream's request limit.
func (m *gatewayMetrics) logLimit(log *zerolog.Logger, upstream string, c placement.LimitChange) {
	name := "limits.takenBack"
	if c.InForce {
		name = "limits.named"
	}
	m.count(name)
	event.LimitChanged.Log(log).Str("upstream", upstream).Bool("inForce", c.InForce).Float64("perSecond", c.PerSecond).Send()
}
