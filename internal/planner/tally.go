package planner

import "github.com/fighollow/fighollow/pkg/fighollow"

// tally counts the engines of one model.
type tally struct {
	inUse   int // assigned and in use, also while they change
	serving int
	prefill int // of inUse, with role prefill
}

func (t tally) rest() int { return t.inUse - t.prefill }

// slot names a model in a data centre, or in the whole region with an empty data centre.
type slot struct{ dataCentre, model string }

func (f *fleet) countAll() {
	f.tallies = make(map[slot]tally)
	seen := make(map[string]bool)
	for _, n := range f.nodes {
		seen[n.DataCentre] = true
		f.add(n, 1)
	}
	f.dcs = len(seen)
}

// add counts n with sign 1 or -1.
func (f *fleet) add(n *node, sign int) {
	if !n.assigned || !n.inUse {
		return
	}
	for _, s := range [2]slot{{"", n.work.Model}, {n.DataCentre, n.work.Model}} {
		t := f.tallies[s]
		t.inUse += sign
		if n.serves() {
			t.serving += sign
		}
		if n.work.Role == fighollow.RolePrefill {
			t.prefill += sign
		}
		f.tallies[s] = t
	}
}

func (f *fleet) of(model string) tally { return f.tallies[slot{"", model}] }
