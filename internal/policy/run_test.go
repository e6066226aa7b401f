package policy_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fighollow/fighollow/internal/admission"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// conditions are the faults of a simulation and the parts of the policy that are disabled.
type conditions struct {
	lag                        float64 // seconds until a report arrives, in addition to the reporting interval
	crash                      bool    // the first engine that changes after shiftAt restarts
	outage                     bool    // plans do not take effect for 300 s after shiftAt
	noOverflow, noEarlyRefusal bool
}

// strategy orders assignments of engines. decide is called once a second.
type strategy interface {
	decide(now float64, r *simulation)
}

// simulation runs one strategy on one sequence of requests.
type simulation struct {
	cond    conditions
	engines []*engine
	rnd     *rand.Rand

	offeredWorth, usefulWorth float64 // sum of the worth of all requests and of those that met their deadlines
	late, refused, changes    int
	crashed                   bool
}

var epoch = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func timeAt(t float64) time.Time { return epoch.Add(time.Duration(t * float64(time.Second))) }

// newSimulation returns a simulation with the preset's split: 4 of the 12 engines of the large model and 3 of the 6 of the
// small one have the prefill role.
func newSimulation(u user, cond conditions, rnd *rand.Rand) *simulation {
	r := &simulation{cond: cond, rnd: rnd}
	for i := range engineCount {
		a := fighollow.Assignment{Model: large, ModelVersion: "1", Role: fighollow.RoleDecode, Fence: 1}
		if i >= largeEngines {
			a.Model = small
		}
		if i%3 == 0 && i < largeEngines || i%2 == 0 && i >= largeEngines {
			a.Role = fighollow.RolePrefill
		}
		r.engines = append(r.engines, newEngine(i, u.dataCentres[i%len(u.dataCentres)], a))
	}
	return r
}

func (r *simulation) run(requests []*request, s strategy) {
	next := 0
	for i := range int(runEnd / tick) {
		now := float64(i) * tick
		if i%int(1/tick) == 0 {
			s.decide(now, r)
			r.crash(now)
		}
		for ; next < len(requests) && requests[next].arrival <= now; next++ {
			q := *requests[next]
			if now >= measureFrom {
				r.offeredWorth += q.worth
			}
			r.route(now, &q)
		}
		for _, e := range r.engines {
			e.step(now, r.handOff, func(_ *engine, q *request) { r.finish(now, q) })
		}
	}
}

// order sets the planned assignment of an engine and counts it as a role change.
func (r *simulation) order(now float64, e *engine, a fighollow.Assignment) {
	if now >= measureFrom {
		r.changes++
	}
	e.planned = a
}

func (r *simulation) crash(now float64) {
	if !r.cond.crash || r.crashed || now < shiftAt {
		return
	}
	for _, e := range r.engines {
		if e.changeEnd > 0 {
			e.changeEnd, e.restartEnd, r.crashed = 0, now+10, true
			return
		}
	}
}

func (r *simulation) finish(now float64, q *request) {
	if q.arrival < measureFrom {
		return
	}
	if now <= q.deadline {
		r.usefulWorth += q.worth
	} else {
		r.late++
	}
}

// route sends a request to the first of up to three engines that accepts it, in the order of their expected times.
func (r *simulation) route(now float64, q *request) {
	candidates := r.sample(q.model, fighollow.RolePrefill, 4)
	if !r.cond.noOverflow || len(candidates) == 0 {
		candidates = append(candidates, r.sample(q.model, fighollow.RoleDecode, 2)...)
	}
	streams := r.meanStreams(q.model)
	expected := func(e *engine) time.Duration {
		b := e.backlog()
		b.Running = streams
		b.DecodeTokensPerSecond = decodeRate
		return admission.ExpectedTime(b, int(q.prompt*(1-cacheHit*e.cacheWarmth)), int(q.output))
	}
	preference := func(e *engine) time.Duration {
		if e.assignment.Role == fighollow.RolePrefill {
			return expected(e)
		}
		return time.Duration(*margin * float64(expected(e)))
	}
	slices.SortStableFunc(candidates, func(a, b *engine) int { return cmp.Compare(preference(a), preference(b)) })
	for _, e := range candidates[:min(3, len(candidates))] {
		late := !r.cond.noEarlyRefusal && timeAt(now).Add(expected(e)).After(timeAt(q.deadline))
		if !late && len(e.prompts) < 64 {
			e.accept(q)
			return
		}
		m := e.count(q.model)
		m.RefusedPrefill += int64(q.prompt * (1 - cacheHit*e.cacheWarmth))
		m.RefusedDecode += int64(q.output)
		m.RefusedRequests++
	}
	if q.arrival >= measureFrom {
		r.refused++
	}
}

// sample returns up to n random engines of a role that admit requests for the model.
func (r *simulation) sample(model string, role fighollow.Role, n int) []*engine {
	var out []*engine
	for _, e := range r.engines {
		if e.admits(model) && e.assignment.Role == role {
			out = append(out, e)
		}
	}
	r.rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

func (r *simulation) meanStreams(model string) int {
	streams, n := 0, 0
	for _, e := range r.engines {
		if e.assignment.Model == model && e.assignment.Role == fighollow.RoleDecode {
			streams, n = streams+len(e.streams), n+1
		}
	}
	return streams / max(1, n)
}

// handOff moves a request after prefill to the decode engine with the highest rate for a new stream, or keeps it on its
// engine.
func (r *simulation) handOff(from *engine, q *request) {
	best := from
	targets := r.sample(q.model, fighollow.RoleDecode, 4)
	if r.cond.noOverflow && from.assignment.Role == fighollow.RolePrefill && len(targets) > 0 {
		best = targets[0]
	}
	for _, e := range targets {
		if best == from && from.assignment.Role == fighollow.RolePrefill && *margin*e.newStreamRate() > from.newStreamRate() || e.newStreamRate() > best.newStreamRate() {
			best = e
		}
	}
	best.streams = append(best.streams, q)
}

// newStreamRate returns the rate, in tokens/s, that a new stream would get.
func (e *engine) newStreamRate() float64 {
	rate := decodeRate * e.efficiency(false)
	if len(e.prompts) > 0 {
		rate *= ownRoleShare
		if e.assignment.Role == fighollow.RolePrefill {
			rate *= (1 - ownRoleShare) / ownRoleShare
		}
	}
	return rate / float64(len(e.streams)+1)
}

func newEngine(i int, dc string, a fighollow.Assignment) *engine {
	return &engine{id: fmt.Sprintf("engine-%02d", i), dc: dc, planned: a, assignment: a, counts: newCounts()}
}
