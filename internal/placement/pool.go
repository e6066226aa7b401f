package placement

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fighollow/fighollow/internal/rendezvous"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Terms of the cost of an attempt, in milliseconds or as factors.
const (
	// crossHopMs is the latency of a request and its answer between data centres.
	crossHopMs = 1
	// crossTarget and crossTargetPerKB are the cost of sending a request to another data centre, for the latency and for each
	// KB of the request, as a fraction of the request's latency target.
	crossTarget      = 0.02
	crossTargetPerKB = 0.007
	// crossPlain is the same for a plain service, whose requests are small, as a fraction of its typical latency.
	crossPlain = 0.5
	// runningCost is the delay that one more running request causes for the others in the batch, as a fraction of the typical
	// latency until the first event.
	runningCost = 0.25
	// interruptionCost is the cost of delaying a running answer by the computation of a prompt between its tokens, as a
	// fraction of the delay.
	interruptionCost = 0.25
	// jitterCost spreads attempts over upstreams with nearly equal costs, as a fraction of the typical latency.
	jitterCost  = 0.05
	minJitterMs = 0.1 // while no latency is known
	// decodePrefillSlowdown is how many times longer a decode engine takes to compute a prompt than a prefill engine, until that
	// has been measured. The platform's engines compute at half the speed then.
	decodePrefillSlowdown = 2
	// expectedPrefixShare is the fraction of a prompt's shared tokens that its preferred engine is expected to hold when no
	// cache is known to hold more.
	expectedPrefixShare = 0.7
	// offPreferredCost is the extra cost of each shared token that an engine other than the preferred ones would add to its
	// cache, as a fraction of the cost of computing it: copies evict other prefixes, and the source may not hold it.
	offPreferredCost = 0.7
	// fetchCost is the cost of a fetched token as a fraction of the cost of computing it. The copy takes little time but
	// evicts other prefixes from the engine's memory.
	fetchCost = 0.5
	// preferredFetchCost is the same at a preferred engine, where later requests use the copy.
	preferredFetchCost = 0.1
	// unlistedGraceShare is the fraction of the platform's drain time for which an upstream that was removed from the store
	// is used when there is no other: objects lapse during an outage of the store and come back.
	unlistedGraceShare = 0.6
)

// Query describes an attempt to be placed.
type Query struct {
	Phase        fighollow.RequestPhase
	Prompt       []fighollow.PromptPart
	PromptTokens int
	Bytes        int           // size of the request
	Target       time.Duration // latency target; 0 if there is none
	Urgency      int           // as sent to the engine: 0 is served first, maxUrgency last
	Tried        []string      // ids of upstreams that must not be chosen
	Version      string        // of the software that began the stream, which only the same can go on with; empty for any
	NoRetry      bool          // the request gets no second attempt: upstreams that refused recently are a last resort
	Seed         uint64        // breaks ties
}

// maxUrgency is the least urgent value that engines accept.
const maxUrgency = 9

// Choice is the upstream chosen for an attempt, with the inputs of the decision.
type Choice struct {
	Upstream  fighollow.Upstream
	CostMs    float64 // expected time until the result in milliseconds, with what the attempt costs others
	WorkMs    float64 // expected time for which the prompt occupies an engine of average speed, in milliseconds; 0 for a decode
	Cached    int     // prompt tokens that the engine is expected to hold
	FetchFrom string  // address of an engine that holds more of the prompt; empty if there is none
	Fetched   int     // prompt tokens to fetch from it, beyond Cached
	PendingMs float64 // known work that the engine does first, in milliseconds
	Running   int     // attempts of this entry that the engine runs
	Limited   bool    // the upstream has a request limit
	Share     float64 // this entry's share of that limit, in requests a second
	Trial     bool    // set by Place: the first attempts after a pause of the upstream
	// WaitMs is how much longer the prompt takes than at an idle engine of average speed, in milliseconds; 0 for a decode.
	WaitMs float64
	// OverTarget is by how much the answer is expected to miss the latency target, or less than 0; 0 if there is none. Place sets it.
	OverTarget time.Duration
	// passed are the upstreams that request limits exclude although they cost less, or all that they exclude if none is chosen.
	passed []*instance
	Terms  CostTerms // of CostMs
}

// Pool holds the upstreams of one service. It is safe for concurrent use.
type Pool struct {
	dataCentre string
	drain      time.Duration
	shares     fighollow.LimitShares // divides the upstreams' request limits; nil if they are all this entry's

	mu    sync.Mutex
	trace trace // what was weighed; nil except in a Snapshot
	poolState
}

