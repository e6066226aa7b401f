package placement

import (
	"math"
	"time"
)

const (
	// speedHalfLife is the half-life of the measurements of one engine's speed. Load and the faults that make an engine slow
	// last for seconds.
	speedHalfLife = time.Second
	// speedPriorSamples is how many samples the assumption weighs that an engine is as fast as the others of its service.
	speedPriorSamples = 3
	// maxSlowness bounds the factor by which an engine is assumed to be slower than the others, so that it is tried again.
	maxSlowness = 20
)

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

// slowness returns by which factor prompts take longer at an engine than expected for the service.
func (p *Pool) slowness(now time.Time, inst *instance) float64 {
	if p.sharing {
		return p.pace.slowness(now, &inst.pace)
	}
	return inst.speed.slowness(now)
}
