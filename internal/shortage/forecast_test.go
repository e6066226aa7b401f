package shortage_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/shortage"
)

var start = time.Unix(1000, 0)

// Guards against streams that are refused although an engine will be ready in time, that are held until their deadline although none will be,
// and that are held for longer than their callers wait for an event.
func TestDecide(t *testing.T) {
	const ms = time.Millisecond
	changing := func(in time.Duration) shortage.Forecast {
		return shortage.Forecast{State: shortage.Changing, ReadyAt: start.Add(in), ReportedAt: start, HeardAt: start}
	}
	for name, c := range map[string]struct {
		forecast       shortage.Forecast
		left, patience time.Duration
		begun          bool
		hold           bool
		until, retry   time.Duration
	}{
		"inTime":             {forecast: changing(3000 * ms), left: 5000 * ms, patience: 6000 * ms, hold: true, until: 3500 * ms},
		"afterTheDeadline":   {forecast: changing(3000 * ms), left: 3400 * ms, patience: 6000 * ms, retry: 3000 * ms},
		"impatientNotBegun":  {forecast: changing(3000 * ms), left: 7000 * ms, patience: 2000 * ms, retry: 1800 * ms},
		"impatientBegun":     {forecast: changing(3000 * ms), left: 7000 * ms, patience: 2000 * ms, begun: true, hold: true, until: 1800 * ms},
		"farTooImpatient":    {forecast: changing(5000 * ms), left: 9000 * ms, patience: 2000 * ms, begun: true, retry: 3800 * ms},
		"lateRegistration":   {forecast: changing(-1000 * ms), left: 5000 * ms, patience: 6000 * ms, hold: true, until: 500 * ms},
		"neverRegistered":    {forecast: changing(-2000 * ms), left: 5000 * ms, patience: 6000 * ms, retry: 3000 * ms},
		"notAnswered":        {forecast: shortage.Forecast{ReportedAt: start}, left: 5000 * ms, patience: 6000 * ms, hold: true, until: 1500 * ms, retry: 3000 * ms},
		"neverAnswered":      {forecast: shortage.Forecast{ReportedAt: start.Add(-2 * time.Second)}, left: 5000 * ms, patience: 6000 * ms, until: -500 * ms, retry: 3000 * ms},
		"notAnsweredInTime":  {forecast: shortage.Forecast{ReportedAt: start}, left: 400 * ms, patience: 6000 * ms, retry: 3000 * ms},
		"none":               {forecast: shortage.Forecast{State: shortage.None, ReportedAt: start}, left: 5000 * ms, patience: 6000 * ms, retry: 3000 * ms},
		"servingNow":         {forecast: shortage.Forecast{State: shortage.Serving, HeardAt: start}, left: 5000 * ms, patience: 6000 * ms, hold: true, until: 500 * ms},
		"servingNotReceived": {forecast: shortage.Forecast{State: shortage.Serving, HeardAt: start.Add(-time.Second)}, left: 5000 * ms, patience: 6000 * ms, retry: 3000 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			d := shortage.Decide(start, c.forecast, shortage.Wait{
				Deadline: start.Add(c.left), GivesUp: start.Add(c.patience), Patience: c.patience, Begun: c.begun, RoleChange: 3 * time.Second,
			})
			qt.Assert(t, d.Hold, qt.Equals, c.hold)
			if !d.Until.IsZero() {
				qt.Assert(t, d.Until.Sub(start), qt.Equals, c.until)
			}
			qt.Assert(t, d.RetryAfter, qt.Equals, c.retry)
		})
	}
}
