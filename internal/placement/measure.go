package placement

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of a new sample in the moving average of a latency.
	latencyWeight = 0.2
	// latencyHalfLife and rateHalfLife are the half-lives of the weight of earlier samples. Load and the faults that make an
	// upstream slow last for seconds.
	latencyHalfLife = 600 * time.Millisecond
	rateHalfLife    = 4 * time.Second
	// priorPrefillRate, in prompt tokens per millisecond, is the assumed rate of an engine that has no samples. It weighs as
	// much as priorPrefillMs milliseconds of measured work.
	priorPrefillRate = 40
	priorPrefillMs   = 200
	// minPrefillRate, in prompt tokens per millisecond, bounds a rate from below, so that one slow answer does not rule an
	// engine out.
	minPrefillRate = 2
	// prefillOverheadMs is the fixed part of a prefill's duration in milliseconds: the engine's step and the network.
	prefillOverheadMs = 100
)

// decay returns the remaining weight of a sample, from 1 down to 0. Without decay, an upstream that was slow once would get
// no work for ever, as only its own answers correct the estimate.
func decay(now, measured time.Time, halfLife time.Duration) float64 {
	if measured.IsZero() {
		return 0
	}
	return math.Exp2(-float64(now.Sub(measured)) / float64(halfLife))
}

// latency is a moving average of the time until an answer or its first event. The estimate decays to zero without new
// samples.
type latency struct {
	ms       float64
	measured time.Time // time of the last sample; zero if there is none
}

// estimate returns the expected latency in milliseconds.
func (l *latency) estimate(now time.Time) float64 {
	return l.ms * decay(now, l.measured, latencyHalfLife)
}

// observe adds a sample. The further the earlier samples have decayed, the more it counts.
func (l *latency) observe(now time.Time, took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	l.ms = ms + (1-latencyWeight)*decay(now, l.measured, latencyHalfLife)*(l.ms-ms)
	l.measured = now
}

// throughput is the rate at which an engine computes prompts, as observed by one entry: work of other entries lowers it. The
// estimate returns to priorPrefillRate without new samples.
type throughput struct {
	tokens, ms float64   // prompt tokens computed, and the milliseconds that they took; both decay
	lastEnd    time.Time // end of the last prefill
}

// rate returns the estimated rate in prompt tokens per millisecond.
func (t *throughput) rate(now time.Time) float64 {
	weight := decay(now, t.lastEnd, rateHalfLife)
	return max(minPrefillRate, (weight*t.tokens+priorPrefillRate*priorPrefillMs)/(weight*t.ms+priorPrefillMs))
}

// observe adds a prefill that was sent at sent and ended at now. An engine computes prompts one at a time, so the
// computation started no earlier than the end of the previous prefill.
func (t *throughput) observe(now, sent time.Time, tokens float64) {
	weight := decay(now, t.lastEnd, rateHalfLife)
	from := sent.Add(prefillOverheadMs * time.Millisecond)
	if t.lastEnd.After(from) {
		from = t.lastEnd
	}
	t.tokens = weight*t.tokens + tokens
	t.ms = weight*t.ms + max(0, float64(now.Sub(from))/float64(time.Millisecond))
	t.lastEnd = now
}