// poolState is what changes in a Pool. Pool.mu must be held.
type poolState struct {
	entries   int // number of entries that share the connections of each upstream
	traits    fighollow.ServiceTraits
	instances map[string]*instance
	changed   chan struct{}           // closed at the next change of an upstream's registration; nil if nobody waits for one
	byHash    map[uint64]*instance    // by EngineHash
	versions  map[string]versionTimes // of the software
	gated     bool                    // Admit says at which versions answers may begin
	admitted  map[string]bool         // versions that Admit was given
	withheld  map[string]bool         // versions at which answers don't begin now
	// lastReturn is the latest time that a caller was given to return when request limits were used up.
	lastReturn      time.Time
	lastPauseReturn time.Time      // that a caller was given when all upstreams were paused
	announcements   *announcements // of the fleet
	parts           *partBudget    // of the fleet

	times      promptTimes // what was measured of prompts
	firstEvent typical     // latency until the first event of an answer, or until a whole plain one

	mayShare        bool    // the entries share what they place, if prompts take long enough
	sharing         bool    // they do so
	typicalPromptMs float64 // expected time of recent prompts; 0 before the first
	pace            fleetPace
	onWork          func(now time.Time, w Work)
	reported        reportedPrompts // unfinished prompts of other entries
	placedPrompts   *atomic.Uint32  // numbers the prompts that this entry reports; of the fleet
}

func newPool(opts Options, m *announcements, b *partBudget, placed *atomic.Uint32) *Pool {
	return &Pool{
		dataCentre: opts.DataCentre, drain: opts.DrainTime, shares: opts.Shares,
		poolState: poolState{
			entries: 1, instances: make(map[string]*instance), byHash: make(map[uint64]*instance), versions: make(map[string]versionTimes),
			gated: opts.AdmitVersions, withheld: make(map[string]bool), announcements: m, parts: b, placedPrompts: placed,
		},
	}
}

// SetTraits applies the service's configuration.
func (p *Pool) SetTraits(t fighollow.ServiceTraits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.traits = t
	for _, inst := range p.instances {
		inst.cache.setCapacity(p.kvCapacity())
	}
}

// setEntries sets how many entries share the connections that an upstream accepts.
func (p *Pool) setEntries(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = n
}

// maxOpen returns how many connections to each upstream this entry may have open at once.
func (p *Pool) maxOpen() int {
	if p.traits.MaxConnections == 0 {
		return math.MaxInt
	}
	return max(1, p.traits.MaxConnections/p.entries)
}

func (p *Pool) kvCapacity() int {
	if p.traits.Engine == nil {
		return 0
	}
	return p.traits.Engine.KVCapacityTokens
}

