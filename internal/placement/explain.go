package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Exclusion is why an upstream is not a candidate for an attempt.
type Exclusion string

// Exclusions.
const (
	ExcludedRole          Exclusion = "role"          // it has another role
	ExcludedVersion       Exclusion = "version"       // another software version began the stream
	ExcludedNotAdmitted   Exclusion = "notAdmitted"   // answers do not begin at its software version now
	ExcludedLeaving       Exclusion = "leaving"       // it accepts no new work
	ExcludedMisdirected   Exclusion = "misdirected"   // it lately rejected an attempt for its role or identity
	ExcludedEjected       Exclusion = "ejected"       // it failed lately
	ExcludedFull          Exclusion = "full"          // it lately refused for lack of capacity
	ExcludedUnlisted      Exclusion = "unlisted"      // it was removed from the store
	ExcludedRefusedLately Exclusion = "refusedLately" // it refused for lack of capacity, and the request gets no second attempt
	ExcludedTried         Exclusion = "tried"         // the request was sent there before
	ExcludedPaused        Exclusion = "paused"        // it asked for a pause, or is being tried after one
	ExcludedConnections   Exclusion = "connections"   // this entry has as many connections to it as it may
	ExcludedRequestLimit  Exclusion = "requestLimit"  // its request limit leaves this entry no permit
)

// CostTerms are the terms of Choice.CostMs, in milliseconds: the sum of Slowness*(Choice.PendingMs+PromptMs) and the others.
type CostTerms struct {
	Slowness       float64 // factor by which the engine takes longer than the mean one; 0 if no prompt is computed
	PromptMs       float64 // for the prompt alone at an engine of mean speed, with a surcharge for what it evicts from the engine's cache
	TransferMs     float64 // to fetch cached tokens from another engine
	InterruptionMs float64 // delay of running answers by the computation of the prompt
	RunningMs      float64 // delay by the running answers
	LatencyMs      float64 // recent latency of the upstream
	CrossMs        float64 // for another data centre
	JitterMs       float64 // spreads attempts over upstreams with nearly equal costs
}

// Weighing is what was compared in the choice of an upstream for an attempt.
type Weighing struct {
	Query      Query
	LastResort bool     // upstreams that are ejected, full or not listed were candidates, as there were no others
	Candidates []Choice // by cost
	Excluded   []ExcludedCandidate
}

// ExcludedCandidate is an upstream that was not a candidate.
type ExcludedCandidate struct {
	Upstream fighollow.Upstream
	Reason   Exclusion
}

// trace records the last choice of each phase. A nil trace records nothing.
type trace map[fighollow.RequestPhase]*Weighing

// begin records that the upstreams are compared.
func (t trace) begin(q Query, lastResort bool) {
	if t != nil {
		t[q.Phase] = &Weighing{Query: q, LastResort: lastResort}
	}
}

// add records a candidate.
func (t trace) add(q Query, c Choice) { t[q.Phase].Candidates = append(t[q.Phase].Candidates, c) }

// Snapshot returns a copy of a service's pool for a request with a prompt that is placed at now. The copy is empty for an unknown service.
// Placing attempts there has no effect on the fleet, and Weighing returns what was compared; they must not be begun.
func (f *Fleet) Snapshot(now time.Time, service string, prompt []fighollow.PromptPart) *Pool {
	f.mu.Lock()
	p, entries := f.pools[service], f.entries
	f.mu.Unlock()
	if p == nil {
		p = newPool(f.opts, newAnnouncements(), f.parts, &f.placedPrompts)
		p.setEntries(entries)
	}
	return p.snapshot(now, prompt)
}

// snapshot implements Fleet.Snapshot. The pool is locked about as long as for a placement: memory is allocated before, and the copies are
// put into a map afterwards.
func (p *Pool) snapshot(now time.Time, prompt []fighollow.PromptPart) *Pool {
	p.mu.Lock()
	n := len(p.instances)
	p.mu.Unlock()
	instances, copies, caches := make(map[string]*instance, n), make([]instance, 0, n), make([]prefixCache, 0, n)
	p.mu.Lock()
	c := &Pool{dataCentre: p.dataCentre, drain: p.drain, shares: p.shares, trace: make(trace), poolState: p.poolState}
	c.versions, c.withheld = maps.Clone(p.versions), maps.Clone(p.withheld)
	for _, inst := range p.instances {
		copies, caches = append(copies, *inst), append(caches, inst.cache.matched(now, prompt))
	}
	p.mu.Unlock()
	for i := range copies {
		copies[i].cache = &caches[i]
		instances[copies[i].upstream.ID] = &copies[i]
	}
	c.instances = instances
	// These are used for attempts that begin, upstreams that change, and reports of other entries.
	c.onWork, c.announcements, c.parts, c.byHash, c.reported, c.placedPrompts = nil, newAnnouncements(), nil, nil, reportedPrompts{}, nil
	return c
}

// matched returns a cache whose match is the one of c for a prompt at now.
func (c *prefixCache) matched(now time.Time, prompt []fighollow.PromptPart) prefixCache {
	cached, computed := c.match(now, prompt)
	return prefixCache{known: true, cached: cached, computed: computed}
}

// Weighing returns what was compared at now when an attempt of a phase was last placed in a Snapshot. It returns false if none was.
func (p *Pool) Weighing(now time.Time, phase fighollow.RequestPhase) (Weighing, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	recorded := p.trace[phase]
	if recorded == nil {
		return Weighing{}, false
	}
	w := *recorded
	slices.SortFunc(w.Candidates, func(a, b Choice) int {
		return cmp.Or(cmp.Compare(a.CostMs, b.CostMs), cmp.Compare(a.Upstream.ID, b.Upstream.ID))
	})
	isCandidate := make(map[string]bool, len(w.Candidates))
	for i := range w.Candidates {
		isCandidate[w.Candidates[i].Upstream.ID] = true
	}
	for id, inst := range p.instances {
		if !isCandidate[id] {
			w.Excluded = append(w.Excluded, ExcludedCandidate{inst.upstream, p.exclusionOrLimit(now, inst, w.Query, w.LastResort)})
		}
	}
	slices.SortFunc(w.Excluded, func(a, b ExcludedCandidate) int {
		return cmp.Or(cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Upstream.ID, b.Upstream.ID))
	})
	return w, true
}

// exclusionOrLimit is exclusion that also names pauses, connections and the request limit.
func (p *Pool) exclusionOrLimit(now time.Time, inst *instance, q Query, lastResort bool) Exclusion {
	reason := p.exclusion(now, inst, q, lastResort)
	switch {
	case reason != "":
	case inst.isPaused(now):
		reason = ExcludedPaused
	case inst.open >= p.maxOpen():
		reason = ExcludedConnections
	case !inst.hasPermit():
		reason = ExcludedRequestLimit
	}
	return reason
}

// Computed returns how many tokens of the prompt of q the chosen engine computes.
func (c *Choice) Computed(q Query) int {
	if q.Phase == fighollow.RequestDecode {
		return 0
	}
	return int(computedTokens(q, c))
}
