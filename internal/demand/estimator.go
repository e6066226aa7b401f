package demand

import (
	"time"
)

// reportTTL is how long the rates of a sidecar's last report count. When an engine stops reporting, its requests go to
// other engines and appear in their reports.
const reportTTL = 3 * ReportIntervalMs * time.Millisecond

// Estimator estimates the demand for each model from the reports of sidecars. Completed and refused work both count. A
// request that is refused and then served by another engine counts twice; the retry budget bounds this to a tenth.
// Estimator is not safe for concurrent use.
type Estimator struct {
	opts    Options
	engines map[string]*lastReport
	models  map[string]*tracker
}

// lastReport holds the totals of a sidecar's last report and the rates since the one before it.
type lastReport struct {
	incarnation int64
	receivedAt  time.Time
	counts      map[string]ModelCount
	queued      int
	rates       map[string]Rate
}

// NewEstimator returns an Estimator without reports.
func NewEstimator(opts Options) *Estimator {
	return &Estimator{opts: opts.withDefaults(), engines: make(map[string]*lastReport), models: make(map[string]*tracker)}
}

// HandleReport records a report received at now. Counts are totals, so the next report makes up for a lost one; one that
// is older than the last is ignored. The first report of a sidecar only sets the baseline, unless the sidecar has just started.
func (e *Estimator) HandleReport(now time.Time, r Report) {
	old := e.engines[r.Engine]
	if old != nil && (r.Incarnation < old.incarnation || r.Incarnation == old.incarnation && isStale(old.counts, r.Models)) {
		return
	}
	s := &lastReport{incarnation: r.Incarnation, receivedAt: now, queued: r.Load.QueuedTokens,
		counts: make(map[string]ModelCount, len(r.Models)), rates: make(map[string]Rate, len(r.Models))}
	period, base, queued := s.interval(old)
	for _, m := range r.Models {
		s.counts[m.Model] = m
		if period > 0 {
			s.rates[m.Model] = rateBetween(base[m.Model], m, period)
		}
	}
	// Queued prompts are demand that is neither completed nor refused yet.
	if model := r.State.Assignment.Model; model != "" && period > 0 {
		w := s.rates[model]
		w.Prefill = max(0, w.Prefill+float64(s.queued-queued)/period)
		s.rates[model] = w
	}
	e.engines[r.Engine] = s
}

// isStale reports whether new totals are below old ones, as in a report that arrives after a newer one.
func isStale(old map[string]ModelCount, models []ModelCount) bool {
	for _, m := range models {
		o := old[m.Model]
		if m.PrefillTokens < o.PrefillTokens || m.DecodeTokens < o.DecodeTokens ||
			m.RefusedPrefill < o.RefusedPrefill || m.RefusedDecode < o.RefusedDecode {
			return true
		}
	}
	return false
}

// interval returns the seconds that a report covers and the counts and queued tokens to subtract from its totals. The
// period is 0 if the start of the interval is unknown.
func (l *lastReport) interval(old *lastReport) (period float64, base map[string]ModelCount, queued int) {
	started := time.UnixMilli(l.incarnation)
	switch {
	case old != nil && old.incarnation == l.incarnation:
		return max(l.receivedAt.Sub(old.receivedAt).Seconds(), 1), old.counts, old.queued
	case l.receivedAt.Sub(started) < 2*ReportIntervalMs*time.Millisecond:
		return max(l.receivedAt.Sub(started).Seconds(), 1), nil, 0
	}
	return 0, nil, l.queued
}

func rateBetween(old, m ModelCount, period float64) Rate {
	return Rate{
		Prefill: float64(m.PrefillTokens-old.PrefillTokens+m.RefusedPrefill-old.RefusedPrefill) / period,
		Decode:  float64(m.DecodeTokens-old.DecodeTokens+m.RefusedDecode-old.RefusedDecode) / period,
	}
}

// Estimates advances the averages to now and returns the estimate of each model that has been reported for at least
// Options.WarmUp. changeTime returns the duration of a role change of a model: a difference must last longer to count as a
// shift. The result is empty if no report has arrived within reportTTL.
func (e *Estimator) Estimates(now time.Time, changeTime func(model string) time.Duration) map[string]Estimate {
	rates := make(map[string]Rate, len(e.models))
	for id, s := range e.engines {
		if now.Sub(s.receivedAt) > reportTTL {
			delete(e.engines, id)
			continue
		}
		for model, w := range s.rates {
			sum := rates[model]
			rates[model] = Rate{Prefill: sum.Prefill + w.Prefill, Decode: sum.Decode + w.Decode}
		}
	}
	for model := range rates {
		if e.models[model] == nil {
			e.models[model] = &tracker{}
		}
	}
	out := make(map[string]Estimate, len(e.models))
	if len(e.engines) == 0 {
		// Without any report the demand is unknown rather than zero, and the averages are not advanced.
		for _, t := range e.models {
			t.updatedAt = now
		}
		return out
	}
	for model, t := range e.models {
		estimate := t.update(now, e.opts, rates[model], changeTime(model))
		if now.Sub(t.startedAt) >= e.opts.WarmUp {
			out[model] = estimate
		}
	}
	return out
}
