package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/admission"
)

func ids(list []admission.Waiting) []string {
	var out []string
	for _, w := range list {
		out = append(out, w.ID)
	}
	return out
}

// Guards against a ranking that ignores worth or cost, and against engine time spent on requests that would be late.
func TestChooseByWorthAndCost(t *testing.T) {
	now := time.Unix(100, 0)
	order, late := admission.Choose(now, []admission.Waiting{
		{ID: "long", Worth: 2, Cost: 4 * time.Second},
		{ID: "short", Worth: 2, Cost: time.Second},
		{ID: "worthy", Worth: 12, Cost: 4 * time.Second},
		{ID: "late", Worth: 99, Cost: 4 * time.Second, Deadline: now.Add(3 * time.Second)},
	}, nil)
	qt.Assert(t, ids(order), qt.DeepEquals, []string{"worthy", "short", "long"})
	qt.Assert(t, ids(late), qt.DeepEquals, []string{"late"})
}

// simulateOverload runs one engine at load times its capacity for 300 s with three workspaces. It returns the worth of
// the requests completed in time and each workspace's share of engine time. Workspace 0 sends flood times as many
// requests as each of the others.
func simulateOverload(seed uint64, load, flood float64, choose func(now time.Time, w []admission.Waiting, u admission.Usage) ([]admission.Waiting, []admission.Waiting)) (worth float64, share [3]float64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	used := admission.Usage{}
	var queue []admission.Waiting
	freeAt, total := time.Unix(0, 0), 0.0
	for i := range 3000 {
		now := time.Unix(0, 0).Add(time.Duration(i) * 100 * time.Millisecond)
		used.Decay(100 * time.Millisecond)
		for ws := range 3 {
			rate := load / (flood + 2) // requests of 1 s on average
			if ws == 0 {
				rate *= flood
			}
			if rnd.Float64() < rate/10 {
				queue = append(queue, admission.Waiting{ID: fmt.Sprint(i, "-", ws), Workspace: fmt.Sprint(ws), Arrived: now,
					Worth: 1 + 4*rnd.Float64(), Cost: time.Duration((0.2 + 1.6*rnd.Float64()) * 1e9), Deadline: now.Add(15 * time.Second)})
			}
		}
		for !freeAt.After(now) {
			order, _ := choose(now, queue, used)
			if len(order) == 0 {
				break
			}
			w := order[0]
			queue = slices.DeleteFunc(order, func(o admission.Waiting) bool { return o.ID == w.ID })
			used.Add(w)
			freeAt = now.Add(w.Cost)
			if freeAt.Before(w.Deadline) {
				worth += w.Worth
			}
			ws := int(w.Workspace[0] - '0')
			share[ws] += w.Cost.Seconds()
			total += w.Cost.Seconds()
		}
	}
	for i := range share {
		share[i] /= total
	}
	return worth, share
}

func byArrival(_ time.Time, w []admission.Waiting, _ admission.Usage) ([]admission.Waiting, []admission.Waiting) {
	return slices.Clone(w), nil
}

func withoutFairness(now time.Time, w []admission.Waiting, _ admission.Usage) ([]admission.Waiting, []admission.Waiting) {
	return admission.Choose(now, w, nil)
}

// Guards against a ranking that completes less worth during an overload than the order of arrival does, and against a
// workspace that gets nearly all engine time by sending a flood of requests.
func TestOverloadByWorthIsFair(t *testing.T) {
	for seed := range uint64(5) {
		fifo, fifoShare := simulateOverload(seed, 2, 8, byArrival)
		greedy, greedyShare := simulateOverload(seed, 2, 8, withoutFairness)
		got, share := simulateOverload(seed, 2, 8, admission.Choose)
		t.Logf("seed %d: worth in order of arrival %.0f, by worth %.0f, with fairness %.0f; share of the flood %.2f, %.2f, %.2f",
			seed, fifo, greedy, got, fifoShare[0], greedyShare[0], share[0])
		qt.Check(t, got > 1.5*fifo, qt.IsTrue, qt.Commentf("%.0f %.0f", got, fifo))
		qt.Check(t, share[0] < greedyShare[0], qt.IsTrue)
	}
}
