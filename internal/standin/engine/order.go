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
	life := e.life
	e.mu.Unlock()
	// An order that arrived takes effect even when its sender is gone; only a crash discards it.
	if !e.wait(life.ctx, StepOrderReceived) {
		panic(http.ErrAbortHandler)
	}
	fault := e.order(a)
	if !e.wait(life.ctx, StepOrderReply) {
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
	l := e.life
	rec := OrderRecord{Assignment: a, AtMs: time.Now().UnixMilli(), Running: len(l.active), Result: OrderTaken}
	fault := e.judge(a)
	if fault != nil {
		rec.Result = fault.Code
	}
	e.record.Orders = append(e.record.Orders, rec)
	if fault != nil {
		return fault
	}
	l.fence = max(l.fence, a.Fence)
	if l.phase == fighollow.PhaseReady && l.now.SameWork(a) {
		l.now = a
		e.record.Orders[len(e.record.Orders)-1].AppliedMs = time.Now().UnixMilli()
		return nil
	}
	for _, running := range append([]*attempt(nil), l.active...) {
		e.finish(running, OutcomeInterrupted)
	}
	l.phase, l.now = fighollow.PhaseChanging, a
	l.cache = newPrefixCache(e.opts.CacheBlocks)
	l.changeNo++
	no, index := l.changeNo, len(e.record.Orders)-1
	l.changeEnd = time.AfterFunc(e.opts.Change, func() { e.applied(l, no, index) })
	return nil
}

// judge returns why an order is refused, or nil. e.mu is held.
func (e *Engine) judge(a fighollow.Assignment) *protocol.Fault {
	l := e.life
	switch {
	case e.opts.ChecksFence && a.Fence < l.fence:
		return &protocol.Fault{Code: protocol.FaultStaleFence, Message: fmt.Sprintf("fence %d, seen %d", a.Fence, l.fence)}
	case l.phase == fighollow.PhaseChanging && !e.opts.InterruptsWork:
		return &protocol.Fault{Code: protocol.FaultBusy, Message: "another order is in progress"}
	case len(l.active) > 0 && !e.opts.InterruptsWork:
		return &protocol.Fault{Code: protocol.FaultBusy, Message: fmt.Sprintf("%d requests run", len(l.active))}
	}
	return nil
}

// applied ends the change with number no.
func (e *Engine) applied(l *life, no, index int) {
	if !e.wait(l.ctx, StepOrderApplied) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != l || l.changeNo != no {
		return
	}
	l.phase = fighollow.PhaseReady
	e.record.Orders[index].AppliedMs = time.Now().UnixMilli()
}
