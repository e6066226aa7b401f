package demand

import (
	"time"
)

// reportLife is how long a report's rates count without a newer one. An engine that fell silent has given its work to
// others, whose reports then show it.
const reportLife = 3 * ReportEveryMs * time.Millisecond

// Estimator estimates the demand for each model from the reports of sidecars. Done and refused work both count; a
// request that is refused and then served elsewhere counts twice, which the retry budget bounds to a tenth. It is not
// safe for concurrent use.
type Estimator struct {
	opts    Options
	engines map[string]*source
	models  map[string]*level
}

// source is what the last report of one sidecar said.
type source struct {
	incarnation int64
	at          time.Time
	counts      map[string]ModelCount
	queued      int
	rates       map[string]Work
}

// NewEstimator returns an Estimator that has seen nothing.
func NewEstimator(opts Options) *Estimator {
	return &Estimator{opts: opts.withDefaults(), engines: make(map[string]*source), models: make(map[string]*level)}
}

// HandleReport takes a report that arrived at now. Counts are totals, so that lost reports lose nothing; one that is
// older than the last is ignored. The first report of a sidecar whose start was not seen only sets the base.
func (e *Estimator) HandleReport(now time.Time, r Report) {
	old := e.engines[r.Engine]
	if old != nil && (r.Incarnation < old.incarnation || r.Incarnation == old.incarnation && older(old.counts, r.Models)) {
		return
	}
	s := &source{incarnation: r.Incarnation, at: now, queued: r.Load.QueuedTokens,
		counts: make(map[string]ModelCount, len(r.Models)), rates: make(map[string]Work, len(r.Models))}
	period, base, queued := s.since(old)
	for _, m := range r.Models {
		s.counts[m.Model] = m
		if period > 0 {
			s.rates[m.Model] = rate(base[m.Model], m, period)
		}
	}
	// Prompts that wait are demand that is neither done nor refused yet.
	if model := r.State.Assignment.Model; model != "" && period > 0 {
		w := s.rates[model]
		w.Prefill = max(0, w.Prefill+float64(s.queued-queued)/period)
		s.rates[model] = w
	}
	e.engines[r.Engine] = s
}

// older reports whether new totals are below old ones, as in a report that was overtaken.
func older(old map[string]ModelCount, models []ModelCount) bool {
	for _, m := range models {
		o := old[m.Model]
		if m.PrefillTokens < o.PrefillTokens || m.DecodeTokens < o.DecodeTokens ||
			m.RefusedPrefill < o.RefusedPrefill || m.RefusedDecode < o.RefusedDecode {
			return true
		}
	}
	return false
}

// since returns the seconds that a report covers and what to subtract from its totals.
func (s *source) since(old *source) (period float64, base map[string]ModelCount, queued int) {
	started := time.UnixMilli(s.incarnation)
	switch {
	case old != nil && old.incarnation == s.incarnation:
		return max(s.at.Sub(old.at).Seconds(), 1), old.counts, old.queued
	case s.at.Sub(started) < 2*ReportEveryMs*time.Millisecond:
		return max(s.at.Sub(started).Seconds(), 1), nil, 0
	}
	return 0, nil, s.queued
}

func rate(old, m ModelCount, period float64) Work {
	return Work{
		Prefill: float64(m.PrefillTokens-old.PrefillTokens+m.RefusedPrefill-old.RefusedPrefill) / period,
		Decode:  float64(m.DecodeTokens-old.DecodeTokens+m.RefusedDecode-old.RefusedDecode) / period,
	}
}

// Estimates advances the averages to now and returns the estimate of each model that was reported for
// Options.WarmUp. changeTime
// returns what a role change of a model costs in time: a difference must last longer to count as a shift.
func (e *Estimator) Estimates(now time.Time, changeTime func(model string) time.Duration) map[string]Estimate {
	rates := make(map[string]Work, len(e.models))
	for id, s := range e.engines {
		if now.Sub(s.at) > reportLife {
			delete(e.engines, id)
			continue
		}
		for model, w := range s.rates {
			sum := rates[model]
			rates[model] = Work{Prefill: sum.Prefill + w.Prefill, Decode: sum.Decode + w.Decode}
		}
	}
	for model := range rates {
		if e.models[model] == nil {
			e.models[model] = &level{}
		}
	}
	out := make(map[string]Estimate, len(e.models))
	if len(e.engines) == 0 {
		// Without any report the demand is unknown, not zero; the averages stand still.
		for _, l := range e.models {
			l.seenAt = now
		}
		return out
	}
	for model, l := range e.models {
		estimate := l.step(now, e.opts, rates[model], changeTime(model))
		if now.Sub(l.startedAt) >= e.opts.WarmUp {
			out[model] = estimate
		}
	}
	return out
}