// put adds or updates an upstream.
func (p *Pool) put(now time.Time, u fighollow.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	inst, known := p.instances[u.ID], p.announcements.of(incarnationOf(u))
	if inst != nil {
		p.seeVersion(now, inst.upstream.Version) // the upstream can start again with another one
	}
	p.seeVersion(now, u.Version)
	if inst == nil {
		inst = newInstance(u, p.kvCapacity(), p.parts, known)
		p.instances[u.ID] = inst
	}
	delete(p.byHash, EngineHash(inst.upstream))
	inst.update(u, known)
	p.byHash[EngineHash(u)] = inst
	inst.removedAt = time.Time{}
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// Changed returns a channel that is closed at the next change of an upstream's registration.
func (p *Pool) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

// DecodeEngines returns the ids of the decode engines of a software version that may be able to serve.
func (p *Pool) DecodeEngines(now time.Time, version string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for id, inst := range p.instances {
		if inst.upstream.Version == version && inst.upstream.Role == fighollow.RoleDecode && !inst.isLeaving() && !now.Before(inst.misdirectedUntil) {
			out = append(out, id)
		}
	}
	return out
}

const (
	// versionMemory is how long after its last upstream has gone a software version counts: callers may still take up streams that it began.
	versionMemory = time.Minute
	// admissionTimeout is how long answers don't begin at a version that is not admitted, although there are no engines of others.
	admissionTimeout = 2 * time.Second
)

// versionTimes is when a software version was known.
type versionTimes struct {
	first, last time.Time
}

func (p *Pool) seeVersion(now time.Time, version string) {
	t, known := p.versions[version]
	if !known {
		t.first = now
	}
	t.last = now
	p.versions[version] = t
}

// Versions returns, in order, the software versions of the service's upstreams, and those that one of them had in the last versionMemory.
func (p *Pool) Versions(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, inst := range p.instances {
		p.seeVersion(now, inst.upstream.Version)
	}
	for version, t := range p.versions {
		if now.Sub(t.last) > versionMemory {
			delete(p.versions, version)
		}
	}
	return slices.Sorted(maps.Keys(p.versions))
}

// CanServe reports whether there is an engine of a software version, in whatever role, that does not leave.
func (p *Pool) CanServe(version string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, inst := range p.instances {
		if inst.upstream.Version == version && inst.removedAt.IsZero() && !inst.isLeaving() {
			return true
		}
	}
	return false
}

// Admit replaces the software versions whose engines may begin answers; see Options.AdmitVersions.
func (p *Pool) Admit(versions []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.admitted = make(map[string]bool, len(versions))
	for _, v := range versions {
		p.admitted[v] = true
	}
}

// updateWithheld finds out at which versions answers don't begin: those that are not admitted, while there are engines of others or until
// admissionTimeout. p.mu must be held.
func (p *Pool) updateWithheld(now time.Time) {
	clear(p.withheld)
	if !p.gated || p.traits.Engine == nil {
		return
	}
	for version, t := range p.versions {
		if !p.admitted[version] && (now.Sub(t.first) < admissionTimeout || p.hasAdmitted()) {
			p.withheld[version] = true
		}
	}
}

// hasAdmitted reports whether an engine of an admitted version answers requests.
func (p *Pool) hasAdmitted() bool {
	for _, inst := range p.instances {
		if p.admitted[inst.upstream.Version] && inst.removedAt.IsZero() && !inst.isLeaving() && servesPhase(inst.upstream.Role, fighollow.RequestWhole) {
			return true
		}
	}
	return false
}

// mayBegin reports whether the software version of an engine allows the attempt. An answer that has begun goes on at its version, and a
// prompt may be computed at any.
func (p *Pool) mayBegin(inst *instance, q Query) bool {
	return q.Version != "" || q.Phase == fighollow.RequestPrefill || !p.withheld[inst.upstream.Version]
}

// remove records that an upstream was removed from the store. A draining one is dropped at once, any other one after a grace
// period.
func (p *Pool) remove(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	inst := p.instances[id]
	if inst == nil {
		return
	}
	if inst.isLeaving() {
		p.drop(now, id)
		return
	}
	if inst.removedAt.IsZero() {
		inst.removedAt = now
	}
}

// expire drops the upstreams whose grace period after the removal from the store has passed.
func (p *Pool) expire(now time.Time) {
	for id, inst := range p.instances {
		if p.isExpired(now, inst) {
			p.drop(now, id)
		}
	}
}

// drop removes an upstream from the pool.
func (p *Pool) drop(now time.Time, id string) {
	p.announcements.remember(now, p.instances[id])
	p.seeVersion(now, p.instances[id].upstream.Version)
	delete(p.byHash, EngineHash(p.instances[id].upstream))
	p.instances[id].cache.setCapacity(0)
	delete(p.instances, id)
}

func (p *Pool) isExpired(now time.Time, inst *instance) bool {
	return !inst.removedAt.IsZero() && now.Sub(inst.removedAt) > time.Duration(unlistedGraceShare*float64(p.drain))
}

// Choose returns the upstream with the lowest cost for an attempt. It returns false if no upstream is eligible.
func (p *Pool) Choose(now time.Time, q Query) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prepare(now, q)
	c, err := p.choose(now, q)
	return c, err == nil
}

// prepare updates what changes with time before an upstream is chosen. p.mu must be held.
func (p *Pool) prepare(now time.Time, q Query) {
	p.expire(now)
	p.updateWithheld(now)
	p.times.assume(q)
	p.updateLimits(now)
}

