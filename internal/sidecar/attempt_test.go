package sidecar_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/standin/engine"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// resume returns the call that asks again for an attempt sent over c.
func resume(c *link.Conn, id string, offset uint64) link.Call {
	return link.Call{Attempt: id, Resume: true, Offset: offset, Incarnation: c.Peer().Incarnation}
}

// Guards against a resumed answer that repeats or lacks a token, or an attempt that a resume runs again.
func TestBrokenLinkIsResumedAtTheExactOffset(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{})
	for _, at := range []uint64{0, 1, 7, 60} {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			f.control(engine.Control{Action: engine.ActionHold, Step: engine.StepToken, N: int(at)})
			c := f.dial()
			call := generate("pattern adjustment", 60)
			s, err := c.Open(call)
			qt.Assert(t, err, qt.IsNil)
			r := f.receive(s, reply{}, func(r reply) bool { return r.accepted && r.units == at })
			c.Close()
			f.control(engine.Control{Action: engine.ActionRelease, Step: engine.StepToken})
			c = f.dial()
			s, err = c.Open(resume(c, call.Attempt, at))
			qt.Assert(t, err, qt.IsNil)
			r = f.receive(s, r, func(reply) bool { return false })
			qt.Assert(t, r.refusal == nil, qt.IsTrue)
			qt.Assert(t, r.text, qt.Equals, engine.Text("pattern adjustment", 0, 60))
			qt.Assert(t, r.finish.Outcome, qt.Equals, fighollow.Completed)
			qt.Assert(t, len(f.attempts(call.Attempt)), qt.Equals, 1)
		})
	}
}

// Guards against a "not run" for an attempt whose call arrives afterwards and runs.
func TestResumeOfAnUnseenAttemptBarsIt(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{})
	c := f.dial()
	call := generate("never sent", 5)
	r := f.run(c, resume(c, call.Attempt, 0))
	qt.Assert(t, r.refusal.Outcome, qt.Equals, fighollow.NotRun)
	r = f.run(c, call)
	qt.Assert(t, r.refusal.Outcome, qt.Equals, fighollow.NotRun)
	qt.Assert(t, len(f.attempts(call.Attempt)), qt.Equals, 0)
}

// Guards against a false "not run" from a new process for an attempt that the one before it ran.
func TestResumeAtANewProcessIsUnknown(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{})
	c := f.dial()
	old := resume(c, newID(), 0)
	old.Incarnation--
	qt.Assert(t, f.run(c, old).refusal.Outcome, qt.Equals, fighollow.Unknown)
	unnamed := resume(c, "attempt-without-time", 0)
	unnamed.Incarnation = 0
	qt.Assert(t, f.run(c, unnamed).refusal.Outcome, qt.Equals, fighollow.Unknown)
}

// Guards against two runs of one attempt id, however its calls and resumes race.
func TestAttemptRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{Slots: 16})
	var calls []link.Call
	for range 10 {
		calls = append(calls, generate("client reply", 30))
	}
	var wg sync.WaitGroup
	outcomes := make([]map[fighollow.Outcome]int, len(calls))
	for i, call := range calls {
		outcomes[i] = make(map[fighollow.Outcome]int)
		var mu sync.Mutex
		for n := range 6 {
			wg.Go(func() {
				c := f.dial()
				next := call
				if n%2 == 1 {
					next = resume(c, call.Attempt, 0)
				}
				r := f.run(c, next)
				mu.Lock()
				defer mu.Unlock()
				if r.refusal != nil {
					outcomes[i][r.refusal.Outcome]++
				} else if r.finish != nil {
					outcomes[i][r.finish.Outcome]++
				}
			})
		}
	}
	wg.Wait()
	for i, call := range calls {
		runs := len(f.attempts(call.Attempt))
		qt.Assert(t, runs <= 1, qt.IsTrue)
		qt.Assert(t, runs == 1 && outcomes[i][fighollow.NotRun] > 0, qt.IsFalse, qt.Commentf("told as not run: %v", outcomes[i]))
		qt.Assert(t, runs == 0 && outcomes[i][fighollow.Completed] > 0, qt.IsFalse)
	}
}

// Guards against an engine that works on for a caller that left, and a slot that is lost with it.
func TestCancelFreesTheSlot(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{Slots: 1})
	c := f.dial()
	f.control(engine.Control{Action: engine.ActionHold, Step: engine.StepToken, N: 3})
	call := generate("left", 100)
	s, err := c.Open(call)
	qt.Assert(t, err, qt.IsNil)
	f.receive(s, reply{}, func(r reply) bool { return r.units == 3 })
	waiting, err := c.Open(generate("next", 2))
	qt.Assert(t, err, qt.IsNil)
	s.Cancel("caller left")
	f.awaitOutcome(call.Attempt, engine.OutcomeCancelled)
	r := f.receive(waiting, reply{}, func(reply) bool { return false })
	qt.Assert(t, r.finish.Outcome, qt.Equals, fighollow.Completed)
}

