package policy_test

import (
	"github.com/fighollow/fighollow/internal/admission"
	"github.com/fighollow/fighollow/internal/demand"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Parameters of the fake engines. For work of the other role an engine reaches offRoleRate of its rate; the planner
// assumes 0.8.
const (
	prefillRate  = 8000.0 // tokens/s
	decodeRate   = 1500.0 // tokens/s of all streams
	streamRate   = 150.0  // tokens/s of one stream
	offRoleRate  = 0.75
	ownRoleShare = 0.65 // share of an engine's time for its own role when both roles have work
	slots        = 48
	loadSeconds  = 5.0
	cacheHit     = 0.4       // share of a prompt that a warm prefix cache holds
	cacheTokens  = 400_000.0 // prompt tokens that warm a cache
	tick         = 0.1       // seconds
)

type request struct {
	model                   string
	prompt, output          float64
	arrival, deadline       float64
	worth                   float64
	prefillLeft, decodeLeft float64 // tokens left
}

// engine is a fake engine with continuous batching. It divides its time between prompts, which it processes one by one,
// and streams, which it decodes concurrently.
type engine struct {
	id, dc       string
	planned      fighollow.Assignment // ordered
	assignment   fighollow.Assignment // served
	changeEnd    float64              // end of the current change; 0 without one
	prompts      []*request
	streams      []*request
	queuedTokens float64 // tokens of prompts
	cacheWarmth  float64 // state of the prefix cache, 0 (cold) to 1 (warm)
	counts       map[string]*demand.ModelCount
	restartEnd   float64 // end of the current restart; 0 without one
}

func (e *engine) admits(model string) bool {
	return e.changeEnd == 0 && e.restartEnd == 0 && e.assignment.Model == model && e.planned.EqualIgnoringFence(e.assignment)
}

func (e *engine) efficiency(prefill bool) float64 {
	switch {
	case e.assignment.Role == fighollow.RoleBoth:
		return (1 + offRoleRate) / 2
	case prefill == (e.assignment.Role == fighollow.RolePrefill):
		return 1
	}
	return offRoleRate
}

func (e *engine) count(model string) *demand.ModelCount {
	if e.counts[model] == nil {
		e.counts[model] = &demand.ModelCount{Model: model}
	}
	return e.counts[model]
}

// backlog returns the backlog and rates that a sidecar would measure with the current division of the engine's time.
func (e *engine) backlog() admission.Backlog {
	decode := e.decodeShare(true)
	return admission.Backlog{
		QueuedTokens: int(e.queuedTokens), Running: len(e.streams),
		PrefillTokensPerSecond: prefillRate * e.efficiency(true) * (1 - decode),
		DecodeTokensPerSecond:  decodeRate * e.efficiency(false), StreamTokensPerSecond: streamRate,
	}
}

// decodeShare returns the share of the engine's time for its streams; prompts is set if prompts are waiting.
func (e *engine) decodeShare(prompts bool) float64 {
	share := min(1, float64(len(e.streams))*streamRate/decodeRate)
	switch {
	case !prompts:
		return share
	case e.assignment.Role == fighollow.RolePrefill:
		return min(share, 1-ownRoleShare)
	}
	return min(share, ownRoleShare)
}

func (e *engine) accept(r *request) {
	r.prefillLeft, r.decodeLeft = r.prompt*(1-cacheHit*e.cacheWarmth), r.output
	e.prompts = append(e.prompts, r)
	e.queuedTokens += r.prefillLeft
}

// step simulates one tick. It calls handOff for each finished prompt and finish for each finished stream.
func (e *engine) step(now float64, handOff, finish func(*engine, *request)) {
	if e.applyPlan(now) {
		return
	}
	decode := e.decodeShare(len(e.prompts) > 0)
	e.runDecode(decode, finish)
	e.runPrefill((1-decode)*tick*prefillRate*e.efficiency(true), handOff)
}

// applyPlan starts a planned change once the in-flight requests are finished, and reports whether the engine is out of
// service for a change or a restart.
func (e *engine) applyPlan(now float64) bool {
	switch {
	case e.restartEnd > now || e.changeEnd > now:
		return true
	case e.restartEnd > 0:
		e.restartEnd, e.changeEnd = 0, now+loadSeconds
		return true
	case e.changeEnd > 0:
		e.changeEnd, e.assignment = 0, e.planned
	case !e.planned.EqualIgnoringFence(e.assignment) && len(e.prompts)+len(e.streams) == 0:
		e.changeEnd, e.cacheWarmth = now+loadSeconds, 0
		return true
	}
	return false
}

func (e *engine) runDecode(share float64, finish func(*engine, *request)) {
	if len(e.streams) == 0 {
		return
	}
	tokens := tick * min(streamRate, decodeRate*e.efficiency(false)*share/float64(len(e.streams)))
	left := e.streams[:0]
	for _, r := range e.streams {
		e.count(r.model).DecodeTokens += int64(min(tokens, r.decodeLeft))
		if r.decodeLeft -= tokens; r.decodeLeft > 0 {
			left = append(left, r)
			continue
		}
		finish(e, r)
	}
	e.streams = left
}

func (e *engine) runPrefill(budget float64, handOff func(*engine, *request)) {
	for len(e.prompts) > 0 && budget > 0 {
		r := e.prompts[0]
		done := min(budget, r.prefillLeft)
		budget -= done
		r.prefillLeft -= done
		e.queuedTokens -= done
		e.count(r.model).PrefillTokens += int64(done)
		e.cacheWarmth += (1 - e.cacheWarmth) * done / cacheTokens
		if r.prefillLeft > 0 {
			return
		}
		e.prompts = e.prompts[1:]
		handOff(e, r)
	}
}

func (e *engine) state() fighollow.EngineState {
	s := fighollow.EngineState{Phase: fighollow.PhaseReady, Assignment: e.assignment, Slots: slots, Running: len(e.prompts) + len(e.streams)}
	if e.restartEnd > 0 {
		s.Phase, s.Assignment = fighollow.PhaseEmpty, fighollow.Assignment{}
	} else if e.changeEnd > 0 {
		s.Phase = fighollow.PhaseChanging
	}
	return s
}

func (e *engine) report() demand.Report {
	rep := demand.Report{Engine: e.id, DataCentre: e.dc, State: e.state()}
	rep.Load.QueuedTokens = int(e.queuedTokens)
	for _, m := range e.counts {
		rep.Models = append(rep.Models, *m)
	}
	return rep
}
