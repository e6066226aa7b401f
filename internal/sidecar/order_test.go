package sidecar_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/sidecar"
	"github.com/fighollow/fighollow/internal/standin/engine"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// checkOrders fails if an order arrived while requests were running, a fence decreased, or an attempt was interrupted.
func (f *fixture) checkOrders() {
	f.t.Helper()
	highest := uint64(0)
	for _, o := range f.engine.Record().Orders {
		qt.Assert(f.t, o.Running, qt.Equals, 0, qt.Commentf("order %+v", o))
		qt.Assert(f.t, o.Assignment.Fence >= highest, qt.IsTrue, qt.Commentf("fence %d after %d", o.Assignment.Fence, highest))
		highest = o.Assignment.Fence
	}
	for _, a := range f.engine.Record().Attempts {
		qt.Assert(f.t, a.Outcome, qt.Not(qt.Equals), engine.OutcomeInterrupted, qt.Commentf("%+v", a))
	}
}

// Guards against a role change that interrupts an answer, and against admission before the change has ended. The engine
// of this test interrupts running requests when it gets an order.
func TestRoleChangeWaitsForWork(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{InterruptsWork: true})
	c := f.dial()
	f.controlEngine(engine.Control{Action: engine.ActionHold, Step: engine.StepToken, N: 5})
	call := generateCall("long answer", 200)
	s, err := c.Open(call)
	qt.Assert(t, err, qt.IsNil)
	r := f.receive(s, response{}, func(r response) bool { return r.units == 5 })
	f.putPlan(2, assignment("velvet", 2))
	await(t, "closed admission", func() bool {
		r := f.run(c, generateCall("during the change", 1))
		return r.refusal != nil && r.refusal.Code == fighollow.CodeNotReady && r.refusal.RetryAfterMs > 0
	})
	f.controlEngine(engine.Control{Action: engine.ActionRelease, Step: engine.StepToken})
	r = f.receive(s, r, func(response) bool { return false })
	qt.Assert(t, r.text, qt.Equals, engine.Text("long answer", 0, 200))
	f.awaitServing("velvet")
	f.checkOrders()
	qt.Assert(t, len(f.engine.Record().Orders), qt.Equals, 2)
}

// Guards against an engine that stays without a model after a crash during a change, and against a new fence for the
// repeated order.
func TestCrashInAChangeIsOrderedAgain(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{})
	f.controlEngine(engine.Control{Action: engine.ActionHold, Step: engine.StepOrderApplied})
	f.putPlan(2, assignment("velvet", 2))
	await(t, "change", func() bool { return f.engine.State().Phase == fighollow.PhaseChanging })
	f.controlEngine(engine.Control{Action: engine.ActionCrash})
	f.controlEngine(engine.Control{Action: engine.ActionRelease, Step: engine.StepOrderApplied})
	f.awaitServing("velvet")
	f.checkOrders()
	orders := f.engine.Record().Orders
	qt.Assert(t, orders[len(orders)-1].Assignment.Fence, qt.Equals, uint64(2))
}

// Guards against a repeated order, and against work admitted too early, when the reply to an order is lost.
func TestOrderWithALostReplyIsObserved(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{InterruptsWork: true})
	f.controlEngine(engine.Control{Action: engine.ActionHold, Step: engine.StepOrderReply})
	f.putPlan(2, assignment("velvet", 2))
	f.awaitServing("velvet") // after the order has timed out
	f.controlEngine(engine.Control{Action: engine.ActionRelease, Step: engine.StepOrderReply})
	f.checkOrders()
	qt.Assert(t, len(f.engine.Record().Orders), qt.Equals, 2)
}

// Guards against a new sidecar that sends orders or admits work while an order of a killed sidecar can still take
// effect. The engine of this test does not check fencing tokens.
func TestNewSidecarWaitsForAnOrderLeftBehind(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "engine")
	f.cfg.Upstream.ChecksFence, f.cfg.Upstream.OrderSettleMs = false, 600
	f.startEngineServer(engine.Options{InterruptsWork: true, ChangeTime: 20 * time.Millisecond, Initial: assignment("loom", 1)})
	f.putPlan(3, assignment("loom", 3))
	f.start()
	c := f.dial()
	oldOrder := time.AfterFunc(300*time.Millisecond, func() {
		order := assignment("velvet", 2)
		body, err := json.Marshal(order)
		if err != nil {
			return
		}
		res, err := http.Post("http://"+f.cfg.Upstream.Address+"/order", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = res.Body.Close()
		}
	})
	defer oldOrder.Stop()
	var calls []response
	await(t, "corrected order", func() bool {
		calls = append(calls, f.run(c, generateCall("steady", 20)))
		o := f.engine.Record().Orders
		return len(o) == 2 && o[1].Assignment.Fence == 3 && calls[len(calls)-1].finish != nil
	})
	for _, r := range calls {
		qt.Assert(t, r.finish == nil || r.finish.Outcome == fighollow.OutcomeCompleted, qt.IsTrue, qt.Commentf("%+v", r.finish))
	}
	for _, a := range f.engine.Record().Attempts {
		qt.Assert(t, a.Outcome, qt.Equals, engine.OutcomeFinished)
	}
}

