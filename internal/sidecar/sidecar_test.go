package sidecar_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/sidecar"
	"github.com/fighollow/fighollow/internal/standin/answers"
	"github.com/fighollow/fighollow/internal/standin/engine"
	"github.com/fighollow/fighollow/internal/standin/plain"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against an answer that differs from the engine's, and against an engine without a model that gets no order.
func TestCallRunsEndToEnd(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{})
	call := generateCall("cut the sleeve two centimetres shorter", 300)
	r := f.run(f.dial(), call)
	qt.Assert(t, r.accepted, qt.IsTrue)
	qt.Assert(t, r.finish.Outcome, qt.Equals, fighollow.OutcomeCompleted)
	qt.Assert(t, r.text, qt.Equals, engine.Text(call.Generate.Prompt, 0, 300))
	qt.Assert(t, r.units, qt.Equals, uint64(300))
	qt.Assert(t, r.finish.Result.OutputTokens, qt.Equals, 300)
}

// Guards against an answer continued by another engine that repeats or skips a token.
func TestContinuationStartsAtItsOffset(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{})
	call := generateCall("fit verdict", 50)
	call.Offset, call.Generate.Offset = 20, 20
	call.Generate.Emitted = engine.Text("fit verdict", 0, 20)
	r := f.run(f.dial(), call)
	qt.Assert(t, r.text, qt.Equals, engine.Text("fit verdict", 20, 50))
	qt.Assert(t, r.units, qt.Equals, uint64(50))
}

// Guards against a decode engine that recomputes the prompt or imports a wrong KV cache, and against a failed import
// that is reported as run.
func TestDecodeImportsTheCacheOrDidNotRun(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{})
	c := f.dial()
	pre := generateCall("covenant check", 0)
	pre.Generate.Phase = fighollow.RequestPrefill
	ref := f.run(c, pre).finish.Result.KV
	ref.Address = f.cfg.Upstream.Address // the engine imports from itself
	dec := generateCall("covenant check", 40)
	dec.Generate.Phase, dec.Generate.KV = fighollow.RequestDecode, ref
	r := f.run(c, dec)
	qt.Assert(t, r.text, qt.Equals, engine.Text("covenant check", 0, 40))
	qt.Assert(t, r.finish.Result.CachedTokens, qt.Equals, dec.Generate.PromptTokens)

	lost := generateCall("covenant check", 40)
	lost.Generate.Phase = fighollow.RequestDecode
	lost.Generate.KV = &fighollow.KVRef{Address: ref.Address, Handle: "gone", Tokens: ref.Tokens}
	r = f.run(c, lost)
	qt.Assert(t, r.finish.Outcome, qt.Equals, fighollow.OutcomeNotRun)
	qt.Assert(t, f.engineAttempts(lost.Attempt)[0].Tokens, qt.Equals, 0)
}

// Guards against an answer of a plain service that is truncated, duplicated or lacks its status.
func TestPlainCallRunsOnce(t *testing.T) {
	t.Parallel()
	f := startService(t)
	r := f.run(f.dialServing(), serviceCall(http.MethodPost))
	qt.Assert(t, r.head.Status, qt.Equals, 200)
	qt.Assert(t, r.finish.Outcome, qt.Equals, fighollow.OutcomeCompleted)
	qt.Assert(t, r.units, qt.Equals, uint64(len(r.text)))
	qt.Assert(t, len(f.recordedPosts()), qt.Equals, 1)
	qt.Assert(t, f.recordedPosts()[0].Body, qt.Equals, "two shirts")
}

// Guards against a request to a plain service that is repeated when its connection breaks after the service ran it:
// net/http itself retries requests with an Idempotency-Key header.
func TestBrokenPlainCallIsUnknownAndNotRepeated(t *testing.T) {
	t.Parallel()
	f := startService(t)
	c := f.dialServing()
	qt.Assert(t, f.run(c, serviceCall(http.MethodPost)).finish.Outcome, qt.Equals, fighollow.OutcomeCompleted)
	qt.Assert(t, f.plain.Control(plain.Control{Action: plain.ActionDrop, Count: 1}), qt.IsNil)
	r := f.run(c, serviceCall(http.MethodPost))
	qt.Assert(t, r.finish.Outcome, qt.Equals, fighollow.OutcomeUnknown)
	qt.Assert(t, len(f.recordedPosts()), qt.Equals, 2)
}

// Guards against a plain service's event stream that ended with its connection inside an event and is finished as completed.
func TestTruncatedPlainAnswerIsUnknown(t *testing.T) {
	stream := answers.Answer{
		Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: "data: a\n\ndata: b\n\n", Framing: fighollow.FramingConnection,
	}
	for cut, want := range map[int]fighollow.Outcome{
		answers.Whole: fighollow.OutcomeCompleted, 0: fighollow.OutcomeUnknown, 8: fighollow.OutcomeUnknown, 17: fighollow.OutcomeUnknown,
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_ = stream.Send(c, cut, false) // the sidecar has the error
			}
		}))
		t.Cleanup(srv.Close)
		f := newFixture(t, "service")
		f.cfg.Upstream.Service, f.cfg.Upstream.Address = "orders", strings.TrimPrefix(srv.URL, "http://")
		f.start()
		got := f.run(f.dialServing(), serviceCall(http.MethodGet))
		qt.Assert(t, got.finish, qt.IsNotNil)
		qt.Assert(t, got.finish.Outcome, qt.Equals, want, qt.Commentf("cut at %d: %q", cut, got.text))
	}
}

