package demand

import "time"

// Work is a rate of tokens, per second.
type Work struct {
	Prefill float64 // prompt tokens
	Decode  float64 // output tokens
}

// Estimate is what is believed of the demand for one model.
type Estimate struct {
	Fast Work // average over seconds
	Slow Work // average over minutes
	// Shift says that Fast has differed from Slow in one direction for longer than a role change costs. Before that a
	// difference counts as a burst.
	Shift bool
	// Lasted is how long the present difference has lasted; 0 without one.
	Lasted time.Duration
}

// Level returns the work to plan for: the fast average in a shift, otherwise the slow one, which bursts and swings
// hardly move.
func (e Estimate) Level() Work {
	if e.Shift {
		return e.Fast
	}
	return e.Slow
}
