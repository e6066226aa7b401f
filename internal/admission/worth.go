package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Waiting is a request that waits to be admitted.
type Waiting struct {
	ID        string
	Workspace string
	Worth     float64 // of a completed answer; 0 means 1
	Deadline  time.Time
	// Cost is the engine time that the request needs.
	Cost time.Duration
	At   time.Time // of arrival
}

// Usage is the engine time that a workspace got lately, as a sum that decays.
type Usage map[string]float64

// usageHalfLife is how fast past use is forgiven; within it a workspace that floods pays for its use.
const usageHalfLife = 30 * time.Second

// Decay forgets use over the time that has passed.
func (u Usage) Decay(passed time.Duration) {
	keep := math.Exp2(-passed.Seconds() / usageHalfLife.Seconds())
	for workspace, v := range u {
		u[workspace] = v * keep
	}
}

// Add counts an admitted request.
func (u Usage) Add(w Waiting) { u[w.Workspace] += w.Cost.Seconds() }

// Choose orders the requests to admit in an overload: those that can still meet their deadline, by worth for each
// second of engine time, lowered for workspaces that used more than an even share lately. It also returns the requests
// that would be late, which should be refused at once.
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
	even := total / math.Max(1, float64(len(workspaces)))
	score := make(map[string]float64, len(waiting))
	for _, w := range waiting {
		if !w.Deadline.IsZero() && now.Add(w.Cost).After(w.Deadline) {
			late = append(late, w)
			continue
		}
		score[w.ID] = density(w) * fairness(used[w.Workspace], even)
		order = append(order, w)
	}
	slices.SortStableFunc(order, func(a, b Waiting) int {
		return cmp.Or(cmp.Compare(score[b.ID], score[a.ID]), a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
	return order, late
}

// density is the worth for each second. Very short requests count as a tenth of a second, so that a flood of them does
// not pass everything else.
func density(w Waiting) float64 {
	worth := w.Worth
	if worth <= 0 {
		worth = 1
	}
	return worth / math.Max(w.Cost.Seconds(), 0.1)
}

// fairness lowers the score of a workspace above the even share by the square of the excess: worth and cost differ by
// small factors, use in a flood by a large one.
func fairness(used, even float64) float64 {
	if used <= even || even == 0 {
		return 1
	}
	return (even / used) * (even / used)
}
