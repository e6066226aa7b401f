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

// at returns the estimate for the present time; usual takes the place of what is forgotten.
func (e *estimate) at(now time.Time, usual float64) float64 {
	return usual + e.known(now)*(e.value-usual)
}

// known returns how much of the last value still counts, from 1 to 0.
func (e *estimate) known(now time.Time) float64 {
	if e.measured.IsZero() {
		return 0
	}
	return math.Exp2(-float64(now.Sub(e.measured)) / float64(e.halfLife))
}

// add takes a measurement with a weight. It counts for more when the earlier ones are forgotten.
func (e *estimate) add(now time.Time, v, weight float64) {
	e.value = v + (1-weight)*e.known(now)*(e.value-v)
	e.measured = now
}
