package routing

import (
	"time"

	"github.com/fighollow/fighollow/internal/admission"
	"github.com/fighollow/fighollow/internal/rendezvous"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// The costs of upstreams are expected times until the first token, in milliseconds.
const (
	defaultPrefillRate = 8000 // tokens per second
	// remoteMs is the added cost of an upstream in another data centre. Requests stay in the own data centre until it is
	// this much slower.
	remoteMs = 100
	// utilisationMs is the added cost of an upstream with all slots in use, in proportion to its utilisation. It spreads
	// requests over upstreams with free slots, since a larger batch is slower.
	utilisationMs = 20
	// jitterMs is the maximum random part of the cost, which distributes requests over idle upstreams.
	jitterMs = 1
	// handoverMs and handoverTokenMs are the cost of exporting, fetching and importing a KV cache.
	handoverMs      = 20
	handoverTokenMs = 0.005
	// decodeSlowdown is the weight of a prompt that a decode engine computes, which delays the tokens of its other requests.
	decodeSlowdown = 2
	// prefillOverflowMs is the added cost of a prefill engine that decodes. It keeps such requests away from prefill engines
	// until decode engines are this much slower.
	prefillOverflowMs = 300
	// lastResortMs ranks an upstream that was recently unreachable behind all others.
	lastResortMs = 1e6
	// sampleSize is the mean number of random candidates that are compared besides those that cache the prefix, so that
	// entries with the same outdated information do not all choose the same upstream.
	sampleSize = 4
	// preferredHitShare is the share of a prompt's blocks that the upstream preferred for its prefix is assumed to hold,
	// because another entry may have sent them.
	preferredHitShare = 0.5
)

// Request holds the properties of a request on which the choice of an upstream depends.
type Request struct {
	Target       Target
	Blocks       []uint64 // block hashes from AppendBlocks; none for plain services
	PromptTokens int
	// NoSplit forbids a split into prefill and decode.
	NoSplit bool
	// Decode asks for the upstream of a decode attempt. PreferredDataCentre is then the data centre of the engine that
	// exports the KV cache; if empty, it is that of the entry.
	Decode              bool
	PreferredDataCentre string
	Tried               []string // upstreams that must not be chosen again
	Seed                uint64   // random; equal seeds give equal decisions
}

// Reason states why an upstream was chosen, for the log.
type Reason string

// Reasons.
const (
	ReasonPrefix   Reason = "prefix"   // it caches a prefix of the prompt
	ReasonLoad     Reason = "load"     // it has the lowest cost of those compared
	ReasonOverflow Reason = "overflow" // it has another role, because the engines of the proper role are much slower
	ReasonSpill    Reason = "spill"    // it is in another data centre
)

// Decision is the upstream chosen for one attempt.
type Decision struct {
	Upstream Upstream
	Phase    fighollow.RequestPhase
	Reason   Reason
	Cached   int     // prompt tokens that the upstream is expected to have cached
	CostMs   float64 // expected time to the first token
}

type choice struct {
	n    *node
	cost float64
}

// Choose returns the upstream for the next attempt. It reports false if no upstream is available.
func (r *Router) Choose(now time.Time, q *Request) (Decision, bool) {
	s := r.sets[q.Target]
	if s == nil {
		return Decision{}, false
	}
	r.matched = r.prefixes.match(now, q.Blocks, r.matched[:0])
	d, ok := r.choose(now, q, s)
	for i, n := range r.matched {
		n.matchedBlocks = 0
		r.matched[i] = nil
	}
	return d, ok
}

func (r *Router) choose(now time.Time, q *Request, s *candidateSet) (Decision, bool) {
	if q.Decode {
		onPrefill := r.best(now, q, s.prefill, 0)
		onPrefill.cost += prefillOverflowMs
		return r.decide(q, fighollow.RequestDecode, r.best(now, q, s.decode, 0), r.best(now, q, s.whole, 0), onPrefill)
	}
	whole := r.best(now, q, s.whole, 1)
	onDecode := r.best(now, q, s.decode, decodeSlowdown)
	onPrefill := r.best(now, q, s.prefill, 1)
	asOverflow := onPrefill
	asOverflow.cost += prefillOverflowMs
	if q.NoSplit || onPrefill.n == nil || onDecode.n == nil {
		return r.decide(q, fighollow.RequestWhole, whole, onDecode, asOverflow)
	}
	importing := r.best(now, q, s.decode, 0)
	split := onPrefill.cost + importing.cost + handoverMs + handoverTokenMs*float64(q.PromptTokens)
	d, _ := r.decide(q, fighollow.RequestWhole, whole, onDecode, asOverflow)
	if split < d.CostMs {
		d, _ = r.decide(q, fighollow.RequestPrefill, onPrefill, choice{}, choice{})
		d.CostMs = split
	}
	return d, true
}

// decide returns the cheaper of first and second, or overflow, an upstream used outside its role, if that is better by
// the overflow margin or there is no other.
func (r *Router) decide(q *Request, phase fighollow.RequestPhase, first, second, overflow choice) (Decision, bool) {
	c, reason := first, ReasonLoad
	if second.n != nil && (c.n == nil || second.cost < c.cost) {
		c = second
	}
	if overflow.n != nil && (c.n == nil || admission.ShouldOverflow(milliseconds(c.cost), milliseconds(overflow.cost))) {
		c, reason = overflow, ReasonOverflow
	}
	if c.n == nil {
		return Decision{}, false
	}
	switch {
	case reason == ReasonOverflow:
	case c.n.matchedBlocks > 0:
		reason = ReasonPrefix
	case c.n.upstream.DataCentre != r.dataCentre:
		reason = ReasonSpill
	}
	cached := min(c.n.matchedBlocks*BlockTokens, q.PromptTokens)
	return Decision{Upstream: c.n.upstream, Phase: phase, Reason: reason, Cached: cached, CostMs: c.cost}, true
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// best returns the candidate with the lowest cost among a sample: those that cache the prefix, the one that all entries
// prefer for it, and some selected by the seed. If none of the sample is available or its best is in another data centre,
// best compares all candidates.
func (r *Router) best(now time.Time, q *Request, nodes []*node, prefillWeight float64) choice {
	var bestSampled, bestOverall choice
	var preferred *node
	if len(q.Blocks) > 0 && prefillWeight > 0 {
		preferred = preferredFor(now, q, nodes)
	}
	for i, n := range nodes {
		if !usable(now, q, n) {
			continue
		}
		random := rendezvous.Score(q.Seed, uint64(i))
		c := choice{n, r.cost(now, q, n, prefillWeight, n == preferred) + jitterMs*float64(random>>32)/(1<<32)}
		if bestOverall.n == nil || c.cost < bestOverall.cost {
			bestOverall = c
		}
		inSample := n.matchedBlocks > 0 || n == preferred || random%uint64(len(nodes)) < sampleSize
		if inSample && !n.exclusion.lastResort(now) && (bestSampled.n == nil || c.cost < bestSampled.cost) {
			bestSampled = c
		}
	}
	if bestSampled.n == nil || bestSampled.n.upstream.DataCentre != r.preferredDataCentre(q) {
		return bestOverall
	}
	return bestSampled
}

// preferredDataCentre returns the data centre whose upstreams have no added cost.
func (r *Router) preferredDataCentre(q *Request) string {
	if q.PreferredDataCentre != "" {
		return q.PreferredDataCentre
	}
	return r.dataCentre
}

// preferredFor returns the available candidate with the highest rendezvous hash for the first block, or nil.
func preferredFor(now time.Time, q *Request, nodes []*node) *node {
	var best *node
	var highest uint64
	for _, n := range nodes {
		if !usable(now, q, n) || n.exclusion.lastResort(now) {
			continue
		}
		if h := rendezvous.Score(q.Blocks[0], n.key); best == nil || h > highest {
			best, highest = n, h
		}
	}
	return best
}

func usable(now time.Time, q *Request, n *node) bool {
	if n.exclusion.excluded(now) {
		return false
	}
	for _, id := range q.Tried {
		if n.upstream.ID == id {
			return false
		}
	}
	return true
}

// cost returns the expected time to the first token in milliseconds. prefillWeight scales the time of computing the
// prompt; it is 0 for an attempt that imports the KV cache.
func (r *Router) cost(now time.Time, q *Request, n *node, prefillWeight float64, preferred bool) float64 {
	rate := r.models[q.Target.Name].PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	wait, utilisation := n.load.wait(now)
	cost := wait + utilisationMs*utilisation
	if prefillWeight > 0 && q.PromptTokens > 0 {
		cached := float64(n.matchedBlocks * BlockTokens)
		if preferred {
			cached = max(cached, preferredHitShare*float64(len(q.Blocks)*BlockTokens))
		}
		compute := max(0, float64(q.PromptTokens)-cached)
		cost += (compute*prefillWeight + n.load.prefillTokens(now)) / rate * 1000
	}
	if n.upstream.DataCentre != r.preferredDataCentre(q) {
		cost += remoteMs
	}
	if n.exclusion.lastResort(now) {
		cost += lastResortMs
	}
	return cost
}
