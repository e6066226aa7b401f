package placement

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of a new measurement of a latency.
	latencyWeight = 0.2
	// latencyHalfLife and rateHalfLife are how long it takes to forget half of what was measured. Load and the faults that
	// make an upstream slow last for seconds.
	latencyHalfLife = 600 * time.Millisecond
	rateHalfLife    = 4 * time.Second
	// usualPrefillRate, in prompt tokens per millisecond, stands for an engine's rate until it was measured, and weighs as much
	// as usualPrefillMs of measured work afterwards.
	usualPrefillRate = 40
	usualPrefillMs   = 200
	// minPrefillRate bounds a rate from below, so that an engine is not ruled out by one slow answer.
	minPrefillRate = 2
	// prefillOverhead is the fixed part of a prefill's time in milliseconds: the engine's step and the network.
	prefillOverhead = 100
)

// remembered returns how much of a measurement still counts, from 1 to 0. What is never forgotten would keep an upstream that
// was slow once without work for ever, as only its own answers correct it.
func remembered(now, measured time.Time, halfLife time.Duration) float64 {
	if measured.IsZero() {
		return 0
	}
	return math.Exp2(-float64(now.Sub(measured)) / float64(halfLife))
}

// latency is a moving average of the time until an answer or its first event. It goes to zero when nothing is measured.
type latency struct {
	ms       float64
	measured time.Time // last; zero when there is no measurement
}

// at returns the latency in milliseconds that is expected at the present time.
func (l *latency) at(now time.Time) float64 {
	return l.ms * remembered(now, l.measured, latencyHalfLife)
}

// add takes a measurement. It counts for more when the earlier ones are forgotten.
func (l *latency) add(now time.Time, took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	l.ms = ms + (1-latencyWeight)*remembered(now, l.measured, latencyHalfLife)*(l.ms-ms)
	l.measured = now
}

// throughput is the rate at which an engine computes prompts, as one entry sees it: work of other entries makes it slower.
// It returns to the usual rate when nothing is measured.
type throughput struct {
	tokens, ms float64 // computed, and the time that it took
	last       time.Time
}

// rate returns prompt tokens per millisecond.
func (t *throughput) rate(now time.Time) float64 {
	known := remembered(now, t.last, rateHalfLife)
	return max(minPrefillRate, (known*t.tokens+usualPrefillRate*usualPrefillMs)/(known*t.ms+usualPrefillMs))
}

// add takes a prefill that was sent at a time and has ended now. An engine computes prompts one after the other, so that it
// began with this one when the one before had ended.
func (t *throughput) add(now, sent time.Time, tokens float64) {
	known := remembered(now, t.last, rateHalfLife)
	from := sent.Add(prefillOverhead * time.Millisecond)
	if t.last.After(from) {
		from = t.last
	}
	t.tokens = known*t.tokens + tokens
	t.ms = known*t.ms + max(0, float64(now.Sub(from))/float64(time.Millisecond))
	t.last = now
}
