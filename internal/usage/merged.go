package usage

import (
	"cmp"
	"slices"
)

const (
	// maxIncarnations, maxWorkspaces and maxCounters bound what a collector keeps. The target size has 350 processes, 270 workspaces and
	// some 160,000 counters.
	maxIncarnations = 1024
	maxWorkspaces   = 4096
	maxCounters     = 1 << 19
	// maxIncarnationCounters and maxIncarnationWorkspaces bound the counters of a process and the workspaces that no other had named
	// before it, so that one that sends nonsense leaves room for the others.
	maxIncarnationCounters   = 1 << 14
	maxIncarnationWorkspaces = 1024
)

// incarnation is a process that counts.
type incarnation struct {
	id       uint64
	counters int // kept of it
	named    int // workspaces that it was the first to name
}

// workspace is a workspace that occurs in counters.
type workspace struct {
	name     string
	counters int
}

// cell identifies a counter in a window.
type cell struct {
	by *incarnation
	of *workspace
}

// merged holds the counters of all processes, merged by maximum. It is not safe for concurrent use.
type merged struct {
	self         uint64 // incarnation whose counters are never refused
	windows      map[int64]map[cell]uint32
	incarnations map[uint64]*incarnation
	workspaces   map[string]*workspace
	counters     int
}

func newMerged(self uint64) *merged {
	return &merged{
		self: self, windows: make(map[int64]map[cell]uint32), incarnations: make(map[uint64]*incarnation), workspaces: make(map[string]*workspace),
	}
}

// add merges a counter. It returns false if a bound does not allow a new one. n is at most maxCount.
func (m *merged) add(id uint64, window int64, name string, n int64) bool {
	by, of := m.incarnations[id], m.workspaces[name]
	if by != nil && of != nil {
		if old, ok := m.windows[window][cell{by, of}]; ok {
			m.windows[window][cell{by, of}] = max(old, uint32(n))
			return true
		}
	}
	switch {
	case id == m.self: // bounded by the Counter
	case by == nil && len(m.incarnations) >= maxIncarnations, of == nil && len(m.workspaces) >= maxWorkspaces,
		by != nil && by.counters >= maxIncarnationCounters, by != nil && of == nil && by.named >= maxIncarnationWorkspaces, m.counters >= maxCounters:
		return false
	}
	if by == nil {
		by = &incarnation{id: id}
		m.incarnations[id] = by
	}
	if of == nil {
		of = &workspace{name: name}
		m.workspaces[name] = of
		by.named++
	}
	if m.windows[window] == nil {
		m.windows[window] = make(map[cell]uint32)
	}
	m.windows[window][cell{by, of}] = uint32(n)
	by.counters++
	of.counters++
	m.counters++
	return true
}

// drop forgets the windows outside first to last, and the processes and workspaces that occur in no other.
func (m *merged) drop(first, last int64) {
	for w, cells := range m.windows {
		if w >= first && w <= last {
			continue
		}
		delete(m.windows, w)
		m.counters -= len(cells)
		for k := range cells {
			if k.by.counters--; k.by.counters == 0 {
				delete(m.incarnations, k.by.id)
			}
			if k.of.counters--; k.of.counters == 0 {
				delete(m.workspaces, k.of.name)
			}
		}
	}
}

// sum returns the counts of a window by workspace.
func (m *merged) sum(window int64) map[string]int64 {
	out := make(map[string]int64)
	for k, n := range m.windows[window] {
		out[k.of.name] += int64(n)
	}
	return out
}

// groups returns the counters of windows from first on, of all processes that include accepts. They are in order, so that what is sent again
// is divided over datagrams in the same way.
func (m *merged) groups(first int64, include func(id uint64) bool) []group {
	var out []group
	for w, cells := range m.windows {
		if w < first {
			continue
		}
		at := make(map[*incarnation]int) // index in out
		for k, n := range cells {
			if !include(k.by.id) {
				continue
			}
			i, ok := at[k.by]
			if !ok {
				i = len(out)
				at[k.by] = i
				out = append(out, group{Incarnation: k.by.id, Window: w})
			}
			out[i].Counts = append(out[i].Counts, count{Workspace: k.of.name, N: int64(n)})
		}
	}
	for i := range out {
		slices.SortFunc(out[i].Counts, compareCounts)
	}
	slices.SortFunc(out, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

func compareCounts(a, b count) int { return cmp.Compare(a.Workspace, b.Workspace) }