// Guards against a queued attempt that runs although it was cancelled before it had a slot.
func TestCancelledInTheQueueDoesNotRun(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{Slots: 1})
	c := f.dial()
	f.control(engine.Control{Action: engine.ActionHold, Step: engine.StepFirstToken})
	first, queued := generate("first", 2), generate("queued", 2)
	s1, err := c.Open(first)
	qt.Assert(t, err, qt.IsNil)
	f.receive(s1, reply{}, func(r reply) bool { return r.accepted })
	s2, err := c.Open(queued)
	qt.Assert(t, err, qt.IsNil)
	f.receive(s2, reply{}, func(r reply) bool { return r.accepted })
	s2.Cancel("caller left")
	await(t, "end of the queued attempt", func() bool {
		r := f.run(c, resume(c, queued.Attempt, 0))
		return r.refusal != nil && r.refusal.Outcome == fighollow.NotRun
	})
	f.control(engine.Control{Action: engine.ActionRelease, Step: engine.StepFirstToken})
	qt.Assert(t, f.receive(s1, reply{}, func(reply) bool { return false }).finish.Outcome, qt.Equals, fighollow.Completed)
	qt.Assert(t, len(f.attempts(queued.Attempt)), qt.Equals, 0)
}

// Guards against an attempt that runs for ever after its entry was killed.
func TestUnresumedAttemptIsCancelledAfterTheWindow(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{})
	c := f.dial()
	f.control(engine.Control{Action: engine.ActionHold, Step: engine.StepToken, N: 3})
	call := generate("orphan", 100)
	s, err := c.Open(call)
	qt.Assert(t, err, qt.IsNil)
	f.receive(s, reply{}, func(r reply) bool { return r.units == 3 })
	c.Close()
	f.awaitOutcome(call.Attempt, engine.OutcomeCancelled)
	c = f.dial()
	await(t, "end of the attempt", func() bool { return f.run(c, resume(c, call.Attempt, 3)).refusal != nil })
	qt.Assert(t, f.run(c, resume(c, call.Attempt, 3)).refusal.Outcome, qt.Equals, fighollow.Unknown)
}

// Guards against an answer that is lost with the last message of a link.
func TestFinishedAnswerCanStillBeResumed(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{})
	c := f.dial()
	call := generate("short", 12)
	qt.Assert(t, f.run(c, call).finish.Outcome, qt.Equals, fighollow.Completed)
	r := f.run(c, resume(c, call.Attempt, 5))
	qt.Assert(t, r.text, qt.Equals, engine.Text("short", 5, 12))
	qt.Assert(t, r.finish.Outcome, qt.Equals, fighollow.Completed)
}

// Guards against an engine crash that is told as a whole answer or as work that did not happen.
func TestEngineCrashInMidStreamIsUnknown(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{})
	c := f.dial()
	f.control(engine.Control{Action: engine.ActionHold, Step: engine.StepToken, N: 4})
	s, err := c.Open(generate("crash", 50))
	qt.Assert(t, err, qt.IsNil)
	r := f.receive(s, reply{}, func(r reply) bool { return r.units == 4 })
	f.control(engine.Control{Action: engine.ActionCrash})
	f.control(engine.Control{Action: engine.ActionRelease, Step: engine.StepToken})
	r = f.receive(s, r, func(reply) bool { return false })
	qt.Assert(t, r.finish.Outcome, qt.Equals, fighollow.Unknown)
	qt.Assert(t, r.text, qt.Equals, engine.Text("crash", 0, 4))
	f.awaitServing("loom")
}

// Guards against refusals that are not "not run", that name no retry, or that run all the same.
func TestRefusalsAreTrue(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{Slots: 1}, func(f *fleet) { f.cfg.QueueLength = 1 })
	c := f.dial()
	f.control(engine.Control{Action: engine.ActionHold, Step: engine.StepFirstToken})
	open := func(call link.Call) *link.Stream {
		s, err := c.Open(call)
		qt.Assert(t, err, qt.IsNil)
		return s
	}
	accepted := func(r reply) bool { return r.accepted }
	f.receive(open(generate("running", 2)), reply{}, accepted)
	queued := generate("queued", 2)
	sq := open(queued)
	f.receive(sq, reply{}, accepted)

	late := generate("late", 2)
	late.Deadline = time.Now().Add(-time.Second).UnixMilli()
	late.Worth = 3
	wrong := generate("wrong model", 2)
	wrong.Generate.Model = "other"
	for code, call := range map[fighollow.Code]link.Call{
		fighollow.CodeOverloaded: generate("too many", 2),
		fighollow.CodeTooLate:    late,
		fighollow.CodeNoUpstream: wrong,
	} {
		r := f.run(c, call)
		qt.Assert(t, r.refusal.Code, qt.Equals, code)
		qt.Assert(t, r.refusal.Outcome, qt.Equals, fighollow.NotRun)
		qt.Assert(t, r.refusal.RetryAfterMs > 0, qt.IsTrue)
		qt.Assert(t, len(f.attempts(call.Attempt)), qt.Equals, 0)
	}

	worthier := generate("worthier", 2)
	worthier.Worth = 5
	sw := open(worthier)
	f.receive(sw, reply{}, accepted)
	r := f.receive(sq, reply{}, func(reply) bool { return false })
	qt.Assert(t, r.finish.Outcome, qt.Equals, fighollow.NotRun)
	f.control(engine.Control{Action: engine.ActionRelease, Step: engine.StepFirstToken})
	r = f.receive(sw, reply{}, func(reply) bool { return false })
	qt.Assert(t, r.finish.Outcome, qt.Equals, fighollow.Completed)
	qt.Assert(t, len(f.attempts(queued.Attempt)), qt.Equals, 0)
}

