package quota

import (
	"math"
	"time"
)

// Rate is the average rate of events over a memory. The zero value has no events.
type Rate struct {
	weight  float64 // of the events, which decays with their age
	updated time.Time
}

// Observe counts an event.
func (r *Rate) Observe(now time.Time, memory time.Duration) {
	r.weight, r.updated = r.decayed(now, memory)+1, now
}

func (r *Rate) decayed(now time.Time, memory time.Duration) float64 {
	return r.weight * math.Exp(-float64(max(0, now.Sub(r.updated)))/float64(memory))
}

// PerSecond returns the average rate at now.
func (r *Rate) PerSecond(now time.Time, memory time.Duration) float64 {
	return r.decayed(now, memory) / memory.Seconds()
}
