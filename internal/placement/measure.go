package placement

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of a new sample in the moving average of a latency.
	latencyWeight = 0.2
	// latencyHalfLife is the half-life of the weight of earlier samples. Load and the faults that make an upstream slow last
	// for seconds.
	latencyHalfLife = 600 * time.Millisecond
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
	ms := milliseconds(took)
	l.ms = ms + (1-latencyWeight)*decay(now, l.measured, latencyHalfLife)*(l.ms-ms)
	l.measured = now
}

// typicalMemory is the number of recent samples that a typical value weighs most.
const typicalMemory = 200

// typical is the geometric mean of recent samples, which a few very long ones hardly change. The zero value has no samples.
type typical struct {
	logMs  float64 // mean of the logarithms
	weight float64 // of all samples, at most typicalMemory
}

// ms returns the typical value in milliseconds; 0 if there are no samples.
func (t *typical) ms() float64 {
	if t.weight == 0 {
		return 0
	}
	return math.Exp(t.logMs)
}

// observe adds a sample in milliseconds.
func (t *typical) observe(ms float64) {
	t.weight = min(t.weight+1, typicalMemory)
	t.logMs += (math.Log(max(ms, 0.01)) - t.logMs) / t.weight
}
