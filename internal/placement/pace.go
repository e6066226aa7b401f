package placement

import "time"

const (
	// engineHalfLife is the half-life of the samples of one engine while the entries share what they place. Queueing is known then, so that
	// samples tell the engine's own speed; one of many entries gets a sample of each engine every few seconds.
	engineHalfLife = 20 * time.Second
	// fleetHalfLife is the same of the samples of all engines of a service, which are many.
	fleetHalfLife = 20 * time.Second
	// pacePriorSamples is how many samples the assumption weighs that an engine is as fast as the others.
	pacePriorSamples = 1
	// envelopeWeight is the weight of a sample above the fitted line while the entries share what they place. The line is then close to the
	// least duration: what waiting adds is expected by the backlog, and what is left by the pace. An estimate that is too high would let
	// the reported work exceed what engines do, so that backlogs grow without bound.
	envelopeWeight = 0.03
	// maxPaceRatio bounds a sample relative to what is expected of its engine, so that one frozen engine does not change the pace of all.
	maxPaceRatio = 4
	minPace      = 0.1
)

// pace holds sums of the observed and the expected durations of prompts with their waiting, in milliseconds. They decay.
type pace struct {
	observed, expected, samples float64
	at                          time.Time
}

func (s *pace) add(now time.Time, observedMs, expectedMs float64, halfLife time.Duration) {
	keep := decay(now, s.at, halfLife)
	s.observed, s.expected, s.samples, s.at = keep*s.observed+observedMs, keep*s.expected+expectedMs, keep*s.samples+1, now
}

// fleetPace compares what prompts take with what is expected of them while the entries share what they place, in a service and at each of
// its engines.
type fleetPace struct {
	all pace
}

// mean returns by which factor prompts take longer than expected at an engine of mean speed.
func (f *fleetPace) mean() float64 {
	if f.all.samples < minFitSamples {
		return 1
	}
	return min(maxSlowness, max(minPace, f.all.observed/f.all.expected))
}

// slowness returns the same at one engine.
func (f *fleetPace) slowness(now time.Time, engine *pace) float64 {
	mean := f.mean()
	if engine.expected == 0 || f.all.samples == 0 {
		return mean
	}
	keep := decay(now, engine.at, engineHalfLife)
	prior := pacePriorSamples * f.all.expected / f.all.samples
	return min(maxSlowness, max(minPace, (keep*engine.observed+prior*mean)/(keep*engine.expected+prior)))
}

// observe adds a prompt at an engine that took observedMs.
func (f *fleetPace) observe(now time.Time, engine *pace, observedMs, expectedMs float64) {
	observedMs = min(observedMs, maxPaceRatio*f.slowness(now, engine)*expectedMs)
	f.all.add(now, observedMs, expectedMs, fleetHalfLife)
	engine.add(now, observedMs, expectedMs, engineHalfLife)
}
