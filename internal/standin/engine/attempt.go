package engine

import (
	"context"
	"sort"
	"strings"
	"time"

	protocol "github.com/fighollow/fighollow/internal/engine"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// attempt is one request in the batch. Its fields are guarded by the engine's mu.
type attempt struct {
	req     fighollow.GenerateRequest
	record  int  // index in the record
	waiting bool // for its KV cache
	cached  int
	prefill float64 // tokens still to be computed before the first output token
	carry   float64 // part of an output token produced
	slot    bool
	tokens  []string // from req.Offset
	ended   bool
	endedAt time.Time
	gone    bool // the answer is no longer kept
	fault   protocol.Fault
	result  fighollow.GenerateResult
	changed chan struct{} // closed and replaced at each change
}

func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// keepEnded is how long the answer of an attempt that ended can be resumed.
const keepEnded = 30 * time.Second

// maxRecordedPrompt bounds the part of a prompt that the record shows, in bytes.
const maxRecordedPrompt = 4096

// prune lets go of old answers and prompts; the ids stay. e.mu is held.
func (e *Engine) prune(now time.Time) {
	l := e.life
	for len(l.ended) > 0 && now.Sub(l.ended[0].endedAt) > keepEnded {
		a := l.ended[0]
		a.gone, a.tokens, a.req.Prompt, a.req.Emitted = true, nil, "", ""
		l.ended[0] = nil
		l.ended = l.ended[1:]
	}
}

// begin registers an attempt and puts it into the batch. Its fault says why it was not taken.
func (e *Engine) begin(req fighollow.GenerateRequest) (*attempt, *protocol.Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.life
	e.prune(time.Now())
	if _, ok := l.attempts[req.ID]; ok {
		return nil, &protocol.Fault{Code: protocol.FaultRepeated, Message: "attempt id " + req.ID + " was used before"}
	}
	if l.phase != fighollow.PhaseReady || l.now.Model != req.Model {
		return nil, &protocol.Fault{Code: protocol.FaultNotRun, Message: "model " + req.Model + " is not loaded"}
	}
	a := &attempt{req: req, changed: make(chan struct{}), record: len(e.record.Attempts)}
	e.record.Attempts = append(e.record.Attempts, AttemptRecord{
		ID: req.ID, Model: req.Model, Phase: req.Phase, Offset: req.Offset, Priority: req.Priority,
		Prompt:    strings.Clone(req.Prompt[:min(len(req.Prompt), maxRecordedPrompt)]),
		StartedMs: time.Now().UnixMilli(), Outcome: OutcomeRunning,
	})
	l.attempts[req.ID] = a
	l.active = append(l.active, a)
	e.noteLoad()
	if req.KV != nil {
		a.waiting = true
	} else {
		e.enter(a, l.cache.hit(Pieces(req.Prompt, req.PromptTokens)))
	}
	e.signal()
	return a, nil
}

// enter lets the batch run an attempt that finds cached tokens of its prompt. e.mu is held.
func (e *Engine) enter(a *attempt, cached int) {
	a.waiting, a.cached = false, cached
	a.prefill = float64(a.req.PromptTokens - cached + a.req.Offset)
	e.life.cache.add(Pieces(a.req.Prompt, a.req.PromptTokens), e.noteCache)
	e.record.Attempts[a.record].Cached = cached
}

// step advances the batch by dt. e.mu is held.
func (e *Engine) step(dt time.Duration) {
	e.fillSlots()
	budget := e.opts.PrefillRate * dt.Seconds()
	for _, a := range append([]*attempt(nil), e.life.active...) {
		if !a.slot {
			continue
		}
		if a.prefill > 0 {
			used := min(budget, a.prefill)
			budget -= used
			a.prefill -= used
			continue
		}
		e.decode(a, dt)
	}
}

// fillSlots gives free slots to the waiting attempts of highest priority. e.mu is held.
func (e *Engine) fillSlots() {
	var waiting []*attempt
	used := 0
	for _, a := range e.life.active {
		if a.slot {
			used++
		} else if !a.waiting {
			waiting = append(waiting, a)
		}
	}
	sort.SliceStable(waiting, func(i, j int) bool { return waiting[i].req.Priority > waiting[j].req.Priority })
	for i := 0; i < len(waiting) && used+i < e.opts.Slots; i++ {
		waiting[i].slot = true
	}
}

// decode produces the output tokens of a due after dt. e.mu is held.
func (e *Engine) decode(a *attempt, dt time.Duration) {
	if a.req.Phase == fighollow.RequestPrefill {
		a.result = fighollow.GenerateResult{FinishReason: "prefill", KV: e.export(a.req)}
		e.finish(a, OutcomeFinished)
		return
	}
	last, reason := a.req.MaxTokens, "length"
	if e.opts.StopAfter > 0 && e.opts.StopAfter < last {
		last, reason = e.opts.StopAfter, "stop"
	}
	a.carry += e.opts.DecodeRate * dt.Seconds()
	produced := false
	for a.carry >= 1 && a.req.Offset+len(a.tokens) < last && !e.heldAt(a) {
		a.tokens = append(a.tokens, Token(a.req.Prompt, a.req.Offset+len(a.tokens)))
		a.carry--
		produced = true
	}
	a.carry = min(a.carry, 1) // a hold does not save up tokens
	e.record.Attempts[a.record].Tokens = len(a.tokens)
	if a.req.Offset+len(a.tokens) >= last && !e.heldAt(a) {
		a.result = fighollow.GenerateResult{FinishReason: reason}
		e.finish(a, OutcomeFinished)
	} else if produced {
		a.notify()
	}
}

// heldAt reports whether a gate stops a before its next token, or before its end. e.mu is held.
func (e *Engine) heldAt(a *attempt) bool {
	next := a.req.Offset + len(a.tokens)
	held := func(step string) bool {
		g := e.gates[step]
		if g == nil {
			return false
		}
		g.attempts[a.req.ID] = true
		return true
	}
	if len(a.tokens) == 0 && held(StepFirstToken) {
		return true
	}
	if g := e.gates[StepToken]; g != nil && next >= g.n {
		return held(StepToken)
	}
	return next >= a.req.MaxTokens && held(StepFinish)
}

// finish ends an attempt. e.mu is held.
func (e *Engine) finish(a *attempt, outcome string) {
	if a.ended {
		return
	}
	a.ended, a.endedAt = true, time.Now()
	e.life.ended = append(e.life.ended, a)
	r := &e.record.Attempts[a.record]
	r.Outcome, r.EndedMs, r.Tokens = outcome, time.Now().UnixMilli(), len(a.tokens)
	a.result.PromptTokens, a.result.CachedTokens = a.req.PromptTokens, a.cached
	a.result.OutputTokens = a.req.Offset + len(a.tokens)
	if outcome != OutcomeFinished {
		a.fault = protocol.Fault{Code: protocol.FaultInternal, Message: "attempt " + outcome}
	}
	if outcome == OutcomeNotRun {
		a.fault.Code = protocol.FaultNotRun
	}
	var rest []*attempt
	for _, other := range e.life.active {
		if other != a {
			rest = append(rest, other)
		}
	}
	e.life.active = rest
	for _, g := range e.gates {
		delete(g.attempts, a.req.ID)
	}
	e.noteLoad()
	a.notify()
}

// await returns the tokens of a from index from on, waiting for the next one. ended is set with the last of them.
func (e *Engine) await(ctx context.Context, a *attempt, from int) (tokens []string, ended bool) {
	for {
		e.mu.Lock()
		tokens, ended = nil, a.ended
		if i := from - a.req.Offset; i >= 0 && i < len(a.tokens) {
			tokens = a.tokens[i:]
		}
		changed := a.changed
		e.mu.Unlock()
		if len(tokens) > 0 || ended {
			return tokens, ended
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false
		}
	}
}
