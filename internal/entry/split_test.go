package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// servePrefill is the handler of an engine that exports a KV cache after a prefill and answers other phases with 5 words.
func servePrefill(_ context.Context, call *link.Call, s *link.ServerStream) {
	_ = s.Accept(fighollow.Load{Slots: 8})
	if call.Generate.Phase != fighollow.RequestPrefill {
		_ = sendWords(call, s, 5)
		finishCompleted(s, 5)
		return
	}
	kv := &fighollow.KVRef{Address: "10.0.0.1:9", Handle: "h", Tokens: call.Generate.PromptTokens}
	_ = s.Finish(link.Finish{Outcome: fighollow.OutcomeCompleted, Result: &fighollow.GenerateResult{FinishReason: "prefill", KV: kv}})
}

func sendLongPrompt(f *fleet, model string) answer {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": strings.Repeat("word ", 10_000), "stream": true})
	qt.Assert(f.t, err, qt.IsNil)
	return f.send("POST", "/v1/completions", string(body))
}

func phases(s *fakeSidecar) string {
	var out []string
	for _, c := range s.received() {
		out = append(out, fmt.Sprint(c.Generate.Phase, " ", c.Generate.KV != nil))
	}
	return strings.Join(out, ", ")
}

// Guards against long prompts that are computed on a decode engine, where they delay other requests' tokens, against a
// decode without the reference to the KV cache, and against a failed import that ends the request.
func TestLongPromptsAreSplit(t *testing.T) {
	f := startFleet(t)
	in := fighollow.Instance{Kind: fighollow.InstanceEngine, DataCentre: "dc"}
	p := f.addInstance("p", in, "m", servePrefill)
	d := f.addInstance("d", in, "m", serveWords(5))
	f.planRole("dc", "p", "m", fighollow.RolePrefill)
	f.planRole("dc", "d", "m", fighollow.RoleDecode)
	a := sendLongPrompt(f, "m")
	qt.Assert(t, a.content(t), qt.Equals, wordText(5))
	qt.Assert(t, a.header.Get("X-Fighollow-Upstream"), qt.Equals, "d")
	qt.Assert(t, phases(p), qt.Equals, "prefill false")
	qt.Assert(t, phases(d), qt.Equals, "decode true")
	qt.Assert(t, d.received()[0].Request, qt.Equals, p.received()[0].Request)
	qt.Assert(t, d.received()[0].Attempt, qt.Not(qt.Equals), p.received()[0].Attempt)
	qt.Assert(t, f.chat("m", false).header.Get("X-Fighollow-Upstream"), qt.Equals, "d")

	d.setServe(func(_ context.Context, call *link.Call, s *link.ServerStream) {
		_ = s.Accept(fighollow.Load{Slots: 8})
		_ = s.Finish(link.Finish{Outcome: fighollow.OutcomeUnknown})
	})
	a = sendLongPrompt(f, "m")
	qt.Assert(t, a.content(t), qt.Equals, wordText(5))
	qt.Assert(t, a.header.Get("X-Fighollow-Upstream"), qt.Equals, "p")
	qt.Assert(t, strings.HasSuffix(phases(p), "prefill false, whole false"), qt.IsTrue, qt.Commentf(phases(p)))
}

// Guards against "not run" after a prefill has run, and against a split of requests that are not idempotent.
func TestComputedPromptIsNotNotRun(t *testing.T) {
	f := startFleet(t)
	in := fighollow.Instance{Kind: fighollow.InstanceEngine, DataCentre: "dc"}
	p := f.addInstance("p", in, "m", func(ctx context.Context, call *link.Call, s *link.ServerStream) {
		if call.Generate.Phase == fighollow.RequestPrefill {
			servePrefill(ctx, call, s)
			return
		}
		refuseOverloaded(ctx, call, s)
	})
	d := f.addInstance("d", in, "m", refuseOverloaded)
	f.planRole("dc", "p", "m", fighollow.RolePrefill)
	f.planRole("dc", "d", "m", fighollow.RoleDecode)
	a := sendLongPrompt(f, "m")
	_, notRun := a.refusal(t)
	qt.Assert(t, a.status, qt.Equals, 504)
	qt.Assert(t, notRun, qt.IsFalse)

	f.planRole("dc", "p", "once", fighollow.RolePrefill)
	f.planRole("dc", "d", "once", fighollow.RoleDecode)
	before := len(initialCalls(p, d))
	a = sendLongPrompt(f, "once")
	_, notRun = a.refusal(t)
	qt.Assert(t, notRun, qt.IsTrue)
	for _, c := range initialCalls(p, d)[before:] {
		qt.Assert(t, c.Generate.Phase == fighollow.RequestPrefill && c.Generate.Model == "once", qt.IsFalse)
	}
}

// Guards against changes of the text in transit: wrong escapes, and characters whose bytes arrive in different chunks.
func TestTextIsNotChanged(t *testing.T) {
	f := startFleet(t)
	want := "quote \" back \\ line \n tab \t bell \a euro € clef 𝄞 end"
	f.add("engine-1", "m", func(_ context.Context, _ *link.Call, s *link.ServerStream) {
		_ = s.Accept(fighollow.Load{})
		for i := range len(want) {
			_ = s.Chunk(uint64(i), 1, []byte{want[i]})
		}
		finishCompleted(s, len(want))
	})
	for _, stream := range []bool{true, false} {
		qt.Assert(t, f.chat("m", stream).content(t), qt.Equals, want)
	}
}

// Guards against messages of peers that do not reach the handler of their topic, and against wrong model lists and metrics.
func TestTopicsReachTheirHandlers(t *testing.T) {
	f := startFleet(t)
	s := f.add("engine-1", "m", serveWords(1))
	f.chat("m", false)
	s.tell("demand.report")
	eventually(t, func() bool { return strings.Contains(f.log.String(), "engine-1 tells demand.report") })
	s.mu.Lock()
	c := s.conns[0]
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var reply string
	qt.Assert(t, c.Ask(ctx, "ledger.claim", nil, &reply), qt.IsNil)
	qt.Assert(t, reply, qt.Equals, "engine-1 asks ledger.claim")
	qt.Assert(t, c.Ask(ctx, "other", nil, nil), qt.ErrorIs, link.ErrRemote)

	a := f.send("GET", "/v1/models", "")
	qt.Assert(t, a.body, qt.Contains, `"id":"once"`)
	res := f.get(f.admin + "/metrics")
	qt.Assert(t, res, qt.Contains, "fighollow_requests_total 2\n")
	qt.Assert(t, res, qt.Contains, "fighollow_tokens_total 1\n")
	qt.Assert(t, res, qt.Contains, "fighollow_first_part_micros_count 1\n")
}
