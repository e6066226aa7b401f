package planner

import (
	"math"
	"slices"
	"strings"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// place gives engines without an assignment the work that is furthest from its target. They serve nothing yet, so the
// limits of changes do not apply.
func (f *fleet) place() {
	var free []*node
	for _, n := range f.nodes {
		if !n.assigned && !n.changed && n.inUse {
			free = append(free, n)
		}
	}
	if len(free) == 0 {
		return
	}
	targets := f.targets()
	for _, n := range interleave(free) {
		m, ok := f.neediest(n.DataCentre, targets)
		if !ok {
			return
		}
		f.change(n, assignment(m, f.neediestRole(m, targets[m.Model], n.DataCentre)), Change{Reason: ReasonPlace})
	}
}

// interleave orders engines so that neighbours are in different data centres.
func interleave(nodes []*node) []*node {
	rank := make(map[string]int)
	place := make(map[*node]int, len(nodes))
	for _, n := range nodes {
		place[n] = rank[n.DataCentre]
		rank[n.DataCentre]++
	}
	out := slices.Clone(nodes)
	slices.SortStableFunc(out, func(a, b *node) int {
		if place[a] != place[b] {
			return place[a] - place[b]
		}
		return strings.Compare(a.DataCentre, b.DataCentre)
	})
	return out
}

// targets returns how many engines each model of the preset should have: its minimum first, then in proportion to the
// demand up to its maximum. A model without a known demand counts as one engine's work.
func (f *fleet) targets() map[string]int {
	left := 0
	for _, n := range f.nodes {
		if n.inUse {
			left++
		}
	}
	targets := make(map[string]int)
	for step := 1; left > 0; step++ {
		given := false
		for _, m := range f.in.Preset.Models {
			if targets[m.Model] < step && step <= max(1, m.MinEngines) && left > 0 {
				targets[m.Model]++
				left--
				given = true
			}
		}
		if !given {
			break
		}
	}
	for ; left > 0; left-- {
		best, score := "", -1.0
		for _, m := range f.in.Preset.Models {
			full := m.MaxEngines > 0 && targets[m.Model] >= m.MaxEngines
			if s := f.weight(m.Model) / float64(targets[m.Model]+1); !full && s > score {
				best, score = m.Model, s
			}
		}
		if best == "" {
			break
		}
		targets[best]++
	}
	return targets
}

func (f *fleet) weight(model string) float64 {
	if _, known := f.in.Demand[model]; !known {
		return 1
	}
	w := f.work(model)
	return w.prefill + w.decode
}

// neediest returns the model that is furthest below its target, and in dc below its even share of it.
func (f *fleet) neediest(dc string, targets map[string]int) (fighollow.PresetModel, bool) {
	var best fighollow.PresetModel
	score, found := math.Inf(-1), false
	for _, m := range f.in.Preset.Models {
		t, have := float64(targets[m.Model]), f.of(m.Model).inUse
		if have >= targets[m.Model] {
			continue
		}
		here := f.tallies[slot{dc, m.Model}].inUse
		if s := (t - float64(have) - float64(here*f.dcs)) / t; s > score {
			best, score, found = m, s, true
		}
	}
	return best, found
}

// neediestRole returns the role of a disaggregated model that is furthest below its share of target engines, and in dc
// below its even share of them.
func (f *fleet) neediestRole(m fighollow.PresetModel, target int, dc string) fighollow.Role {
	if !m.Disaggregated {
		return fighollow.RoleBoth
	}
	have, here := f.of(m.Model), f.tallies[slot{dc, m.Model}]
	prefill := prefillCount(target, m.PrefillShare)
	score := func(want, have, here int) float64 {
		return float64(want-have-here*f.dcs) / float64(want)
	}
	if have.prefill < prefill && (have.rest() >= target-prefill ||
		score(prefill, have.prefill, here.prefill) > score(target-prefill, have.rest(), here.rest())) {
		return fighollow.RolePrefill
	}
	return fighollow.RoleDecode
}

// prefillCount returns how many of n engines are prefill engines. Each role keeps one engine when there are two.
func prefillCount(n int, share float64) int {
	if n < 2 {
		return 0
	}
	return min(max(int(math.Round(share*float64(n))), 1), n-1)
}

func assignment(m fighollow.PresetModel, role fighollow.Role) fighollow.Assignment {
	return fighollow.Assignment{Role: role, Model: m.Model, ModelVersion: m.ModelVersion, Adapters: m.Adapters}
}

func (f *fleet) presetModel(name string) (fighollow.PresetModel, bool) {
	for _, m := range f.in.Preset.Models {
		if m.Model == name {
			return m, true
		}
	}
	return fighollow.PresetModel{}, false
}
