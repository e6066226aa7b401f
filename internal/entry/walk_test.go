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

// step is what a scripted sidecar does with one call.
type step string

const (
	stepAnswer  step = "answer"
	stepRefuse  step = "refuse"
	stepBreak   step = "break"   // accepts, sends some words and ends unknown
	stepNotRun  step = "notRun"  // accepts and ends as not run, as a request given up in the queue
	stepCut     step = "cut"     // accepts, sends some words and cuts the link; the question for the attempt resumes it
	stepLose    step = "lose"    // cuts the link before it accepts; the question for the attempt says that it never ran
	stepForget  step = "forget"  // accepts and cuts the link; nobody knows the attempt afterwards
	stepGap     step = "gap"     // accepts, skips a word and finishes
	stepNothing step = "nothing" // accepts and never answers
)

// script records which requests ran, from the sidecars' side only.
type script struct {
	mu       sync.Mutex
	steps    []step
	attempts map[string]step // by attempt id
	runs     int             // attempts of which work may have happened
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

const walkWords = 9

func (s *script) serve(self **sidecar) func(context.Context, *link.Call, *link.ServerStream) {
	return func(ctx context.Context, call *link.Call, st *link.ServerStream) {
		step := s.next(call)
		never := fighollow.Refusal{Code: fighollow.CodeOutcomeUnknown, Outcome: fighollow.NotRun}
		if call.Resume && step == stepForget {
			never.Outcome = fighollow.Unknown
		}
		switch {
		case call.Resume && (step == stepLose || step == stepForget):
			_ = st.Refuse(never, fighollow.Load{Slots: 8})
			return
		case step == stepRefuse:
			overloaded(ctx, call, st)
			return
		case step == stepLose:
			(*self).cut()
			return
		}
		_ = st.Accept(fighollow.Load{Slots: 8})
		switch {
		case step == stepAnswer || call.Resume:
			_ = sendWords(call, st, walkWords)
			finish(st, walkWords)
		case step == stepBreak:
			_ = sendWords(call, st, int(call.Offset)+2)
			_ = st.Finish(link.Finish{Outcome: fighollow.Unknown})
		case step == stepNotRun:
			_ = st.Finish(link.Finish{Outcome: fighollow.NotRun, Refusal: &fighollow.Refusal{Code: fighollow.CodeTooLate}})
		case step == stepGap:
			_ = st.Chunk(call.Offset+1, 1, []byte("gap"))
			finish(st, walkWords)
		case step == stepNothing:
			<-ctx.Done()
		default:
			_ = sendWords(call, st, int(call.Offset)+2)
			(*self).cut()
		}
	}
}

// Guards against an answer that is not the whole answer, "not run" for a request that ran, a second run of a request that
// must run once, and endless attempts, whatever the upstreams do.
func TestOutcomesAreTrue(t *testing.T) {
	f := startFleet(t)
	var s *script
	for i := range 4 {
		var self *sidecar
		serve := func(ctx context.Context, call *link.Call, st *link.ServerStream) { s.serve(&self)(ctx, call, st) }
		self = f.add(fmt.Sprintf("m-%d", i), "m", serve)
		var other *sidecar
		serveOnce := func(ctx context.Context, call *link.Call, st *link.ServerStream) { s.serve(&other)(ctx, call, st) }
		other = f.add(fmt.Sprintf("once-%d", i), "once", serveOnce)
	}
	steps := []step{stepAnswer, stepRefuse, stepBreak, stepNotRun, stepCut, stepLose, stepForget, stepGap, stepNothing}
	failures := 0
	rapid.Check(t, func(r *rapid.T) {
		s = &script{attempts: make(map[string]step), steps: rapid.SliceOfN(rapid.SampledFrom(steps), 0, 4).Draw(r, "steps")}
		model := rapid.SampledFrom([]string{"m", "once"}).Draw(r, "model")
		stream := rapid.Bool().Draw(r, "stream")
		header := []string{"X-Deadline-Ms", "5000"}
		for _, st := range s.steps {
			if st == stepNothing {
				header[1] = "60"
			}
		}
		a := f.chat(model, stream, header...)
		// Calls that the entry gave up may still be on their way to their sidecar.
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
			if got := a.content(t); got != text(walkWords) {
				r.Fatalf("answer %q", got)
			}
			return
		}
		failures++
		code, notRun := a.refusal(t)
		if notRun && s.runs > 0 {
			r.Fatalf("%s says not run after %d runs", code, s.runs)
		}
		if !notRun && s.runs == 0 && header[1] != "60" {
			r.Fatalf("%s says that it may have run, but nothing did", code)
		}
		if stream && a.status == 200 && strings.Contains(a.body, "[DONE]") {
			r.Fatalf("an error event and [DONE]: %s", a.body)
		}
	})
	qt.Assert(t, failures > 0, qt.IsTrue)
}
