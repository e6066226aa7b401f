package policy_test

import (
	"math"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// allocation holds the number of engines by model and role: prefill and decode of the large model, then of the small one.
type allocation [4]int

const stepSeconds = 20.0 // duration of one step of a schedule

// oracle follows a schedule computed with knowledge of the future demand.
type oracle struct{ schedule []allocation }

// optimalSchedule returns the schedule with the most useful work minus price for each change, in engine-seconds. It uses
// dynamic programming over a fluid model of the engines and shares no code with the planner.
func (w workload) optimalSchedule(price float64) *oracle {
	states := allAllocations()
	start := allocation{4, 8, 3, 3}
	steps := int(runEnd / stepSeconds)
	value := make([]float64, len(states))
	for i, st := range states {
		value[i] = math.Inf(-1)
		if st == start {
			value[i] = 0
		}
	}
	reachable := neighbours(states)
	previous := make([][]int, steps)
	for k := range steps {
		lp, ld, sp, sd := w.meanLoad((float64(k) + 0.5) * stepSeconds)
		next := make([]float64, len(states))
		previous[k] = make([]int, len(states))
		for j, to := range states {
			next[j] = math.Inf(-1)
			for _, i := range reachable[j] {
				if v := value[i] - price*float64(distance(states[i], to)); v > next[j] {
					next[j], previous[k][j] = v, i
				}
			}
			next[j] += stepSeconds * (servedLoad(to[0], to[1], lp, ld) + servedLoad(to[2], to[3], sp, sd))
		}
		value = next
	}
	best := 0
	for j := range value {
		if value[j] > value[best] {
			best = j
		}
	}
	o := &oracle{schedule: make([]allocation, steps)}
	for k := steps - 1; k >= 0; k-- {
		o.schedule[k] = states[best]
		best = previous[k][best]
	}
	return o
}

func allAllocations() []allocation {
	var out []allocation
	for n := 8; n <= 14; n++ {
		for p := 1; p < n; p++ {
			for sp := 1; sp < engineCount-n; sp++ {
				out = append(out, allocation{p, n - p, sp, engineCount - n - sp})
			}
		}
	}
	return out
}

// neighbours returns for each allocation the indices of those from which it can be reached in one step, with up to 4
// changes.
func neighbours(states []allocation) [][]int {
	out := make([][]int, len(states))
	for j, to := range states {
		for i, st := range states {
			if distance(st, to) <= 4 {
				out[j] = append(out[j], i)
			}
		}
	}
	return out
}

func distance(a, b allocation) int {
	d := 0
	for i := range a {
		d += max(0, b[i]-a[i])
	}
	return d
}

// servedLoad returns the work done, in engines, by prefill and decode engines that process each other's overflow.
func servedLoad(prefill, decode int, wp, wd float64) float64 {
	p, d := 0.95*float64(prefill), 0.95*float64(decode)
	done := min(p, wp) + min(d, wd)
	done += min(max(0, p-wp)*offRoleRate, max(0, wd-d)) + min(max(0, d-wd)*offRoleRate, max(0, wp-p))
	return done - 0.001*(math.Abs(wp/p-wd/d))
}

// decide starts changes ahead of the schedule, so that they are complete when their step begins.
func (o *oracle) decide(now float64, r *simulation) {
	const leadTime = 15.0
	want := o.schedule[min(int((now+leadTime)/stepSeconds), len(o.schedule)-1)]
	var have allocation
	groups := make([][]*engine, 4)
	for _, e := range r.engines {
		i := allocationIndex(e.planned)
		have[i]++
		groups[i] = append(groups[i], e)
	}
	for i := range want {
		for have[i] < want[i] {
			j := donorIndex(have, want, i)
			if j < 0 {
				return
			}
			e := leastLoaded(groups[j])
			groups[j] = without(groups[j], e)
			have[i], have[j] = have[i]+1, have[j]-1
			r.order(now, e, assignmentOf(i))
		}
	}
}

// donorIndex returns the index of a group with more engines than want, preferably of the same model as group to, or -1.
func donorIndex(have, want allocation, to int) int {
	if other := to ^ 1; have[other] > want[other] {
		return other
	}
	for j := range have {
		if have[j] > want[j] {
			return j
		}
	}
	return -1
}

func without(list []*engine, e *engine) []*engine {
	var out []*engine
	for _, other := range list {
		if other != e {
			out = append(out, other)
		}
	}
	return out
}

func allocationIndex(a fighollow.Assignment) int {
	i := 0
	if a.Model == small {
		i = 2
	}
	if a.Role != fighollow.RolePrefill {
		i++
	}
	return i
}

func assignmentOf(i int) fighollow.Assignment {
	a := fighollow.Assignment{Model: large, ModelVersion: "1", Role: fighollow.RolePrefill}
	if i >= 2 {
		a.Model = small
	}
	if i%2 == 1 {
		a.Role = fighollow.RoleDecode
	}
	return a
}
