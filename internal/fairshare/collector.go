package fairshare

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxAge is the age from which what others stated is not used.
	maxAge = 5 * time.Second
	// liveRounds is after how many intervals without a summary a collector is taken for dead.
	liveRounds = 2.5
	// minCoverage is the share of the entries whose reports a collector must have before it judges a service.
	minCoverage = 0.5
	// maxReorder is how many rounds a datagram may be behind a later one of the same process. A process that starts again begins at a
	// random round.
	maxReorder = 8
)

// statement is what one entry states in a round, as far as it has arrived.
type statement struct {
	at    time.Time // of the last part
	round uint32
	parts map[int][]serviceMessage
	total int // parts
}

// add adds a part. It returns false for a part of an earlier round.
func (s *statement) add(now time.Time, m *message) bool {
	if behind := int32(s.round - m.Round); behind > 0 && behind < maxReorder {
		return false
	}
	if m.Round != s.round || s.parts == nil {
		s.round, s.total, s.parts = m.Round, m.Parts, make(map[int][]serviceMessage)
	}
	s.at = now
	s.parts[m.Part] = m.Services
	return true
}

// fresh reports whether the statement can be used.
func (s *statement) fresh(now time.Time) bool { return s.parts != nil && now.Sub(s.at) <= maxAge }

// stated is what an entry states of a workspace.
type stated struct {
	offered, admitted float64
	ranks             rankShares
}

// aggregate is what all entries state of a service.
type aggregate struct {
	late       []float64 // of the entries where some are
	crowded    []float64 // the same
	workspaces map[string][]stated
}

// aggregateReports adds up the reports by service. Workspaces and services that are not configured are
// ignored, so that a faulty entry cannot invent any.
func aggregateReports(now time.Time, reports map[string]*statement, known configured) (services map[string]*aggregate, entries int) {
	services = make(map[string]*aggregate)
	for _, from := range slices.Sorted(maps.Keys(reports)) { // sums of rates must not depend on the order of a map
		r := reports[from]
		if !r.fresh(now) {
			continue
		}
		entries++
		for _, number := range slices.Sorted(maps.Keys(r.parts)) {
			part := r.parts[number]
			for i := range part {
				m := &part[i]
				a := services[m.Name]
				if !known.services[m.Name] {
					continue
				}
				if a == nil {
					a = &aggregate{workspaces: make(map[string][]stated)}
					services[m.Name] = a
				}
				if m.Late > 0 {
					a.late = append(a.late, rateOf(m.Late))
				}
				if m.Crowded > 0 {
					a.crowded = append(a.crowded, rateOf(m.Crowded))
				}
				for _, w := range m.Workspaces {
					if known.workspaces[w.Name] {
						a.workspaces[w.Name] = append(a.workspaces[w.Name], stated{rateOf(w.Offered), rateOf(w.Admitted), decodeRanks(w.Ranks)})
					}
				}
			}
		}
	}
	return services, entries
}

// sum returns the rates of each workspace over all entries and the totals. The statement of each entry is bounded by clampLimit.
func (a *aggregate) sum(entries int) (map[string]rates, totals) {
	var t totals
	out := make(map[string]rates, len(a.workspaces))
	for _, name := range slices.Sorted(maps.Keys(a.workspaces)) {
		all := a.workspaces[name]
		offered := make([]float64, len(all))
		for i := range all {
			offered[i] = all[i].offered
		}
		slices.Sort(offered)
		limit := clampLimit(offered)
		var sum rates
		for i := range all {
			counts := min(1, limit/max(all[i].offered, limit))
			sum.offered += counts * all[i].offered
			sum.admitted += counts * all[i].admitted
			sum.ranks.add(&all[i].ranks, counts*all[i].offered)
		}
		sum.ranks = sum.ranks.normalized()
		out[name] = sum
		t.offered, t.admitted = t.offered+sum.offered, t.admitted+sum.admitted
	}
	t.late, t.crowded = clampedSum(a.late, entries), clampedSum(a.crowded, entries)
	return out, t
}

// clampedSum returns the sum of the rates that some entries state, each bounded by clampLimit. The other entries state 0.
func clampedSum(stated []float64, entries int) float64 {
	all := append(make([]float64, max(0, entries-len(stated))), stated...)
	slices.Sort(all)
	limit, sum := clampLimit(all), 0.0
	for _, r := range all {
		sum += min(r, limit)
	}
	return sum
}

// allocation is how the engine time of a scarce service is divided.
type allocation struct {
	fair, floor float64
	shares      map[string]share // of the workspaces above the fair rate
}

// share is what is known of a workspace's demand.
type share struct {
	rate  float64
	ranks rankShares
}

// allocate divides a capacity among workspaces.
func allocate(measured map[string]rates, capacity, admitted float64) allocation {
	offered := make([]float64, 0, len(measured))
	for _, r := range measured {
		offered = append(offered, r.offered)
	}
	slices.Sort(offered) // the sum must not depend on the order of a map
	a := allocation{shares: make(map[string]share)}
	a.fair, a.floor = fairRate(offered, capacity, admitted)
	for name, r := range measured {
		if r.offered > a.fair {
			a.shares[name] = share{r.offered, r.ranks}
		}
	}
	return a
}

// message returns the allocation of a scarce service as sent.
func (a *allocation) message(service string, late float64) serviceMessage {
	m := serviceMessage{Name: service, State: stateScarce, Fair: tenths(a.fair), Floor: float32(a.floor), Late: tenths(late)}
	for _, name := range slices.Sorted(maps.Keys(a.shares)) {
		s := a.shares[name]
		m.Workspaces = append(m.Workspaces, workspaceMessage{Name: name, Offered: tenths(s.rate), Ranks: encodeRanks(s.ranks)})
	}
	return m
}

// summary is what a collector states, with its statement before as long as parts are missing.
type summary struct {
	current, before statement
}

// add adds a part.
func (s *summary) add(now time.Time, m *message) {
	if m.Round != s.current.round {
		before := s.current
		if s.current.add(now, m) {
			s.before = before
		}
		return
	}
	s.current.add(now, m)
}

// service returns what the collector states of a service; nil for nothing.
func (s *summary) service(now time.Time, name string) (*serviceMessage, allocation) {
	var found *serviceMessage
	a := allocation{shares: make(map[string]share)}
	sources := []*statement{&s.before, &s.current}
	if len(s.current.parts) == s.current.total || !s.before.fresh(now) {
		sources = sources[1:]
	}
	for _, source := range sources {
		for _, part := range source.parts {
			for i := range part {
				m := &part[i]
				if m.Name != name {
					continue
				}
				found = m
				a.fair, a.floor = rateOf(m.Fair), float64(m.Floor)
				for _, w := range m.Workspaces {
					a.shares[w.Name] = share{rateOf(w.Offered), decodeRanks(w.Ranks)}
				}
			}
		}
	}
	return found, a
}
