package gateway_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// leavingCaller is a Dispatcher whose caller leaves, or whose deadline passes, while an attempt is in progress.
type leavingCaller struct {
	end   func()
	at    int // number of the attempt; 0 for before the first one
	reply func(a *fighollow.Attempt) (*fighollow.Reply, error)
	sends int
}

func (d *leavingCaller) Dispatch(_ context.Context, a *fighollow.Attempt) (*fighollow.Reply, error) {
	if d.sends++; d.sends == d.at {
		d.end()
	}
	return d.reply(a)
}

func (d *leavingCaller) Release(context.Context, fighollow.Upstream, *fighollow.KVCache) error {
	return nil
}

// replyWith returns a function that replies to prefills with a KV cache and to other attempts with this status and body.
func replyWith(status int, notRun bool, body string, end error) func(*fighollow.Attempt) (*fighollow.Reply, error) {
	return func(a *fighollow.Attempt) (*fighollow.Reply, error) {
		if a.Phase == fighollow.RequestPrefill {
			return &fighollow.Reply{Status: 200, KV: &fighollow.KVCache{Address: a.Upstream.Address, Handle: "h"}, Body: &fakeBody{Reader: &bytes.Buffer{}}}, nil
		}
		b := &fakeBody{Reader: bytes.NewBufferString(body), end: end}
		return &fighollow.Reply{Status: status, NotRun: notRun, Length: -1, Framing: fighollow.FramingConnection, Body: b}, nil
	}
}

// Guards against engines that get a request whose caller has left or whose deadline has passed, after each kind of attempt.
func TestNoAttemptForACallerThatHasLeft(t *testing.T) {
	failed := func(err error) func(*fighollow.Attempt) (*fighollow.Reply, error) {
		return func(*fighollow.Attempt) (*fighollow.Reply, error) { return nil, err }
	}
	for _, c := range []struct {
		name    string
		service string
		at      int
		reply   func(*fighollow.Attempt) (*fighollow.Reply, error)
	}{
		{"before the first attempt", "plain", 0, replyWith(200, false, "answer", nil)},
		{"before the prefill", "models", 0, replyWith(200, false, "id: 1\ndata: 1\n\n", nil)},
		{"between prefill and decode", "models", 1, replyWith(200, false, "id: 1\ndata: 1\n\n", nil)},
		{"after a refused decode", "models", 2, replyWith(503, true, "", nil)},
		{"after a stream that broke off", "models", 2, replyWith(200, false, "id: 1\ndata: 1\n\n", errCut)},
		{"after a refused prefill", "models", 1, func(*fighollow.Attempt) (*fighollow.Reply, error) {
			return &fighollow.Reply{Status: 503, NotRun: true, Body: &fakeBody{Reader: &bytes.Buffer{}}}, nil
		}},
		{"after a lost prefill", "models", 1, failed(fighollow.ErrUnknownOutcome)},
		{"after an unreachable upstream", "plain", 1, failed(fighollow.ErrNotRun)},
		{"after a lost answer", "plain", 1, failed(fighollow.ErrUnknownOutcome)},
		{"after a refusal", "plain", 1, replyWith(503, true, "", nil)},
		{"after a failure", "plain", 1, replyWith(500, false, "no", nil)},
		{"after an answer that broke off", "plain", 1, replyWith(200, false, "ans", errCut)},
	} {
		for _, left := range []bool{true, false} {
			name := c.name + "/deadline passed"
			if left {
				name = c.name + "/caller left"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				route := fighollow.Route{
					Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 3, Repeat: fighollow.RepeatAny,
					Services: []fighollow.WeightedService{{Service: c.service, Weight: 1}},
				}
				if c.service == "models" {
					route.Stream, route.Repeat = true, fighollow.RepeatResume
				}
				now := time.Now()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				deadline := now.Add(time.Minute)
				d := &leavingCaller{end: cancel, at: c.at, reply: c.reply}
				if !left {
					deadline = now.Add(50 * time.Millisecond)
					d.end = func() { time.Sleep(time.Until(deadline) + 20*time.Millisecond) }
				}
				if c.at == 0 {
					d.end()
				}
				newGateway(d, route).Serve(ctx, &fighollow.Call{
					ID: "q", Method: "POST", Target: "/x", Host: "h", Model: "m", PromptTokens: 100, Arrived: now, Deadline: deadline,
					Prompt: []fighollow.PromptPart{{ID: 1, Tokens: 60}, {ID: 2, Tokens: 40}},
				}, &recordingResponder{})
				qt.Assert(t, d.sends, qt.Equals, c.at)
			})
		}
	}
}
