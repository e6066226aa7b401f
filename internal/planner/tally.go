package planner

import "github.com/fighollow/fighollow/pkg/fighollow"

// tally counts the engines of one model.
type tally struct {
	assigned int // assigned and schedulable, including those that are changing
	serving  int
	prefill  int // those of assigned with role prefill
}

// decode includes the engines with role both.
func (t tally) decode() int { return t.assigned - t.prefill }

// tallyKey identifies a model in a data centre, or in the whole region if dataCentre is empty.
type tallyKey struct{ dataCentre, model string }

func (f *fleet) tallyAll() {
	f.tallies = make(map[tallyKey]tally)
	seen := make(map[string]bool)
	for _, n := range f.nodes {
		seen[n.DataCentre] = true
		f.tally(n, 1)
	}
	f.dcCount = len(seen)
}

// tally adds n to the counts (sign 1) or subtracts it (sign -1).
func (f *fleet) tally(n *node, sign int) {
	if !n.assigned || !n.schedulable {
		return
	}
	for _, key := range [2]tallyKey{{"", n.assignment.Model}, {n.DataCentre, n.assignment.Model}} {
		t := f.tallies[key]
		t.assigned += sign
		if n.serves() {
			t.serving += sign
		}
		if n.assignment.Role == fighollow.RolePrefill {
			t.prefill += sign
		}
		f.tallies[key] = t
	}
}

func (f *fleet) modelTally(model string) tally { return f.tallies[tallyKey{"", model}] }
