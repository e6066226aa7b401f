package roles

import (
	"time"

	"github.com/fighollow/fighollow/internal/shortage"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// forecast returns when a software version has a decode engine again.
func forecast(now time.Time, version string, engines []Engine, roleChange time.Duration) shortage.Forecast {
	out := shortage.Forecast{State: shortage.None}
	for i := range engines {
		e := &engines[i]
		if e.Upstream.Version != version || e.Upstream.Draining || !e.Fresh {
			continue
		}
		if !e.Report.Changing {
			if e.Report.Role == fighollow.RoleDecode {
				return shortage.Forecast{State: shortage.Serving}
			}
			continue
		}
		readyAt := now.Add(roleChange) // at the latest, for the order of an earlier holder
		if !e.OrderedAt.IsZero() {
			readyAt = e.OrderedAt.Add(roleChange)
		}
		if e.Paused || e.Ordered == fighollow.RolePrefill {
			continue
		}
		if out.State != shortage.Changing || readyAt.Before(out.ReadyAt) {
			out = shortage.Forecast{State: shortage.Changing, ReadyAt: readyAt}
		}
	}
	return out
}
