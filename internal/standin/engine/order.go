package engine

import (
	"fmt"
	"net/http"
	"time"

	protocol "github.com/fighollow/fighollow/internal/engine"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var a fighollow.Assignment
	if !readJSON(w, r, &a) {
		return
	}
	e.mu.Lock()
	inc := e.incarnation
	e.mu.Unlock()
	// An order that has arrived takes effect even when its sender has disconnected; only a crash discards it.
	if !e.wait(inc.ctx, StepOrderReceived) {
		panic(http.ErrAbortHandler)
	}
	fault := e.order(a)
	if !e.wait(inc.ctx, StepOrderReply) {
		panic(http.ErrAbortHandler)
	}
	if fault != nil {
		writeFault(w, http.StatusConflict, *fault)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) order(a fighollow.Assignment) *protocol.Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	inc := e.incarnation
	rec := OrderRecord{Assignment: a, AtMs: time.Now().UnixMilli(), Running: len(inc.active), Result: OrderAccepted}
	fault := e.checkOrder(a)
	if fault != nil {
		rec.Result = fault.Code
	}
	e.record.Orders = append(e.record.Orders, rec)
	if fault != nil {
		return fault
	}
	inc.highestFence = max(inc.highestFence, a.Fence)
	if inc.phase == fighollow.PhaseReady && inc.assignment.EqualIgnoringFence(a) {
		inc.assignment = a
		e.record.Orders[len(e.record.Orders)-1].AppliedMs = time.Now().UnixMilli()
		return nil
	}
	for _, running := range append([]*attempt(nil), inc.active...) {
		e.finish(running, OutcomeInterrupted)
	}
	inc.phase, inc.assignment = fighollow.PhaseChanging, a
	inc.cache = newPrefixCache(e.opts.CacheBlocks)
	inc.lastChange++
	change, index := inc.lastChange, len(e.record.Orders)-1
	inc.changeTimer = time.AfterFunc(e.opts.ChangeTime, func() { e.endChange(inc, change, index) })
	return nil
}

// checkOrder returns the fault with which an order is refused, or nil. e.mu must be held.
func (e *Engine) checkOrder(a fighollow.Assignment) *protocol.Fault {
	inc := e.incarnation
	switch {
	case e.opts.ChecksFence && a.Fence < inc.highestFence:
		return &protocol.Fault{Code: protocol.FaultStaleFence, Message: fmt.Sprintf("fence %d, seen %d", a.Fence, inc.highestFence)}
	case inc.phase == fighollow.PhaseChanging && !e.opts.InterruptsWork:
		return &protocol.Fault{Code: protocol.FaultBusy, Message: "another order is in progress"}
	case len(inc.active) > 0 && !e.opts.InterruptsWork:
		return &protocol.Fault{Code: protocol.FaultBusy, Message: fmt.Sprintf("%d requests run", len(inc.active))}
	}
	return nil
}

// endChange completes a change, unless a crash or a later change has replaced it. index is the index of its order in the record.
func (e *Engine) endChange(inc *incarnation, change, index int) {
	if !e.wait(inc.ctx, StepOrderApplied) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != inc || inc.lastChange != change {
		return
	}
	inc.phase = fighollow.PhaseReady
	e.record.Orders[index].AppliedMs = time.Now().UnixMilli()
}
