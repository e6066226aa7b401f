package routing

import (
	"slices"
	"time"

	"github.com/fighollow/fighollow/internal/rendezvous"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Defaults of Options.
const (
	DefaultPrefixBlocks = 16_384
	DefaultPrefixAge    = 10 * time.Minute
)

// Options adjust a Router; the zero value means the defaults.
type Options struct {
	PrefixBlocks int           // blocks remembered; default 16,384
	PrefixAge    time.Duration // after which a block is no longer believed to be cached; default 10 min
}

// Model holds what is known of a model's engines.
type Model struct {
	PrefillRate float64 // prompt tokens per second; 0 means 8,000
}

// Router chooses upstreams for one entry.
type Router struct {
	self       uint64
	dataCentre string
	nodes      map[string]*node
	sets       map[Target]*set
	models     map[string]Model
	prefixes   *prefixIndex
	budget     Budget
	found      []*node // reused by each decision
}

// New returns a Router for the entry with this id.
func New(id, dataCentre string, opts Options) *Router {
	if opts.PrefixBlocks <= 0 {
		opts.PrefixBlocks = DefaultPrefixBlocks
	}
	if opts.PrefixAge <= 0 {
		opts.PrefixAge = DefaultPrefixAge
	}
	return &Router{
		self: rendezvous.Key(id), dataCentre: dataCentre, nodes: make(map[string]*node), sets: make(map[Target]*set),
		prefixes: newPrefixIndex(opts.PrefixBlocks, opts.PrefixAge), budget: NewBudget(),
	}
}

// nodeMemory is how long the state of an upstream that is no longer listed is kept, so that one that was listed again
// from old information is still left out.
const nodeMemory = 10 * time.Minute

// Update replaces the list of upstreams that may serve, and the models.
func (r *Router) Update(now time.Time, upstreams []Upstream, models map[string]Model) {
	for _, n := range r.nodes {
		n.listed = false
	}
	r.models = models
	sets := make(map[Target]*set, len(r.sets))
	var anyTarget []*node
	for _, u := range upstreams {
		n := r.node(u.ID)
		if known := n.up.Target != (Target{}); known && (n.up.Role != u.Role || n.up.Target != u.Target) {
			n.away.until = time.Time{} // a refusal for the old assignment says nothing about the new one
		}
		n.up, n.listed, n.updated = u, true, now
		if u.Target.Name == "" {
			anyTarget = append(anyTarget, n)
			continue
		}
		setOf(sets, u.Target).add(n)
	}
	for name := range models {
		for _, n := range anyTarget {
			setOf(sets, Target{Kind: n.up.Target.Kind, Name: name}).add(n)
		}
	}
	for _, s := range sets {
		s.bound(r.self, r.dataCentre)
	}
	r.sets = sets
	for id, n := range r.nodes {
		if !n.listed && !n.away.leavingOpen && now.Sub(n.updated) > nodeMemory {
			delete(r.nodes, id)
		}
	}
}

func setOf(sets map[Target]*set, t Target) *set {
	s := sets[t]
	if s == nil {
		s = new(set)
		sets[t] = s
	}
	return s
}

func (r *Router) node(id string) *node {
	n := r.nodes[id]
	if n == nil {
		n = &node{key: rendezvous.Key(id)}
		n.up.ID = id
		r.nodes[id] = n
	}
	return n
}

// Candidates returns the ids of the upstreams to which requests for t may go, whatever their role.
func (r *Router) Candidates(t Target) []string {
	s := r.sets[t]
	if s == nil {
		return nil
	}
	var ids []string
	for _, n := range slices.Concat(s.whole, s.prefill, s.decode) {
		ids = append(ids, n.up.ID)
	}
	return ids
}

// Request counts the first attempt of a request for the retry budget.
func (r *Router) Request() { r.budget.Request() }

// Retry reports whether the budget allows another attempt, and takes it from the budget.
func (r *Router) Retry(failure bool) bool { return r.budget.Retry(failure) }

// Sent notes that an attempt with this many prompt tokens to compute goes to an upstream. Each Sent is followed by one
// Refused, Finished or Lost.
func (r *Router) Sent(id string, tokens int) {
	n := r.node(id)
	n.load.open++
	n.load.openToken += tokens
}

// Accepted notes that the upstream accepted an attempt, and that it will hold the prompt's blocks.
func (r *Router) Accepted(now time.Time, id string, load fighollow.Load, blocks []uint64) {
	n := r.node(id)
	n.load.report(now, load)
	n.away.drains = 0
	r.prefixes.learn(now, blocks, n)
}

// Computed notes that the prompt of an attempt has been computed, as its first token shows.
func (r *Router) Computed(id string, tokens int) {
	n := r.node(id)
	n.load.openToken = max(0, n.load.openToken-tokens)
}

// Refused notes that the upstream refused an attempt. An upstream that is draining, stopping or not ready is left out.
func (r *Router) Refused(now time.Time, id string, refusal *fighollow.Refusal, load fighollow.Load) {
	n := r.node(id)
	n.updated = now
	n.load.open = max(0, n.load.open-1)
	n.load.report(now, load)
	n.away.refused(now, refusal)
	if refusal.Code == fighollow.CodeOverloaded && n.load.at.Equal(now) {
		// The sidecar's queue is full, whatever its numbers say.
		n.load.load.WaitMs = max(n.load.load.WaitMs, refusal.RetryAfterMs, 1)
	}
}

// Finished notes the end of an attempt that the upstream reported.
func (r *Router) Finished(now time.Time, id string, took time.Duration, load fighollow.Load) {
	n := r.node(id)
	n.load.open = max(0, n.load.open-1)
	n.load.report(now, load)
	n.load.finished(took)
}

// Lost notes that an attempt ended without word from the upstream.
func (r *Router) Lost(id string) {
	n := r.node(id)
	n.load.open = max(0, n.load.open-1)
}

// Unreachable notes that no link could be made to the upstream, or that it broke. The upstream then gets work only
// when there is no other.
func (r *Router) Unreachable(now time.Time, id string) { r.node(id).away.unreachable(now) }

// Reached notes the incarnation of the process at the other end of the link that an attempt is about to use, and reports
// whether that process may get new work. The address of an upstream can outlive the process that announced its leaving.
func (r *Router) Reached(now time.Time, id string, incarnation int64) bool {
	return r.node(id).away.reached(now, incarnation)
}

// Left notes that the sidecar with this incarnation takes no new work any more.
func (r *Router) Left(now time.Time, id string, incarnation int64) {
	n := r.node(id)
	n.updated = now // it may be unlisted now and listed again later
	n.away.left(incarnation)
}

// Drained notes that an upstream takes no new work but can be restored. It is left out until the list of upstreams must
// have learned of that.
func (r *Router) Drained(now time.Time, id string) {
	n := r.node(id)
	n.updated = now
	n.away.drained(now)
}

// LinkClosed notes that the link to the sidecar with this incarnation has closed.
func (r *Router) LinkClosed(now time.Time, id string, incarnation int64) {
	r.node(id).away.linkClosed(now, incarnation)
}
