package entry_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/entry"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/internal/settings"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// calls returns the calls of all sidecars, without questions for an attempt.
func calls(sidecars ...*sidecar) []link.Call {
	var out []link.Call
	for _, s := range sidecars {
		for _, c := range s.seen() {
			if !c.Resume {
				out = append(out, c)
			}
		}
	}
	return out
}

// breakAfter accepts a call, sends words up to n and cuts the links. It refuses questions for the attempt with outcome.
func breakAfter(s **sidecar, n int, outcome fighollow.Outcome) func(context.Context, *link.Call, *link.ServerStream) {
	return func(ctx context.Context, call *link.Call, st *link.ServerStream) {
		if call.Resume {
			_ = st.Refuse(fighollow.Refusal{Code: fighollow.CodeOutcomeUnknown, Outcome: outcome}, fighollow.Load{})
			return
		}
		if n >= 0 {
			_ = st.Accept(fighollow.Load{Slots: 8})
			_ = sendWords(call, st, n)
			// The next message reaches the entry after the words, so that its cancellation would show them lost.
			time.Sleep(20 * time.Millisecond)
		}
		(*s).cut()
		<-ctx.Done()
	}
}

// Guards against refusals that reach the caller although another engine would serve, and against more than 3 attempts.
func TestRefusedRequestsAreTriedElsewhere(t *testing.T) {
	for _, model := range []string{"m", "once"} {
		f := startFleet(t)
		one := f.add("engine-1", model, overloaded)
		two := f.add("engine-2", model, words(4))
		for range 5 {
			a := f.chat(model, true)
			qt.Assert(t, a.content(t), qt.Equals, text(4))
		}
		two.answer(overloaded)
		for _, id := range []string{"engine-3", "engine-4", "engine-5"} {
			f.add(id, model, overloaded)
		}
		before := len(calls(one, two))
		a := f.chat(model, true)
		code, notRun := a.refusal(t)
		qt.Assert(t, a.status, qt.Equals, 503)
		qt.Assert(t, code, qt.Equals, "overloaded")
		qt.Assert(t, notRun, qt.IsTrue)
		qt.Assert(t, a.header.Get("Retry-After"), qt.Equals, "1")
		qt.Assert(t, len(calls(one, two))-before <= 3, qt.IsTrue)
	}
}

// Guards against a second run of a request that must run at most once, and against "not run" for one that may have run.
func TestUnknownOutcomeIsNotRepeated(t *testing.T) {
	f := startFleet(t)
	var one, two *sidecar
	one = f.add("engine-1", "once", breakAfter(&one, 0, fighollow.Unknown))
	two = f.add("engine-2", "once", breakAfter(&two, 0, fighollow.Unknown))
	a := f.chat("once", false)
	code, notRun := a.refusal(t)
	qt.Assert(t, a.status, qt.Equals, 504)
	qt.Assert(t, code, qt.Equals, "outcomeUnknown")
	qt.Assert(t, notRun, qt.IsFalse)
	qt.Assert(t, calls(one, two), qt.HasLen, 1)
}

// Guards against "not run" from a sidecar that cannot know: one that accepted the attempt, or the successor of the one
// that got the call.
func TestNotRunIsBelievedOnlyWhereItCanBeTrue(t *testing.T) {
	f := startFleet(t)
	var one *sidecar
	one = f.add("engine-1", "once", breakAfter(&one, 0, fighollow.NotRun))
	a := f.chat("once", false)
	_, notRun := a.refusal(t)
	qt.Assert(t, a.status, qt.Equals, 504)
	qt.Assert(t, notRun, qt.IsFalse)

	f = startFleet(t)
	var two *sidecar
	two = f.add("engine-1", "once", func(ctx context.Context, call *link.Call, st *link.ServerStream) {
		if call.Resume {
			_ = st.Refuse(fighollow.Refusal{Code: fighollow.CodeOutcomeUnknown, Outcome: fighollow.NotRun}, fighollow.Load{})
			return
		}
		two.restart(t)
		<-ctx.Done()
	})
	a = f.chat("once", false)
	_, notRun = a.refusal(t)
	qt.Assert(t, a.status, qt.Equals, 504)
	qt.Assert(t, notRun, qt.IsFalse)
}

// Guards against an unknown outcome where the sidecar can tell that the call never arrived.
func TestLostCallIsTriedElsewhere(t *testing.T) {
	f := startFleet(t)
	var one, two *sidecar
	one = f.add("engine-1", "once", breakAfter(&one, -1, fighollow.NotRun))
	two = f.add("engine-2", "once", breakAfter(&two, -1, fighollow.NotRun))
	f.add("engine-3", "once", words(3))
	for range 100 {
		a := f.chat("once", false)
		qt.Assert(t, a.content(t), qt.Equals, text(3))
		if len(calls(one, two)) > 0 {
			return
		}
	}
	t.Fatal("no call was lost")
}

