package planner

import (
	"cmp"
	"math"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Defaults for fields that a preset's policy leaves at zero.
const (
	defaultDwell   = time.Minute
	defaultHorizon = 5 * time.Minute
)

// maxImprovements bounds the changes of one planning step, even if the preset's limits allow more.
const maxImprovements = 16

// modelState holds the engines of one model by role and its load.
type modelState struct {
	model                  string
	disaggregated          bool
	prefill, decode        int // decode counts role both
	load                   load
	stableFor              time.Duration // how long load is expected to last
	minEngines, maxEngines int           // maxEngines is 0 without a maximum
}

// goodput returns the useful work, in engines, that the given numbers of engines complete. A request needs both prefill
// and decode, so the role with less capacity for its load limits both. Its excess load overflows to spare engines of the
// other role, which process it more slowly.
func (s modelState) goodput(policy Policy, prefill, decode int) float64 {
	cp, cd := policy.UsableShare*float64(prefill), policy.UsableShare*float64(decode)
	total := s.load.prefill + s.load.decode
	if !s.disaggregated {
		return math.Min(cp+cd, total)
	}
	served, overflow := servedShare(cp, cd, s.load.prefill, s.load.decode, policy.OverflowRate)
	return served*total - overflow*policy.OverflowPenalty
}

// servedShare returns the share of requests that two roles can serve and the work that overflows from one to the other.
// Capacities, work and overflow are in engines; rate is Policy.OverflowRate.
func servedShare(capA, capB, workA, workB, rate float64) (share, overflow float64) {
	if capA*workB > capB*workA {
		capA, capB, workA, workB = capB, capA, workB, workA
	}
	if workA <= capA || workA == 0 {
		return 1, 0
	}
	share = math.Min(1, (capA+rate*capB)/(workA+rate*workB))
	return share, math.Max(0, share*workA-capA)
}

// candidate is a change of one engine from a role of one model to a role of the same or another model.
type candidate struct {
	from, to         *modelState
	fromRole, toRole fighollow.Role
	gain, cost       float64
}

// improve makes the changes of role and model whose gain over the horizon exceeds their cost, in descending order of net
// gain.
func (f *fleet) improve() {
	states := f.modelStates()
	exhausted := make(map[[2]string]bool) // roles without an engine that may change
	for range maxImprovements {
		best, ok := f.bestCandidate(states, exhausted)
		if !ok {
			return
		}
		n := f.engineToChange(best)
		if n == nil {
			exhausted[[2]string{best.from.model, string(best.fromRole)}] = true
			continue
		}
		reason := ReasonRole
		if best.from != best.to {
			reason = ReasonModel
		}
		m, _ := f.presetModel(best.to.model)
		f.assign(n, newAssignment(m, best.toRole), Change{Reason: reason, Gain: best.gain, Cost: best.cost})
		*best.count(best.from, best.fromRole)--
		*best.count(best.to, best.toRole)++
	}
}

func (c candidate) count(s *modelState, role fighollow.Role) *int {
	if role == fighollow.RolePrefill {
		return &s.prefill
	}
	return &s.decode
}

// modelStates returns the states of the preset's models whose demand is known.
func (f *fleet) modelStates() []*modelState {
	var out []*modelState
	for _, m := range f.in.Preset.Models {
		e, known := f.in.Demand[m.Model]
		if !known {
			continue
		}
		t := f.modelTally(m.Model)
		s := &modelState{model: m.Model, disaggregated: m.Disaggregated, prefill: t.prefill, decode: t.decode(),
			load: f.load(m.Model), minEngines: max(1, m.MinEngines), maxEngines: m.MaxEngines}
		s.stableFor = f.horizon()
		if e.Shift {
			s.stableFor = min(s.stableFor, e.Remaining)
		}
		out = append(out, s)
	}
	return out
}

func (f *fleet) horizon() time.Duration {
	return durationOrDefault(f.in.Preset.Policy.HorizonMs, defaultHorizon)
}

func durationOrDefault(ms int64, def time.Duration) time.Duration {
	if ms <= 0 {
		return def
	}
	return time.Duration(ms) * time.Millisecond
}

func (f *fleet) bestCandidate(states []*modelState, exhausted map[[2]string]bool) (candidate, bool) {
	var best candidate
	found := false
	consider := func(c candidate) {
		if exhausted[[2]string{c.from.model, string(c.fromRole)}] || !f.evaluate(&c) {
			return
		}
		if !found || c.gain-c.cost > best.gain-best.cost {
			best, found = c, true
		}
	}
	for _, from := range states {
		for _, fromRole := range from.roles() {
			for _, to := range states {
				for _, toRole := range to.roles() {
					consider(candidate{from: from, to: to, fromRole: fromRole, toRole: toRole})
				}
			}
		}
	}
	return best, found
}

var (
	splitRoles = []fighollow.Role{fighollow.RolePrefill, fighollow.RoleDecode}
	wholeRoles = []fighollow.Role{fighollow.RoleBoth}
)

func (s *modelState) roles() []fighollow.Role {
	if s.disaggregated {
		return splitRoles
	}
	return wholeRoles
}

// evaluate sets the gain and cost of c and reports whether c is within the limits and its gain exceeds its cost.
func (f *fleet) evaluate(c *candidate) bool {
	if c.from == c.to && c.fromRole == c.toRole || !c.withinLimits() {
		return false
	}
	improvement, lost := c.goodputChange(f.opts)
	if improvement < f.opts.MinGain {
		return false
	}
	change := f.changeTime(c)
	stableFor := min(c.from.stableFor, c.to.stableFor)
	c.gain = improvement * math.Max(0, (stableFor-change).Seconds())
	// The engine is out of service during the change, which costs something even without load, and then has a cold cache.
	c.cost = change.Seconds()*math.Max(lost, 0.3) + f.opts.CacheWarmUp.Seconds()*0.5
	if w := f.in.Preset.Policy.RoleChangeWeight; w > 0 {
		c.cost *= w
	}
	if f.reverses(c) {
		c.cost *= f.opts.ReverseFactor
	}
	return c.gain > c.cost
}

// withinLimits reports whether c respects the minimum and maximum of the models and keeps one engine in each role of a
// disaggregated model.
func (c *candidate) withinLimits() bool {
	if *c.count(c.from, c.fromRole) < 1 || c.from.disaggregated && *c.count(c.from, c.fromRole) < 2 {
		return false
	}
	if c.from == c.to {
		return true
	}
	return c.from.prefill+c.from.decode > c.from.minEngines && (c.to.maxEngines == 0 || c.to.prefill+c.to.decode < c.to.maxEngines)
}

// goodputChange returns the goodput that c adds once it is complete and the goodput lost while it is in progress, in
// engines.
func (c *candidate) goodputChange(policy Policy) (improvement, lost float64) {
	before := c.from.goodput(policy, c.from.prefill, c.from.decode)
	without := *c.from
	*c.count(&without, c.fromRole)--
	during := without.goodput(policy, without.prefill, without.decode)
	if c.from == c.to {
		*c.count(&without, c.toRole)++
		return without.goodput(policy, without.prefill, without.decode) - before, before - during
	}
	with := *c.to
	*c.count(&with, c.toRole)++
	gained := with.goodput(policy, with.prefill, with.decode) - c.to.goodput(policy, c.to.prefill, c.to.decode)
	return gained - (before - during), before - during
}

// changeTime returns how long c takes. A change of model takes longer while other engines load, because the weight store
// limits its total rate.
func (f *fleet) changeTime(c *candidate) time.Duration {
	load := loadTime(f.in.Models[c.to.model])
	if c.from == c.to {
		return f.opts.DrainTime + load
	}
	loading := 0
	for _, n := range f.changingInDC {
		loading += n
	}
	return f.opts.DrainTime + load*time.Duration(1+loading)
}

func (f *fleet) reverses(c *candidate) bool {
	last, ok := f.roleChanges[c.from.model]
	return ok && c.from == c.to && last.to == c.fromRole && f.now.Sub(last.at) < f.horizon()
}

// engineToChange returns the engine to change: one in the data centre with the most replicas of its model and role, and
// among those the one with the fewest running requests. It returns nil if dwell time or limits allow none.
func (f *fleet) engineToChange(c candidate) *node {
	dwell := durationOrDefault(f.in.Preset.Policy.MinDwellMs, defaultDwell)
	var best *node
	for _, n := range f.nodes {
		if n.assignment.Model != c.from.model || n.assignment.Role != c.fromRole || !n.serves() ||
			f.now.Sub(n.assignedSince) < dwell || !f.mayChange(n, c.to.model) || f.isLast(n) {
			continue
		}
		if best == nil || cmp.Or(-cmp.Compare(f.replicas(n), f.replicas(best)), cmp.Compare(n.running(), best.running())) < 0 {
			best = n
		}
	}
	return best
}

// replicas returns how many engines in n's data centre have its model and role.
func (f *fleet) replicas(n *node) int {
	t := f.tallies[tallyKey{n.DataCentre, n.assignment.Model}]
	if n.assignment.Role == fighollow.RolePrefill {
		return t.prefill
	}
	return t.decode()
}
