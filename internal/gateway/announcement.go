package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Announcements applies what upstreams announce in their answers to a fleet, logs and counts it. It is safe for concurrent use.
type Announcements struct {
	fleet   *placement.Fleet
	metrics *gatewayMetrics
	log     zerolog.Logger
}

var _ fighollow.Announcements = (*Announcements)(nil)

// NewAnnouncements returns Announcements that apply to fleet. A nil registry stands for one of its own.
func NewAnnouncements(fleet *placement.Fleet, r metrics.Registry, log zerolog.Logger) *Announcements {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return &Announcements{fleet: fleet, metrics: &gatewayMetrics{registry: r}, log: log}
}

// IsPaused implements fighollow.Announcements.
func (n *Announcements) IsPaused(now time.Time, u fighollow.Upstream) bool {
	return n.fleet.IsPaused(now, u)
}

// ObserveControl implements fighollow.Announcements.
func (n *Announcements) ObserveControl(u fighollow.Upstream, call string, a fighollow.Announcement) {
	n.metrics.logAnnouncement(&n.log, u, call, a, n.fleet.ObserveControl(u, a))
	if !n.fleet.IsCurrent(u) {
		return
	}
	if change, ok := n.fleet.ObserveControlLimit(a.ReceivedAt, a.SentAt, u.Service, u.ID, a.Limit); ok {
		n.metrics.logLimit(&n.log, u.ID, change)
	}
}

// observeAnnouncement applies what the answer to an attempt announces.
func (x *exchange) observeAnnouncement(a *attempt) {
	change := x.pool.ObserveAnnouncement(a.placed, a.reply.Announcement)
	x.g.metrics.logAnnouncement(&x.log, a.upstream, string(a.phase), a.reply.Announcement, change)
	x.observeLimit(a)
}

// logAnnouncement logs and counts what an answer has announced that was not known, and a pause that cannot be read.
func (m *gatewayMetrics) logAnnouncement(
	log *zerolog.Logger, u fighollow.Upstream, answer string, a fighollow.Announcement, c placement.AnnouncementChange,
) {
	write := func(e event.Event, counter string) *zerolog.Event {
		m.count(counter)
		return e.Log(log).Str("upstream", u.ID).Str("address", u.Address).Int64("started", u.StartedMs).Str("answer", answer)
	}
	if c.Leaving {
		write(event.LeavingAnnounced, "leaving.announced").Send()
	}
	if !c.PausedUntil.IsZero() {
		write(event.PauseAsked, "pauses.asked").Str("asked", a.Pause.Text).Int64("pauseMs", c.PausedUntil.Sub(a.ReceivedAt).Milliseconds()).
			Int64("untilMs", c.PausedUntil.UnixMilli()).Send()
	}
	if a.Pause.State == fighollow.PauseMalformed {
		write(event.PauseMalformed, "pauses.malformed").Str("asked", a.Pause.Text).Send()
	}
}
