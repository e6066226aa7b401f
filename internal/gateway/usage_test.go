package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/internal/gateway"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// usageLog is a fighollow.UsageRecorder that keeps each call as "workspace at seconds since the test began".
type usageLog struct {
	began time.Time
	calls []string
}

func (l *usageLog) Begun(at time.Time, workspace string) {
	l.calls = append(l.calls, fmt.Sprintf("%s at %v", workspace, at.Sub(l.began)))
}

// scriptedUpstreams is a Dispatcher whose replies to the successive attempts, prefills aside, are given by name. Each takes a second to
// reply, and each part of a body takes a second too.
type scriptedUpstreams struct {
	script  []string
	prefill string
	leave   func()
}

func (d *scriptedUpstreams) Release(context.Context, fighollow.Upstream, *fighollow.KVCache) error {
	return nil
}

// slowBody is a body whose parts each arrive after a second.
type slowBody struct {
	parts []string
	end   error
	leave func() // called before the end, if it is set
}

func (b *slowBody) Close() error { return nil }

func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(time.Second)
	if len(b.parts) == 0 {
		if b.leave != nil {
			b.leave()
		}
		return 0, b.end
	}
	n := copy(p, b.parts[0])
	b.parts = b.parts[1:]
	return n, nil
}

func (d *scriptedUpstreams) Dispatch(ctx context.Context, a *fighollow.Attempt) (*fighollow.Reply, error) {
	time.Sleep(time.Second)
	if a.Phase == fighollow.RequestPrefill {
		switch d.prefill {
		case "lost":
			return nil, fighollow.ErrUnknownOutcome
		case "failure":
			return &fighollow.Reply{Status: 500, Body: &slowBody{end: io.EOF}}, nil
		}
		return &fighollow.Reply{Status: 200, KV: &fighollow.KVCache{Address: a.Upstream.Address, Handle: "h"}, Body: &fakeBody{Reader: &bytes.Buffer{}}}, nil
	}
	behaviour := "refused"
	if len(d.script) > 0 {
		behaviour, d.script = d.script[0], d.script[1:]
	}
	reply := func(status int, contentType string, end error, parts ...string) (*fighollow.Reply, error) {
		return &fighollow.Reply{
			Status: status, Header: fighollow.Header{"Content-Type": {contentType}}, Length: -1, Framing: fighollow.FramingChunked,
			Body: &slowBody{parts: parts, end: end},
		}, nil
	}
	const events, document = "text/event-stream", "application/json"
	switch behaviour {
	case "refused", "misdirected":
		return &fighollow.Reply{Status: 503, NotRun: true, Misdirected: behaviour == "misdirected", Body: &slowBody{end: io.EOF}}, nil
	case "unsent":
		return nil, fighollow.ErrNotRun
	case "lost":
		return nil, fighollow.ErrUnknownOutcome
	case "mismatched":
		return nil, fighollow.ErrReplyMismatch
	case "left":
		d.leave()
		return nil, fmt.Errorf("%w: %w", fighollow.ErrUnknownOutcome, ctx.Err())
	case "late":
		time.Sleep(time.Hour)
		return nil, fmt.Errorf("%w: %w", fighollow.ErrUnknownOutcome, ctx.Err())
	case "stream":
		return reply(200, events, io.EOF, "id: 1\ndata: 1\n\n", "id: 2\ndata: 2\n\n")
	case "commented":
		return reply(200, events, io.EOF, ": queued\n\n", "id: 1\ndata: 1\n\n")
	case "cut":
		return reply(200, events, errCut, "id: 1\ndata: 1\n\n")
	case "cut late":
		return reply(200, events, errCut, "id: 1\ndata: 1\n\n", "id: 2\ndata: 2\n\n")
	case "cut early":
		return reply(200, events, errCut, ": queued\n\n", "id: 1\nda")
	case "cut at once":
		return reply(200, events, errCut)
	case "no events":
		return reply(200, events, io.EOF, ": queued\n\n")
	case "left in stream", "left before event":
		r, _ := reply(200, events, context.Canceled, "id: 1\ndata: 1\n\n")
		body := r.Body.(*slowBody)
		body.leave = d.leave
		if behaviour == "left before event" {
			body.parts = nil
		}
		return r, nil
	case "document":
		return reply(200, document, io.EOF, "{}")
	case "document cut":
		return reply(200, document, errCut, "{")
	case "failure":
		return reply(500, document, io.EOF, "no")
	case "unknown name":
		return reply(404, document, io.EOF, "no")
	}
	panic(behaviour)
}

