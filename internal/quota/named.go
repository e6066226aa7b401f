package quota

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// ownWordLifetime is how long an entry goes by an upstream's last answer to itself after it named a limit or took one back. After
// that, what the upstream told other entries counts too. Reports of a limit that has just ended can be seconds old.
const ownWordLifetime = 5 * time.Second

// ProbeRate is the limit in requests a second that is assumed for upstreams that name a lower one, so that their callers learn
// when it is taken back.
const ProbeRate = 0.05

// Named is the request limit of an upstream as its answers name it. The zero value is no limit.
type Named struct {
	InForce    bool
	PerSecond  float64
	NamedAt    time.Time // arrival of the last answer that named a limit
	AnsweredAt time.Time // arrival of the last answer that confirmed what is in force
	LiftedAt   time.Time // when a limit was last taken back
	byControl  bool      // answers of its control API name limits too
	reportedAt time.Time // since when a limit is in force that only other entries were told of; zero if there is none
}

// Observe applies the answer to a request that was sent at sent. An answer without a limit takes the limit back only if its
// request was sent after the limit had last been named: answers overtake each other.
func (l *Named) Observe(now, sent time.Time, r fighollow.RequestLimit) {
	switch r.State {
	case fighollow.LimitNamed:
		l.InForce, l.PerSecond, l.NamedAt, l.AnsweredAt = true, r.PerSecond, now, now
	case fighollow.LimitAbsent:
		if l.InForce && sent.Before(l.NamedAt) || sent.Before(l.reportedAt) {
			return
		}
		if l.InForce || !l.reportedAt.IsZero() {
			l.LiftedAt = now
		}
		l.InForce, l.AnsweredAt, l.reportedAt = false, now, time.Time{}
	case fighollow.LimitMalformed:
	}
}

// ObserveControl applies an answer of the upstream's control API. It takes a limit back only if such answers have named it.
func (l *Named) ObserveControl(now, sent time.Time, r fighollow.RequestLimit) {
	switch {
	case r.State == fighollow.LimitNamed:
		l.byControl = true
	case !l.byControl:
		return
	}
	l.Observe(now, sent, r)
	l.byControl = l.byControl && l.InForce
}

// InForceAt returns the limit in force at now. report is what the upstream told another entry, if reported is set. Where that
// is newer, the upstream's own answers to this entry are out of date.
func (l *Named) InForceAt(now time.Time, report fighollow.LimitReport, reported bool) (float64, bool) {
	since := l.LiftedAt
	if l.InForce {
		since = l.AnsweredAt
	}
	if !reported || !report.ToldAt.After(l.AnsweredAt) || now.Sub(since) < ownWordLifetime {
		l.reportedAt = time.Time{}
		return l.PerSecond, l.InForce
	}
	if report.PerSecond == 0 {
		l.InForce, l.AnsweredAt, l.reportedAt = false, report.ToldAt, time.Time{}
		return 0, false
	}
	if !l.InForce && l.reportedAt.IsZero() {
		l.reportedAt = now
	}
	return report.PerSecond, true
}