// Guards against a drain that interrupts work, of which the entries are not notified, or that a restore does not end.
func TestDrainAndRestore(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{})
	c := f.dial()
	f.putObject(fighollow.KindDrain, "upstream-1", fighollow.Drain{Action: fighollow.ActionDrain, By: "operator"})
	await(t, "drain", func() bool {
		r := f.run(c, generateCall("drained", 1))
		return r.refusal != nil && r.refusal.Code == fighollow.CodeDraining
	})
	await(t, "Leaving message", func() bool { return f.entry.count(sidecar.LeavingTopic) >= 1 })
	qt.Assert(t, f.adminStatus("/readyz"), qt.Equals, http.StatusServiceUnavailable)
	o, err := f.store.Get(context.Background(), fighollow.KindDrain, "upstream-1")
	qt.Assert(t, err, qt.IsNil)
	_, err = f.store.Delete(context.Background(), fighollow.KindDrain, "upstream-1", o.Version)
	qt.Assert(t, err, qt.IsNil)
	f.awaitServing("loom")
	qt.Assert(t, f.adminStatus("/readyz"), qt.Equals, http.StatusOK)
	qt.Assert(t, f.errors.count("objectInvalid"), qt.Equals, 0)
}

// Guards against an undecodable object that ends a drain, is not logged, or is logged again in each reconcile round.
func TestUnreadableObjectIsLoggedOnce(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{})
	f.putObject(fighollow.KindDrain, "upstream-1", fighollow.Drain{Action: fighollow.ActionDrain})
	drained := func() bool { return f.adminStatus("/readyz") == http.StatusServiceUnavailable }
	await(t, "drain", drained)
	f.putObject(fighollow.KindDrain, "upstream-1", []int{1})
	await(t, "log line", func() bool { return f.errors.count("objectInvalid") == 1 })
	f.putPlan(2, assignment("velvet", 2))
	await(t, "order some rounds later", func() bool { return f.engine.State().Assignment.Model == "velvet" })
	qt.Assert(t, f.errors.count("objectInvalid"), qt.Equals, 1)
	qt.Assert(t, drained(), qt.IsTrue)
}

// Guards against a successor of a replaced engine that stays drained.
func TestReplaceEndsWithTheSuccessor(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{})
	c := f.dial()
	f.putObject(fighollow.KindDrain, "upstream-1", fighollow.Drain{
		Action: fighollow.ActionReplace, Incarnation: f.engine.State().StartedMs,
	})
	await(t, "drain", func() bool {
		r := f.run(c, generateCall("replaced", 1))
		return r.refusal != nil && r.refusal.Code == fighollow.CodeDraining
	})
	f.controlEngine(engine.Control{Action: engine.ActionCrash})
	f.awaitServing("loom")
}

func (f *fixture) adminStatus(path string) int {
	res, err := http.Get("http://" + f.cfg.Admin + path)
	qt.Assert(f.t, err, qt.IsNil)
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	qt.Assert(f.t, err, qt.IsNil)
	return res.StatusCode
}

// Guards against an admin server without one of its paths.
func TestAdminPaths(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{})
	for _, path := range []string{"/healthz", "/readyz", "/metrics"} {
		qt.Assert(t, f.adminStatus(path), qt.Equals, http.StatusOK, qt.Commentf(path))
	}
}

// Guards against answers that are interrupted while the assignment changes back and forth under load.
func TestChangesUnderLoadInterruptNothing(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{InterruptsWork: true, Slots: 4, DecodeRate: 500}, func(f *fixture) { f.cfg.Upstream.OrderSettleMs = 50 })
	stop := make(chan struct{})
	done := make(chan int)
	load := func(c *link.Conn) {
		completed := 0
		for {
			select {
			case <-stop:
				done <- completed
				return
			default:
			}
			call := generateCall("under load", 20)
			call.Generate.Model = []string{"loom", "velvet"}[completed%2]
			r := f.run(c, call)
			if r.finish == nil {
				call.Generate.Model = []string{"velvet", "loom"}[completed%2]
				call.Attempt = newID()
				call.Generate.ID = call.Attempt
				r = f.run(c, call)
			}
			if r.finish != nil {
				if r.finish.Outcome == fighollow.OutcomeUnknown {
					f.t.Errorf("interrupted: %+v", r.finish.Refusal)
				}
				completed++
			}
		}
	}
	for range 6 {
		go load(f.dial())
	}
	for i := uint64(2); i < 8; i++ {
		f.putPlan(i, assignment([]string{"velvet", "loom"}[i%2], i))
		await(t, "change", func() bool {
			s := f.engine.State()
			return s.Phase == fighollow.PhaseReady && s.Assignment.Fence == i
		})
	}
	close(stop)
	total := 0
	for range 6 {
		total += <-done
	}
	qt.Assert(t, total > 0, qt.IsTrue)
	f.checkOrders()
}
