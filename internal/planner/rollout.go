package planner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// rollOut moves engines step by step to what the preset in force asks for, within the limits of changes and without
// taking the last engine of a model with demand.
func (f *fleet) rollOut() {
	targets := f.targets()
	blocked := make(map[string]bool)
	for _, n := range f.byLoss() {
		work, wrong := f.wanted(n, targets)
		if !wrong || !f.mayChange(n, work.Model) {
			continue
		}
		if f.isLast(n) && !f.mayLose(n.work.Model) {
			blocked[n.work.Model] = true
			continue
		}
		if work.Model == "" {
			f.unassign(n, ReasonPreset)
			continue
		}
		f.change(n, work, Change{Reason: ReasonPreset})
	}
	for _, name := range slices.Sorted(maps.Keys(blocked)) {
		if !f.lend(name) {
			f.blocked = append(f.blocked, name)
		}
	}
}

// byLoss returns the engines in the order in which changing them loses least: those that serve nothing first, then
// those with the least work in flight.
func (f *fleet) byLoss() []*node {
	return slices.SortedFunc(slices.Values(f.nodes), func(a, b *node) int {
		return cmp.Or(boolCompare(a.serves(), b.serves()), cmp.Compare(a.running(), b.running()), byID(a, b))
	})
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (n *node) running() int {
	if n.State == nil {
		return 0
	}
	return n.State.Running
}

// wanted returns the work that the preset wants from n, and whether that differs from its assignment. Without a model
// the engine is not needed.
func (f *fleet) wanted(n *node, targets map[string]int) (fighollow.Assignment, bool) {
	if !n.assigned {
		return fighollow.Assignment{}, false
	}
	m, listed := f.presetModel(n.work.Model)
	if !listed || m.MaxEngines > 0 && f.of(m.Model).inUse > m.MaxEngines {
		m, ok := f.neediest(n.DataCentre, targets)
		if !ok {
			return fighollow.Assignment{}, !listed
		}
		return assignment(m, f.neediestRole(m, targets[m.Model], n.DataCentre)), true
	}
	role := n.work.Role
	switch {
	case !m.Disaggregated:
		role = fighollow.RoleBoth
	case role == fighollow.RoleBoth || role == fighollow.RoleNone:
		role = f.neediestRole(m, targets[m.Model], n.DataCentre)
	}
	work := assignment(m, role)
	return work, !work.SameWork(n.work)
}

func (f *fleet) unassign(n *node, reason Reason) {
	f.changes = append(f.changes, Change{Engine: n.ID, DataCentre: n.DataCentre, From: n.work, Reason: reason})
	f.movingIn[n.DataCentre]++
	f.movingModel[n.work.Model]++
	f.add(n, -1)
	n.assigned, n.changed = false, true
}

// isLast reports whether n is the only engine that serves its model.
func (f *fleet) isLast(n *node) bool {
	return n.serves() && f.of(n.work.Model).serving == 1
}

// mayLose reports whether a model may lose its last engine: one without demand, and one that the preset does not list
// once all listed models are served by their minimum.
func (f *fleet) mayLose(model string) bool {
	if _, listed := f.presetModel(model); listed {
		return !f.hasDemand(model)
	}
	for _, m := range f.in.Preset.Models {
		if f.of(m.Model).serving < max(1, m.MinEngines) {
			return false
		}
	}
	return true
}

// hasDemand reports whether requests for the model are expected; unknown demand counts as demand.
func (f *fleet) hasDemand(model string) bool {
	e, known := f.in.Demand[model]
	return !known || e.Fast.Prefill+e.Fast.Decode+e.Slow.Prefill+e.Slow.Decode > 0.01
}

// lend gives a model whose last engine must change a second engine first. It reports false when no other model can
// spare one; a lack that only the limits of changes cause is made up at a later step.
func (f *fleet) lend(name string) bool {
	m, listed := f.presetModel(name)
	if !listed || f.of(name).inUse > 1 {
		return true
	}
	donor := f.richest(name)
	if donor == "" {
		return false
	}
	f.moveFrom(donor, m, ReasonPreset)
	return true
}

// fillMinimum moves engines to models that have fewer in service than the preset's minimum.
func (f *fleet) fillMinimum() {
	for _, m := range f.in.Preset.Models {
		if f.of(m.Model).inUse >= max(1, m.MinEngines) {
			continue
		}
		if donor := f.richest(m.Model); donor != "" {
			f.moveFrom(donor, m, ReasonMinimum)
		}
	}
}

// richest returns the model other than to that has the most engines above its minimum for its demand; empty if none
// has any.
func (f *fleet) richest(to string) string {
	best, most := "", 0.0
	for _, m := range f.in.Preset.Models {
		spare := f.of(m.Model).inUse - max(1, m.MinEngines)
		if m.Model == to || spare <= 0 {
			continue
		}
		if s := float64(spare) / (1 + f.weight(m.Model)); s > most {
			best, most = m.Model, s
		}
	}
	return best
}

// moveFrom moves the engine of a model that loses least, if the limits allow one.
func (f *fleet) moveFrom(donor string, to fighollow.PresetModel, reason Reason) {
	for _, n := range f.byLoss() {
		if n.assigned && n.work.Model == donor && f.mayChange(n, to.Model) && !f.isLast(n) {
			role := f.neediestRole(to, f.of(to.Model).inUse+1, n.DataCentre)
			f.change(n, assignment(to, role), Change{Reason: reason})
			return
		}
	}
}
