package entry_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// step is the behaviour of a scripted sidecar for one call.
type step string

const (
	stepAnswer     step = "answer"
	stepRefuse     step = "refuse"
	stepFail       step = "break"   // accepts, sends some words and finishes with the outcome unknown
	stepNotRun     step = "notRun"  // accepts and finishes with the outcome not run, as for a request that expires in the queue
	stepDisconnect step = "cut"     // accepts, sends some words and closes the link; the attempt can be resumed
	stepLose       step = "lose"    // closes the link before it accepts; a resume is refused as not run
	stepForget     step = "forget"  // accepts and closes the link; a resume is refused with the outcome unknown
	stepSkip       step = "gap"     // accepts, skips an offset and finishes
	stepShort      step = "short"   // accepts, leaves the last word out and finishes
	stepHang       step = "nothing" // accepts and never answers
)

// script assigns steps to calls in order and records which attempts ran, as seen by the sidecars.
type script struct {
	mu       sync.Mutex
	steps    []step
	attempts map[string]step // by attempt id
	runs     int             // attempts that may have run
	calls    int
	resumes  int
}

func (s *script) next(call *link.Call) step {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.Resume {
		s.resumes++
		return s.attempts[call.Attempt]
	}
	st := stepAnswer
	if s.calls < len(s.steps) {
		st = s.steps[s.calls]
	}
	s.calls++
	s.attempts[call.Attempt] = st
	if st != stepRefuse && st != stepNotRun && st != stepLose {
		s.runs++
	}
	return st
}

const scriptWords = 9

func (s *script) serve(self **fakeSidecar) func(context.Context, *link.Call, *link.ServerStream) {
	return func(ctx context.Context, call *link.Call, st *link.ServerStream) {
		step := s.next(call)
		resumeRefusal := fighollow.Refusal{Code: fighollow.CodeOutcomeUnknown, Outcome: fighollow.OutcomeNotRun}
		if call.Resume && step == stepForget {
			resumeRefusal.Outcome = fighollow.OutcomeUnknown
		}
		switch {
		case call.Resume && (step == stepLose || step == stepForget):
			_ = st.Refuse(resumeRefusal, fighollow.Load{Slots: 8})
			return
		case step == stepRefuse:
			refuseOverloaded(ctx, call, st)
			return
		case step == stepLose:
			(*self).closeLinks()
			return
		}
		_ = st.Accept(fighollow.Load{Slots: 8})
		switch {
		case step == stepAnswer || call.Resume:
			_ = sendWords(call, st, scriptWords)
			finishCompleted(st, scriptWords)
		case step == stepFail:
			_ = sendWords(call, st, int(call.Offset)+2)
			_ = st.Finish(link.Finish{Outcome: fighollow.OutcomeUnknown})
		case step == stepNotRun:
			_ = st.Finish(link.Finish{Outcome: fighollow.OutcomeNotRun, Refusal: &fighollow.Refusal{Code: fighollow.CodeTooLate}})
		case step == stepSkip:
			_ = st.Chunk(call.Offset+1, 1, []byte("gap"))
			finishCompleted(st, scriptWords)
		case step == stepShort:
			_ = sendWords(call, st, scriptWords-1)
			finishCompleted(st, scriptWords)
		case step == stepHang:
			<-ctx.Done()
		default:
			_ = sendWords(call, st, int(call.Offset)+2)
			(*self).closeLinks()
		}
	}
}

// Guards against incomplete answers, "not run" for a request that may have run, a second run of a request that is not
// idempotent, and more than 3 calls, for random sequences of upstream failures.
func TestOutcomesAreTrue(t *testing.T) {
	f := startFleet(t)
	var s *script
	for i := range 4 {
		var self *fakeSidecar
		serve := func(ctx context.Context, call *link.Call, st *link.ServerStream) { s.serve(&self)(ctx, call, st) }
		self = f.add(fmt.Sprintf("m-%d", i), "m", serve)
		var other *fakeSidecar
		serveOnce := func(ctx context.Context, call *link.Call, st *link.ServerStream) { s.serve(&other)(ctx, call, st) }
		other = f.add(fmt.Sprintf("once-%d", i), "once", serveOnce)
	}
	steps := []step{stepAnswer, stepRefuse, stepFail, stepNotRun, stepDisconnect, stepLose, stepForget, stepSkip, stepShort, stepHang}
	failures := 0
	rapid.Check(t, func(r *rapid.T) {
		s = &script{attempts: make(map[string]step), steps: rapid.SliceOfN(rapid.SampledFrom(steps), 0, 4).Draw(r, "steps")}
		model := rapid.SampledFrom([]string{"m", "once"}).Draw(r, "model")
		stream := rapid.Bool().Draw(r, "stream")
		header := []string{"X-Deadline-Ms", "5000"}
		for _, st := range s.steps {
			if st == stepHang {
				header[1] = "60"
			}
		}
		a := f.chat(model, stream, header...)
		// Calls that the entry has abandoned may not have reached their sidecar yet.
		time.Sleep(time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.calls > 3 {
			r.Fatalf("%d calls", s.calls)
		}
		if model == "once" && s.runs > 1 {
			r.Fatalf("ran %d times", s.runs)
		}
		if a.status == 200 && !strings.Contains(a.body, `{"error"`) {
			if got := a.content(t); got != wordText(scriptWords) {
				r.Fatalf("answer %q", got)
			}
			return
		}
		failures++
		code, notRun := a.refusal(t)
		if notRun && s.runs > 0 {
			r.Fatalf("%s with outcome not run after %d runs", code, s.runs)
		}
		if !notRun && s.runs == 0 && header[1] != "60" {
			r.Fatalf("%s with outcome unknown, but no attempt ran", code)
		}
		if stream && a.status == 200 && strings.Contains(a.body, "[DONE]") {
			r.Fatalf("an error event and [DONE]: %s", a.body)
		}
	})
	qt.Assert(t, failures > 0, qt.IsTrue)
}
