package placement

import (
	"math"
	"sync"
	"time"

	"github.com/fighollow/fighollow/internal/rendezvous"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Costs in milliseconds that weigh against the expected time of an attempt.
const (
	// otherCentreMs and otherCentreMsPerKB are what sending a request to another data centre costs, for its latency and its
	// bytes.
	otherCentreMs      = 15
	otherCentreMsPerKB = 5
	// runningMs is what one more running request costs the others in the batch.
	runningMs = 12
	// tieMs spreads attempts over upstreams that cost nearly the same.
	tieMs = 2
	// wholeSlowdown is how much longer a decode engine takes for a prompt than a prefill engine.
	wholeSlowdown = 2
	// homeShare is the part of a prompt's shared tokens that its home is expected to hold when nothing else is known.
	homeShare = 0.7
	// awayFromHome is what a shared token costs that an engine other than the home of this data centre comes to hold, as a
	// part of computing it: copies displace other prefixes, and the source may not hold it.
	awayFromHome = 0.7
	// fetchShare is what a fetched token costs, as a part of computing it. The copy takes little time but displaces other
	// prefixes from the engine's memory.
	fetchShare = 0.5
	// homeFetchShare is the same at the prompt's home, where the copy serves the requests that follow.
	homeFetchShare = 0.1
	// goneShare is the part of the platform's drain time for which an upstream without an entry is used when there is no
	// other: entries lapse during an outage of the store and come back.
	goneShare = 0.6
)

// Query is what is known of the attempt to be placed.
type Query struct {
	Phase        fighollow.RequestPhase
	Prompt       []fighollow.PromptPart
	PromptTokens int
	Bytes        int      // of the request
	Urgency      int      // as sent to the engine, up to maxUrgency; 0 goes first
	Tried        []string // ids of upstreams that may not be chosen
	Single       bool     // the request gets no second attempt: upstreams that refused lately are a last resort
	Seed         uint64   // breaks ties
}

// maxUrgency is the least urgent value that engines know.
const maxUrgency = 9

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
	dataCentre string
	drain      time.Duration

	mu        sync.Mutex
	entries   int // that share the connections of each upstream
	traits    fighollow.ServiceTraits
	instances map[string]*instance
}

func newPool(dataCentre string, drain time.Duration) *Pool {
	return &Pool{dataCentre: dataCentre, drain: drain, entries: 1, instances: make(map[string]*instance)}
}

// SetTraits takes the service's configuration.
func (p *Pool) SetTraits(t fighollow.ServiceTraits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.traits = t
}

// setEntries says how many entries share the connections that an upstream accepts.
func (p *Pool) setEntries(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = n
}

// maxOpen returns how many connections to each upstream this entry may use at once.
func (p *Pool) maxOpen() int {
	if p.traits.MaxConnections == 0 {
		return math.MaxInt
	}
	return max(1, p.traits.MaxConnections/p.entries)
}

func (p *Pool) capacity() int {
	if p.traits.Engine == nil {
		return 0
	}
	return p.traits.Engine.KVCapacityTokens
}

// put takes an upstream's entry.
func (p *Pool) put(u fighollow.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.instances[u.ID]
	if n == nil {
		n = newInstance(u, p.capacity())
		p.instances[u.ID] = n
	}
	n.update(u, p.capacity())
	n.goneAt = time.Time{}
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
	found, maxOpen := p.findPrefix(now, q), p.maxOpen()
	var best Choice
	cost := math.Inf(1)
	// Upstreams that rest, are full or lost their entry are used only when there is no other.
	for _, lastResort := range []bool{false, true} {
		for _, n := range p.instances {
			if n.open >= maxOpen || !p.usable(now, n, q, lastResort) {
				continue
			}
			c := p.assess(now, n, q, found)
			c.CostMs += tieMs * float64(rendezvous.Score(q.Seed, n.key)%1024) / 1024
			if c.CostMs < cost {
				best, cost = c, c.CostMs
			}
		}
		if !math.IsInf(cost, 1) {
			return best, true
		}
	}
	return Choice{}, false
}

func (p *Pool) usable(now time.Time, n *instance, q Query, lastResort bool) bool {
	if n.up.Draining || !servesPhase(n.up.Role, q.Phase) || now.Before(n.denied) {
		return false
	}
	if !lastResort && (now.Before(n.resting) || now.Before(n.full) || !n.goneAt.IsZero() || q.Single && n.fullFor > 0) {
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

// assess estimates what an attempt at n costs.
func (p *Pool) assess(now time.Time, n *instance, q Query, found prefix) Choice {
	ahead := n.ahead(q.Urgency)
	c := Choice{Upstream: n.up, Pending: int(ahead), Running: n.running}
	switch q.Phase {
	case fighollow.RequestPrefill:
		c.CostMs = prefillOverhead + (ahead+p.toCompute(now, n, q, found, &c))/n.prefills.rate(now) + p.transferMs(c.Fetched)
	case fighollow.RequestDecode:
		c.CostMs = runningMs*float64(n.running) + n.answers.at(now)
	default:
		c.CostMs = n.answers.at(now) * (1 + float64(n.running)/float64(max(1, n.up.Slots)))
		if q.PromptTokens > 0 {
			c.CostMs += wholeSlowdown * p.toCompute(now, n, q, found, &c) / n.prefills.rate(now)
		}
	}
	if n.up.DataCentre != p.dataCentre {
		c.CostMs += otherCentreMs + otherCentreMsPerKB*float64(q.Bytes)/1024
	}
	return c
}

// toCompute returns the prompt tokens that n computes, and sets where it fetches others from.
func (p *Pool) toCompute(now time.Time, n *instance, q Query, found prefix, c *Choice) float64 {
	held, _ := n.cache.match(now, q.Prompt)
	c.Cached = min(held, q.PromptTokens)
	if found.source == n {
		c.Cached = min(max(c.Cached, found.tokens), q.PromptTokens)
	} else if found.source != nil {
		if c.Fetched = max(0, min(found.tokens, q.PromptTokens)-c.Cached); c.Fetched > 0 {
			c.FetchFrom = found.source.up.Address
		}
	}
	rest := float64(q.PromptTokens - c.Cached - c.Fetched)
	if found.homes[0] == nil || found.homes[0] == n || found.homes[1] == n {
		return rest + homeFetchShare*float64(c.Fetched)
	}
	rest += fetchShare * float64(c.Fetched)
	if c.Cached < found.shared {
		rest += awayFromHome * float64(found.shared-c.Cached)
	}
	return rest
}

// transferMs returns the time that moving the KV cache of some tokens between engines takes.
func (p *Pool) transferMs(tokens int) float64 {
	e := p.traits.Engine
	if e == nil || e.TransferMbps <= 0 {
		return 0
	}
	return float64(tokens) * float64(e.KVBytesPerToken) * 8 / (e.TransferMbps * 1000)
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
