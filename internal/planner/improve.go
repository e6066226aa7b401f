package planner

import (
	"cmp"
	"math"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Defaults of a preset's policy.
const (
	defaultDwell   = time.Minute
	defaultHorizon = 5 * time.Minute
)

// maxImprovements bounds the changes of one step, whatever the limits allow.
const maxImprovements = 16

// position is the engines of one model by role, and the work for them in engines.
type position struct {
	model           string
	disaggregated   bool
	prefill, decode int // decode counts role both
	work            load
	rest            time.Duration // how long the work is expected to stay as it is
	least, most     int           // engines
}

// value returns the useful work that the engines do, in engines. A request needs both its prompt and its output, so the
// role that is short bounds both. It overflows to spare engines of the other role, which are slower at it.
func (p position) value(o Policy, prefill, decode int) float64 {
	cp, cd := o.Usable*float64(prefill), o.Usable*float64(decode)
	total := p.work.prefill + p.work.decode
	if !p.disaggregated {
		return math.Min(cp+cd, total)
	}
	served, over := serve(cp, cd, p.work.prefill, p.work.decode, o.OverflowRate)
	return served*total - over*o.OverflowPrice
}

// serve returns the share of the requests that is served, and the work that overflows, for the capacity of two roles
// and the work for them, in engines.
func serve(capA, capB, workA, workB, rate float64) (share, over float64) {
	if capA*workB > capB*workA {
		capA, capB, workA, workB = capB, capA, workB, workA
	}
	if workA <= capA || workA == 0 {
		return 1, 0
	}
	share = math.Min(1, (capA+rate*capB)/(workA+rate*workB))
	return share, math.Max(0, share*workA-capA)
}

// option is a change of one engine from a role of one model to a role of the same or another model.
type option struct {
	from, to         *position
	fromRole, toRole fighollow.Role
	gain, cost       float64
}

// improve makes the changes of role and model whose gain over the horizon exceeds their cost, the most worthwhile first.
func (f *fleet) improve() {
	positions := f.positions()
	spent := make(map[[2]string]bool) // roles without an engine that may change
	for range maxImprovements {
		best, ok := f.bestOption(positions, spent)
		if !ok {
			return
		}
		n := f.movable(best)
		if n == nil {
			spent[[2]string{best.from.model, string(best.fromRole)}] = true
			continue
		}
		reason := ReasonRole
		if best.from != best.to {
			reason = ReasonModel
		}
		m, _ := f.presetModel(best.to.model)
		f.change(n, assignment(m, best.toRole), Change{Reason: reason, Gain: best.gain, Cost: best.cost})
		*best.count(best.from, best.fromRole)--
		*best.count(best.to, best.toRole)++
	}
}

func (o option) count(p *position, role fighollow.Role) *int {
	if role == fighollow.RolePrefill {
		return &p.prefill
	}
	return &p.decode
}

// positions returns the models whose demand is known.
func (f *fleet) positions() []*position {
	var out []*position
	for _, m := range f.in.Preset.Models {
		e, known := f.in.Demand[m.Model]
		if !known {
			continue
		}
		t := f.of(m.Model)
		p := &position{model: m.Model, disaggregated: m.Disaggregated, prefill: t.prefill, decode: t.rest(),
			work: f.work(m.Model), least: max(1, m.MinEngines), most: m.MaxEngines}
		p.rest = f.horizon()
		if e.Shift {
			p.rest = min(p.rest, e.Remaining)
		}
		out = append(out, p)
	}
	return out
}

func (f *fleet) horizon() time.Duration {
	return policyTime(f.in.Preset.Policy.HorizonMs, defaultHorizon)
}

func policyTime(ms int64, def time.Duration) time.Duration {
	if ms <= 0 {
		return def
	}
	return time.Duration(ms) * time.Millisecond
}

func (f *fleet) bestOption(positions []*position, spent map[[2]string]bool) (option, bool) {
	var best option
	found := false
	consider := func(o option) {
		if spent[[2]string{o.from.model, string(o.fromRole)}] || !f.judge(&o) {
			return
		}
		if !found || o.gain-o.cost > best.gain-best.cost {
			best, found = o, true
		}
	}
	for _, from := range positions {
		for _, fromRole := range from.roles() {
			for _, to := range positions {
				for _, toRole := range to.roles() {
					consider(option{from: from, to: to, fromRole: fromRole, toRole: toRole})
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

func (p *position) roles() []fighollow.Role {
	if p.disaggregated {
		return splitRoles
	}
	return wholeRoles
}

// judge fills in gain and cost and reports whether the option is allowed and worthwhile.
func (f *fleet) judge(o *option) bool {
	if o.from == o.to && o.fromRole == o.toRole || !o.allowed() {
		return false
	}
	better, idle := o.values(f.opts)
	if better < f.opts.MinGain {
		return false
	}
	change := f.changeTime(o)
	rest := min(o.from.rest, o.to.rest)
	o.gain = better * math.Max(0, (rest-change).Seconds())
	// The engine is idle for the change, even if nobody misses it, and then works with a cold cache.
	o.cost = change.Seconds()*math.Max(idle, 0.3) + f.opts.ColdTime.Seconds()*0.5
	if w := f.in.Preset.Policy.RoleChangeWeight; w > 0 {
		o.cost *= w
	}
	if f.reverses(o) {
		o.cost *= f.opts.ReverseFactor
	}
	return o.gain > o.cost
}

// allowed keeps the minimum and maximum of the models and one engine in each role.
func (o *option) allowed() bool {
	if *o.count(o.from, o.fromRole) < 1 || o.from.disaggregated && *o.count(o.from, o.fromRole) < 2 {
		return false
	}
	if o.from == o.to {
		return true
	}
	return o.from.prefill+o.from.decode > o.from.least && (o.to.most == 0 || o.to.prefill+o.to.decode < o.to.most)
}

// values returns how much more useful work is done after the change, and how much less during it, in engines.
func (o *option) values(p Policy) (better, idle float64) {
	before := o.from.value(p, o.from.prefill, o.from.decode)
	without := *o.from
	*o.count(&without, o.fromRole)--
	during := without.value(p, without.prefill, without.decode)
	if o.from == o.to {
		*o.count(&without, o.toRole)++
		return without.value(p, without.prefill, without.decode) - before, before - during
	}
	with := *o.to
	*o.count(&with, o.toRole)++
	gained := with.value(p, with.prefill, with.decode) - o.to.value(p, o.to.prefill, o.to.decode)
	return gained - (before - during), before - during
}

// changeTime is longer for a change of model while others load, because the weight store limits its rate.
func (f *fleet) changeTime(o *option) time.Duration {
	load := loadTime(f.in.Models[o.to.model])
	if o.from == o.to {
		return f.opts.DrainTime + load
	}
	loading := 0
	for _, n := range f.movingIn {
		loading += n
	}
	return f.opts.DrainTime + load*time.Duration(1+loading)
}

func (f *fleet) reverses(o *option) bool {
	last, ok := f.moves[o.from.model]
	return ok && o.from == o.to && last.to == o.fromRole && f.now.Sub(last.at) < f.horizon()
}

// movable returns the engine to change: in the data centre with the most of its kind, then with the least work in
// flight; nil when dwell time or limits allow none.
func (f *fleet) movable(o option) *node {
	dwell := policyTime(f.in.Preset.Policy.MinDwellMs, defaultDwell)
	var best *node
	for _, n := range f.nodes {
		if n.work.Model != o.from.model || n.work.Role != o.fromRole || !n.serves() ||
			f.now.Sub(n.since) < dwell || !f.mayChange(n, o.to.model) || f.isLast(n) {
			continue
		}
		if best == nil || cmp.Or(-cmp.Compare(f.kind(n), f.kind(best)), cmp.Compare(n.running(), best.running())) < 0 {
			best = n
		}
	}
	return best
}

// kind counts the engines of n's data centre with its model and role.
func (f *fleet) kind(n *node) int {
	t := f.tallies[slot{n.DataCentre, n.work.Model}]
	if n.work.Role == fighollow.RolePrefill {
		return t.prefill
	}
	return t.rest()
}
