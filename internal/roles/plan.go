// Package roles balances prefill and decode engines according to demand. One entry at a time holds a lease in the
// store, polls the engines' reports, and orders individual engines to change their role.
package roles

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// initialPrefillShare is the share of prefill engines before any demand is observed. Prefill processes one prompt
	// after the other, whereas decode batches its requests, so decode needs fewer engines.
	initialPrefillShare = 0.67
	// maxInitialOrders bounds the orders of a round before demand is observed. An order costs about as much as two answers, once, and an
	// engine of a fleet that has the demand for which it was built earns that back in a second; under load it would be away for
	// seconds. So the whole fleet is brought to the initial proportion before the first request.
	maxInitialOrders = 16
	// moveShare is the share of the engines that change their role at once, so that a fleet follows a shift of the mix in the same time
	// whatever its size.
	moveShare = 1.0 / 18
	// prefillQueueTarget is the mean queue length per prefill engine that counts as full load.
	prefillQueueTarget = 1.5
	// decodeUseTarget is the mean share of KV cache or slots in use per decode engine that counts as full load.
	decodeUseTarget = 0.7
	// decodeReserveUse is the same share when it is judged whether decode can give up an engine. It is lower, because requests
	// are preempted when a shift of the mix fills the remaining engines.
	decodeReserveUse = 0.35
	// decodeQueueTarget is the mean queue length per decode engine that counts as full load.
	decodeQueueTarget = 2
	// maxDonorRatio, divided by the preset's role change weight, limits the utilisation of the role that gives up an engine:
	// after the change it must be below this share of the present utilisation of the other role. The margin is needed
	// because the engine is unavailable for seconds and the mix of requests may shift back.
	maxDonorRatio = 0.5
	// ewmaWeight is the weight of a new sample in the exponentially weighted moving averages.
	ewmaWeight = 0.4
	// peakDecay is the factor by which a recorded peak utilisation decays per round. The decay is slow so that a role that
	// was loaded a few seconds ago gives up no engine.
	peakDecay = 0.88
	// settleTime is added to the duration of a role change to get the pause before the next one, so that the reports show
	// the effect of the first.
	settleTime = 2 * time.Second
	// minSamples is the number of samples needed before roles change because of demand.
	minSamples = 3
)

// Engine is the planner's view of an engine.
type Engine struct {
	Upstream fighollow.Upstream
	Report   fighollow.EngineReport
	Fresh    bool           // Report is recent enough to plan with
	Ordered  fighollow.Role // role in the last order sent to the engine; RoleNone if there was none
	// OrderedAt is when that order was sent; zero if the engine refused it.
	OrderedAt time.Time
	Paused    bool // the outcome of an order is unknown, and the engine is sent no other for a while
}

// takesOrders reports whether the engine can be ordered to change its role now.
func (e *Engine) takesOrders() bool { return !e.Report.Changing && !e.Paused }

// Order asks an engine to change to Role.
type Order struct {
	Engine Engine
	Role   fighollow.Role
}

// Planner decides which engines of one service change their role. It is not safe for concurrent use.
type Planner struct {
	traits         fighollow.EngineTraits
	weight         float64 // cost weight of a role change; 1 if the preset sets none
	prefillQueue   float64 // moving average of queued requests per prefill engine
	prefillRunning float64 // moving average of running requests per prefill engine
	decodeUse      float64 // moving average of the share of KV cache or slots in use per decode engine
	decodeQueue    float64 // moving average of queued requests per decode engine
	samples        int
	// decaying peaks of the utilisation
	peakPrefill, peakDecode float64

	demandSeen bool
	lastChange time.Time
	versions   versionKeeper
	short      []string // versions for which streams wait for a decode engine
}

// NewPlanner returns a planner for a service whose engines have the given traits.
func NewPlanner(t fighollow.EngineTraits) *Planner {
	return &Planner{traits: t, weight: 1, versions: versionKeeper{versions: make(map[string]*versionState)}}
}

