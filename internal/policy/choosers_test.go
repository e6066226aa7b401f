package policy_test

import (
	"slices"
	"time"

	"github.com/fighollow/fighollow/internal/demand"
	"github.com/fighollow/fighollow/internal/planner"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

func newCounts() map[string]*demand.ModelCount { return make(map[string]*demand.ModelCount) }

// fixed never changes anything.
type fixed struct{}

func (fixed) choose(float64, *run) {}

// product is the project's estimator and planner, fed with reports that lag.
type product struct {
	in      planner.Input
	planner *planner.Planner
	est     *demand.Estimator
	pending []delivery
	state   map[string]delivery
}

type delivery struct {
	due    float64
	report demand.Report
}

func newProduct(preset fighollow.Preset, policy planner.Policy, opts demand.Options) *product {
	model := fighollow.Model{PrefillTokensPerSecond: prefillRate, DecodeTokensPerSecond: decodeRate, LoadMs: loadSeconds * 1000}
	return &product{
		in: planner.Input{Preset: preset, PresetVersion: 1, Plans: make(map[string]fighollow.Plan),
			Models: map[string]fighollow.Model{large: model, small: model}},
		planner: planner.NewPlanner(policy), est: demand.NewEstimator(opts), state: make(map[string]delivery),
	}
}

func (p *product) choose(now float64, r *run) {
	p.collect(now, r)
	p.in.Engines = p.in.Engines[:0]
	for _, e := range r.engines {
		pe := planner.Engine{ID: e.id, DataCentre: e.dc}
		if d, ok := p.state[e.id]; ok {
			state := d.report.State
			pe.State, pe.ReportedAt = &state, clock(d.due)
		}
		p.in.Engines = append(p.in.Engines, pe)
		if _, ok := p.in.Plans[e.dc]; !ok {
			p.in.Plans[e.dc] = fighollow.Plan{Revision: 1, Preset: p.in.Preset.Name, PresetVersion: 1, Engines: map[string]fighollow.Assignment{}}
		}
		if now == 0 {
			p.in.Plans[e.dc].Engines[e.id] = e.plan
		}
	}
	p.in.Demand = p.est.Estimates(clock(now), func(m string) time.Duration { return p.planner.ChangeTime(p.in.Models[m]) })
	d := p.planner.Decide(clock(now), p.in)
	if r.cond.outage && now >= shiftAt && now < shiftAt+300 {
		return
	}
	for dc, plan := range d.Plans {
		p.in.Plans[dc] = plan
	}
	for _, c := range d.Changes {
		i := slices.IndexFunc(r.engines, func(e *engine) bool { return e.id == c.Engine })
		r.order(now, r.engines[i], c.To)
	}
}

// collect takes each engine's report every 5 s and delivers those that are due.
func (p *product) collect(now float64, r *run) {
	for i, e := range r.engines {
		if int(now)%5 == i%5 {
			rep := e.report()
			rep.Incarnation = clock(0).UnixMilli()
			p.pending = append(p.pending, delivery{now + r.cond.lag, rep})
		}
	}
	for len(p.pending) > 0 && p.pending[0].due <= now {
		p.est.HandleReport(clock(now), p.pending[0].report)
		p.state[p.pending[0].report.Engine] = p.pending[0]
		p.pending = p.pending[1:]
	}
}

// threshold moves an engine as soon as one role of a model is busier than the other by a quarter.
type threshold struct{ last map[string]demand.ModelCount }

func (th *threshold) choose(now float64, r *run) {
	if int(now)%15 != 0 || now < 60 {
		return
	}
	for _, model := range []string{large, small} {
		var done demand.ModelCount
		var byRole [2][]*engine
		for _, e := range r.engines {
			m := e.count(model)
			done.PrefillTokens += m.PrefillTokens + m.RefusedPrefill
			done.DecodeTokens += m.DecodeTokens + m.RefusedDecode
			if e.plan.Model == model {
				i := 1
				if e.plan.Role == fighollow.RolePrefill {
					i = 0
				}
				byRole[i] = append(byRole[i], e)
			}
		}
		old := th.last[model]
		th.last[model] = done
		prefill := float64(done.PrefillTokens-old.PrefillTokens) / prefillRate / float64(len(byRole[0]))
		decode := float64(done.DecodeTokens-old.DecodeTokens) / decodeRate / float64(len(byRole[1]))
		switch {
		case prefill > 1.25*decode && len(byRole[1]) > 1:
			th.move(now, r, byRole[1], fighollow.RolePrefill)
		case decode > 1.25*prefill && len(byRole[0]) > 1:
			th.move(now, r, byRole[0], fighollow.RoleDecode)
		}
	}
}

func (th *threshold) move(now float64, r *run, from []*engine, role fighollow.Role) {
	e := idlest(from)
	a := e.plan
	a.Role = role
	r.order(now, e, a)
}

func idlest(from []*engine) *engine {
	return slices.MinFunc(from, func(a, b *engine) int {
		return len(a.prompts) + len(a.streams) - len(b.prompts) - len(b.streams)
	})
}
