// Package roles keeps the engines' roles in proportion to demand: one entry at a time holds a lease in the store, watches
// the engines' reports, and orders single engines from one role to the other.
package roles

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// initialPrefillShare is the share of engines that prefill before any demand was seen. Prompts are computed one after
	// the other while answers share a batch, so that decode needs fewer engines.
	initialPrefillShare = 0.67
	// maxFirstOrders bounds the changes before demand was seen: a fleet that is large for its demand needs none.
	maxFirstOrders = 16
	// prefillQueueGoal is the requests waiting at each prefill engine that are taken as full use of prefill.
	prefillQueueGoal = 1.5
	// decodeUseGoal is the share of decode memory or slots in use that is taken as full use of decode. Answers slow down
	// and are preempted beyond it.
	decodeUseGoal = 0.35
	// decodeQueueGoal is the requests waiting at each decode engine that are taken as full use of decode.
	decodeQueueGoal = 2
	// moveGain, divided by the preset's weight of role changes, is how much lower the pressure on the role that gives an engine must be afterwards than that on the other
	// role is now, as the engine that changes is away for seconds and the mix may shift back.
	moveGain = 0.5
	// reportWeight is the weight of a new report in the moving averages.
	reportWeight = 0.4
	// peakDecay is what is left of a peak of the load from one round to the next. A role that was loaded some seconds ago
	// spares no engine.
	peakDecay = 0.88
	// settleTime is the pause after a change before the next one, beyond the time that a change of role takes, so that the
	// reports show its effect.
	settleTime = 2 * time.Second
	// minSamples is how many rounds of reports are seen before demand decides.
	minSamples = 3
)

// Engine is what the planner knows of an engine.
type Engine struct {
	Upstream fighollow.Upstream
	Report   fighollow.EngineReport
	Known    bool           // the report is fresh
	Wanted   fighollow.Role // of the last order that was sent to it; RoleNone when there was none
}

// Order is a change of role that the planner wants.
type Order struct {
	Engine Engine
	Role   fighollow.Role
}

// Planner decides changes of role for one service. It is not safe for concurrent use.
type Planner struct {
	traits  fighollow.EngineTraits
	weight  float64 // of the cost of a change; 1 when the preset says nothing
	queue   float64 // requests waiting at a prefill engine, averaged
	active  float64 // requests at a prefill engine, averaged
	busy    float64 // share of decode memory or slots in use, averaged
	waiting float64 // requests waiting at a decode engine, averaged
	samples int
	// peaks of the pressures, decaying
	peakPrefill, peakDecode float64

	began   bool // demand was seen
	first   int  // orders sent before
	changed time.Time
}

// NewPlanner returns a planner for a service whose engines have these traits.
func NewPlanner(t fighollow.EngineTraits) *Planner { return &Planner{traits: t, weight: 1} }

// SetPolicy takes the policy of the preset in force. Its weight of role changes divides what a change has to gain, and
// stretches the pause between changes.
func (p *Planner) SetPolicy(policy fighollow.Policy) {
	p.weight = 1
	if policy.RoleChangeWeight > 0 {
		p.weight = policy.RoleChangeWeight
	}
}

// pause returns how long no engine changes after a change.
func (p *Planner) pause() time.Duration {
	return p.traits.RoleSwitch + time.Duration(max(1, p.weight)*float64(settleTime))
}

// Plan returns the orders to send now, and the reason for them.
func (p *Planner) Plan(now time.Time, engines []Engine) ([]Order, string) {
	prefill, decode, changing := split(engines)
	if len(decode) == 0 && len(prefill) > 0 && now.Sub(p.changed) >= p.pause() {
		// Nothing shows the pressure on a role without engines, and decode engines can do without prefill.
		p.changed = now
		return p.move(prefill, nil, 1, 0, fighollow.RoleDecode), "noDecode"
	}
	if len(prefill)+len(decode) < 2 {
		return nil, "tooFewEngines"
	}
	p.observe(prefill, decode)
	if !p.began {
		return p.begin(now, prefill, decode)
	}
	onPrefill, onDecode := p.pressures()
	p.peakPrefill = max(onPrefill, peakDecay*p.peakPrefill)
	p.peakDecode = max(onDecode, peakDecay*p.peakDecode)
	if changing > 0 || p.samples < minSamples || now.Sub(p.changed) < p.pause() {
		return nil, "settling"
	}
	gain := moveGain / p.weight
	switch {
	case onPrefill > 1 && afterMove(p.peakDecode, len(decode)) < gain*onPrefill:
		p.changed = now
		return p.move(decode, prefill, 1, 1, fighollow.RolePrefill), "prefillShort"
	case onDecode > 1 && afterMove(p.peakPrefill, len(prefill)) < gain*onDecode:
		p.changed = now
		return p.move(prefill, decode, 1, 1, fighollow.RoleDecode), "decodeShort"
	}
	return nil, "inProportion"
}

