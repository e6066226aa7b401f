package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Waiting is a request that waits for admission.
type Waiting struct {
	ID        string
	Workspace string
	Worth     float64 // value of a completed answer; 0 means 1
	Deadline  time.Time
	// Cost is the engine time that the request needs.
	Cost    time.Duration
	Arrived time.Time
}

// Usage holds the recent engine time of each workspace in seconds, as an exponentially decaying sum.
type Usage map[string]float64

// usageHalfLife is the half-life of past usage: for about this time, a workspace that sent a flood of requests is ranked
// lower.
const usageHalfLife = 30 * time.Second

// Decay reduces the usage of all workspaces by the elapsed time.
func (u Usage) Decay(elapsed time.Duration) {
	factor := math.Exp2(-elapsed.Seconds() / usageHalfLife.Seconds())
	for workspace, v := range u {
		u[workspace] = v * factor
	}
}

// Add adds the cost of an admitted request to the usage of its workspace.
func (u Usage) Add(w Waiting) { u[w.Workspace] += w.Cost.Seconds() }

// Choose ranks the requests to admit during an overload. order holds the requests that can still meet their deadline,
// sorted by worth per second of engine time, reduced for workspaces whose recent usage exceeds an even share. late holds
// the requests that would miss their deadline and should be refused at once.
func Choose(now time.Time, waiting []Waiting, used Usage) (order, late []Waiting) {
	total := 0.0
	workspaces := make(map[string]bool)
	for _, w := range waiting {
		workspaces[w.Workspace] = true
	}
	for workspace, v := range used {
		total += v
		workspaces[workspace] = true
	}
	evenShare := total / math.Max(1, float64(len(workspaces)))
	score := make(map[string]float64, len(waiting))
	for _, w := range waiting {
		if !w.Deadline.IsZero() && now.Add(w.Cost).After(w.Deadline) {
			late = append(late, w)
			continue
		}
		score[w.ID] = worthPerSecond(w) * fairnessFactor(used[w.Workspace], evenShare)
		order = append(order, w)
	}
	slices.SortStableFunc(order, func(a, b Waiting) int {
		return cmp.Or(cmp.Compare(score[b.ID], score[a.ID]), a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	return order, late
}

// worthPerSecond returns the worth per second of engine time. Requests shorter than 0.1 s count as 0.1 s, so that a
// flood of very short requests does not overtake all others.
func worthPerSecond(w Waiting) float64 {
	worth := w.Worth
	if worth <= 0 {
		worth = 1
	}
	return worth / math.Max(w.Cost.Seconds(), 0.1)
}

// fairnessFactor returns the factor for the score of a workspace. Above the even share it is the inverse square of the
// excess, because worth and cost differ by small factors, but usage in a flood by a large one.
func fairnessFactor(used, evenShare float64) float64 {
	if used <= evenShare || evenShare == 0 {
		return 1
	}
	return (evenShare / used) * (evenShare / used)
}