// Guards against requests that are billed although nothing ran, not billed, billed twice or billed in another window, on each path of a
// request through the gateway. An attempt takes 1 s, and so does each part of an answer; an engine's prompt is computed by one more.
func TestUsageOfEachPath(t *testing.T) {
	for _, c := range []struct {
		service string
		script  string
		want    string // seconds after the arrival; empty if the request does not count
	}{
		{"plain", "document", "0s"},
		{"plain", "unknown name", "0s"},
		{"plain", "stream", "0s"},
		{"plain", "document cut", "0s"},
		{"plain", "failure, document", "0s"}, // the first one ran
		{"plain", "failure, failure, failure", "0s"},
		{"plain", "lost, document", "1s"},
		{"plain", "mismatched, document", "1s"},
		{"plain", "lost, refused", "1s"},
		{"plain", "unsent, document", "1s"},
		{"plain", "refused, misdirected, document", "2s"},
		{"plain", "refused", ""},
		{"plain", "left", ""},
		{"plain", "late", ""},
		{"models", "stream", "3s"},
		{"models", "commented", "4s"},
		{"models", "no events", "1s"},
		{"models", "document", "1s"},
		{"models", "unknown name", "1s"},
		{"models", "failure, stream", "1s"},
		{"models", "cut, stream", "3s"},
		{"models", "cut, failure, stream", "3s"},
		{"models", "cut at once, stream", "3s"},
		{"models", "cut early, stream", "5s"},
		{"models", "lost, stream", "2s"},
		{"models", "mismatched, stream", "2s"},
		{"models", "refused, stream", "4s"},
		{"models", "misdirected, stream", "4s"},
		{"models", "unsent, stream", "4s"},
		{"models", "refused", ""},
		{"models", "left", ""},
		{"models", "late", ""},
		{"models", "left before event", ""},
		{"models", "left in stream", "3s"},
		{"models", "lost prefill", ""},
		{"models", "failure prefill", ""},
	} {
		t.Run(c.service+": "+c.script, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := fighollow.Route{
					Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 3, Timeout: 100 * time.Second, Stream: c.service == "models",
					Repeat: fighollow.RepeatAny, Services: []fighollow.WeightedService{{Service: c.service, Weight: 1}},
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				d := &scriptedUpstreams{leave: cancel}
				if name, ok := strings.CutSuffix(c.script, " prefill"); ok {
					d.prefill = name
				} else {
					d.script = strings.Split(c.script, ", ")
				}
				now := time.Now()
				usage := &usageLog{began: now}
				g := newGatewayWith(gateway.Options{RetryRatio: 0.2, RetrySlack: 500, Usage: usage}, d, route)
				call := &fighollow.Call{
					ID: "q", Method: "POST", Target: "/x", Host: "h", Model: "m", PromptTokens: 100, Arrived: now, Deadline: now.Add(time.Minute),
					Prompt: []fighollow.PromptPart{{ID: 1, Tokens: 60}, {ID: 2, Tokens: 40}},
				}
				if d.script == nil {
					call.Deadline = now.Add(1500 * time.Millisecond) // before a run
				}
				g.ServeFor(ctx, "w", call, &recordingResponder{})
				var want []string
				if c.want != "" {
					want = []string{"w at " + c.want}
				}
				qt.Assert(t, usage.calls, qt.DeepEquals, want)
			})
		})
	}
}

// Guards against requests that count more than once, that count although nothing ran, or that ran and do not count, whatever the upstreams
// do; and against requests without a workspace that count.
func TestUsageWithFaultyUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fakes{t: t}
		route := fighollow.Route{
			Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"), Timeout: time.Minute,
			Repeat:   rapid.SampledFrom([]fighollow.Repeat{fighollow.RepeatAny, fighollow.RepeatNever, fighollow.RepeatResume}).Draw(t, "repeat"),
			Services: []fighollow.WeightedService{{Service: rapid.SampledFrom([]string{"plain", "models"}).Draw(t, "service"), Weight: 1}},
		}
		route.Stream = route.Services[0].Service == "models"
		now := time.Now()
		usage := &usageLog{began: now}
		workspace := rapid.SampledFrom([]string{"", "w"}).Draw(t, "workspace")
		g := newGatewayWith(gateway.Options{RetryRatio: 0.2, RetrySlack: 500, Usage: usage}, f, route)
		g.ServeFor(context.Background(), workspace, &fighollow.Call{
			ID: "q", Method: "POST", Target: "/x", Host: "h", Model: "m", PromptTokens: 100, Arrived: now, Deadline: now.Add(time.Minute),
			Prompt: []fighollow.PromptPart{{ID: 1, Tokens: 60}, {ID: 2, Tokens: 40}},
		}, &recordingResponder{})
		want := 0
		if workspace != "" && (f.runs > 0 || f.lost > 0) {
			want = 1
		}
		if len(usage.calls) != want {
			t.Fatalf("counted %q, want %d: %d runs, %d lost", usage.calls, want, f.runs, f.lost)
		}
	})
}