// Guards against a second run of an attempt whose call arrives twice. A plain service has no attempt ids, so the
// sidecar must detect the repetition.
func TestRepeatedPlainCallRunsOnce(t *testing.T) {
	t.Parallel()
	f := startService(t)
	c := f.dialServing()
	qt.Assert(t, f.plain.Control(plain.Control{Action: plain.ActionHold, Step: plain.StepHead}), qt.IsNil)
	call := serviceCall(http.MethodPost)
	s, err := c.Open(call)
	qt.Assert(t, err, qt.IsNil)
	await(t, "first call", func() bool { return len(f.recordedPosts()) == 1 })
	qt.Assert(t, f.run(c, call).refusal.Outcome, qt.Equals, fighollow.OutcomeUnknown)
	qt.Assert(t, f.plain.Control(plain.Control{Action: plain.ActionRelease, Step: plain.StepHead}), qt.IsNil)
	r := f.receive(s, response{}, func(response) bool { return false })
	qt.Assert(t, r.finish.Outcome, qt.Equals, fighollow.OutcomeCompleted)
	qt.Assert(t, f.run(c, call).refusal.Outcome, qt.Equals, fighollow.OutcomeUnknown)
	qt.Assert(t, len(f.recordedPosts()), qt.Equals, 1)
}

// Guards against lost or duplicated parts of a large answer that is resumed after its link broke.
func TestLargePlainAnswerIsResumed(t *testing.T) {
	t.Parallel()
	f := startService(t)
	c := f.dialServing()
	call := serviceCall(http.MethodPost)
	call.Service.Body = []byte(strings.Repeat("0123456789", 200_000))
	s, err := c.Open(call)
	qt.Assert(t, err, qt.IsNil)
	r := f.receive(s, response{}, func(r response) bool { return r.units > 1_500_000 })
	c.Close()
	c = f.dial()
	again := resumeCall(c, call.Attempt, r.units)
	again.Kind = link.CallService
	s, err = c.Open(again)
	qt.Assert(t, err, qt.IsNil)
	r = f.receive(s, r, func(response) bool { return false })
	qt.Assert(t, r.finish.Outcome, qt.Equals, fighollow.OutcomeCompleted)
	var a plain.Answer
	qt.Assert(t, json.Unmarshal([]byte(r.text), &a), qt.IsNil)
	qt.Assert(t, a.Body == string(call.Service.Body), qt.IsTrue)
	qt.Assert(t, len(f.recordedPosts()), qt.Equals, 1)
}

func serviceCall(method string) link.Call {
	id := newID()
	return link.Call{
		Kind: link.CallService, Request: "request-" + id, Attempt: id, Worth: 1,
		Deadline: time.Now().Add(time.Minute).UnixMilli(),
		Service: &fighollow.ServiceRequest{
			Method: method, Path: "/shirts?size=40", Body: []byte("two shirts"),
			Header: map[string][]string{"Idempotency-Key": {id}},
		},
	}
}

// dialServing returns a link to a sidecar beside a plain service as soon as it accepts calls.
func (f *fixture) dialServing() *link.Conn {
	c := f.dial()
	await(f.t, "serving of the plain service", func() bool {
		return f.run(c, serviceCall(http.MethodGet)).accepted
	})
	return c
}

func (f *fixture) recordedPosts() []plain.CallRecord {
	var out []plain.CallRecord
	for _, r := range f.plain.Record().Calls {
		if r.Method == http.MethodPost {
			out = append(out, r)
		}
	}
	return out
}

// Guards against a stop that interrupts an answer, admits new work, or does not notify the entries.
func TestStopFinishesWorkInFlight(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{})
	c := f.dial()
	f.controlEngine(engine.Control{Action: engine.ActionHold, Step: engine.StepToken, N: 10})
	call := generateCall("document summary", 100)
	s, err := c.Open(call)
	qt.Assert(t, err, qt.IsNil)
	r := f.receive(s, response{}, func(r response) bool { return r.units == 10 })
	f.cancel()
	await(t, "Leaving message", func() bool { return f.entry.count(sidecar.LeavingTopic) == 1 })
	refused := f.run(c, generateCall("late", 10))
	qt.Assert(t, refused.refusal.Code, qt.Equals, fighollow.CodeStopping)
	qt.Assert(t, refused.refusal.Outcome, qt.Equals, fighollow.OutcomeNotRun)
	// The engine holds the answer open. A sidecar that does not wait for it would stop during this time.
	time.Sleep(200 * time.Millisecond)
	qt.Assert(t, len(f.stopped), qt.Equals, 0, qt.Commentf("the sidecar stopped with work in flight"))
	f.controlEngine(engine.Control{Action: engine.ActionRelease, Step: engine.StepToken})
	r = f.receive(s, r, func(response) bool { return false })
	qt.Assert(t, r.text, qt.Equals, engine.Text("document summary", 0, 100))
	qt.Assert(t, r.finish.Outcome, qt.Equals, fighollow.OutcomeCompleted)
	select {
	case err := <-f.stopped:
		qt.Assert(t, err, qt.IsNil)
	case <-time.After(testTimeout):
		t.Fatal("the sidecar did not stop after its last answer")
	}
}

// Guards against a second sidecar beside one engine, which would also send orders to it.
func TestSecondSidecarCannotStart(t *testing.T) {
	t.Parallel()
	f := startEngine(t, engine.Options{})
	second, err := sidecar.New(f.cfg, f.store, testLog(t))
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	qt.Assert(t, second.Run(ctx), qt.ErrorMatches, ".*address already in use")
}
