package planner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// rollOut changes assignments that differ from the preset in force, a few in each step: it respects the limits on changes
// and keeps the last serving engine of a model with demand.
func (f *fleet) rollOut() {
	targets := f.targets()
	blocked := make(map[string]bool)
	for _, n := range f.byDisruption() {
		a, differs := f.desired(n, targets)
		if !differs || !f.mayChange(n, a.Model) {
			continue
		}
		if f.isLast(n) && !f.mayLose(n.assignment.Model) {
			blocked[n.assignment.Model] = true
			continue
		}
		if a.Model == "" {
			f.unassign(n, ReasonPreset)
			continue
		}
		f.assign(n, a, Change{Reason: ReasonPreset})
	}
	for _, name := range slices.Sorted(maps.Keys(blocked)) {
		if !f.addReplacement(name) {
			f.blocked = append(f.blocked, name)
		}
	}
}

// byDisruption returns the nodes in ascending order of the work that a change interrupts: first those that serve nothing,
// then those with the fewest running requests.
func (f *fleet) byDisruption() []*node {
	return slices.SortedFunc(slices.Values(f.nodes), func(a, b *node) int {
		return cmp.Or(compareBool(a.serves(), b.serves()), cmp.Compare(a.running(), b.running()), byID(a, b))
	})
}

func compareBool(a, b bool) int {
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

// desired returns the assignment that the preset requires for n, and whether it differs from the current one. It has no
// model if the engine is not needed.
func (f *fleet) desired(n *node, targets map[string]int) (fighollow.Assignment, bool) {
	if !n.assigned {
		return fighollow.Assignment{}, false
	}
	m, listed := f.presetModel(n.assignment.Model)
	if !listed || m.MaxEngines > 0 && f.modelTally(m.Model).assigned > m.MaxEngines {
		m, ok := f.modelToFill(n.DataCentre, targets)
		if !ok {
			return fighollow.Assignment{}, !listed
		}
		return newAssignment(m, f.roleToFill(m, targets[m.Model], n.DataCentre)), true
	}
	role := n.assignment.Role
	switch {
	case !m.Disaggregated:
		role = fighollow.RoleBoth
	case role == fighollow.RoleBoth || role == fighollow.RoleNone:
		role = f.roleToFill(m, targets[m.Model], n.DataCentre)
	}
	a := newAssignment(m, role)
	return a, !a.EqualIgnoringFence(n.assignment)
}

func (f *fleet) unassign(n *node, reason Reason) {
	f.changes = append(f.changes, Change{Engine: n.ID, DataCentre: n.DataCentre, From: n.assignment, Reason: reason})
	f.changingInDC[n.DataCentre]++
	f.changingInModel[n.assignment.Model]++
	f.tally(n, -1)
	n.assigned, n.changed = false, true
}

// isLast reports whether n is the only engine that serves its model.
func (f *fleet) isLast(n *node) bool {
	return n.serves() && f.modelTally(n.assignment.Model).serving == 1
}

// mayLose reports whether a model may lose its last serving engine: if it has no demand, or if the preset does not list
// it and each listed model is served by its minimum of engines.
func (f *fleet) mayLose(model string) bool {
	if _, listed := f.presetModel(model); listed {
		return !f.hasDemand(model)
	}
	for _, m := range f.in.Preset.Models {
		if f.modelTally(m.Model).serving < max(1, m.MinEngines) {
			return false
		}
	}
	return true
}

// hasDemand reports whether requests for the model are expected. Unknown demand counts as demand.
func (f *fleet) hasDemand(model string) bool {
	e, known := f.in.Demand[model]
	return !known || e.Fast.Prefill+e.Fast.Decode+e.Slow.Prefill+e.Slow.Decode > 0.01
}

// addReplacement assigns a second engine to a model whose last serving engine must change. It returns false if no other
// model has an engine above its minimum. If only the limits on changes prevent it, it returns true and a later step
// tries again.
func (f *fleet) addReplacement(name string) bool {
	m, listed := f.presetModel(name)
	if !listed || f.modelTally(name).assigned > 1 {
		return true
	}
	donor := f.largestSurplus(name)
	if donor == "" {
		return false
	}
	f.reassignFrom(donor, m, ReasonPreset)
	return true
}

// fillMinimum reassigns engines to models that have fewer in service than the preset's minimum.
func (f *fleet) fillMinimum() {
	for _, m := range f.in.Preset.Models {
		if f.modelTally(m.Model).assigned >= max(1, m.MinEngines) {
			continue
		}
		if donor := f.largestSurplus(m.Model); donor != "" {
			f.reassignFrom(donor, m, ReasonMinimum)
		}
	}
}

// largestSurplus returns the model other than to that has the most engines above its minimum in relation to its load, or
// "" if none has any.
func (f *fleet) largestSurplus(to string) string {
	best, most := "", 0.0
	for _, m := range f.in.Preset.Models {
		spare := f.modelTally(m.Model).assigned - max(1, m.MinEngines)
		if m.Model == to || spare <= 0 {
			continue
		}
		if s := float64(spare) / (1 + f.weight(m.Model)); s > most {
			best, most = m.Model, s
		}
	}
	return best
}

// reassignFrom reassigns the engine of donor whose change interrupts the least work, if the limits allow any.
func (f *fleet) reassignFrom(donor string, to fighollow.PresetModel, reason Reason) {
	for _, n := range f.byDisruption() {
		if n.assigned && n.assignment.Model == donor && f.mayChange(n, to.Model) && !f.isLast(n) {
			role := f.roleToFill(to, f.modelTally(to.Model).assigned+1, n.DataCentre)
			f.assign(n, newAssignment(to, role), Change{Reason: reason})
			return
		}
	}
}