// Guards against answers that lose or repeat tokens when the link breaks in mid-stream.
func TestBrokenLinkResumesAtTheOffset(t *testing.T) {
	for _, model := range []string{"m", "once"} {
		f := startFleet(t)
		var one *sidecar
		one = f.add("engine-1", model, func(ctx context.Context, call *link.Call, st *link.ServerStream) {
			_ = st.Accept(fighollow.Load{Slots: 8})
			if !call.Resume {
				_ = sendWords(call, st, 10)
				time.Sleep(20 * time.Millisecond)
				one.cut()
				return
			}
			_ = sendWords(call, st, 20)
			finish(st, 20)
		})
		a := f.chat(model, true)
		qt.Assert(t, a.content(t), qt.Equals, text(20))
		seen := one.seen()
		qt.Assert(t, seen, qt.HasLen, 2)
		qt.Assert(t, seen[1].Resume, qt.IsTrue)
		qt.Assert(t, seen[1].Attempt, qt.Equals, seen[0].Attempt)
		qt.Assert(t, seen[1].Offset, qt.Equals, uint64(10))
	}
}

// Guards against an engine's crash that ends an answer which another engine can continue.
func TestAnotherEngineContinuesTheAnswer(t *testing.T) {
	f := startFleet(t)
	fail := func(_ context.Context, call *link.Call, st *link.ServerStream) {
		_ = st.Accept(fighollow.Load{Slots: 8})
		_ = sendWords(call, st, 7)
		r := fighollow.Refusal{Code: fighollow.CodeUpstreamFailed, Outcome: fighollow.Unknown}
		_ = st.Finish(link.Finish{Outcome: fighollow.Unknown, Refusal: &r})
	}
	one := f.add("engine-1", "m", fail)
	a := f.chat("m", true)
	code, notRun := a.refusal(t)
	qt.Assert(t, code, qt.Equals, "upstreamFailed")
	qt.Assert(t, notRun, qt.IsFalse)
	qt.Assert(t, strings.Contains(a.body, "[DONE]"), qt.IsFalse)

	two := f.add("engine-2", "m", words(12))
	for range 100 {
		if len(calls(one)) >= 3 {
			break
		}
		a = f.chat("m", true)
		qt.Assert(t, a.content(t), qt.Equals, text(12))
		qt.Assert(t, strings.HasSuffix(a.body, "data: [DONE]\n\n"), qt.IsTrue)
	}
	continued := two.seen()[len(two.seen())-1]
	qt.Assert(t, continued.Generate.Emitted, qt.Equals, text(7))
	qt.Assert(t, continued.Generate.Offset, qt.Equals, 7)
	qt.Assert(t, continued.Offset, qt.Equals, uint64(7))
}

// Guards against "not run" for a request of which an earlier attempt ran.
func TestFailureThenRefusalIsNotNotRun(t *testing.T) {
	f := startFleet(t)
	serve := func(ctx context.Context, call *link.Call, st *link.ServerStream) {
		if call.Generate != nil && !strings.HasSuffix(call.Attempt, "-1") {
			overloaded(ctx, call, st)
			return
		}
		_ = st.Accept(fighollow.Load{Slots: 8})
		_ = st.Finish(link.Finish{Outcome: fighollow.Unknown})
	}
	f.add("engine-1", "m", serve)
	f.add("engine-2", "m", serve)
	a := f.chat("m", false)
	_, notRun := a.refusal(t)
	qt.Assert(t, a.status, qt.Equals, 504)
	qt.Assert(t, notRun, qt.IsFalse)
	qt.Assert(t, a.header.Get("Retry-After"), qt.Equals, "1")
}

// Guards against answers with a gap or a repetition.
func TestGapIsNotDelivered(t *testing.T) {
	f := startFleet(t)
	f.add("engine-1", "once", func(_ context.Context, call *link.Call, st *link.ServerStream) {
		_ = st.Accept(fighollow.Load{})
		_ = st.Chunk(0, 1, []byte("a"))
		_ = st.Chunk(2, 1, []byte("c"))
		finish(st, 3)
	})
	a := f.chat("once", true)
	code, _ := a.refusal(t)
	qt.Assert(t, code, qt.Equals, "upstreamFailed")
	qt.Assert(t, strings.Contains(a.body, "[DONE]"), qt.IsFalse)
	qt.Assert(t, f.chat("once", false).status, qt.Equals, 504)
}

// Guards against work that goes on for a caller that has left, and against an answer after the deadline.
func TestCallerAndDeadlineEndTheAttempt(t *testing.T) {
	f := startFleet(t)
	causes := make(chan error, 2)
	f.add("engine-1", "m", func(ctx context.Context, call *link.Call, st *link.ServerStream) {
		_ = st.Accept(fighollow.Load{})
		_ = sendWords(call, st, 1)
		<-ctx.Done()
		causes <- context.Cause(ctx)
	})
	ctx, leave := context.WithCancel(context.Background())
	res := f.open(ctx, "POST", "/v1/completions", `{"model":"m","prompt":"hi","stream":true}`)
	_, err := bufio.NewReader(res.Body).ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	leave()
	res.Body.Close()
	qt.Assert(t, wait(t, causes), qt.ErrorIs, link.ErrCancelled)

	a := f.chat("m", true, "X-Deadline-Ms", "100")
	code, notRun := a.refusal(t)
	qt.Assert(t, code, qt.Equals, "deadline")
	qt.Assert(t, notRun, qt.IsFalse)
	qt.Assert(t, wait(t, causes), qt.ErrorIs, link.ErrCancelled)
}

