package placement

import (
	"math"
	"sync"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Costs in milliseconds that weigh against the expected time of an attempt.
const (
	// otherCentreMs and otherCentreMsPerKB are what sending a request to another data centre costs, for its latency and its
	// bytes.
	otherCentreMs      = 15
	otherCentreMsPerKB = 5
	// runningMs is what one more running request costs the others in the batch.
	runningMs = 6
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
	found := p.findPrefix(now, q)
	var best Choice
	cost := math.Inf(1)
	// Upstreams that rest, are full or lost their entry are used only when there is no other.
	for _, lastResort := range []bool{false, true} {
		for _, n := range p.instances {
			if !p.usable(now, n, q, lastResort) {
				continue
			}
			c := p.assess(now, n, q, found)
			c.CostMs += tieMs * float64(hash(q.Seed, n.up.ID)%1024) / 1024
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

// prefix is where the beginning of a prompt is, as far as this entry can tell.
type prefix struct {
	source *instance    // from which engines fetch it; nil when there is none
	tokens int          // that it holds, or is expected to hold
	homes  [2]*instance // to which entries send the prompt first; nil where there is none
	shared int          // tokens that other prompts may share
}

// findPrefix returns where the beginning of a prompt is. An engine of this data centre is its home once another engine is
// known to hold all that other prompts may share; until then, one on which all entries agree without talking.
func (p *Pool) findPrefix(now time.Time, q Query) prefix {
	var s prefix
	if q.Phase == fighollow.RequestDecode || len(q.Prompt) < 2 {
		return s
	}
	s.shared = sharedTokens(q.Prompt)
	part := q.Prompt[len(q.Prompt)-2].ID
	for _, n := range p.instances {
		if !n.goneAt.IsZero() || n.up.Draining || now.Before(n.resting) {
			continue
		}
		if _, read := n.cache.match(now, q.Prompt); read > s.tokens {
			s.source, s.tokens = n, read
		}
	}
	if s.tokens >= s.shared {
		s.homes = p.homesOf(now, part, p.dataCentre)
		return s
	}
	// The first to see a part sends it where all entries do, so that each data centre need not compute it.
	first := p.homesOf(now, part, "")[0]
	s.homes[0] = first
	if expected := int(homeShare * float64(s.shared)); first != nil && expected > s.tokens {
		s.source, s.tokens = first, expected
	}
	return s
}

// sharedTokens returns the tokens of a prompt that other prompts may share: all but its last part.
func sharedTokens(prompt []fighollow.PromptPart) int {
	n := 0
	for _, part := range prompt[:len(prompt)-1] {
		n += part.Tokens
	}
	return n
}

// homesOf returns the two prefill engines with the highest rendezvous hashes for a part, in one data centre or in any. With
// two of them, a part in demand does not fill one engine while others are idle.
func (p *Pool) homesOf(now time.Time, part uint64, dataCentre string) [2]*instance {
	var best [2]*instance
	var top [2]uint64
	for _, n := range p.instances {
		if n.up.Role != fighollow.RolePrefill || n.up.Draining || !n.goneAt.IsZero() || now.Before(n.resting) {
			continue
		}
		if dataCentre != "" && n.up.DataCentre != dataCentre {
			continue
		}
		switch h := hash(part, n.up.ID); {
		case best[0] == nil || h > top[0]:
			best[1], top[1] = best[0], top[0]
			best[0], top[0] = n, h
		case best[1] == nil || h > top[1]:
			best[1], top[1] = n, h
		}
	}
	return best
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
		c.CostMs = prefillOverhead + (ahead+p.toCompute(now, n, q, found, &c))/n.rate + p.transferMs(c.Fetched)
	case fighollow.RequestDecode:
		c.CostMs = runningMs*float64(n.running) + n.latency
	default:
		c.CostMs = n.latency * (1 + float64(n.running)/float64(max(1, n.up.Slots)))
		if q.PromptTokens > 0 {
			c.CostMs += wholeSlowdown * p.toCompute(now, n, q, found, &c) / n.rate
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

// hash mixes a seed with an id (FNV-1a).
func hash(seed uint64, id string) uint64 {
	h := seed ^ 14695981039346656037
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return h ^ h>>29
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
