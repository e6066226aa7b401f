package placement

import (
	"errors"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Reasons for which an attempt is not placed.
var (
	// ErrNoUpstream is returned when no upstream is eligible for the attempt.
	ErrNoUpstream = errors.New("placement: no upstream")
	// ErrTooLate is returned when the answer is expected to begin after the request's deadline.
	ErrTooLate = errors.New("placement: the answer would begin after the deadline")
)

// SLO holds the latency target, the deadline and the priority of a request.
type SLO struct {
	Arrived  time.Time
	Target   time.Duration // from the arrival to the first event or the whole plain answer; 0 if there is none
	Deadline time.Time
	Priority int  // of the route, or rank by the priorities of workspaces and routes; 0 is the most urgent
	Begun    bool // part of the answer was sent already: the remainder is delivered however late
}

// Place chooses the upstream for an attempt, sets q.Urgency, at which it estimates the wait, and takes a permit if the upstream has a
// request limit; Begin or Withdraw must follow. If the answer is expected to begin after the deadline, it returns ErrTooLate, so that
// no prompt is computed in vain, and by how much the answer would miss the target. It returns ErrNoUpstream if no upstream is eligible
// for the attempt or for the decode after it, and ErrLimited or ErrPaused, with the time until a retry can succeed, if request limits
// or pauses exclude those that are.
func (p *Pool) Place(now time.Time, q *Query, slo SLO) (Choice, time.Duration, error) {
	q.Urgency, q.Target = urgency(slo.Priority, false), slo.Target
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prepare(now, *q)
	c, err := p.chooseFor(now, *q)
	if err != nil {
		return c, p.recordRefusal(now, *q, c, slo, err), err
	}
	if q.Phase == fighollow.RequestDecode || slo.Target == 0 {
		p.takePermit(now, &c)
		return c, 0, nil
	}
	elapsed, decodeMs := now.Sub(slo.Arrived), 0.0
	if q.Phase == fighollow.RequestPrefill {
		decodeQuery := *q
		decodeQuery.Phase = fighollow.RequestDecode
		decode, err := p.choose(now, decodeQuery)
		if err == nil && decode.Limited && !p.sparesPermit(now, decodeQuery) {
			err = ErrLimited
		}
		if err != nil {
			return c, p.recordRefusal(now, decodeQuery, decode, slo, err), err
		}
		decodeMs = decode.CostMs
	}
	if elapsed+duration(c.CostMs+decodeMs) > slo.Target {
		// A late prompt also waits for the late ones before it, which can be fewer at another engine.
		q.Urgency = urgency(slo.Priority, true)
		if c, err = p.chooseFor(now, *q); err != nil {
			return c, p.recordRefusal(now, *q, c, slo, err), err
		}
	}
	expected := elapsed + duration(c.CostMs+decodeMs)
	c.OverTarget = expected - slo.Target
	if !slo.Begun && expected > slo.Deadline.Sub(slo.Arrived) {
		return c, expected - slo.Target, ErrTooLate
	}
	p.takePermit(now, &c)
	return c, 0, nil
}

// chooseFor is choose, and returns ErrLimited if a whole answer would take a permit that a computed prompt needs. p.mu must be held.
func (p *Pool) chooseFor(now time.Time, q Query) (Choice, error) {
	c, err := p.choose(now, q)
	if err == nil && q.Phase == fighollow.RequestWhole && p.traits.Engine != nil && c.Limited && !p.sparesPermit(now, q) {
		err = ErrLimited
	}
	return c, err
}

// recordRefusal records the demand of a request that is not placed, and returns, if request limits or pauses are the reason, when its
// caller may come back, or when an answer that has begun can go on. p.mu must be held.
func (p *Pool) recordRefusal(now time.Time, q Query, c Choice, slo SLO, err error) time.Duration {
	if errors.Is(err, ErrPaused) {
		wait, _ := p.pauseWait(now, q)
		if slo.Begun {
			return wait
		}
		return p.pauseReturnDelay(now, wait)
	}
	if !errors.Is(err, ErrLimited) {
		return 0
	}
	c.observeDemand(now)
	if slo.Begun {
		wait, _ := p.permitWait(now, q)
		return wait
	}
	return p.returnDelay(now, q)
}

// Path returns the phase of the first attempt of a request: a prefill, which a decode follows elsewhere, or a whole answer,
// whose prompt the decode engine computes itself. That takes longer and needs no transfer. It answers loads whose prompts
// exceed what the prefill engines compute while decode engines have time left, for as long as roles do not fit the mix.
func (p *Pool) Path(now time.Time, q Query, slo SLO) fighollow.RequestPhase {
	if !p.promptTimesKnown() {
		return fighollow.RequestPrefill
	}
	q.Urgency, q.Target = urgency(slo.Priority, false), slo.Target
	prefillMs, hasPrefill := p.costMs(now, q, fighollow.RequestPrefill)
	decodeMs, hasDecode := p.costMs(now, q, fighollow.RequestDecode)
	wholeMs, hasWhole := p.costMs(now, q, fighollow.RequestWhole)
	if hasPrefill && hasDecode && hasWhole && wholeMs < prefillMs+decodeMs {
		return fighollow.RequestWhole
	}
	return fighollow.RequestPrefill
}

// costMs returns the cost of an attempt of this phase at the upstream with the lowest one. It returns false if there is none.
func (p *Pool) costMs(now time.Time, q Query, phase fighollow.RequestPhase) (float64, bool) {
	q.Phase = phase
	c, ok := p.Choose(now, q)
	return c.CostMs, ok
}

// promptTimesKnown reports whether enough prompts were measured to compare paths.
func (p *Pool) promptTimesKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.times.alone.weight >= minFitSamples
}

// urgency returns the urgency value sent to the engines, which serve lower values first. It orders requests by their
// priority and, within a priority, those that can still meet the latency target before those that cannot.
func urgency(priority int, late bool) int {
	u := 2 * min(max(priority, 0), maxUrgency/2)
	if late {
		u++
	}
	return u
}