// choose returns ErrNoUpstream if no upstream is eligible, ErrLimited if request limits exclude those that are, or ErrPaused if
// only pauses prevent the attempt. p.mu must be held.
func (p *Pool) choose(now time.Time, q Query) (Choice, error) {
	if p.sharing && q.Phase != fighollow.RequestDecode && p.traits.Engine != nil {
		p.expireReported(now)
	}
	loc, maxOpen, jitter := p.locatePrefix(now, q), p.maxOpen(), p.jitterMs(q)
	best := Choice{CostMs: math.Inf(1)}
	var excluded []excludedUpstream
	// Upstreams that are ejected, full or removed from the store are used only if there is no other.
	for _, lastResort := range []bool{false, true} {
		excluded = excluded[:0]
		p.trace.begin(q, lastResort)
		for _, inst := range p.instances {
			if inst.open >= maxOpen || !p.isEligible(now, inst, q, lastResort) {
				continue
			}
			c := p.estimateCost(now, inst, q, loc)
			c.Terms.JitterMs = jitter * float64(rendezvous.Score(q.Seed, inst.hash)%1024) / 1024
			c.CostMs += c.Terms.JitterMs
			if !inst.hasPermit() {
				excluded = append(excluded, excludedUpstream{inst, c.CostMs})
				continue
			}
			if p.trace != nil {
				p.trace.add(q, c)
			}
			if c.CostMs < best.CostMs || c.CostMs == best.CostMs && inst.upstream.ID < best.Upstream.ID {
				best = c // the id makes simulations repeat
			}
		}
		if !math.IsInf(best.CostMs, 1) {
			break
		}
	}
	for _, e := range excluded {
		if e.costMs < best.CostMs {
			best.passed = append(best.passed, e.inst)
		}
	}
	switch {
	case !math.IsInf(best.CostMs, 1):
		return best, nil
	case len(excluded) > 0:
		return Choice{passed: best.passed}, ErrLimited
	}
	if _, paused := p.pauseWait(now, q); paused {
		return Choice{}, ErrPaused
	}
	return Choice{}, ErrNoUpstream
}

// excludedUpstream is an upstream whose request limit allows this entry no request now.
type excludedUpstream struct {
	inst   *instance
	costMs float64
}

// isEligible reports whether an attempt may be placed at an upstream, its request limit aside.
func (p *Pool) isEligible(now time.Time, inst *instance, q Query, lastResort bool) bool {
	return !inst.isPaused(now) && p.isCandidate(now, inst, q, lastResort)
}

// isCandidate is isEligible for an upstream without a pause.
func (p *Pool) isCandidate(now time.Time, inst *instance, q Query, lastResort bool) bool {
	return p.exclusion(now, inst, q, lastResort) == ""
}

// exclusion returns why an upstream is no candidate, pauses, connections and its request limit aside; empty if it is one.
func (p *Pool) exclusion(now time.Time, inst *instance, q Query, lastResort bool) Exclusion {
	switch {
	case !servesPhase(inst.upstream.Role, q.Phase):
		return ExcludedRole
	case q.Version != "" && inst.upstream.Version != q.Version:
		return ExcludedVersion
	case inst.isLeaving():
		return ExcludedLeaving
	case now.Before(inst.misdirectedUntil):
		return ExcludedMisdirected
	case !p.mayBegin(inst, q):
		return ExcludedNotAdmitted
	case !lastResort && now.Before(inst.ejectedUntil):
		return ExcludedEjected
	case !lastResort && now.Before(inst.fullUntil):
		return ExcludedFull
	case !lastResort && !inst.removedAt.IsZero():
		return ExcludedUnlisted
	case !lastResort && q.NoRetry && inst.fullBackoff > 0:
		return ExcludedRefusedLately
	case slices.Contains(q.Tried, inst.upstream.ID):
		return ExcludedTried
	}
	return ""
}

// servesPhase reports whether an engine with this role accepts attempts of this phase. Plain services have no role.
func servesPhase(r fighollow.Role, phase fighollow.RequestPhase) bool {
	switch phase {
	case fighollow.RequestPrefill:
		return r == fighollow.RolePrefill
	case fighollow.RequestDecode:
		return r == fighollow.RoleDecode
	}
	return r != fighollow.RolePrefill
}

// jitterMs returns the range of the random part of the cost of an attempt.
func (p *Pool) jitterMs(q Query) float64 {
	if q.Phase == fighollow.RequestPrefill {
		return minJitterMs + jitterCost*p.times.aloneMs(0)
	}
	return minJitterMs + jitterCost*p.firstEvent.ms()
}

