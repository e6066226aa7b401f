package routing

import (
	"slices"
	"time"

	"github.com/fighollow/fighollow/internal/rendezvous"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Defaults of Options.
const (
	DefaultMaxPrefixBlocks = 16_384
	DefaultMaxPrefixAge    = 10 * time.Minute
)

// Options configures a Router. Zero fields have defaults.
type Options struct {
	MaxPrefixBlocks int           // maximum number of blocks in the prefix index; default 16,384
	MaxPrefixAge    time.Duration // age from which a block no longer counts as cached; default 10 min
}

// Model holds the properties of a model's engines.
type Model struct {
	PrefillRate float64 // prompt tokens per second; 0 means 8,000
}

// Router chooses upstreams for one entry.
type Router struct {
	self       uint64
	dataCentre string
	nodes      map[string]*node
	sets       map[Target]*candidateSet
	models     map[string]Model
	prefixes   *prefixIndex
	budget     Budget
	matched    []*node // reused by each decision
}

// New returns a Router for the entry with this id.
func New(id, dataCentre string, opts Options) *Router {
	if opts.MaxPrefixBlocks <= 0 {
		opts.MaxPrefixBlocks = DefaultMaxPrefixBlocks
	}
	if opts.MaxPrefixAge <= 0 {
		opts.MaxPrefixAge = DefaultMaxPrefixAge
	}
	return &Router{
		self: rendezvous.Key(id), dataCentre: dataCentre, nodes: make(map[string]*node), sets: make(map[Target]*candidateSet),
		prefixes: newPrefixIndex(opts.MaxPrefixBlocks, opts.MaxPrefixAge), budget: NewBudget(),
	}
}

// nodeRetention is how long the state of an upstream is kept after it was last listed, so that its exclusions still apply
// if outdated information lists it again.
const nodeRetention = 10 * time.Minute

// Update replaces the list of available upstreams, and the models.
func (r *Router) Update(now time.Time, upstreams []Upstream, models map[string]Model) {
	for _, n := range r.nodes {
		n.listed = false
	}
	r.models = models
	sets := make(map[Target]*candidateSet, len(r.sets))
	var anyTarget []*node
	for _, u := range upstreams {
		n := r.node(u.ID)
		if hadTarget := n.upstream.Target != (Target{}); hadTarget && (n.upstream.Role != u.Role || n.upstream.Target != u.Target) {
			n.exclusion.excludedUntil = time.Time{} // a refusal under the old assignment does not apply to the new one
		}
		n.upstream, n.listed, n.updated = u, true, now
		if u.Target.Name == "" {
			anyTarget = append(anyTarget, n)
			continue
		}
		setOf(sets, u.Target).add(n)
	}
	for name := range models {
		for _, n := range anyTarget {
			setOf(sets, Target{Kind: n.upstream.Target.Kind, Name: name}).add(n)
		}
	}
	for _, s := range sets {
		s.limit(r.self, r.dataCentre)
	}
	r.sets = sets
	for id, n := range r.nodes {
		if !n.listed && !n.exclusion.leavingLinkOpen && now.Sub(n.updated) > nodeRetention {
			delete(r.nodes, id)
		}
	}
}

func setOf(sets map[Target]*candidateSet, t Target) *candidateSet {
	s := sets[t]
	if s == nil {
		s = new(candidateSet)
		sets[t] = s
	}
	return s
}

func (r *Router) node(id string) *node {
	n := r.nodes[id]
	if n == nil {
		n = &node{key: rendezvous.Key(id)}
		n.upstream.ID = id
		r.nodes[id] = n
	}
	return n
}

// Candidates returns the ids of the candidates for t of all roles.
func (r *Router) Candidates(t Target) []string {
	s := r.sets[t]
	if s == nil {
		return nil
	}
	var ids []string
	for _, n := range slices.Concat(s.whole, s.prefill, s.decode) {
		ids = append(ids, n.upstream.ID)
	}
	return ids
}

// CountRequest adds a request to the retry budget. It is called once per request, before its first attempt.
func (r *Router) CountRequest() { r.budget.CountRequest() }

// TakeRetry reports whether the retry budget allows another attempt and, if so, takes it from the budget. failure is true
// after an upstream was lost or is leaving, and false after a refusal because of load.
func (r *Router) TakeRetry(failure bool) bool { return r.budget.TakeRetry(failure) }

// Sent records an attempt that is sent to an upstream, with the number of prompt tokens that the upstream must compute.
// Each Sent is followed by one Refused, Finished or Lost.
func (r *Router) Sent(id string, tokens int) {
	n := r.node(id)
	n.load.ownRequests++
	n.load.pendingTokens += tokens
}

// Accepted records that the upstream accepted an attempt and will cache the prompt's blocks.
func (r *Router) Accepted(now time.Time, id string, load fighollow.Load, blocks []uint64) {
	n := r.node(id)
	n.load.report(now, load)
	n.exclusion.drainRefusals = 0
	r.prefixes.add(now, blocks, n)
}

// PromptComputed records that the upstream no longer has to compute the prompt of an attempt, which its first token shows.
func (r *Router) PromptComputed(id string, tokens int) {
	n := r.node(id)
	n.load.pendingTokens = max(0, n.load.pendingTokens-tokens)
}

// Refused records that the upstream refused an attempt. An upstream that is draining, stopping, not ready or does not
// serve the target is excluded for a while.
func (r *Router) Refused(now time.Time, id string, refusal *fighollow.Refusal, load fighollow.Load) {
	n := r.node(id)
	n.updated = now
	n.load.ownRequests = max(0, n.load.ownRequests-1)
	n.load.report(now, load)
	n.exclusion.refused(now, refusal)
	if refusal.Code == fighollow.CodeOverloaded && n.load.reportedAt.Equal(now) {
		// The sidecar's queue is full, even if the reported numbers do not show it.
		n.load.load.WaitMs = max(n.load.load.WaitMs, refusal.RetryAfterMs, 1)
	}
}

// Finished records the end of an attempt, as reported by the upstream.
func (r *Router) Finished(now time.Time, id string, took time.Duration, load fighollow.Load) {
	n := r.node(id)
	n.load.ownRequests = max(0, n.load.ownRequests-1)
	n.load.report(now, load)
	n.load.finished(took)
}

// Lost records that an attempt ended without a reply from the upstream.
func (r *Router) Lost(id string) {
	n := r.node(id)
	n.load.ownRequests = max(0, n.load.ownRequests-1)
}

// Unreachable records that the link to the upstream could not be opened or broke. For a while the upstream gets work only
// if there is no other.
func (r *Router) Unreachable(now time.Time, id string) { r.node(id).exclusion.unreachable(now) }

// Connected records the incarnation of the process at the other end of the link that an attempt is about to use, and
// reports whether that process may get new work. A new process can have the address of one that announced that it is
// leaving.
func (r *Router) Connected(now time.Time, id string, incarnation int64) bool {
	return r.node(id).exclusion.connected(now, incarnation)
}

// Leaving records that the sidecar with this incarnation no longer takes new work.
func (r *Router) Leaving(now time.Time, id string, incarnation int64) {
	n := r.node(id)
	n.updated = now // it may be unlisted now and listed again later
	n.exclusion.announceLeaving(incarnation)
}

// Draining records that an upstream takes no new work but may be restored. It is excluded until the list of upstreams is
// expected to reflect the drain.
func (r *Router) Draining(now time.Time, id string) {
	n := r.node(id)
	n.updated = now
	n.exclusion.draining(now)
}

// LinkClosed records that the link to the sidecar with this incarnation has closed.
func (r *Router) LinkClosed(now time.Time, id string, incarnation int64) {
	r.node(id).exclusion.linkClosed(now, incarnation)
}