// Guards against a token that is lost or repeated when the engine's answer breaks off, and an attempt that then runs
// again.
func TestBrokenEngineStreamIsResumed(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{})
	c := f.dial()
	f.control(engine.Control{Action: engine.ActionHold, Step: engine.StepToken, N: 30})
	call := generate("broken stream", 90)
	s, err := c.Open(call)
	qt.Assert(t, err, qt.IsNil)
	r := f.receive(s, reply{}, func(r reply) bool { return r.units == 30 })
	f.control(engine.Control{Action: engine.ActionCut})
	f.control(engine.Control{Action: engine.ActionRelease, Step: engine.StepToken})
	r = f.receive(s, r, func(reply) bool { return false })
	qt.Assert(t, r.text, qt.Equals, engine.Text("broken stream", 0, 90))
	qt.Assert(t, r.finish.Outcome, qt.Equals, fighollow.Completed)
	qt.Assert(t, len(f.attempts(call.Attempt)), qt.Equals, 1)
}

// Guards against an attempt that is told as not run, or as complete, when the engine broke off before its first word.
func TestCutBeforeAcceptIsNotComplete(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{})
	c := f.dial()
	f.control(engine.Control{Action: engine.ActionHold, Step: engine.StepBeforeAccept})
	s, err := c.Open(generate("never begun", 9))
	qt.Assert(t, err, qt.IsNil)
	await(t, "held attempt", func() bool { return f.engine.Record().Held[engine.StepBeforeAccept] == 1 })
	f.control(engine.Control{Action: engine.ActionCut})
	await(t, "cut", func() bool { return f.engine.Record().Held[engine.StepBeforeAccept] == 0 })
	f.control(engine.Control{Action: engine.ActionRelease, Step: engine.StepBeforeAccept})
	r := f.receive(s, reply{}, func(reply) bool { return false })
	qt.Assert(t, r.finish.Outcome, qt.Equals, fighollow.Unknown)
}

// Guards against a queued attempt that is kept past its deadline while all slots are held.
func TestQueuedAttemptEndsWithItsDeadline(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{Slots: 1})
	c := f.dial()
	f.control(engine.Control{Action: engine.ActionHold, Step: engine.StepFirstToken})
	s, err := c.Open(generate("holds the slot", 2))
	qt.Assert(t, err, qt.IsNil)
	f.receive(s, reply{}, func(r reply) bool { return r.accepted })
	queued := generate("waits", 2)
	queued.Deadline = time.Now().Add(time.Second).UnixMilli()
	r := f.run(c, queued)
	qt.Assert(t, r.accepted, qt.IsTrue)
	qt.Assert(t, r.finish.Outcome, qt.Equals, fighollow.NotRun)
	qt.Assert(t, r.finish.Refusal.Code, qt.Equals, fighollow.CodeTooLate)
	qt.Assert(t, len(f.attempts(queued.Attempt)), qt.Equals, 0)
	f.control(engine.Control{Action: engine.ActionRelease, Step: engine.StepFirstToken})
}

// Guards against a "not run" for an attempt of which tokens were delivered, whatever the engine says.
func TestNotRunAfterATokenIsUnknown(t *testing.T) {
	t.Parallel()
	var broken atomic.Bool
	f := startEngine(t, engine.Options{}, func(f *fleet) {
		f.wrap = func(h http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/generate" || !broken.Load() {
					h.ServeHTTP(w, r)
					return
				}
				_, _ = fmt.Fprint(w, "event: token\ndata: {\"index\":0,\"text\":\"a\"}\n\nevent: error\ndata: {\"code\":\"notRun\"}\n\n")
			})
		}
	})
	broken.Store(true)
	r := f.run(f.dial(), generate("contradiction", 5))
	qt.Assert(t, r.text, qt.Equals, "a")
	qt.Assert(t, r.finish.Outcome, qt.Equals, fighollow.Unknown)
}
