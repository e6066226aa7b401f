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

// initialCalls returns the calls that the sidecars received, without those that resume an attempt.
func initialCalls(sidecars ...*fakeSidecar) []link.Call {
	var out []link.Call
	for _, s := range sidecars {
		for _, c := range s.received() {
			if !c.Resume {
				out = append(out, c)
			}
		}
	}
	return out
}

// serveBroken returns a handler that accepts a call, sends the words up to n and closes the sidecar's links. If n is
// negative, it closes them before it accepts. It refuses to resume the attempt, with the given outcome.
func serveBroken(s **fakeSidecar, n int, outcome fighollow.Outcome) func(context.Context, *link.Call, *link.ServerStream) {
	return func(ctx context.Context, call *link.Call, st *link.ServerStream) {
		if call.Resume {
			_ = st.Refuse(fighollow.Refusal{Code: fighollow.CodeOutcomeUnknown, Outcome: outcome}, fighollow.Load{})
			return
		}
		if n >= 0 {
			_ = st.Accept(fighollow.Load{Slots: 8})
			_ = sendWords(call, st, n)
			// Gives the entry time to relay the words before it detects that the link is closed.
			time.Sleep(20 * time.Millisecond)
		}
		(*s).closeLinks()
		<-ctx.Done()
	}
}

// Guards against refusals that reach the caller although another engine could serve the request, and against more than 3
// attempts.
func TestRefusedRequestsAreTriedElsewhere(t *testing.T) {
	for _, model := range []string{"m", "once"} {
		f := startFleet(t)
		one := f.add("engine-1", model, refuseOverloaded)
		two := f.add("engine-2", model, serveWords(4))
		for range 5 {
			a := f.chat(model, true)
			qt.Assert(t, a.content(t), qt.Equals, wordText(4))
		}
		two.setServe(refuseOverloaded)
		for _, id := range []string{"engine-3", "engine-4", "engine-5"} {
			f.add(id, model, refuseOverloaded)
		}
		before := len(initialCalls(one, two))
		a := f.chat(model, true)
		code, notRun := a.refusal(t)
		qt.Assert(t, a.status, qt.Equals, 503)
		qt.Assert(t, code, qt.Equals, "overloaded")
		qt.Assert(t, notRun, qt.IsTrue)
		qt.Assert(t, a.header.Get("Retry-After"), qt.Equals, "1")
		qt.Assert(t, len(initialCalls(one, two))-before <= 3, qt.IsTrue)
	}
}

// Guards against a retry of a request that is not idempotent and may have run, and against the outcome "not run" for it.
func TestUnknownOutcomeIsNotRepeated(t *testing.T) {
	f := startFleet(t)
	var one, two *fakeSidecar
	one = f.add("engine-1", "once", serveBroken(&one, 0, fighollow.OutcomeUnknown))
	two = f.add("engine-2", "once", serveBroken(&two, 0, fighollow.OutcomeUnknown))
	a := f.chat("once", false)
	code, notRun := a.refusal(t)
	qt.Assert(t, a.status, qt.Equals, 504)
	qt.Assert(t, code, qt.Equals, "outcomeUnknown")
	qt.Assert(t, notRun, qt.IsFalse)
	qt.Assert(t, initialCalls(one, two), qt.HasLen, 1)
}

