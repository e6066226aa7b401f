package placement

import (
	"math"
	"time"
)

// estimate is a moving average that is forgotten, so that an upstream that was slow for a while is tried again.
type estimate struct {
	halfLife time.Duration // in which half of it is forgotten
	value    float64
	measured time.Time // last; zero when there is no measurement
}

// at returns the estimate for the present time; it goes to zero when nothing is measured.
func (e *estimate) at(now time.Time) float64 {
	return e.value * remembered(now, e.measured, e.halfLife)
}

// remembered returns how much of a measurement still counts, from 1 to 0.
func remembered(now, measured time.Time, halfLife time.Duration) float64 {
	if measured.IsZero() {
		return 0
	}
	return math.Exp2(-float64(now.Sub(measured)) / float64(halfLife))
}

// add takes a measurement with a weight. It counts for more when the earlier ones are forgotten.
func (e *estimate) add(now time.Time, v, weight float64) {
	e.value = v + (1-weight)*remembered(now, e.measured, e.halfLife)*(e.value-v)
	e.measured = now
}

// throughput is the rate at which an engine computes prompts, as one entry sees it: work of other entries makes it slower.
// It is forgotten like an estimate and then returns to the usual rate.
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
