package planner

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Rates (tokens/s) and load time of a model whose definition is missing or has none.
const (
	defaultPrefillRate = 8000.0
	defaultDecodeRate  = 2000.0
	defaultLoadTime    = 5 * time.Second
)

// Policy configures a Planner. The zero value of a field selects its default.
type Policy struct {
	// ReportLag bounds the delay of engine reports; default 10 s.
	ReportLag time.Duration
	// DrainTime is the expected time until an engine's in-flight requests are finished; default 10 s.
	DrainTime time.Duration
	// ChangeTimeout is the time after which an incomplete change stops counting against the limits, so that one broken
	// engine does not block a data centre; default 10 min.
	ChangeTimeout time.Duration
	// RemoveAfter is how long an engine that is no longer listed keeps its assignment; default 2 min. The list of
	// instances lags, and a restarted instance returns under the same id.
	RemoveAfter time.Duration
	// MinGain is the least increase in goodput, in engines, for which a role or model is changed; default 0.25. 0.15
	// doubled the changes during swings of a few minutes without a gain; 0.35 made too few changes after lasting shifts.
	MinGain float64
	// ReverseFactor multiplies the cost of a change that reverses the model's last role change within the horizon;
	// default 2.
	ReverseFactor float64
	// CacheWarmUp is the time for which the prefix cache of a changed engine has no value; default 15 s.
	CacheWarmUp time.Duration
	// UsableShare is the share of an engine's rates that is planned for, because requests miss their deadlines above
	// it; default 0.9.
	UsableShare float64
	// OverflowRate is the share of its rate that an engine reaches in the other role; default 0.8. OverflowPenalty is
	// the share of the overflowing work that is subtracted from goodput, so that a role's own engines are preferred;
	// default 0.1.
	OverflowRate, OverflowPenalty float64
}

func (p Policy) withDefaults() Policy {
	setDefaultDuration(&p.ReportLag, 10*time.Second)
	setDefaultDuration(&p.DrainTime, 10*time.Second)
	setDefaultDuration(&p.ChangeTimeout, 10*time.Minute)
	setDefaultDuration(&p.RemoveAfter, 2*time.Minute)
	setDefaultDuration(&p.CacheWarmUp, 15*time.Second)
	setDefaultFloat(&p.MinGain, 0.25)
	setDefaultFloat(&p.ReverseFactor, 2)
	setDefaultFloat(&p.UsableShare, 0.9)
	setDefaultFloat(&p.OverflowRate, 0.8)
	setDefaultFloat(&p.OverflowPenalty, 0.1)
	return p
}

func setDefaultFloat(v *float64, def float64) {
	if *v <= 0 {
		*v = def
	}
}

func setDefaultDuration(v *time.Duration, def time.Duration) {
	if *v <= 0 {
		*v = def
	}
}

// ChangeTime returns the expected time of a role change of a model, from the order to the first request.
func (p *Planner) ChangeTime(m fighollow.Model) time.Duration {
	return p.opts.DrainTime + loadTime(m)
}

// load is the number of engines that the demand for a model keeps busy, by role.
type load struct{ prefill, decode float64 }

// load returns the load of a model to plan for.
func (f *fleet) load(model string) load {
	level := f.in.Demand[model].Level()
	prefill, decode := rates(f.in.Models[model])
	return load{prefill: level.Prefill / prefill, decode: level.Decode / decode}
}

func rates(m fighollow.Model) (prefill, decode float64) {
	prefill, decode = m.PrefillTokensPerSecond, m.DecodeTokensPerSecond
	if prefill <= 0 {
		prefill = defaultPrefillRate
	}
	if decode <= 0 {
		decode = defaultDecodeRate
	}
	return prefill, decode
}
