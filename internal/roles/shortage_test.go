package roles

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/shortage"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against a forecast that names an engine which will not decode, or a time before the engine is ready.
func TestForecast(t *testing.T) {
	now := time.Unix(1000, 0)
	engine := func(role fighollow.Role, set func(e *Engine)) Engine {
		e := Engine{Upstream: fighollow.Upstream{Version: "v1"}, Report: fighollow.EngineReport{Role: role}, Fresh: true}
		if set != nil {
			set(&e)
		}
		return e
	}
	ordered := func(e *Engine) {
		e.Report.Changing, e.Ordered, e.OrderedAt = true, fighollow.RoleDecode, now.Add(-time.Second)
	}
	for name, c := range map[string]struct {
		engines []Engine
		state   shortage.State
		readyIn time.Duration
	}{
		"prefillOnly": {engines: []Engine{engine(fighollow.RolePrefill, nil)}, state: shortage.None},
		"decodes":     {engines: []Engine{engine(fighollow.RolePrefill, ordered), engine(fighollow.RoleDecode, nil)}, state: shortage.Serving},
		"noReport":    {engines: []Engine{engine(fighollow.RoleDecode, func(e *Engine) { e.Fresh = false })}, state: shortage.None},
		"leaving":     {engines: []Engine{engine(fighollow.RoleDecode, func(e *Engine) { e.Upstream.Draining = true })}, state: shortage.None},
		"ordered":     {engines: []Engine{engine(fighollow.RolePrefill, ordered)}, state: shortage.Changing, readyIn: 2 * time.Second},
		"orderedByAnother": {
			engines: []Engine{engine(fighollow.RolePrefill, func(e *Engine) { e.Report.Changing = true })}, state: shortage.Changing, readyIn: 3 * time.Second,
		},
		"outcomeUnknown": {engines: []Engine{engine(fighollow.RolePrefill, func(e *Engine) {
			ordered(e)
			e.Paused = true
		})}, state: shortage.None},
		"becomesPrefill": {engines: []Engine{engine(fighollow.RoleDecode, func(e *Engine) {
			ordered(e)
			e.Ordered = fighollow.RolePrefill
		})}, state: shortage.None},
	} {
		t.Run(name, func(t *testing.T) {
			f := forecast(now, "v1", c.engines, 3*time.Second)
			qt.Assert(t, f.State, qt.Equals, c.state)
			if c.state == shortage.Changing {
				qt.Assert(t, f.ReadyAt.Sub(now), qt.Equals, c.readyIn)
			}
			qt.Assert(t, forecast(now, "v2", c.engines, 3*time.Second).State, qt.Equals, shortage.None)
		})
	}
}

// Guards against a shortage that the holder of the lease sees only when its next round is due.
func TestReportedShortageBringsTheRoundForward(t *testing.T) {
	r, _, _ := newTestRunner(2)
	r.opts.Shortages = shortage.New(shortage.Options{
		Self: "n1", Holder: func() string { return "n1" }, Send: func([]byte, ...string) {}, SendAll: func([]byte) {},
	}, zerolog.Nop())
	r.opts.Shortages.Report(time.Now(), shortage.Key{Service: "m", Version: "v1"})
	start := time.Now()
	qt.Assert(t, r.pause(context.Background(), time.Minute), qt.IsTrue)
	qt.Assert(t, time.Since(start) < 10*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(start)))
}
