package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/gateway"
	"github.com/fighollow/fighollow/internal/quarantine"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// serveOnce serves a request for the models with a part of this id, whose attempts all get this reply.
func serveOnce(t *testing.T, tracker *quarantine.Tracker, part uint64, reply func(*fighollow.Attempt) (*fighollow.Reply, error)) {
	t.Helper()
	route := fighollow.Route{
		Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 3, Repeat: fighollow.RepeatResume, Stream: true,
		Services: []fighollow.WeightedService{{Service: "models", Weight: 1}},
	}
	d := &leavingCaller{at: -1, reply: reply}
	now := time.Now()
	opts := gateway.Options{RetryRatio: 0.2, RetrySlack: 500, Quarantine: tracker}
	newGatewayWith(opts, d, route).Serve(context.Background(), &fighollow.Call{
		ID: "q", Method: "POST", Target: "/x", Host: "h", Model: "m", PromptTokens: 100, Arrived: now, Deadline: now.Add(time.Minute),
		Prompt: []fighollow.PromptPart{{ID: part, Tokens: 60}, {ID: 2, Tokens: 40}},
	}, &recordingResponder{})
}

// Guards against sound parts that are blamed because the answers to their prompts are no series of events.
func TestAnswerWithoutEventsExoneratesItsParts(t *testing.T) {
	tracker, now := quarantine.New("e", 48), time.Now()
	prompt := func(own uint64) *quarantine.Request {
		return quarantine.NewRequest("models", &fighollow.Call{Target: fmt.Sprint(own), Prompt: []fighollow.PromptPart{{ID: 1}, {ID: own}}})
	}
	for i, ago := range []time.Duration{3 * time.Second, 2 * time.Second} {
		tracker.Broke(now.Add(-ago), fmt.Sprintf("x%d", i), prompt(uint64(100+i)), time.Millisecond)
	}
	qt.Assert(t, tracker.MayRepeat(now, prompt(9)), qt.IsFalse)
	serveOnce(t, tracker, 1, func(a *fighollow.Attempt) (*fighollow.Reply, error) {
		reply, err := replyWith(200, false, `{"answer":"whole"}`, nil)(a)
		reply.Header = fighollow.Header{"Content-Type": {"application/json"}}
		return reply, err
	})
	qt.Assert(t, tracker.MayRepeat(time.Now(), prompt(9)), qt.IsTrue)
}

// Guards against engines that send late replies to other requests being taken for engines that crashed.
func TestReplyToAnotherRequestIsNoCrash(t *testing.T) {
	tracker := quarantine.New("e", 48)
	serveOnce(t, tracker, 1, func(a *fighollow.Attempt) (*fighollow.Reply, error) {
		if a.Phase == fighollow.RequestPrefill {
			return &fighollow.Reply{Status: 200, KV: &fighollow.KVCache{Address: a.Upstream.Address, Handle: "h"}, Body: &fakeBody{Reader: &bytes.Buffer{}}}, nil
		}
		return nil, fighollow.ErrReplyMismatch
	})
	qt.Assert(t, tracker.Evidence(time.Now()), qt.HasLen, 0)
}
