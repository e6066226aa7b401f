package engine

import (
	"context"
	"fmt"
	"net/http"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Steps at which the engine can be held by a Control.
const (
	StepState         = "state"         // before the reply to a state request
	StepBeforeAccept  = "beforeAccept"  // before an attempt is accepted or refused
	StepFirstToken    = "firstToken"    // before the first token of an attempt
	StepToken         = "token"         // before the token with index N of an attempt, or a later one
	StepFinish        = "finish"        // after the last token of an attempt, before its result
	StepExport        = "export"        // before the reply to the request for a KV cache
	StepOrderReceived = "orderReceived" // before an order is checked
	StepOrderReply    = "orderReply"    // after an order was accepted or refused, before the reply
	StepOrderApplied  = "orderApplied"  // before a change of model or role completes
)

// Actions of a Control.
const (
	ActionHold       = "hold"
	ActionRelease    = "release"
	ActionCrash      = "crash"
	ActionCutStreams = "cut" // closes the open streams; their attempts keep running and can be resumed
)

// Control is the body of POST /control.
type Control struct {
	Action string `json:"action"`
	Step   string `json:"step,omitempty"`
	N      int    `json:"n,omitempty"` // for StepToken
}

// Outcomes of an attempt in a Record.
const (
	OutcomeRunning     = "running"
	OutcomeFinished    = "finished"
	OutcomeCancelled   = "cancelled"
	OutcomeInterrupted = "interrupted" // by a crash or an order
	OutcomeNotRun      = "notRun"      // no token was computed
)

// OrderAccepted is the result of an accepted order in a Record. The result of a refused order is the code of its fault.
const OrderAccepted = "taken"

// AttemptRecord describes one accepted attempt.
type AttemptRecord struct {
	ID        string                 `json:"id"`
	Model     string                 `json:"model"`
	Phase     fighollow.RequestPhase `json:"phase"`
	Prompt    string                 `json:"prompt"`
	Offset    int                    `json:"offset"`
	Priority  int                    `json:"priority"`
	StartedMs int64                  `json:"startedMs"`
	EndedMs   int64                  `json:"endedMs"` // 0 while it runs
	Outcome   string                 `json:"outcome"`
	Tokens    int                    `json:"tokens"` // output tokens produced by this attempt
	Cached    int                    `json:"cached"` // prompt tokens found in the prefix cache
}

// OrderRecord describes one order that the engine accepted or refused.
type OrderRecord struct {
	Assignment fighollow.Assignment `json:"assignment"`
	AtMs       int64                `json:"atMs"`
	Running    int                  `json:"running"` // requests in flight when the order was checked
	Result     string               `json:"result"`
	AppliedMs  int64                `json:"appliedMs"` // 0 until the change completes
}

// Record is the reply to GET /record. It is kept across crashes.
type Record struct {
	Attempts []AttemptRecord `json:"attempts"`
	Orders   []OrderRecord   `json:"orders"`
	Crashes  int             `json:"crashes"`
	Held     map[string]int  `json:"held"` // attempts, orders and other calls held now, by step
}

// gate blocks everything that reaches a step until the step is released.
type gate struct {
	tokenIndex int             // for StepToken
	open       chan struct{}   // closed when the step is released
	waiting    int             // callers blocked in Engine.wait
	attempts   map[string]bool // ids of the attempts that are held in the batch
}

// Record returns a copy of the record of attempts and orders.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record
	r.Attempts = append([]AttemptRecord(nil), e.record.Attempts...)
	r.Orders = append([]OrderRecord(nil), e.record.Orders...)
	r.Held = make(map[string]int)
	for step, g := range e.gates {
		if n := g.waiting + len(g.attempts); n > 0 {
			r.Held[step] = n
		}
	}
	return r
}

// Control holds or releases a step, closes the open streams or crashes the engine. It returns an error for an unknown action.
func (e *Engine) Control(c Control) error {
	switch c.Action {
	case ActionCrash:
		e.Crash()
		return nil
	case ActionCutStreams:
		e.cutStreams()
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.gates[c.Step]
	switch c.Action {
	case ActionHold:
		if g == nil {
			g = &gate{open: make(chan struct{}), attempts: make(map[string]bool)}
			e.gates[c.Step] = g
		}
		g.tokenIndex = c.N
	case ActionRelease:
		if g != nil {
			close(g.open)
			delete(e.gates, c.Step)
		}
	default:
		return fmt.Errorf("engine: unknown action %q", c.Action)
	}
	return nil
}

// cutStreams closes the open streams and keeps the attempts running.
func (e *Engine) cutStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation.cancelStreams()
	e.incarnation.streamCtx, e.incarnation.cancelStreams = context.WithCancel(e.incarnation.ctx)
}

// wait blocks while step is held. It reports false when ctx has ended.
func (e *Engine) wait(ctx context.Context, step string) bool {
	e.mu.Lock()
	g := e.gates[step]
	if g == nil {
		e.mu.Unlock()
		return ctx.Err() == nil
	}
	g.waiting++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		g.waiting--
	}()
	select {
	case <-g.open:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) serveRecord(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Record())
}

func (e *Engine) serveControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if !readJSON(w, r, &c) {
		return
	}
	if err := e.Control(c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