func wait(t *testing.T, ch <-chan error) error {
	t.Helper()
	select {
	case err := <-ch:
		return err
	case <-time.After(patience):
		return errors.New("nothing came in time")
	}
}

// Guards against new work for a sidecar that has said that it leaves, while the live list still shows it (I7), and
// against a successor that never gets work.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	f := startFleet(t)
	one := f.add("engine-1", "m", words(1))
	qt.Assert(t, f.chat("m", false).status, qt.Equals, 200)
	one.tell(entry.LeavingTopic)
	eventually(t, func() bool { return strings.Contains(f.log.String(), "upstreamLeaving") })
	before := len(one.seen())
	a := f.chat("m", false)
	qt.Assert(t, a.status, qt.Equals, 503)
	one.cut()
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		qt.Assert(t, f.chat("m", false).status, qt.Equals, 503)
	}
	qt.Assert(t, one.seen(), qt.HasLen, before)
	one.restart(t)
	eventually(t, func() bool { return f.chat("m", false).status == 200 })
}

// Guards against routing by the live list or the plan where the members know better: the model that an engine serves, and
// that it leaves (I7: no new work after 3 s).
func TestMembersOverruleTheLiveList(t *testing.T) {
	// Members are told the address of the settings, so that it must name a port.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l.Close()
	f := startFleet(t, func(cfg *settings.Entry) { cfg.Link = l.Addr().String() })
	in := fighollow.Instance{Kind: fighollow.UpstreamEngine, DataCentre: "dc"}
	s := f.addInstance("engine-1", in, "once", words(2))
	s.join(t, f, "m")
	eventually(t, func() bool { return f.chat("m", false).status == 200 })
	qt.Assert(t, f.chat("once", false).status, qt.Equals, 503)
	said := time.Now()
	s.member().Announce(func(m *membership.Member) { m.State = membership.Leaving })
	eventually(t, func() bool { return f.chat("m", false).status == 503 })
	qt.Assert(t, time.Since(said) < 3*time.Second, qt.IsTrue)
	s.member().Announce(func(m *membership.Member) { m.State = membership.Alive })
	eventually(t, func() bool { return f.chat("m", false).status == 200 })
}

// Guards against a limit of the workspace that the entry does not apply.
func TestWorkspaceLimitIsApplied(t *testing.T) {
	f := startFleet(t, func(s *settings.Entry) { s.MaxOpenRequests = 10 })
	f.add("engine-1", "m", words(1))
	f.store.set(fighollow.KindWorkspace, "acme", fighollow.Workspace{Key: secret, RequestsPerSecond: 0.5, Burst: 1})
	f.settle()
	qt.Assert(t, f.chat("m", false).status, qt.Equals, 200)
	a := f.chat("m", false)
	code, notRun := a.refusal(t)
	qt.Assert(t, a.status, qt.Equals, 429)
	qt.Assert(t, code, qt.Equals, "workspaceLimit")
	qt.Assert(t, notRun, qt.IsTrue)
	qt.Assert(t, a.header.Get("Retry-After"), qt.Equals, "2")
}

// Guards against requests that wait for a paused sidecar until its link is found to be dead, and against a second run of
// one that must run once.
func TestSilentSidecarIsLeft(t *testing.T) {
	for model, repeats := range map[string]bool{"m": true, "once": false} {
		f := startFleet(t)
		silent := func(ctx context.Context, _ *link.Call, _ *link.ServerStream) { <-ctx.Done() }
		one := f.add("engine-1", model, silent)
		f.add("engine-2", model, words(3))
		for range 100 {
			a := f.chat(model, false, "X-Deadline-Ms", "2500")
			if len(one.seen()) == 0 {
				continue
			}
			qt.Assert(t, a.status == 200, qt.Equals, repeats)
			if repeats {
				qt.Assert(t, a.content(t), qt.Equals, text(3))
			}
			break
		}
		qt.Assert(t, one.seen(), qt.HasLen, 1)
	}
}

// Guards against retries that amplify an overload.
func TestOverloadIsNotAmplified(t *testing.T) {
	f := startFleet(t)
	var all []*sidecar
	for _, id := range []string{"engine-1", "engine-2", "engine-3", "engine-4"} {
		all = append(all, f.add(id, "m", overloaded))
	}
	const requests = 400
	for range requests {
		qt.Assert(t, f.chat("m", false).status, qt.Equals, 503)
	}
	sent := len(calls(all...))
	qt.Assert(t, sent <= requests*11/10+10, qt.IsTrue, qt.Commentf("%d calls for %d requests", sent, requests))
}
