package policy_test

import (
	"github.com/fighollow/fighollow/internal/admission"
	"github.com/fighollow/fighollow/internal/demand"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Rates of the fake engines. An engine outside its role reaches offRole of its rate; the planner assumes 0.8.
const (
	prefillRate = 8000.0 // tokens/s
	decodeRate  = 1500.0 // tokens/s of all streams
	streamRate  = 150.0  // tokens/s of one stream
	offRole     = 0.75
	ownShare    = 0.65 // of an engine's time for its own role when both have work
	slots       = 48
	loadSeconds = 5.0
	cacheHit    = 0.4       // share of a prompt that a warm prefix cache holds
	cacheTokens = 400_000.0 // prompt tokens that warm a cache
	tick        = 0.1       // seconds
)

type request struct {
	model             string
	prompt, output    float64
	at, deadline      float64
	worth             float64
	prefill, decoding float64 // tokens left
}

// engine is a fake with continuous batching: its time is shared between prompts, one after the other, and streams.
type engine struct {
	id, dc    string
	plan      fighollow.Assignment // wanted
	work      fighollow.Assignment // served
	until     float64              // end of a change; 0 when none
	prompts   []*request
	streams   []*request
	queued    float64 // tokens of prompts
	warm      float64 // of the prefix cache, 0 to 1
	counts    map[string]*demand.ModelCount
	recovered float64 // end of a restart
}

func (e *engine) admits(model string) bool {
	return e.until == 0 && e.recovered == 0 && e.work.Model == model && e.plan.SameWork(e.work)
}

func (e *engine) efficiency(prefill bool) float64 {
	switch {
	case e.work.Role == fighollow.RoleBoth:
		return (1 + offRole) / 2
	case prefill == (e.work.Role == fighollow.RolePrefill):
		return 1
	}
	return offRole
}

func (e *engine) count(model string) *demand.ModelCount {
	if e.counts[model] == nil {
		e.counts[model] = &demand.ModelCount{Model: model}
	}
	return e.counts[model]
}

// backlog gives the rates as a sidecar measures them, with the engine's time shared as now.
func (e *engine) backlog() admission.Backlog {
	decode := e.decodeShare(true)
	return admission.Backlog{
		QueuedTokens: int(e.queued), Running: len(e.streams),
		PrefillTokensPerSecond: prefillRate * e.efficiency(true) * (1 - decode),
		DecodeTokensPerSecond:  decodeRate * e.efficiency(false), StreamTokensPerSecond: streamRate,
	}
}

// decodeShare is the share of the engine's time that its streams get.
func (e *engine) decodeShare(prompts bool) float64 {
	share := min(1, float64(len(e.streams))*streamRate/decodeRate)
	switch {
	case !prompts:
		return share
	case e.work.Role == fighollow.RolePrefill:
		return min(share, 1-ownShare)
	}
	return min(share, ownShare)
}

func (e *engine) accept(r *request) {
	r.prefill, r.decoding = r.prompt*(1-cacheHit*e.warm), r.output
	e.prompts = append(e.prompts, r)
	e.queued += r.prefill
}

// step works for one tick; handOff takes finished prompts and finish finished answers.
func (e *engine) step(now float64, handOff, finish func(*engine, *request)) {
	if e.change(now) {
		return
	}
	decode := e.decodeShare(len(e.prompts) > 0)
	e.stream(decode, finish)
	e.compute((1-decode)*tick*prefillRate*e.efficiency(true), handOff)
}

// change applies a new plan once the work in flight is done, and reports whether the engine is idle for it.
func (e *engine) change(now float64) bool {
	switch {
	case e.recovered > now || e.until > now:
		return true
	case e.recovered > 0:
		e.recovered, e.until = 0, now+loadSeconds
		return true
	case e.until > 0:
		e.until, e.work = 0, e.plan
	case !e.plan.SameWork(e.work) && len(e.prompts)+len(e.streams) == 0:
		e.until, e.warm = now+loadSeconds, 0
		return true
	}
	return false
}

func (e *engine) stream(share float64, finish func(*engine, *request)) {
	if len(e.streams) == 0 {
		return
	}
	tokens := tick * min(streamRate, decodeRate*e.efficiency(false)*share/float64(len(e.streams)))
	left := e.streams[:0]
	for _, r := range e.streams {
		e.count(r.model).DecodeTokens += int64(min(tokens, r.decoding))
		if r.decoding -= tokens; r.decoding > 0 {
			left = append(left, r)
			continue
		}
		finish(e, r)
	}
	e.streams = left
}

func (e *engine) compute(budget float64, handOff func(*engine, *request)) {
	for len(e.prompts) > 0 && budget > 0 {
		r := e.prompts[0]
		done := min(budget, r.prefill)
		budget -= done
		r.prefill -= done
		e.queued -= done
		e.count(r.model).PrefillTokens += int64(done)
		e.warm += (1 - e.warm) * done / cacheTokens
		if r.prefill > 0 {
			return
		}
		e.prompts = e.prompts[1:]
		handOff(e, r)
	}
}

func (e *engine) state() fighollow.EngineState {
	s := fighollow.EngineState{Phase: fighollow.PhaseReady, Assignment: e.work, Slots: slots, Running: len(e.prompts) + len(e.streams)}
	if e.recovered > 0 {
		s.Phase, s.Assignment = fighollow.PhaseEmpty, fighollow.Assignment{}
	} else if e.until > 0 {
		s.Phase = fighollow.PhaseChanging
	}
	return s
}

func (e *engine) report() demand.Report {
	rep := demand.Report{Engine: e.id, DataCentre: e.dc, State: e.state()}
	rep.Load.QueuedTokens = int(e.queued)
	for _, m := range e.counts {
		rep.Models = append(rep.Models, *m)
	}
	return rep
}
