package engine

import (
	"context"
	"fmt"
	"net/http"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Steps at which the engine can be held.
const (
	StepState         = "state"         // before a state report
	StepBeforeAccept  = "beforeAccept"  // before an attempt is taken
	StepFirstToken    = "firstToken"    // before the first token of an attempt
	StepToken         = "token"         // before the token with index N of an attempt
	StepFinish        = "finish"        // after the last token of an attempt
	StepExport        = "export"        // before a KV cache is handed out
	StepOrderReceived = "orderReceived" // before an order is looked at
	StepOrderReply    = "orderReply"    // after an order was taken or refused, before the reply
	StepOrderApplied  = "orderApplied"  // before a change ends
)

// Actions of a Control.
const (
	ActionHold    = "hold"
	ActionRelease = "release"
	ActionCrash   = "crash"
	ActionCut     = "cut" // breaks open answers off; their attempts go on and can be resumed
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

// OrderTaken is the result of an order that the engine took; the other results are the codes of faults.
const OrderTaken = "taken"

// AttemptRecord is one attempt that the engine took.
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
	Tokens    int                    `json:"tokens"` // produced by this attempt
	Cached    int                    `json:"cached"` // prompt tokens found in the cache
}

// OrderRecord is one order that the engine looked at.
type OrderRecord struct {
	Assignment fighollow.Assignment `json:"assignment"`
	AtMs       int64                `json:"atMs"`
	Running    int                  `json:"running"` // requests in flight when it came
	Result     string               `json:"result"`
	AppliedMs  int64                `json:"appliedMs"` // 0 unless the change ended
}

// Record is the reply of GET /record. It outlives crashes.
type Record struct {
	Attempts []AttemptRecord `json:"attempts"`
	Orders   []OrderRecord   `json:"orders"`
	Crashes  int             `json:"crashes"`
	Held     map[string]int  `json:"held"` // attempts and orders held now, by step
}

// gate holds whatever reaches a step.
type gate struct {
	n        int
	open     chan struct{}
	waiting  int
	attempts map[string]bool // ids of attempts held in the batch
}

// Record returns what the engine ran and which orders it got.
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

// Control holds or releases a step, or crashes the engine.
func (e *Engine) Control(c Control) error {
	switch c.Action {
	case ActionCrash:
		e.Crash()
		return nil
	case ActionCut:
		e.cut()
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
		g.n = c.N
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

// cut breaks open answers off.
func (e *Engine) cut() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life.cut()
	e.life.streams, e.life.cut = context.WithCancel(e.life.ctx)
}

// wait blocks while step is held. It reports false when ctx ended first.
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