// SetPolicy applies the policy of the preset in force. A higher role change weight makes role changes rarer: it
// lowers the utilisation at which a role gives up an engine, and a weight above 1 lengthens the pause between changes.
func (p *Planner) SetPolicy(policy fighollow.Policy) {
	p.weight = 1
	if policy.RoleChangeWeight > 0 {
		p.weight = policy.RoleChangeWeight
	}
}

// SetShort sets the software versions for which entries report that streams wait for a decode engine.
func (p *Planner) SetShort(versions []string) { p.short = versions }

// cooldown returns the minimum time between two role changes.
func (p *Planner) cooldown() time.Duration {
	return p.traits.RoleSwitch + time.Duration(max(1, p.weight)*float64(settleTime))
}

// Plan updates the averages from the engines' reports and returns the orders to send now, and the reason for sending
// them or for sending none.
func (p *Planner) Plan(now time.Time, engines []Engine) ([]Order, string) {
	prefill, decode, changing := split(engines)
	if orders := p.restore(now, prefill, decode); len(orders) > 0 {
		return orders, "versionWithoutDecode"
	}
	if len(decode) == 0 && len(prefill) > 0 && now.Sub(p.lastChange) >= p.cooldown() {
		// A role without engines has no reports that show its utilisation. Only decode needs this rule, as decode
		// engines can also prefill.
		p.lastChange = now
		able := slices.DeleteFunc(slices.Clone(prefill), func(e Engine) bool { return !e.takesOrders() })
		return p.selectMoves(able, nil, 1, 0, fighollow.RoleDecode), "noDecode"
	}
	if len(prefill)+len(decode) < 2 {
		return nil, "tooFewEngines"
	}
	p.observe(prefill, decode)
	if !p.demandSeen {
		return p.planInitial(now, prefill, decode)
	}
	onPrefill, onDecode := p.utilisation()
	p.peakPrefill = max(onPrefill, peakDecay*p.peakPrefill)
	p.peakDecode = max(p.decodeUse/decodeReserveUse+p.decodeQueue/decodeQueueTarget, peakDecay*p.peakDecode)
	if changing > 0 || p.samples < minSamples || now.Sub(p.lastChange) < p.cooldown() {
		return nil, "settling"
	}
	ratio := maxDonorRatio / p.weight
	n := max(1, int(moveShare*float64(len(prefill)+len(decode))))
	switch {
	case onPrefill > 1 && afterMove(p.peakDecode, len(decode), n) < ratio*onPrefill:
		p.lastChange = now
		return p.selectMoves(p.spareDecode(now, decode), prefill, n, 1, fighollow.RolePrefill), "prefillShort"
	case onDecode > 1 && afterMove(p.peakPrefill, len(prefill), n) < ratio*onDecode:
		p.lastChange = now
		return p.selectMoves(prefill, decode, n, 1, fighollow.RoleDecode), "decodeShort"
	}
	return nil, "inProportion"
}

// afterMove returns the utilisation of a role with so many engines after it has given up n; it is infinite if none would be
// left.
func afterMove(utilisation float64, engines, n int) float64 {
	if engines <= n {
		return math.Inf(1)
	}
	return utilisation * float64(engines) / float64(engines-n)
}

// utilisation returns the load on each role; 1 is full load.
func (p *Planner) utilisation() (onPrefill, onDecode float64) {
	return p.prefillQueue / prefillQueueTarget, p.decodeUse/decodeUseTarget + p.decodeQueue/decodeQueueTarget
}

