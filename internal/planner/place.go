package planner

import (
	"math"
	"slices"
	"strings"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// place assigns each unassigned engine to the model and role furthest below target. Such engines serve nothing yet, so
// the limits on changes do not apply.
func (f *fleet) place() {
	var free []*node
	for _, n := range f.nodes {
		if !n.assigned && !n.changed && n.schedulable {
			free = append(free, n)
		}
	}
	if len(free) == 0 {
		return
	}
	targets := f.targets()
	for _, n := range interleave(free) {
		m, ok := f.modelToFill(n.DataCentre, targets)
		if !ok {
			return
		}
		f.assign(n, newAssignment(m, f.roleToFill(m, targets[m.Model], n.DataCentre)), Change{Reason: ReasonPlace})
	}
}

// interleave orders nodes round-robin over the data centres.
func interleave(nodes []*node) []*node {
	rank := make(map[string]int)
	position := make(map[*node]int, len(nodes))
	for _, n := range nodes {
		position[n] = rank[n.DataCentre]
		rank[n.DataCentre]++
	}
	out := slices.Clone(nodes)
	slices.SortStableFunc(out, func(a, b *node) int {
		if position[a] != position[b] {
			return position[a] - position[b]
		}
		return strings.Compare(a.DataCentre, b.DataCentre)
	})
	return out
}

// targets returns how many engines each model of the preset should have: first its minimum, then a share in proportion
// to demand up to its maximum. A model with unknown demand counts as a load of one engine.
func (f *fleet) targets() map[string]int {
	remaining := 0
	for _, n := range f.nodes {
		if n.schedulable {
			remaining++
		}
	}
	targets := make(map[string]int)
	for step := 1; remaining > 0; step++ {
		added := false
		for _, m := range f.in.Preset.Models {
			if targets[m.Model] < step && step <= max(1, m.MinEngines) && remaining > 0 {
				targets[m.Model]++
				remaining--
				added = true
			}
		}
		if !added {
			break
		}
	}
	for ; remaining > 0; remaining-- {
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
	l := f.load(model)
	return l.prefill + l.decode
}

// modelToFill returns the model furthest below its target, weighing in how far it is below its even share in dc. It
// returns false if all models have reached their targets.
func (f *fleet) modelToFill(dc string, targets map[string]int) (fighollow.PresetModel, bool) {
	var best fighollow.PresetModel
	score, found := math.Inf(-1), false
	for _, m := range f.in.Preset.Models {
		t, have := float64(targets[m.Model]), f.modelTally(m.Model).assigned
		if have >= targets[m.Model] {
			continue
		}
		here := f.tallies[tallyKey{dc, m.Model}].assigned
		if s := (t - float64(have) - float64(here*f.dcCount)) / t; s > score {
			best, score, found = m, s, true
		}
	}
	return best, found
}

// roleToFill returns the role of a disaggregated model that is furthest below its share of target engines, weighing in
// how far it is below its even share in dc.
func (f *fleet) roleToFill(m fighollow.PresetModel, target int, dc string) fighollow.Role {
	if !m.Disaggregated {
		return fighollow.RoleBoth
	}
	have, here := f.modelTally(m.Model), f.tallies[tallyKey{dc, m.Model}]
	prefill := prefillCount(target, m.PrefillShare)
	score := func(want, have, here int) float64 {
		return float64(want-have-here*f.dcCount) / float64(want)
	}
	if have.prefill < prefill && (have.decode() >= target-prefill ||
		score(prefill, have.prefill, here.prefill) > score(target-prefill, have.decode(), here.decode())) {
		return fighollow.RolePrefill
	}
	return fighollow.RoleDecode
}

// prefillCount returns how many of n engines have the prefill role. With two or more engines each role has at least one.
func prefillCount(n int, share float64) int {
	if n < 2 {
		return 0
	}
	return min(max(int(math.Round(share*float64(n))), 1), n-1)
}

func newAssignment(m fighollow.PresetModel, role fighollow.Role) fighollow.Assignment {
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
