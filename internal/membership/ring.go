package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// arrange recomputes ring, neighbours and sum after a change. A new neighbour's silence counts from now.
func (m *Machine) arrange(now time.Time) {
	m.list = nil
	m.ring = append(m.ring[:0], m.self.ID)
	m.sum = m.self.Sum()
	for id, r := range m.members {
		if r.State != Dead {
			m.ring = append(m.ring, id)
			m.sum ^= r.Sum()
		}
	}
	sort.Slice(m.ring, func(i, j int) bool {
		a, b := xxhash.Sum64String(m.ring[i]), xxhash.Sum64String(m.ring[j])
		return a < b || a == b && m.ring[i] < m.ring[j]
	})
	m.meet(now)
}

// meet chooses the neighbours. A process judges only those that it connects to itself: while views of the ring differ,
// a member that is to connect to this one may not know of it, and its silence would mean nothing.
func (m *Machine) meet(now time.Time) {
	n := len(m.ring)
	at := 0
	for i, id := range m.ring {
		if id == m.self.ID {
			at = i
		}
	}
	near, watched := make(map[string]bool), make(map[string]bool)
	m.dial = m.dial[:0]
	for step := 1; step < n; step *= 2 {
		next, back := m.ring[(at+step)%n], m.ring[(at-step+n)%n]
		m.dial = append(m.dial, next)
		near[next], near[back], watched[next] = true, true, true
	}
	for id := range watched {
		if !m.watched[id] {
			m.members[id].heard = now
		}
	}
	m.near, m.watched = near, watched
}

// Neighbours returns the members that this process connects to: those at ring offsets 1, 2, 4, 8, ...
func (m *Machine) Neighbours() []string { return append([]string(nil), m.dial...) }

// Near reports whether a member is a neighbour in either direction.
func (m *Machine) Near(id string) bool { return m.near[id] }

// Watchers returns the ids of the n members that watch the object API for the data centre: those first in rendezvous
// order among the members that are neither dead nor leaving; blind ones come last. When all members are leaving, as with
// every engine of a data centre drained, they watch: otherwise none would learn of the end of a drain.
func (m *Machine) Watchers(n int) []string {
	type candidate struct {
		id     string
		weight uint64
		blind  bool
	}
	var all []candidate
	var leaving []candidate
	for _, id := range m.ring {
		member, _ := m.Get(id)
		c := candidate{id, xxhash.Sum64String("watcher/" + id), member.Blind}
		if member.State == Leaving {
			leaving = append(leaving, c)
		} else {
			all = append(all, c)
		}
	}
	if len(all) == 0 {
		all = leaving
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].blind != all[j].blind {
			return all[j].blind
		}
		return all[i].weight > all[j].weight || all[i].weight == all[j].weight && all[i].id < all[j].id
	})
	var out []string
	for _, c := range all[:min(n, len(all))] {
		out = append(out, c.id)
	}
	return out
}