// planInitial returns the orders that bring the roles to their initial proportion. It is called until demand is
// observed, because engines that start together are discovered one after the other. A planner that finds demand at its start keeps the
// roles that an earlier holder of the lease has chosen.
func (p *Planner) planInitial(now time.Time, prefill, decode []Engine) ([]Order, string) {
	if p.prefillRunning+p.prefillQueue+p.decodeUse > 0 {
		p.demandSeen = true
		return nil, "demandSeen"
	}
	engines := len(prefill) + len(decode)
	want := max(1, min(int(initialPrefillShare*float64(engines)+0.5), engines-1))
	idle := slices.DeleteFunc(slices.Clone(decode), func(e Engine) bool { return e.Report.Changing })
	orders := p.selectMoves(idle, prefill, min(want-len(prefill), maxInitialOrders), 1, fighollow.RolePrefill)
	if len(orders) > 0 {
		p.lastChange = now
	}
	return orders, "initialShare"
}

// split returns the engines of each role, and how many engines are changing roles. A changing engine counts for its new
// role. Draining engines and engines without a recent report are left out.
func split(engines []Engine) (prefill, decode []Engine, changing int) {
	for _, e := range engines {
		if e.Upstream.Draining || !e.Fresh {
			continue
		}
		role := e.Report.Role
		if e.Report.Changing {
			changing++
			if e.Ordered != fighollow.RoleNone {
				role = e.Ordered
			}
		}
		switch role {
		case fighollow.RolePrefill:
			prefill = append(prefill, e)
		case fighollow.RoleDecode:
			decode = append(decode, e)
		}
	}
	return prefill, decode, changing
}

// observe adds a sample of the engines' load to the moving averages.
func (p *Planner) observe(prefill, decode []Engine) {
	var queue, running, use, waiting float64
	for _, e := range prefill {
		queue += float64(e.Report.Queued) / float64(len(prefill))
		running += float64(e.Report.Running) / float64(len(prefill))
	}
	for _, e := range decode {
		used := float64(e.Report.Running) / float64(max(1, p.traits.Slots))
		if e.Report.KVTotal > 0 {
			used = max(used, float64(e.Report.KVUsed)/float64(e.Report.KVTotal))
		}
		use += used / float64(len(decode))
		waiting += float64(e.Report.Queued) / float64(len(decode))
	}
	p.prefillQueue += ewmaWeight * (queue - p.prefillQueue)
	p.prefillRunning += ewmaWeight * (running - p.prefillRunning)
	p.decodeUse += ewmaWeight * (use - p.decodeUse)
	p.decodeQueue += ewmaWeight * (waiting - p.decodeQueue)
	p.samples++
}

// selectMoves selects up to n engines of from to change to role, and leaves at least keep of them. It evens out the
// proportion of the roles between the data centres, and prefers engines with few running requests.
func (p *Planner) selectMoves(from, to []Engine, n, keep int, role fighollow.Role) []Order {
	var orders []Order
	fromCount := make(map[string]int)
	toCount := make(map[string]int)
	for _, e := range from {
		fromCount[e.Upstream.DataCentre]++
	}
	for _, e := range to {
		toCount[e.Upstream.DataCentre]++
	}
	from = slices.Clone(from)
	for ; n > 0 && len(from) > keep; n-- {
		best := slices.MinFunc(from, func(a, b Engine) int {
			// The next engine comes from the data centre with the highest share of the old role.
			shareA := share(fromCount[a.Upstream.DataCentre], toCount[a.Upstream.DataCentre])
			shareB := share(fromCount[b.Upstream.DataCentre], toCount[b.Upstream.DataCentre])
			if c := cmp.Compare(shareB, shareA); c != 0 {
				return c
			}
			if c := cmp.Compare(a.Report.Running, b.Report.Running); c != 0 {
				return c
			}
			return cmp.Compare(a.Upstream.ID, b.Upstream.ID)
		})
		orders = append(orders, Order{Engine: best, Role: role})
		fromCount[best.Upstream.DataCentre]--
		toCount[best.Upstream.DataCentre]++
		from = slices.DeleteFunc(from, func(e Engine) bool { return e.Upstream.ID == best.Upstream.ID })
	}
	return orders
}

// share returns a as a share of a+b; it is 0 if both are 0.
func share(a, b int) float64 {
	if a+b == 0 {
		return 0
	}
	return float64(a) / float64(a+b)
}
