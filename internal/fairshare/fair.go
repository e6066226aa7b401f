// Package fairshare divides the engine time of a scarce service among workspaces by max-min fairness. Entries admit each request with a
// probability that follows from its workspace's offered rate and the fair rate, as core-stateless fair queueing does.
// docs/design/fair-shares.md has the design.
package fairshare

import (
	"math"
	"time"

	"github.com/fighollow/fighollow/internal/rendezvous"
)

// maxRanks is the number of ranks; higher ones count as the last.
const maxRanks = 5

const (
	// minFraction is the least admitted fraction of a workspace's engine time, relative to that over all workspaces. Must be a quarter at
	// least; the rest is for rates that have changed since they were measured.
	minFraction = 0.28
	// fairRateSteps halvings determine the fair rate to within 1e-9 of the highest rate.
	fairRateSteps = 30
)

// fairRate returns the fair rate a and the least probability of admission for the rates that workspaces offer, such that what is admitted
// equals the capacity. If the capacity suffices for all, these are the highest rate and 1. The least probability follows from the rate that
// is admitted in fact, if that is higher than the capacity.
func fairRate(rates []float64, capacity, admitted float64) (fair, floor float64) {
	var sum, highest float64
	for _, r := range rates {
		sum, highest = sum+r, max(highest, r)
	}
	if capacity >= sum {
		return highest, 1
	}
	floor = min(1, minFraction*max(0, capacity, admitted)/sum)
	low, high := 0.0, highest
	for range fairRateSteps {
		fair = (low + high) / 2
		total := 0.0
		for _, r := range rates {
			total += r * probability(r, fair, floor)
		}
		if total > capacity {
			high = fair
		} else {
			low = fair
		}
	}
	return low, floor
}

// probability returns the probability with which requests of a workspace are admitted that offers rate.
func probability(rate, fair, floor float64) float64 {
	if rate <= fair {
		return 1
	}
	return max(fair/rate, floor)
}

// rankShares is the fraction of a workspace's offered engine time in each rank.
type rankShares [maxRanks]float64

// add adds another measurement, by its weight.
func (s *rankShares) add(other *rankShares, weight float64) {
	for i := range s {
		s[i] += weight * other[i]
	}
}

// normalized returns s with a sum of 1, or with 0 in all ranks if there is nothing.
func (s rankShares) normalized() rankShares {
	sum := 0.0
	for _, f := range s {
		sum += f
	}
	if sum > 0 {
		for i := range s {
			s[i] /= sum
		}
	}
	return s
}

// position returns where a request stands among those of its workspace, from 0 for the one that is admitted first to 1: more urgent ranks
// come first, and draw decides within the request's rank.
func (s *rankShares) position(rank int, draw float64) float64 {
	before := 0.0
	for _, f := range s[:rank] {
		before += f
	}
	return before + draw*max(0, min(s[rank], 1-before))
}

// drawSalt makes draws independent of other uses of the hash of an id.
const drawSalt = 0x66616972

// drawOf returns the draw of a request, from 0 to below 1, which is the same at all entries.
func drawOf(id string) float64 {
	return float64(rendezvous.Score(rendezvous.Key(id), drawSalt)>>11) / (1 << 53)
}

