package placement

import (
	"math"
	"time"
)

const (
	// fitMemory is the number of recent samples that a lineFit weighs most.
	fitMemory = 64
	// slowSampleWeight is the weight of a sample above the fitted line, relative to one below it, in a fit of the durations of
	// prompts that did not wait. Work of other entries, which this one does not see, lengthens some of them.
	slowSampleWeight = 0.15
	// minFitSamples is the number of samples from which on the line tells high samples from low ones.
	minFitSamples = 6
	// maxSampleRatio bounds a sample relative to the line, so that one frozen engine does not spoil the fit.
	maxSampleRatio = 4
	// priorTargetShare is the share of its latency target that a whole prompt is assumed to take before there are samples:
	// operators choose targets that their engines can meet.
	priorTargetShare = 0.25
	// speedHalfLife is the half-life of the measurements of one engine's speed. Load and the faults that make an engine slow
	// last for seconds.
	speedHalfLife = time.Second
	// speedPriorSamples is how many samples the assumption weighs that an engine is as fast as the others of its service.
	speedPriorSamples = 3
	// maxSlowness bounds the factor by which an engine is assumed to be slower than the others, so that it is tried again.
	maxSlowness = 20
)

// lineFit is a weighted least-squares fit of durations in milliseconds over the number of computed prompt tokens. Samples
// fade with the number of later ones. The zero value has no samples.
type lineFit struct {
	weight, x, xx, y, xy float64 // weighted sums
	priorSlope           float64 // milliseconds per token while there are no samples
}

// line returns the fitted intercept and slope; neither is negative.
func (f *lineFit) line() (intercept, slope float64) {
	if f.weight == 0 {
		return 0, f.priorSlope
	}
	meanX, meanY := f.x/f.weight, f.y/f.weight
	variance := f.xx/f.weight - meanX*meanX
	// Sizes that hardly differ do not tell the slope. It is then drawn towards a line through the origin.
	prior := 0.01*meanX*meanX + 1
	covariance := f.xy/f.weight - meanX*meanY
	slope = (covariance + prior*meanY/max(1, meanX)) / (variance + prior)
	slope = min(max(0, slope), meanY/max(1, meanX))
	return meanY - slope*meanX, slope
}

// estimate returns the expected duration in milliseconds for a number of tokens.
func (f *lineFit) estimate(tokens float64) float64 {
	intercept, slope := f.line()
	return intercept + slope*tokens
}

// known returns the estimate, or 0 if there are too few samples to compare another one with.
func (f *lineFit) known(tokens float64) float64 {
	if f.weight < minFitSamples {
		return 0
	}
	return f.estimate(tokens)
}

// observe adds a sample. highWeight is the weight of samples above the line.
func (f *lineFit) observe(tokens, ms, highWeight float64) {
	w := 1.0
	if f.weight >= minFitSamples {
		expected := f.estimate(tokens)
		ms = min(ms, maxSampleRatio*expected+1)
		if ms > expected {
			w = highWeight
		}
	}
	keep := 1 - w/fitMemory
	f.weight = keep*f.weight + w
	f.x = keep*f.x + w*tokens
	f.xx = keep*f.xx + w*tokens*tokens
	f.y = keep*f.y + w*ms
	f.xy = keep*f.xy + w*tokens*ms
}

// promptTimes is what an entry has learned of how long the engines of a service take for prompts. It answers a load whose
// prompts differ in size and cached share, on engines of unknown speed.
type promptTimes struct {
	alone lineFit // from dispatch to result of a prompt that did not wait for others of this entry
	next  lineFit // between the results of two prompts that the engine computed one after the other
	whole lineFit // from dispatch to first event of a prompt that a decode engine computes itself
}

// aloneMs returns how long a prompt takes that does not wait, until its result arrives.
func (t *promptTimes) aloneMs(tokens float64) float64 { return t.alone.estimate(tokens) }

// occupiedMs returns how long a prompt keeps its engine from the next one. Work of other entries is part of it.
func (t *promptTimes) occupiedMs(tokens float64) float64 {
	if t.next.weight == 0 {
		return t.aloneMs(tokens)
	}
	return t.next.estimate(tokens)
}

// engineSpeed compares one engine with the other engines of its service, as this entry observes them. It answers engines
// that are slow or that other entries keep busy.
type engineSpeed struct {
	observed, expected float64 // sums of the durations of recent prompts, in units of the expected ones; both decay
	lastEnd            time.Time
}

// slowness returns by which factor prompts take longer at this engine than expected for the service.
func (s *engineSpeed) slowness(now time.Time) float64 {
	if s.expected == 0 {
		return 1
	}
	keep := decay(now, s.lastEnd, speedHalfLife)
	return math.Min(maxSlowness, (keep*s.observed+speedPriorSamples)/(keep*s.expected+speedPriorSamples))
}

// observe adds a prompt whose time is expectedMs at the other engines; 0 if that is not known.
func (s *engineSpeed) observe(now time.Time, observedMs, expectedMs float64) {
	keep := decay(now, s.lastEnd, speedHalfLife)
	s.observed, s.expected, s.lastEnd = keep*s.observed, keep*s.expected, now
	if expectedMs > 0 {
		s.observed += observedMs / expectedMs
		s.expected++
	}
}

// wholeMs returns how long a decode engine takes to compute a prompt, until its first event arrives.
func (t *promptTimes) wholeMs(tokens float64) float64 {
	if t.whole.weight < minFitSamples {
		return decodePrefillSlowdown * t.aloneMs(tokens)
	}
	return t.whole.estimate(tokens)
}

// assume sets what is assumed of prompts before there are samples.
func (t *promptTimes) assume(q Query) {
	if t.alone.weight == 0 && q.Target > 0 && q.PromptTokens > 0 {
		t.alone.priorSlope = priorTargetShare * milliseconds(q.Target) / float64(q.PromptTokens)
	}
}

// observePrompt adds the result at now of a prompt with this many computed tokens that was sent at sent. backlog reports
// whether earlier prompts of this entry were unfinished at that time.
func (p *Pool) observePrompt(now, sent time.Time, inst *instance, tokens float64, backlog bool) {
	lastEnd := inst.speed.lastEnd
	switch {
	case !backlog:
		ms := milliseconds(now.Sub(sent))
		inst.speed.observe(now, ms, p.times.alone.known(tokens))
		p.times.alone.observe(tokens, ms, slowSampleWeight)
	case lastEnd.After(sent):
		ms := milliseconds(now.Sub(lastEnd))
		inst.speed.observe(now, ms, p.times.next.known(tokens))
		p.times.next.observe(tokens, ms, 1)
	default:
		inst.speed.observe(now, 0, 0)
	}
}

// observeWhole adds the first event at now of a prompt that a decode engine computed itself.
func (p *Pool) observeWhole(now time.Time, inst *instance, a *Attempt) {
	if a.backlog {
		return
	}
	ms := milliseconds(now.Sub(a.SentAt))
	inst.speed.observe(now, ms, p.times.whole.known(a.PrefillTokens))
	p.times.whole.observe(a.PrefillTokens, ms, slowSampleWeight)
}

// milliseconds returns d in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// duration returns the duration of ms milliseconds.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
