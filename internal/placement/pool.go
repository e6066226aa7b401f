package placement

import (
	"math"
	"sync"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Costs in milliseconds that weigh against the expected time of an attempt.
const (
	// otherCentreMs is what sending a request to another data centre costs, for the bytes between them.
	otherCentreMs = 120
	// runningMs is what one more running request costs the others in the batch.
	runningMs = 6
	// fullMs sets back an upstream that has just refused for lack of room.
	fullMs = 400
	// goneShare is the part of the platform's drain time for which an upstream without an entry is used when there is no
	// other: entries lapse during an outage of the store and come back.
	goneShare = 0.6
)

// Query is what is known of the attempt to be placed.
type Query struct {
	Phase        fighollow.RequestPhase
	Prompt       []fighollow.PromptPart
	PromptTokens int
	Tried        []string // ids of upstreams that may not be chosen
	Seed         uint64   // breaks ties
}

// Choice is where an attempt goes and what the decision was based on.
type Choice struct {
	Upstream  fighollow.Upstream
	CostMs    float64 // expected time until its result, with penalties
	Cached    int     // prompt tokens that the engine is taken to hold
	FetchFrom string  // address of an engine that holds more of the prompt; empty for none
	Fetched   int     // prompt tokens that it holds beyond Cached
	Pending   int     // prompt tokens of earlier prefills of this entry
	Running   int
}

// Pool holds the upstreams of one service. It is safe for concurrent use.
type Pool struct {
	service    string
	dataCentre string
	drain      time.Duration

	mu        sync.Mutex
	traits    fighollow.ServiceTraits
	instances map[string]*instance
}

func newPool(service, dataCentre string, drain time.Duration) *Pool {
	return &Pool{service: service, dataCentre: dataCentre, drain: drain, instances: make(map[string]*instance)}
}

// SetTraits takes the service's configuration.
func (p *Pool) SetTraits(t fighollow.ServiceTraits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.traits = t
}

func (p *Pool) capacity() int {
	if p.traits.Engine == nil {
		return 0
	}
	return p.traits.Engine.KVCapacityTokens
}

// put takes an upstream's entry.
func (p *Pool) put(u fighollow.Upstream, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.instances[u.ID]
	if n == nil {
		n = newInstance(u, p.capacity())
		p.instances[u.ID] = n
	}
	n.update(u, p.capacity())
	n.version, n.goneAt = version, time.Time{}
}

// remove notes that an upstream has no entry any more.
func (p *Pool) remove(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.instances[id]
	if n == nil {
		return
	}
	if n.up.Draining {
		delete(p.instances, id)
		return
	}
	if n.goneAt.IsZero() {
		n.goneAt = now
	}
}

// expire forgets upstreams whose entries have been missing for long.
func (p *Pool) expire(now time.Time) {
	for id, n := range p.instances {
		if p.isGone(now, n) {
			delete(p.instances, id)
		}
	}
}

func (p *Pool) isGone(now time.Time, n *instance) bool {
	return !n.goneAt.IsZero() && now.Sub(n.goneAt) > time.Duration(goneShare*float64(p.drain))
}

// Choose returns the upstream for an attempt; it reports false when there is none.
func (p *Pool) Choose(now time.Time, q Query) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	fetch, fetched := p.longestPrefix(now, q)
	var best Choice
	cost := math.Inf(1)
	// Upstreams that rest or lost their entry are used only when there is no other.
	for _, lastResort := range []bool{false, true} {
		for _, n := range p.instances {
			if !p.usable(now, n, q, lastResort) {
				continue
			}
			c := p.assess(now, n, q, fetched)
			c.CostMs += 2 * float64(hash(q.Seed, n.up.ID)%1024) / 1024
			if c.CostMs < cost {
				best, cost = c, c.CostMs
			}
		}
		if !math.IsInf(cost, 1) {
			break
		}
	}
	if math.IsInf(cost, 1) {
		return Choice{}, false
	}
	if best.Fetched > 0 {
		best.FetchFrom = fetch
	}
	return best, true
}

// ByAddress returns the upstream at an address.
func (p *Pool) ByAddress(address string) (fighollow.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.instances {
		if n.up.Address == address {
			return n.up, true
		}
	}
	return fighollow.Upstream{}, false
}

// longestPrefix returns the engine that holds most of the prompt, and how many tokens of it.
func (p *Pool) longestPrefix(now time.Time, q Query) (address string, tokens int) {
	if q.Phase == fighollow.RequestDecode || len(q.Prompt) == 0 {
		return "", 0
	}
	for _, n := range p.instances {
		if m := n.cache.match(q.Prompt); m > tokens && n.goneAt.IsZero() && !now.Before(n.resting) {
			address, tokens = n.up.Address, m
		}
	}
	return address, tokens
}

func (p *Pool) usable(now time.Time, n *instance, q Query, lastResort bool) bool {
	if n.up.Draining || !servesPhase(n.up.Role, q.Phase) || now.Before(n.denied) {
		return false
	}
	if !lastResort && (now.Before(n.resting) || !n.goneAt.IsZero()) {
		return false
	}
	for _, id := range q.Tried {
		if id == n.up.ID {
			return false
		}
	}
	return true
}

// servesPhase reports whether an engine with this role takes attempts of this phase; plain services have no role.
func servesPhase(r fighollow.Role, phase fighollow.RequestPhase) bool {
	switch phase {
	case fighollow.RequestPrefill:
		return r == fighollow.RolePrefill
	case fighollow.RequestDecode:
		return r == fighollow.RoleDecode
	}
	return r != fighollow.RolePrefill
}

// assess estimates what an attempt at n costs. fetched is the longest prefix that any engine holds.
func (p *Pool) assess(now time.Time, n *instance, q Query, fetched int) Choice {
	c := Choice{Upstream: n.up, Pending: int(n.pending), Running: n.running}
	switch q.Phase {
	case fighollow.RequestPrefill:
		c.Cached = min(n.cache.match(q.Prompt), q.PromptTokens)
		c.Fetched = max(0, min(fetched, q.PromptTokens)-c.Cached)
		rest := float64(q.PromptTokens - c.Cached - c.Fetched)
		c.CostMs = prefillOverhead + (n.pending+rest)/n.rate + p.transferMs(c.Fetched)
	case fighollow.RequestDecode:
		c.CostMs = runningMs*float64(n.running) + n.latency
	default:
		c.CostMs = n.latency * (1 + float64(n.running)/float64(max(1, n.up.Slots)))
		if q.PromptTokens > 0 {
			c.Cached = min(n.cache.match(q.Prompt), q.PromptTokens)
			c.Fetched = max(0, min(fetched, q.PromptTokens)-c.Cached)
			c.CostMs += 2 * float64(q.PromptTokens-c.Cached-c.Fetched) / n.rate
		}
	}
	if n.up.DataCentre != p.dataCentre {
		c.CostMs += otherCentreMs
	}
	if now.Before(n.full) {
		c.CostMs += fullMs
	}
	return c
}

// transferMs returns the time that moving the KV cache of some tokens between engines takes.
func (p *Pool) transferMs(tokens int) float64 {
	e := p.traits.Engine
	if e == nil || e.TransferMbps <= 0 {
		return 0
	}
	return float64(tokens) * float64(e.KVBytesPerToken) * 8 / (e.TransferMbps * 1000)
}

// hash mixes a seed with an id (FNV-1a).
func hash(seed uint64, id string) uint64 {
	h := seed ^ 14695981039346656037
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return h ^ h>>29
}
