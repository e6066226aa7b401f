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

// conditions are what goes wrong in a run and which parts of the policy are off.
type conditions struct {
	lag                 float64 // seconds until a report arrives, besides its interval
	crash               bool    // the first engine that changes after the shift restarts
	outage              bool    // plans do not take effect for 300 s from the shift on
	noOverflow, noEarly bool
}

// chooser sets the plans of engines once in a second.
type chooser interface {
	choose(now float64, r *run)
}

// run is one trial of a policy.
type run struct {
	cond    conditions
	engines []*engine
	rnd     *rand.Rand

	offered, useful        float64 // worth of requests
	late, refused, changes int
	crashed                bool
}

var epoch = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func clock(t float64) time.Time { return epoch.Add(time.Duration(t * float64(time.Second))) }

// newRun starts with the preset's split: 4 of the 12 engines of the large model and 3 of the 6 of the small one prefill.
func newRun(u user, cond conditions, rnd *rand.Rand) *run {
	r := &run{cond: cond, rnd: rnd}
	for i := range engines {
		a := fighollow.Assignment{Model: large, ModelVersion: "1", Role: fighollow.RoleDecode, Fence: 1}
		if i >= largeOnes {
			a.Model = small
		}
		if i%3 == 0 && i < largeOnes || i%2 == 0 && i >= largeOnes {
			a.Role = fighollow.RolePrefill
		}
		r.engines = append(r.engines, newEngine(i, u.dataCentres[i%len(u.dataCentres)], a))
	}
	return r
}

func (r *run) play(requests []*request, c chooser) {
	next := 0
	for i := range int(runEnd / tick) {
		now := float64(i) * tick
		if i%int(1/tick) == 0 {
			c.choose(now, r)
			r.crash(now)
		}
		for ; next < len(requests) && requests[next].at <= now; next++ {
			q := *requests[next]
			if now >= measureFrom {
				r.offered += q.worth
			}
			r.route(now, &q)
		}
		for _, e := range r.engines {
			e.step(now, r.handOff, func(_ *engine, q *request) { r.finish(now, q) })
		}
	}
}

// order changes the plan of an engine, which counts as a role change.
func (r *run) order(now float64, e *engine, a fighollow.Assignment) {
	if now >= measureFrom {
		r.changes++
	}
	e.plan = a
}

func (r *run) crash(now float64) {
	if !r.cond.crash || r.crashed || now < shiftAt {
		return
	}
	for _, e := range r.engines {
		if e.until > 0 {
			e.until, e.recovered, r.crashed = 0, now+10, true
			return
		}
	}
}

func (r *run) finish(now float64, q *request) {
	if q.at < measureFrom {
		return
	}
	if now <= q.deadline {
		r.useful += q.worth
	} else {
		r.late++
	}
}

// route tries up to three engines, the one with the shortest expected time first.
func (r *run) route(now float64, q *request) {
	candidates := r.sample(q.model, fighollow.RolePrefill, 4)
	if !r.cond.noOverflow || len(candidates) == 0 {
		candidates = append(candidates, r.sample(q.model, fighollow.RoleDecode, 2)...)
	}
	streams := r.meanStreams(q.model)
	expected := func(e *engine) time.Duration {
		b := e.backlog()
		b.Running = streams
		b.DecodeTokensPerSecond = decodeRate
		return admission.ExpectedTime(b, int(q.prompt*(1-cacheHit*e.warm)), int(q.output))
	}
	preference := func(e *engine) time.Duration {
		if e.work.Role == fighollow.RolePrefill {
			return expected(e)
		}
		return time.Duration(*margin * float64(expected(e)))
	}
	slices.SortStableFunc(candidates, func(a, b *engine) int { return cmp.Compare(preference(a), preference(b)) })
	for _, e := range candidates[:min(3, len(candidates))] {
		late := !r.cond.noEarly && clock(now).Add(expected(e)).After(clock(q.deadline))
		if !late && len(e.prompts) < 64 {
			e.accept(q)
			return
		}
		m := e.count(q.model)
		m.RefusedPrefill += int64(q.prompt * (1 - cacheHit*e.warm))
		m.RefusedDecode += int64(q.output)
		m.RefusedRequests++
	}
	if q.at >= measureFrom {
		r.refused++
	}
}

// sample draws up to n engines of a role that admit requests for the model.
func (r *run) sample(model string, role fighollow.Role, n int) []*engine {
	var out []*engine
	for _, e := range r.engines {
		if e.admits(model) && e.work.Role == role {
			out = append(out, e)
		}
	}
	r.rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

func (r *run) meanStreams(model string) int {
	streams, n := 0, 0
	for _, e := range r.engines {
		if e.work.Model == model && e.work.Role == fighollow.RoleDecode {
			streams, n = streams+len(e.streams), n+1
		}
	}
	return streams / max(1, n)
}

// handOff gives a finished prompt to the decode engine with the most room, or leaves it where it is.
func (r *run) handOff(from *engine, q *request) {
	best := from
	targets := r.sample(q.model, fighollow.RoleDecode, 4)
	if r.cond.noOverflow && from.work.Role == fighollow.RolePrefill && len(targets) > 0 {
		best = targets[0]
	}
	for _, e := range targets {
		if best == from && from.work.Role == fighollow.RolePrefill && *margin*e.room() > from.room() || e.room() > best.room() {
			best = e
		}
	}
	best.streams = append(best.streams, q)
}

// room is the rate of tokens that a new stream would get.
func (e *engine) room() float64 {
	rate := decodeRate * e.efficiency(false)
	if len(e.prompts) > 0 {
		rate *= ownShare
		if e.work.Role == fighollow.RolePrefill {
			rate *= (1 - ownShare) / ownShare
		}
	}
	return rate / float64(len(e.streams)+1)
}

func newEngine(i int, dc string, a fighollow.Assignment) *engine {
	return &engine{id: fmt.Sprintf("engine-%02d", i), dc: dc, plan: a, work: a, counts: newCounts()}
}