const (
	// beginLateShare is the fraction of the offered engine time that must be late for scarcity to begin. Where demand exceeds what the
	// engines do, queues grow until nearly all is late; some percent are late whenever engines start, crash or are slow, and to refuse
	// requests then helps nobody. keepLateShare is the fraction at which it goes on.
	beginLateShare = 0.25
	keepLateShare  = 0.02
	// capacityGrowth is by how much the capacity grows in a second, and crowdedGain by how much it shrinks if all requests wait for their
	// latency target or longer. It settles where they wait for a third of it, so that requests are refused by share and not by lateness.
	// Less than the capacity is divided while requests wait, up to maxDrain, so that queues shorten at once.
	capacityGrowth = 0.05
	crowdedGain    = 0.15
	maxDrain       = 0.6
	// minCapacityShare bounds the capacity from below, relative to the average admitted rate, of which a measurement counts half after
	// admittedHalfLife, so that a wrong measurement of waits does not shut the service down at once. While waits exceed saturated, the
	// engines are busy, and the average bounds the capacity from above too.
	minCapacityShare = 0.7
	admittedHalfLife = 3 * time.Second
	saturated        = 0.9
	// maxCapacityShare bounds the capacity from above, relative to the offered rate.
	maxCapacityShare = 1.1
	// endShare is the capacity relative to the offered rate at which scarcity ends, if it was so for calmTime, in which nothing is refused,
	// and nothing was late meanwhile.
	endShare = 1.02
	calmTime = 6 * time.Second
)

// totals are rates over all workspaces, in milliseconds of engine time a second. crowded is the offered rate weighted by how long requests
// wait, relative to their latency targets.
type totals struct {
	offered, admitted, late, crowded float64
}

// estimator decides whether a service is scarce, and which capacity is divided.
type estimator struct {
	scarce   bool
	since    time.Time // when scarcity began
	capacity float64   // while it is scarce
	admitted float64   // average admitted rate
	crowded  float64   // mean wait relative to the latency target, at most 1
	updated  time.Time
	refusing time.Time // when requests were last late, or the capacity did not suffice for all
}

// update takes measured rates into account.
func (e *estimator) update(now time.Time, t totals) {
	elapsed := min(max(0, now.Sub(e.updated)), calmTime)
	e.updated = now
	keep := math.Exp2(-float64(elapsed) / float64(admittedHalfLife))
	e.admitted = keep*e.admitted + (1-keep)*t.admitted
	lateFrom := beginLateShare
	if e.scarce {
		lateFrom = keepLateShare
	}
	late := t.late > 0 && t.late >= lateFrom*t.offered
	switch {
	case e.scarce:
		e.crowded = 0
		if t.offered > 0 {
			e.crowded = min(1, t.crowded/t.offered)
		}
		e.capacity *= 1 + (capacityGrowth-crowdedGain*e.crowded)*elapsed.Seconds()
		if e.crowded > saturated {
			e.capacity = min(e.capacity, e.admitted)
		}
		e.capacity = min(max(e.capacity, minCapacityShare*e.admitted), maxCapacityShare*t.offered)
		if late || e.divided() < endShare*t.offered {
			e.refusing = now
		}
		if now.Sub(e.refusing) >= calmTime {
			e.scarce = false
		}
	case late:
		e.scarce, e.since, e.refusing = true, now, now
		e.capacity, e.admitted, e.crowded = t.admitted, t.admitted, 0
	}
}

// divided returns the capacity to divide now.
func (e *estimator) divided() float64 { return e.capacity * (1 - maxDrain*e.crowded) }

// clampLimit returns up to which each of the rates counts that entries state of the same workspace, given in ascending order.
func clampLimit(sorted []float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return maxOverMedian*sorted[(len(sorted)-1)/2] + maxAboveMedian
}

const (
	// maxOverMedian and maxAboveMedian (milliseconds a second) bound what one entry's statement counts, by the lower median of the entries
	// that state a rate of the same workspace, so that a faulty entry cannot shut a workspace out.
	maxOverMedian  = 4
	maxAboveMedian = 100
)

// retryAfterMin is the least delay after which a refused caller may come back.
const retryAfterMin = 300 * time.Millisecond

// retryAfter returns the delay after which a refused caller may come back. Delays are spread over the time in which the workspace's rate
// can fall: the window over which it is measured, and until entries learn of it.
func retryAfter(draw float64, interval time.Duration) time.Duration {
	return retryAfterMin + time.Duration(draw*float64(rateWindow+interval))
}

// isRate reports whether a stated number can be a rate.
func isRate(v float64) bool { return v >= 0 && !math.IsInf(v, 0) && !math.IsNaN(v) }