// Guards against trust in "not run" from a sidecar that cannot know it: one that accepted the attempt before, or one that
// was started after the call was sent.
func TestNotRunIsBelievedOnlyWhereItCanBeTrue(t *testing.T) {
	f := startFleet(t)
	var one *fakeSidecar
	one = f.add("engine-1", "once", serveBroken(&one, 0, fighollow.OutcomeNotRun))
	a := f.chat("once", false)
	_, notRun := a.refusal(t)
	qt.Assert(t, a.status, qt.Equals, 504)
	qt.Assert(t, notRun, qt.IsFalse)

	f = startFleet(t)
	var two *fakeSidecar
	two = f.add("engine-1", "once", func(ctx context.Context, call *link.Call, st *link.ServerStream) {
		if call.Resume {
			_ = st.Refuse(fighollow.Refusal{Code: fighollow.CodeOutcomeUnknown, Outcome: fighollow.OutcomeNotRun}, fighollow.Load{})
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

// Guards against an unknown outcome if the sidecar reports that the call never arrived. The request must be retried.
func TestLostCallIsTriedElsewhere(t *testing.T) {
	f := startFleet(t)
	var one, two *fakeSidecar
	one = f.add("engine-1", "once", serveBroken(&one, -1, fighollow.OutcomeNotRun))
	two = f.add("engine-2", "once", serveBroken(&two, -1, fighollow.OutcomeNotRun))
	f.add("engine-3", "once", serveWords(3))
	for range 100 {
		a := f.chat("once", false)
		qt.Assert(t, a.content(t), qt.Equals, wordText(3))
		if len(initialCalls(one, two)) > 0 {
			return
		}
	}
	t.Fatal("no call was lost")
}

// Guards against answers that lose or repeat tokens if the link breaks in mid-stream.
func TestBrokenLinkResumesAtTheOffset(t *testing.T) {
	for _, model := range []string{"m", "once"} {
		f := startFleet(t)
		var one *fakeSidecar
		one = f.add("engine-1", model, func(ctx context.Context, call *link.Call, st *link.ServerStream) {
			_ = st.Accept(fighollow.Load{Slots: 8})
			if !call.Resume {
				_ = sendWords(call, st, 10)
				time.Sleep(20 * time.Millisecond)
				one.closeLinks()
				return
			}
			_ = sendWords(call, st, 20)
			finishCompleted(st, 20)
		})
		a := f.chat(model, true)
		qt.Assert(t, a.content(t), qt.Equals, wordText(20))
		seen := one.received()
		qt.Assert(t, seen, qt.HasLen, 2)
		qt.Assert(t, seen[1].Resume, qt.IsTrue)
		qt.Assert(t, seen[1].Attempt, qt.Equals, seen[0].Attempt)
		qt.Assert(t, seen[1].Offset, qt.Equals, uint64(10))
	}
}

// Guards against answers that fail with their engine although another engine can continue them at the offset.
func TestAnotherEngineContinuesTheAnswer(t *testing.T) {
	f := startFleet(t)
	fail := func(_ context.Context, call *link.Call, st *link.ServerStream) {
		_ = st.Accept(fighollow.Load{Slots: 8})
		_ = sendWords(call, st, 7)
		r := fighollow.Refusal{Code: fighollow.CodeUpstreamFailed, Outcome: fighollow.OutcomeUnknown}
		_ = st.Finish(link.Finish{Outcome: fighollow.OutcomeUnknown, Refusal: &r})
	}
	one := f.add("engine-1", "m", fail)
	a := f.chat("m", true)
	code, notRun := a.refusal(t)
	qt.Assert(t, code, qt.Equals, "upstreamFailed")
	qt.Assert(t, notRun, qt.IsFalse)
	qt.Assert(t, strings.Contains(a.body, "[DONE]"), qt.IsFalse)

	two := f.add("engine-2", "m", serveWords(12))
	for range 100 {
		if len(initialCalls(one)) >= 3 {
			break
		}
		a = f.chat("m", true)
		qt.Assert(t, a.content(t), qt.Equals, wordText(12))
		qt.Assert(t, strings.HasSuffix(a.body, "data: [DONE]\n\n"), qt.IsTrue)
	}
	continued := two.received()[len(two.received())-1]
	qt.Assert(t, continued.Generate.Emitted, qt.Equals, wordText(7))
	qt.Assert(t, continued.Generate.Offset, qt.Equals, 7)
	qt.Assert(t, continued.Offset, qt.Equals, uint64(7))
}

// Guards against "not run" for a request whose last attempt was refused but whose first may have run.
func TestFailureThenRefusalIsNotNotRun(t *testing.T) {
	f := startFleet(t)
	serve := func(ctx context.Context, call *link.Call, st *link.ServerStream) {
		if call.Generate != nil && !strings.HasSuffix(call.Attempt, "-1") {
			refuseOverloaded(ctx, call, st)
			return
		}
		_ = st.Accept(fighollow.Load{Slots: 8})
		_ = st.Finish(link.Finish{Outcome: fighollow.OutcomeUnknown})
	}
	f.add("engine-1", "m", serve)
	f.add("engine-2", "m", serve)
	a := f.chat("m", false)
	_, notRun := a.refusal(t)
	qt.Assert(t, a.status, qt.Equals, 504)
	qt.Assert(t, notRun, qt.IsFalse)
	qt.Assert(t, a.header.Get("Retry-After"), qt.Equals, "1")
}

// Guards against the delivery of an answer whose chunks have a gap in their offsets.
func TestGapIsNotDelivered(t *testing.T) {
	f := startFleet(t)
	f.add("engine-1", "once", func(_ context.Context, call *link.Call, st *link.ServerStream) {
		_ = st.Accept(fighollow.Load{})
		_ = st.Chunk(0, 1, []byte("a"))
		_ = st.Chunk(2, 1, []byte("c"))
		finishCompleted(st, 3)
	})
	a := f.chat("once", true)
	code, _ := a.refusal(t)
	qt.Assert(t, code, qt.Equals, "upstreamFailed")
	qt.Assert(t, strings.Contains(a.body, "[DONE]"), qt.IsFalse)
	qt.Assert(t, f.chat("once", false).status, qt.Equals, 504)
}

// Guards against attempts that continue after their caller has disconnected or their deadline has passed.
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
	qt.Assert(t, waitError(t, causes), qt.ErrorIs, link.ErrCancelled)

	a := f.chat("m", true, "X-Deadline-Ms", "100")
	code, notRun := a.refusal(t)
	qt.Assert(t, code, qt.Equals, "deadline")
	qt.Assert(t, notRun, qt.IsFalse)
	qt.Assert(t, waitError(t, causes), qt.ErrorIs, link.ErrCancelled)
}

func waitError(t *testing.T, ch <-chan error) error {
	t.Helper()
	select {
	case err := <-ch:
		return err
	case <-time.After(testTimeout):
		return errors.New("no error received in time")
	}
}

// Guards against new attempts on a sidecar that has announced that it leaves while the platform's list of instances still
// contains it (I7), and against a restarted sidecar that never gets any.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	f := startFleet(t)
	one := f.add("engine-1", "m", serveWords(1))
	qt.Assert(t, f.chat("m", false).status, qt.Equals, 200)
	one.tell(entry.LeavingTopic)
	eventually(t, func() bool { return strings.Contains(f.log.String(), "upstreamLeaving") })
	before := len(one.received())
	a := f.chat("m", false)
	qt.Assert(t, a.status, qt.Equals, 503)
	one.closeLinks()
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		qt.Assert(t, f.chat("m", false).status, qt.Equals, 503)
	}
	qt.Assert(t, one.received(), qt.HasLen, before)
	one.restart(t)
	eventually(t, func() bool { return f.chat("m", false).status == 200 })
}

// Guards against routing by an outdated list of instances or plan. Members announce the model that an engine serves and
// that it is leaving (I7: no new work after 3 s), and these announcements take precedence.
func TestMembersOverruleTheLiveList(t *testing.T) {
	// The entry announces the link address of its settings to members, so the settings must have a real port.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l.Close()
	f := startFleet(t, func(cfg *settings.Entry) { cfg.Link = l.Addr().String() })
	in := fighollow.Instance{Kind: fighollow.InstanceEngine, DataCentre: "dc"}
	s := f.addInstance("engine-1", in, "once", serveWords(2))
	s.join(t, f, "m")
	eventually(t, func() bool { return f.chat("m", false).status == 200 })
	qt.Assert(t, f.chat("once", false).status, qt.Equals, 503)
	announced := time.Now()
	s.member().Announce(func(m *membership.Member) { m.State = membership.Leaving })
	eventually(t, func() bool { return f.chat("m", false).status == 503 })
	qt.Assert(t, time.Since(announced) < 3*time.Second, qt.IsTrue)
	s.member().Announce(func(m *membership.Member) { m.State = membership.Alive })
	eventually(t, func() bool { return f.chat("m", false).status == 200 })
}

// Guards against requests above the rate limit of their workspace.
func TestWorkspaceLimitIsApplied(t *testing.T) {
	f := startFleet(t, func(s *settings.Entry) { s.MaxOpenRequests = 10 })
	f.add("engine-1", "m", serveWords(1))
	f.store.put(fighollow.KindWorkspace, "acme", fighollow.Workspace{Key: workspaceKey, RequestsPerSecond: 0.5, Burst: 1})
	f.waitRouted()
	qt.Assert(t, f.chat("m", false).status, qt.Equals, 200)
	a := f.chat("m", false)
	code, notRun := a.refusal(t)
	qt.Assert(t, a.status, qt.Equals, 429)
	qt.Assert(t, code, qt.Equals, "workspaceLimit")
	qt.Assert(t, notRun, qt.IsTrue)
	qt.Assert(t, a.header.Get("Retry-After"), qt.Equals, "2")
}

// Guards against requests that wait for a stalled sidecar until the link's pings detect it, and against a retry of a
// request that is not idempotent.
func TestSilentSidecarIsLeft(t *testing.T) {
	for model, repeats := range map[string]bool{"m": true, "once": false} {
		f := startFleet(t)
		silent := func(ctx context.Context, _ *link.Call, _ *link.ServerStream) { <-ctx.Done() }
		one := f.add("engine-1", model, silent)
		f.add("engine-2", model, serveWords(3))
		for range 100 {
			a := f.chat(model, false, "X-Deadline-Ms", "2500")
			if len(one.received()) == 0 {
				continue
			}
			qt.Assert(t, a.status == 200, qt.Equals, repeats)
			if repeats {
				qt.Assert(t, a.content(t), qt.Equals, wordText(3))
			}
			break
		}
		qt.Assert(t, one.received(), qt.HasLen, 1)
	}
}

// Guards against retries that amplify an overload. If every upstream refuses, the retry budget allows about 10% more calls.
func TestOverloadIsNotAmplified(t *testing.T) {
	f := startFleet(t)
	var all []*fakeSidecar
	for _, id := range []string{"engine-1", "engine-2", "engine-3", "engine-4"} {
		all = append(all, f.add(id, "m", refuseOverloaded))
	}
	const requests = 400
	for range requests {
		qt.Assert(t, f.chat("m", false).status, qt.Equals, 503)
	}
	sent := len(initialCalls(all...))
	qt.Assert(t, sent <= requests*11/10+10, qt.IsTrue, qt.Commentf("%d calls for %d requests", sent, requests))
}