// afterMove returns the pressure on a role with n engines after it has given one.
func afterMove(pressure float64, n int) float64 {
	if n < 2 {
		return math.Inf(1)
	}
	return pressure * float64(n) / float64(n-1)
}

// pressures returns the load on both roles; 1 is full use.
func (p *Planner) pressures() (onPrefill, onDecode float64) {
	return p.queue / prefillQueueGoal, p.busy/decodeUseGoal + p.waiting/decodeQueueGoal
}

// begin returns the orders towards the initial proportion. Engines that start together become known one after the other,
// so that it goes on until demand is seen.
func (p *Planner) begin(now time.Time, prefill, decode []Engine) ([]Order, string) {
	if p.active+p.queue+p.busy > 0 {
		p.began = true
	}
	want := int(initialPrefillShare*float64(len(prefill)+len(decode)) + 0.5)
	want = max(1, min(want, len(prefill)+len(decode)-1))
	changing := func(e Engine) bool { return e.Report.Changing }
	n := min(want-len(prefill), maxFirstOrders-p.first)
	orders := p.move(slices.DeleteFunc(decode, changing), prefill, n, 1, fighollow.RolePrefill)
	if len(orders) > 0 {
		p.changed = now
		p.first += len(orders)
	}
	return orders, "initialShare"
}

// split returns the engines by role, those that are changing by their new one, and how many are changing.
func split(engines []Engine) (prefill, decode []Engine, changing int) {
	for _, e := range engines {
		if e.Upstream.Draining || !e.Known {
			continue
		}
		role := e.Report.Role
		if e.Report.Changing {
			changing++
			if e.Wanted != fighollow.RoleNone {
				role = e.Wanted
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

func (p *Planner) observe(prefill, decode []Engine) {
	var queue, active, busy, waiting float64
	for _, e := range prefill {
		queue += float64(e.Report.Queued) / float64(len(prefill))
		active += float64(e.Report.Running) / float64(len(prefill))
	}
	for _, e := range decode {
		used := float64(e.Report.Running) / float64(max(1, p.traits.Slots))
		if e.Report.KVTotal > 0 {
			used = max(used, float64(e.Report.KVUsed)/float64(e.Report.KVTotal))
		}
		busy += used / float64(len(decode))
		waiting += float64(e.Report.Queued) / float64(len(decode))
	}
	p.queue += reportWeight * (queue - p.queue)
	p.active += reportWeight * (active - p.active)
	p.busy += reportWeight * (busy - p.busy)
	p.waiting += reportWeight * (waiting - p.waiting)
	p.samples++
}

// move picks up to n engines to change, and leaves so many to their role. It keeps the proportion of both roles alike in all
// data centres, and takes engines with little work.
func (p *Planner) move(from, to []Engine, n, leave int, role fighollow.Role) []Order {
	var orders []Order
	left := make(map[string]int)
	there := make(map[string]int)
	for _, e := range from {
		left[e.Upstream.DataCentre]++
	}
	for _, e := range to {
		there[e.Upstream.DataCentre]++
	}
	from = slices.Clone(from)
	for ; n > 0 && len(from) > leave; n-- {
		best := slices.MinFunc(from, func(a, b Engine) int {
			// The data centre with the highest share of the old role gives the next engine.
			shareA := share(left[a.Upstream.DataCentre], there[a.Upstream.DataCentre])
			shareB := share(left[b.Upstream.DataCentre], there[b.Upstream.DataCentre])
			if c := cmp.Compare(shareB, shareA); c != 0 {
				return c
			}
			if c := cmp.Compare(a.Report.Running, b.Report.Running); c != 0 {
				return c
			}
			return cmp.Compare(a.Upstream.ID, b.Upstream.ID)
		})
		orders = append(orders, Order{Engine: best, Role: role})
		left[best.Upstream.DataCentre]--
		there[best.Upstream.DataCentre]++
		from = slices.DeleteFunc(from, func(e Engine) bool { return e.Upstream.ID == best.Upstream.ID })
	}
	return orders
}

func share(a, b int) float64 {
	if a+b == 0 {
		return 0
	}
	return float64(a) / float64(a+b)
}