// estimateCost estimates the cost of an attempt at inst.
func (p *Pool) estimateCost(now time.Time, inst *instance, q Query, loc prefixLocation) Choice {
	c := Choice{Upstream: inst.upstream, Running: inst.running, Limited: inst.limited, Share: inst.permits.Share.PerSecond}
	switch q.Phase {
	case fighollow.RequestPrefill:
		c.PendingMs = p.pendingMs(inst, q.Urgency)
		ms := p.times.aloneMs(p.prefillCostTokens(now, inst, q, loc, &c))
		c.Terms = CostTerms{Slowness: p.slowness(now, inst), PromptMs: ms, TransferMs: p.transferMs(c.Fetched)}
		occupied := c.Terms.Slowness * (c.PendingMs + ms)
		c.CostMs = occupied + c.Terms.TransferMs
		c.WorkMs, c.WaitMs = p.workMs(q, &c), occupied-ms
	case fighollow.RequestDecode:
		c.Terms = CostTerms{RunningMs: runningCost * p.firstEvent.ms() * float64(inst.running), LatencyMs: inst.latency.estimate(now)}
		c.CostMs = c.Terms.RunningMs + c.Terms.LatencyMs
	default:
		if p.traits.Engine == nil {
			c.Terms.LatencyMs = inst.latency.estimate(now)
			c.Terms.RunningMs = c.Terms.LatencyMs * float64(inst.running) / float64(max(1, inst.upstream.Slots))
			c.CostMs = c.Terms.LatencyMs + c.Terms.RunningMs
			break
		}
		c.PendingMs = p.pendingMs(inst, q.Urgency)
		ms := p.times.wholeMs(p.prefillCostTokens(now, inst, q, loc, &c))
		c.Terms = CostTerms{
			Slowness: p.slowness(now, inst), PromptMs: ms, InterruptionMs: interruptionCost * ms * float64(inst.running*p.entries),
			RunningMs: runningCost * p.firstEvent.ms() * float64(inst.running), LatencyMs: inst.latency.estimate(now),
		}
		occupied := c.Terms.Slowness * (c.PendingMs + ms)
		c.WorkMs, c.WaitMs = p.workMs(q, &c), occupied-ms
		c.CostMs = occupied + c.Terms.InterruptionMs + c.Terms.RunningMs + c.Terms.LatencyMs
	}
	if inst.upstream.DataCentre != p.dataCentre {
		c.Terms.CrossMs = p.crossDataCentreMs(q)
		c.CostMs += c.Terms.CrossMs
	}
	return c
}

// crossDataCentreMs returns the cost of sending the request to another data centre.
func (p *Pool) crossDataCentreMs(q Query) float64 {
	if p.traits.Engine == nil {
		return crossHopMs + crossPlain*p.firstEvent.ms()
	}
	return crossHopMs + (crossTarget+crossTargetPerKB*float64(q.Bytes)/1024)*milliseconds(q.Target)
}

// prefillCostTokens returns the cost of the prompt at inst as an equivalent number of computed tokens. It sets the cached and
// fetched tokens of c and the engine to fetch from.
func (p *Pool) prefillCostTokens(now time.Time, inst *instance, q Query, loc prefixLocation, c *Choice) float64 {
	cached, _ := inst.cache.match(now, q.Prompt)
	c.Cached = min(cached, q.PromptTokens)
	if loc.source == inst {
		c.Cached = min(max(c.Cached, loc.tokens), q.PromptTokens)
	} else if loc.source != nil {
		if c.Fetched = max(0, min(loc.tokens, q.PromptTokens)-c.Cached); c.Fetched > 0 {
			c.FetchFrom = loc.source.upstream.Address
		}
	}
	cost := float64(q.PromptTokens - c.Cached - c.Fetched)
	if loc.preferred[0] == nil || loc.preferred[0] == inst || loc.preferred[1] == inst {
		return cost + preferredFetchCost*float64(c.Fetched)
	}
	cost += fetchCost * float64(c.Fetched)
	if c.Cached < loc.shared {
		cost += offPreferredCost * float64(loc.shared-c.Cached)
	}
	return cost
}

// transferMs returns how many milliseconds it takes to move the KV cache of tokens between engines.
func (p *Pool) transferMs(tokens int) float64 {
	e := p.traits.Engine
	if e == nil || e.TransferMbps <= 0 {
		return 0
	}
	return float64(tokens) * float64(e.KVBytesPerToken) * 8 / (e.TransferMbps * 1000)
}

// ByAddress returns the upstream at an address. It returns false if there is none.
func (p *Pool) ByAddress(address string) (fighollow.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, inst := range p.instances {
		if inst.upstream.Address == address {
			return inst.upstream, true
		}
	}
	return fighollow.Upstream{}, false
}
