package sidecar

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// pace estimates how long a request takes at the engine, from the requests that ended. It is not safe for concurrent use.
type pace struct {
	prefill float64 // seconds per prompt token, queueing in the engine included
	decode  float64 // seconds per output token
	share   float64 // output tokens as a share of the most that was asked for
	updated time.Time
}

const (
	paceWeight = 0.1 // of a new measurement
	// paceHalving is the time without a measurement in which the estimate halves. An estimate that refuses every
	// request as too late would otherwise never be corrected.
	paceHalving = 5 * time.Second
)

func newPace() *pace { return &pace{} }

func average(old, v float64) float64 {
	if old == 0 {
		return v
	}
	return old + paceWeight*(v-old)
}

// add takes the measurement of an attempt that completed.
func (p *pace) add(a *attempt, r fighollow.GenerateResult, began, now time.Time) {
	p.decay(now)
	p.updated = now
	first := a.firstAt()
	if first.IsZero() {
		first = now
	}
	if n := r.PromptTokens - r.CachedTokens; n > 0 {
		p.prefill = average(p.prefill, first.Sub(began).Seconds()/float64(n))
	}
	if n := a.next() - a.firstOffset(); n > 0 {
		p.decode = average(p.decode, now.Sub(first).Seconds()/float64(n))
		p.share = average(p.share, float64(n)/float64(max(1, a.call.Generate.MaxTokens-a.firstOffset())))
	}
}

func (p *pace) decay(now time.Time) {
	for p.updated.Before(now.Add(-paceHalving)) && p.prefill+p.decode > 1e-9 {
		p.prefill, p.decode, p.updated = p.prefill/2, p.decode/2, p.updated.Add(paceHalving)
	}
}

// cost returns the expected time in the slot. The model's own rate stands in for a measurement of the prompt.
func (p *pace) cost(now time.Time, g *fighollow.GenerateRequest, m fighollow.Model) time.Duration {
	p.decay(now)
	prefill := p.prefill
	if prefill == 0 && m.PrefillTokensPerSecond > 0 {
		prefill = 1 / m.PrefillTokensPerSecond
	}
	sec := 0.0
	if g.Phase != fighollow.RequestDecode {
		sec += prefill * float64(g.PromptTokens)
	}
	if g.Phase != fighollow.RequestPrefill {
		sec += p.decode * p.share * float64(g.MaxTokens-g.Offset)
	}
	return time.Duration(sec * float64(time.Second))
}
