package engine

import (
	"context"
	"sort"
	"strings"
	"time"

	protocol "github.com/fighollow/fighollow/internal/engine"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// attempt is one accepted request. Its fields are guarded by the mu of the engine.
type attempt struct {
	req           fighollow.GenerateRequest
	recordIndex   int  // index in Record.Attempts
	awaitingKV    bool // its KV cache is being imported
	cached        int
	prefillTokens float64 // still to be computed before the first output token
	decodeCredit  float64 // output tokens that are due and not yet produced
	hasSlot       bool
	tokens        []string // output tokens from index req.Offset on
	ended         bool
	endedAt       time.Time
	discarded     bool // the output was dropped after resumeWindow
	fault         protocol.Fault
	result        fighollow.GenerateResult
	changed       chan struct{} // closed and replaced when tokens are produced or the attempt ends
}

func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// resumeWindow is how long an attempt can be resumed after its end.
const resumeWindow = 30 * time.Second

// maxRecordedPrompt is the length up to which the record keeps a prompt, in bytes.
const maxRecordedPrompt = 4096

// prune discards the prompts and outputs of attempts that ended more than resumeWindow ago. Their ids are kept, so that a
// repeated id is still refused. e.mu must be held.
func (e *Engine) prune(now time.Time) {
	inc := e.incarnation
	for len(inc.ended) > 0 && now.Sub(inc.ended[0].endedAt) > resumeWindow {
		a := inc.ended[0]
		a.discarded, a.tokens, a.req.Prompt, a.req.Emitted = true, nil, "", ""
		inc.ended[0] = nil
		inc.ended = inc.ended[1:]
	}
}

// accept registers an attempt and adds it to the batch, or returns the fault with which it is refused.
func (e *Engine) accept(req fighollow.GenerateRequest) (*attempt, *protocol.Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	inc := e.incarnation
	e.prune(time.Now())
	if _, ok := inc.attempts[req.ID]; ok {
		return nil, &protocol.Fault{Code: protocol.FaultRepeated, Message: "attempt id " + req.ID + " was used before"}
	}
	if inc.phase != fighollow.PhaseReady || inc.assignment.Model != req.Model {
		return nil, &protocol.Fault{Code: protocol.FaultNotRun, Message: "model " + req.Model + " is not loaded"}
	}
	a := &attempt{req: req, changed: make(chan struct{}), recordIndex: len(e.record.Attempts)}
	e.record.Attempts = append(e.record.Attempts, AttemptRecord{
		ID: req.ID, Model: req.Model, Phase: req.Phase, Offset: req.Offset, Priority: req.Priority,
		Prompt:    strings.Clone(req.Prompt[:min(len(req.Prompt), maxRecordedPrompt)]),
		StartedMs: time.Now().UnixMilli(), Outcome: OutcomeRunning,
	})
	inc.attempts[req.ID] = a
	inc.active = append(inc.active, a)
	e.recordLoad()
	if req.KV != nil {
		a.awaitingKV = true
	} else {
		e.admit(a, inc.cache.matchedTokens(BlockHashes(req.Prompt, req.PromptTokens)))
	}
	e.signal()
	return a, nil
}

// admit makes an attempt eligible for a slot. cached is the number of prompt tokens that need no prefill. e.mu must be held.
func (e *Engine) admit(a *attempt, cached int) {
	a.awaitingKV, a.cached = false, cached
	a.prefillTokens = float64(a.req.PromptTokens - cached + a.req.Offset)
	e.incarnation.cache.insert(BlockHashes(a.req.Prompt, a.req.PromptTokens), e.recordCacheEvent)
	e.record.Attempts[a.recordIndex].Cached = cached
}

// step advances the batch by dt. e.mu must be held.
func (e *Engine) step(dt time.Duration) {
	e.fillSlots()
	budget := e.opts.PrefillRate * dt.Seconds()
	for _, a := range append([]*attempt(nil), e.incarnation.active...) {
		if !a.hasSlot {
			continue
		}
		if a.prefillTokens > 0 {
			used := min(budget, a.prefillTokens)
			budget -= used
			a.prefillTokens -= used
			continue
		}
		e.decode(a, dt)
	}
}

// fillSlots gives free slots to the eligible attempts of highest priority, in the order of arrival among equals. e.mu must be
// held.
func (e *Engine) fillSlots() {
	var waiting []*attempt
	used := 0
	for _, a := range e.incarnation.active {
		if a.hasSlot {
			used++
		} else if !a.awaitingKV {
			waiting = append(waiting, a)
		}
	}
	sort.SliceStable(waiting, func(i, j int) bool { return waiting[i].req.Priority > waiting[j].req.Priority })
	for i := 0; i < len(waiting) && used+i < e.opts.Slots; i++ {
		waiting[i].hasSlot = true
	}
}

// decode produces the output tokens of a that are due after dt, and ends a prefill attempt by exporting its KV cache. e.mu must
// be held.
func (e *Engine) decode(a *attempt, dt time.Duration) {
	if a.req.Phase == fighollow.RequestPrefill {
		a.result = fighollow.GenerateResult{FinishReason: "prefill", KV: e.export(a.req)}
		e.finish(a, OutcomeFinished)
		return
	}
	limit, reason := a.req.MaxTokens, "length"
	if e.opts.StopAfter > 0 && e.opts.StopAfter < limit {
		limit, reason = e.opts.StopAfter, "stop"
	}
	a.decodeCredit += e.opts.DecodeRate * dt.Seconds()
	produced := false
	for a.decodeCredit >= 1 && a.req.Offset+len(a.tokens) < limit && !e.isHeld(a) {
		a.tokens = append(a.tokens, Token(a.req.Prompt, a.req.Offset+len(a.tokens)))
		a.decodeCredit--
		produced = true
	}
	a.decodeCredit = min(a.decodeCredit, 1) // time spent held by a gate must not cause a burst of tokens
	e.record.Attempts[a.recordIndex].Tokens = len(a.tokens)
	if a.req.Offset+len(a.tokens) >= limit && !e.isHeld(a) {
		a.result = fighollow.GenerateResult{FinishReason: reason}
		e.finish(a, OutcomeFinished)
	} else if produced {
		a.notify()
	}
}

// isHeld reports whether a gate holds a before its next token or before its end. e.mu must be held.
func (e *Engine) isHeld(a *attempt) bool {
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
	if g := e.gates[StepToken]; g != nil && next >= g.tokenIndex {
		return held(StepToken)
	}
	return next >= a.req.MaxTokens && held(StepFinish)
}

// finish ends an attempt with an outcome and removes it from the batch. It does nothing for an attempt that has ended. e.mu must
// be held.
func (e *Engine) finish(a *attempt, outcome string) {
	if a.ended {
		return
	}
	a.ended, a.endedAt = true, time.Now()
	e.incarnation.ended = append(e.incarnation.ended, a)
	r := &e.record.Attempts[a.recordIndex]
	r.Outcome, r.EndedMs, r.Tokens = outcome, time.Now().UnixMilli(), len(a.tokens)
	a.result.PromptTokens, a.result.CachedTokens = a.req.PromptTokens, a.cached
	a.result.OutputTokens = a.req.Offset + len(a.tokens)
	if outcome != OutcomeFinished {
		a.fault = protocol.Fault{Code: protocol.FaultInternal, Message: "attempt " + outcome}
	}
	if outcome == OutcomeNotRun {
		a.fault.Code = protocol.FaultNotRun
	}
	var active []*attempt
	for _, other := range e.incarnation.active {
		if other != a {
			active = append(active, other)
		}
	}
	e.incarnation.active = active
	for _, g := range e.gates {
		delete(g.attempts, a.req.ID)
	}
	e.recordLoad()
	a.notify()
}

// awaitTokens returns the tokens of a from index from on, and blocks while there are none and a has not ended. ended reports
// that no further tokens follow those returned.
func (e *Engine) awaitTokens(ctx context.Context, a *attempt, from int) (tokens []string, ended bool) {
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
