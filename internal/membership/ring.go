package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// rebuildRing recomputes the ring, the neighbours and the sum after a change. The silence of a newly monitored
// neighbour counts from now.
func (m *Machine) rebuildRing(now time.Time) {
	m.memberList = nil
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
	m.chooseNeighbours(now)
}

// chooseNeighbours selects the neighbours on the ring. A process monitors only those that it connects to itself: while
// views of the ring differ, a member that should connect to this process may not have it in its view, so that its
// silence would not indicate a failure.
func (m *Machine) chooseNeighbours(now time.Time) {
	n := len(m.ring)
	selfIndex := 0
	for i, id := range m.ring {
		if id == m.self.ID {
			selfIndex = i
		}
	}
	neighbours, monitored := make(map[string]bool), make(map[string]bool)
	m.outgoing = m.outgoing[:0]
	for step := 1; step < n; step *= 2 {
		next, previous := m.ring[(selfIndex+step)%n], m.ring[(selfIndex-step+n)%n]
		m.outgoing = append(m.outgoing, next)
		neighbours[next], neighbours[previous], monitored[next] = true, true, true
	}
	for id := range monitored {
		if !m.monitored[id] {
			m.members[id].lastHeard = now
		}
	}
	m.neighbours, m.monitored = neighbours, monitored
}

// Neighbours returns the ids of the members that this process connects to: those at ring offsets 1, 2, 4, 8, ...
func (m *Machine) Neighbours() []string { return append([]string(nil), m.outgoing...) }

// IsNeighbour reports whether a member is a neighbour in either direction.
func (m *Machine) IsNeighbour(id string) bool { return m.neighbours[id] }

// Watchers returns the ids of up to n members that watch the object API for the data centre: the first in rendezvous
// order among the members that are neither dead nor leaving, with those that cannot reach the object API last. When all
// members are leaving, for example because every engine of the data centre is drained, leaving members are chosen, since
// otherwise no process would learn of the end of a drain.
func (m *Machine) Watchers(n int) []string {
	type candidate struct {
		id               string
		weight           uint64
		storeUnreachable bool
	}
	var active []candidate
	var leaving []candidate
	for _, id := range m.ring {
		member, _ := m.Get(id)
		c := candidate{id, xxhash.Sum64String("watcher/" + id), member.StoreUnreachable}
		if member.State == Leaving {
			leaving = append(leaving, c)
		} else {
			active = append(active, c)
		}
	}
	if len(active) == 0 {
		active = leaving
	}
	sort.Slice(active, func(i, j int) bool {
		if active[i].storeUnreachable != active[j].storeUnreachable {
			return active[j].storeUnreachable
		}
		return active[i].weight > active[j].weight || active[i].weight == active[j].weight && active[i].id < active[j].id
	})
	var out []string
	for _, c := range active[:min(n, len(active))] {
		out = append(out, c.id)
	}
	return out
}
