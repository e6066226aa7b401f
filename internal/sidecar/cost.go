package sidecar

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// costEstimator estimates how long a request occupies a slot of the engine, from moving averages over completed
// requests. It is not safe for concurrent use.
type costEstimator struct {
	prefillSeconds float64 // per prompt token, including queueing in the engine
	decodeSeconds  float64 // per output token
	outputShare    float64 // output tokens as a fraction of the requested maximum
	updated        time.Time
}

const (
	costSampleWeight = 0.1 // weight of a new sample in the moving averages
	// costHalfLife is the half-life of the averages while no request completes. Without the decay, an estimate so high
	// that every request is refused as too late would never be corrected.
	costHalfLife = 5 * time.Second
)

func newCostEstimator() *costEstimator { return &costEstimator{} }

func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + costSampleWeight*(sample-old)
}

// observe adds a completed attempt, which was sent to the engine at started, to the averages.
func (e *costEstimator) observe(a *attempt, r fighollow.GenerateResult, started, now time.Time) {
	e.decay(now)
	e.updated = now
	firstToken := a.firstTokenTime()
	if firstToken.IsZero() {
		firstToken = now
	}
	if n := r.PromptTokens - r.CachedTokens; n > 0 {
		e.prefillSeconds = movingAverage(e.prefillSeconds, firstToken.Sub(started).Seconds()/float64(n))
	}
	if n := a.nextToken() - a.startOffset(); n > 0 {
		e.decodeSeconds = movingAverage(e.decodeSeconds, now.Sub(firstToken).Seconds()/float64(n))
		e.outputShare = movingAverage(e.outputShare, float64(n)/float64(max(1, a.call.Generate.MaxTokens-a.startOffset())))
	}
}

// decay halves the averages for each costHalfLife without a sample.
func (e *costEstimator) decay(now time.Time) {
	for e.updated.Before(now.Add(-costHalfLife)) && e.prefillSeconds+e.decodeSeconds > 1e-9 {
		e.prefillSeconds, e.decodeSeconds, e.updated = e.prefillSeconds/2, e.decodeSeconds/2, e.updated.Add(costHalfLife)
	}
}

// estimate returns the expected time in the slot. Without samples it uses the prefill rate in the model's
// definition.
func (e *costEstimator) estimate(now time.Time, g *fighollow.GenerateRequest, m fighollow.Model) time.Duration {
	e.decay(now)
	prefill := e.prefillSeconds
	if prefill == 0 && m.PrefillTokensPerSecond > 0 {
		prefill = 1 / m.PrefillTokensPerSecond
	}
	sec := 0.0
	if g.Phase != fighollow.RequestDecode {
		sec += prefill * float64(g.PromptTokens)
	}
	if g.Phase != fighollow.RequestPrefill {
		sec += e.decodeSeconds * e.outputShare * float64(g.MaxTokens-g.Offset)
	}
	return time.Duration(sec * float64(time.Second))
}
