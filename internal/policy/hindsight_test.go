package policy_test

import (
	"math"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// split counts engines: prefill and decode of the large model, then of the small one.
type split [4]int

const window = 20.0 // seconds of one step of a schedule

// hindsight follows a schedule that knows the demand.
type hindsight struct{ schedule []split }

// plan finds the schedule with the most useful work for a price of each change, by dynamic programming over a fluid
// model of the engines. It shares no code with the planner.
func (s shape) plan(price float64) *hindsight {
	states := allSplits()
	start := split{4, 8, 3, 3}
	steps := int(runEnd / window)
	value := make([]float64, len(states))
	for i, st := range states {
		value[i] = math.Inf(-1)
		if st == start {
			value[i] = 0
		}
	}
	near := neighbours(states)
	from := make([][]int, steps)
	for k := range steps {
		lp, ld, sp, sd := s.fluid((float64(k) + 0.5) * window)
		next := make([]float64, len(states))
		from[k] = make([]int, len(states))
		for j, to := range states {
			next[j] = math.Inf(-1)
			for _, i := range near[j] {
				if v := value[i] - price*float64(distance(states[i], to)); v > next[j] {
					next[j], from[k][j] = v, i
				}
			}
			next[j] += window * (served(to[0], to[1], lp, ld) + served(to[2], to[3], sp, sd))
		}
		value = next
	}
	best := 0
	for j := range value {
		if value[j] > value[best] {
			best = j
		}
	}
	h := &hindsight{schedule: make([]split, steps)}
	for k := steps - 1; k >= 0; k-- {
		h.schedule[k] = states[best]
		best = from[k][best]
	}
	return h
}

func allSplits() []split {
	var out []split
	for n := 8; n <= 14; n++ {
		for p := 1; p < n; p++ {
			for sp := 1; sp < engines-n; sp++ {
				out = append(out, split{p, n - p, sp, engines - n - sp})
			}
		}
	}
	return out
}

// neighbours lists for each split those from which it can be reached within one window, with up to 4 changes.
func neighbours(states []split) [][]int {
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

func distance(a, b split) int {
	d := 0
	for i := range a {
		d += max(0, b[i]-a[i])
	}
	return d
}

// served is the work done by prefill and decode engines that take each other's overflow.
func served(prefill, decode int, wp, wd float64) float64 {
	p, d := 0.95*float64(prefill), 0.95*float64(decode)
	done := min(p, wp) + min(d, wd)
	done += min(max(0, p-wp)*offRole, max(0, wd-d)) + min(max(0, d-wd)*offRole, max(0, wp-p))
	return done - 0.001*(math.Abs(wp/p-wd/d))
}

// choose starts changes early, so that they are complete when their window begins.
func (h *hindsight) choose(now float64, r *run) {
	const early = 15.0
	want := h.schedule[min(int((now+early)/window), len(h.schedule)-1)]
	var have split
	groups := make([][]*engine, 4)
	for _, e := range r.engines {
		i := index(e.plan)
		have[i]++
		groups[i] = append(groups[i], e)
	}
	for i := range want {
		for have[i] < want[i] {
			j := surplus(have, want, i)
			if j < 0 {
				return
			}
			e := idlest(groups[j])
			groups[j] = without(groups[j], e)
			have[i], have[j] = have[i]+1, have[j]-1
			r.order(now, e, assignmentOf(i))
		}
	}
}

// surplus prefers an engine of the same model.
func surplus(have, want split, to int) int {
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

func index(a fighollow.Assignment) int {
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
