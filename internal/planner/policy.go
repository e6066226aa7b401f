package planner

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Rates of a model whose definition is missing or has none.
const (
	defaultPrefillRate = 8000.0
	defaultDecodeRate  = 2000.0
	defaultLoad        = 5 * time.Second
)

// Policy adjusts a Planner; the zero value means the defaults.
type Policy struct {
	// ReportLag bounds the lag of engine reports; default 10 s.
	ReportLag time.Duration
	// DrainTime is the expected time until an engine's work in flight is finished; default 10 s.
	DrainTime time.Duration
	// StuckAfter is when a change that does not complete stops counting against the limits, so that one broken engine
	// does not block a data centre; default 10 min.
	StuckAfter time.Duration
	// ForgetAfter is how long an engine that is no longer listed keeps its assignment; default 2 min. The list lags, and
	// a restarted instance comes back under its id.
	ForgetAfter time.Duration
	// MinGain is the least improvement that a change of role or model must bring, in engines; default 0.25. With
	// 0.15 a swing within minutes took twice the changes for no gain, with 0.35 lasting shifts were followed too little.
	MinGain float64
	// ReverseFactor multiplies the cost of a change that reverses the model's last one within the horizon; default 2.
	ReverseFactor float64
	// ColdTime is the time for which the prefix cache of a changed engine is worth nothing; default 15 s.
	ColdTime time.Duration
	// Usable is the share of an engine's rates that can be planned for, as requests are late above it; default 0.9.
	Usable float64
	// OverflowRate is the share of its rate that an engine reaches in the other role; default 0.8. A role's own engines
	// are preferred by OverflowPrice of the work that overflows; default 0.1.
	OverflowRate, OverflowPrice float64
}

func (o Policy) withDefaults() Policy {
	setDefault(&o.ReportLag, 10*time.Second)
	setDefault(&o.DrainTime, 10*time.Second)
	setDefault(&o.StuckAfter, 10*time.Minute)
	setDefault(&o.ForgetAfter, 2*time.Minute)
	setDefault(&o.ColdTime, 15*time.Second)
	setShare(&o.MinGain, 0.25)
	setShare(&o.ReverseFactor, 2)
	setShare(&o.Usable, 0.9)
	setShare(&o.OverflowRate, 0.8)
	setShare(&o.OverflowPrice, 0.1)
	return o
}

func setShare(v *float64, def float64) {
	if *v <= 0 {
		*v = def
	}
}

func setDefault(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}

// ChangeTime is the time that a role change of a model takes, from the order to the first request.
func (p *Planner) ChangeTime(m fighollow.Model) time.Duration {
	return p.opts.DrainTime + loadTime(m)
}

// load is work in engines: how many engines it keeps busy.
type load struct{ prefill, decode float64 }

// work returns the demand to plan for.
func (f *fleet) work(model string) load {
	w := f.in.Demand[model].Level()
	prefill, decode := rates(f.in.Models[model])
	return load{prefill: w.Prefill / prefill, decode: w.Decode / decode}
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
