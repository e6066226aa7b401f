package policy_test

import (
	"slices"
	"time"

	"github.com/fighollow/fighollow/internal/demand"
	"github.com/fighollow/fighollow/internal/planner"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

func newCounts() map[string]*demand.ModelCount { return make(map[string]*demand.ModelCount) }

// fixedSplit keeps the initial assignments.
type fixedSplit struct{}

func (fixedSplit) decide(float64, *simulation) {}

// plannerStrategy runs demand.Estimator and planner.Planner on delayed reports.
type plannerStrategy struct {
	in       planner.Input
	planner  *planner.Planner
	est      *demand.Estimator
	inFlight []delivery
	latest   map[string]delivery
}

type delivery struct {
	dueAt  float64
	report demand.Report
}

func newPlannerStrategy(preset fighollow.Preset, policy planner.Policy, opts demand.Options) *plannerStrategy {
	model := fighollow.Model{PrefillTokensPerSecond: prefillRate, DecodeTokensPerSecond: decodeRate, LoadMs: loadSeconds * 1000}
	return &plannerStrategy{
		in: planner.Input{Preset: preset, PresetVersion: 1, Plans: make(map[string]fighollow.Plan),
			Models: map[string]fighollow.Model{large: model, small: model}},
		planner: planner.NewPlanner(policy), est: demand.NewEstimator(opts), latest: make(map[string]delivery),
	}
}

func (p *plannerStrategy) decide(now float64, r *simulation) {
	p.collect(now, r)
	p.in.Engines = p.in.Engines[:0]
	for _, e := range r.engines {
		pe := planner.Engine{ID: e.id, DataCentre: e.dc}
		if d, ok := p.latest[e.id]; ok {
			state := d.report.State
			pe.State, pe.ReportedAt = &state, timeAt(d.dueAt)
		}
		p.in.Engines = append(p.in.Engines, pe)
		if _, ok := p.in.Plans[e.dc]; !ok {
			p.in.Plans[e.dc] = fighollow.Plan{Revision: 1, Preset: p.in.Preset.Name, PresetVersion: 1, Engines: map[string]fighollow.Assignment{}}
		}
		if now == 0 {
			p.in.Plans[e.dc].Engines[e.id] = e.planned
		}
	}
	p.in.Demand = p.est.Estimates(timeAt(now), func(m string) time.Duration { return p.planner.ChangeTime(p.in.Models[m]) })
	d := p.planner.Decide(timeAt(now), p.in)
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

// collect records a report of each engine every 5 s and delivers the reports that are due.
func (p *plannerStrategy) collect(now float64, r *simulation) {
	for i, e := range r.engines {
		if int(now)%5 == i%5 {
			rep := e.report()
			rep.Incarnation = timeAt(0).UnixMilli()
			p.inFlight = append(p.inFlight, delivery{now + r.cond.lag, rep})
		}
	}
	for len(p.inFlight) > 0 && p.inFlight[0].dueAt <= now {
		p.est.HandleReport(timeAt(now), p.inFlight[0].report)
		p.latest[p.inFlight[0].report.Engine] = p.inFlight[0]
		p.inFlight = p.inFlight[1:]
	}
}

// thresholdStrategy changes the role of an engine whenever the load of one role of a model exceeds that of the other by a
// quarter. It compares them every 15 s.
type thresholdStrategy struct{ last map[string]demand.ModelCount }

func (th *thresholdStrategy) decide(now float64, r *simulation) {
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
			if e.planned.Model == model {
				i := 1
				if e.planned.Role == fighollow.RolePrefill {
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

func (th *thresholdStrategy) move(now float64, r *simulation, from []*engine, role fighollow.Role) {
	e := leastLoaded(from)
	a := e.planned
	a.Role = role
	r.order(now, e, a)
}

func leastLoaded(from []*engine) *engine {
	return slices.MinFunc(from, func(a, b *engine) int {
		return len(a.prompts) + len(a.streams) - len(b.prompts) - len(b.streams)
	})
}
