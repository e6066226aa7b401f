package routing

import (
	"time"

	"github.com/fighollow/fighollow/internal/admission"
	"github.com/fighollow/fighollow/internal/rendezvous"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Costs are compared in milliseconds until the first token.
const (
	defaultPrefillRate = 8000 // tokens per second
	// otherCentreMs keeps requests in the own data centre until it is this much slower.
	otherCentreMs = 100
	// usedMs spreads requests over upstreams that all have free slots; a fuller batch is slower.
	usedMs = 20
	// tieMs bounds a random part of the cost, so that idle upstreams share the requests.
	tieMs = 1
	// handoverMs and handoverTokenMs are the cost of exporting, fetching and importing a KV cache.
	handoverMs      = 20
	handoverTokenMs = 0.005
	// decodeSlowdown weighs a prompt computed by a decode engine, which delays the tokens of its other requests.
	decodeSlowdown = 2
	// prefillOverflowMs keeps whole requests away from prefill engines until decode engines are this much slower.
	prefillOverflowMs = 300
	// weakMs puts an upstream that could not be reached lately behind all others.
	weakMs = 1e6
	// sampled is how many candidates are compared beside those that hold the prefix, so that entries with the same
	// old information do not all choose the same upstream.
	sampled = 4
	// prefixHopeShare weighs the chance that the upstream preferred for a prefix already holds it, sent by another entry.
	prefixHopeShare = 0.5
)

// Request is what a decision needs to know of a request.
type Request struct {
	Target       Target
	Blocks       []uint64 // hashes of AppendBlocks; none for plain services
	PromptTokens int
	// Whole forbids a split into prefill and decode.
	Whole bool
	// Decode asks for the upstream of a decode attempt; Near is the data centre of the engine that exports the cache.
	Decode bool
	Near   string
	Tried  []string // upstreams that must not be chosen
	Seed   uint64   // random; equal seeds give equal decisions
}

// Reason is why an upstream was chosen, for the log.
type Reason string

// Reasons.
const (
	ReasonPrefix   Reason = "prefix"   // it holds the beginning of the prompt
	ReasonLoad     Reason = "load"     // it is the least loaded of those compared
	ReasonOverflow Reason = "overflow" // its role is another one, whose engines are fuller
	ReasonSpill    Reason = "spill"    // it is in another data centre
)

// Decision is the choice for one attempt.
type Decision struct {
	Upstream Upstream
	Phase    fighollow.RequestPhase
	Reason   Reason
	Cached   int     // prompt tokens that the upstream is believed to hold
	CostMs   float64 // expected time to the first token
}

type choice struct {
	n    *node
	cost float64
}

// Choose returns the upstream for the next attempt; it reports false when none may get the request.
func (r *Router) Choose(now time.Time, q *Request) (Decision, bool) {
	s := r.sets[q.Target]
	if s == nil {
		return Decision{}, false
	}
	r.found = r.prefixes.match(now, q.Blocks, r.found[:0])
	d, ok := r.choose(now, q, s)
	for i, n := range r.found {
		n.match = 0
		r.found[i] = nil
	}
	return d, ok
}

func (r *Router) choose(now time.Time, q *Request, s *set) (Decision, bool) {
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
	if q.Whole || onPrefill.n == nil || onDecode.n == nil {
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

// decide returns the cheapest of the choices; overflow is a use of an upstream outside its role.
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
	case c.n.match > 0:
		reason = ReasonPrefix
	case c.n.up.DataCentre != r.dataCentre:
		reason = ReasonSpill
	}
	cached := min(c.n.match*BlockTokens, q.PromptTokens)
	return Decision{Upstream: c.n.up, Phase: phase, Reason: reason, Cached: cached, CostMs: c.cost}, true
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// best compares a few of the candidates: those that hold the prefix, the one that all entries prefer for it, and some
// that the seed selects. When none of these may get the request or the best is in another data centre, all are compared.
func (r *Router) best(now time.Time, q *Request, from []*node, prefill float64) choice {
	var few, all choice
	var preferred *node
	if len(q.Blocks) > 0 && prefill > 0 {
		preferred = preferredFor(now, q, from)
	}
	for i, n := range from {
		if !usable(now, q, n) {
			continue
		}
		dice := rendezvous.Score(q.Seed, uint64(i))
		c := choice{n, r.cost(now, q, n, prefill, n == preferred) + tieMs*float64(dice>>32)/(1<<32)}
		if all.n == nil || c.cost < all.cost {
			all = c
		}
		picked := n.match > 0 || n == preferred || dice%uint64(len(from)) < sampled
		if picked && !n.away.weak(now) && (few.n == nil || c.cost < few.cost) {
			few = c
		}
	}
	if few.n == nil || few.n.up.DataCentre != r.near(q) {
		return all
	}
	return few
}

// near returns the data centre whose upstreams come first.
func (r *Router) near(q *Request) string {
	if q.Near != "" {
		return q.Near
	}
	return r.dataCentre
}

// preferredFor returns the candidate with the highest rendezvous hash for the first block.
func preferredFor(now time.Time, q *Request, from []*node) *node {
	var best *node
	var top uint64
	for _, n := range from {
		if !usable(now, q, n) || n.away.weak(now) {
			continue
		}
		if h := rendezvous.Score(q.Blocks[0], n.key); best == nil || h > top {
			best, top = n, h
		}
	}
	return best
}

func usable(now time.Time, q *Request, n *node) bool {
	if n.away.excluded(now) {
		return false
	}
	for _, id := range q.Tried {
		if n.up.ID == id {
			return false
		}
	}
	return true
}

// cost returns the expected time to the first token. prefill weighs the time of computing the prompt; 0 is for an
// attempt that imports it.
func (r *Router) cost(now time.Time, q *Request, n *node, prefill float64, preferred bool) float64 {
	rate := r.models[q.Target.Name].PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	wait, used := n.load.wait(now)
	cost := wait + usedMs*used
	if prefill > 0 && q.PromptTokens > 0 {
		cached := float64(n.match * BlockTokens)
		if preferred {
			cached = max(cached, prefixHopeShare*float64(len(q.Blocks)*BlockTokens))
		}
		compute := max(0, float64(q.PromptTokens)-cached)
		cost += (compute*prefill + n.load.prefillTokens(now)) / rate * 1000
	}
	if n.up.DataCentre != r.near(q) {
		cost += otherCentreMs
	}
	if n.away.weak(now) {
		cost += weakMs
	}
	return cost
}
