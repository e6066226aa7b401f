package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/gateway"
	"github.com/fighollow/fighollow/internal/heldbytes"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// slowResponder is a caller that reads each part of an answer, or the first one only, after a pause. It gets no part after the write
// deadline.
type slowResponder struct {
	recordingResponder
	pause     time.Duration
	firstOnly bool
	deadline  time.Time
}

func (c *slowResponder) SetWriteDeadline(t time.Time) { c.deadline = t }

func (c *slowResponder) Write(p []byte) error {
	time.Sleep(min(c.pause, time.Until(c.deadline)))
	if !time.Now().Before(c.deadline) {
		return os.ErrDeadlineExceeded
	}
	if c.firstOnly {
		c.pause = 0
	}
	return c.recordingResponder.Write(p)
}

// Guards against engines that are taken for faulty because they cut off an answer that its caller did not read.
func TestAnswersCutForSlowCallersAreNoFailures(t *testing.T) {
	for _, c := range []struct {
		script    string
		pause     time.Duration
		firstOnly bool
		result    string
	}{
		{"cut", 999 * time.Millisecond, false, "failed"},
		{"cut", time.Second, false, "abandoned"},
		{"cut", 5 * time.Second, false, "abandoned"},
		{"cut late", 5 * time.Second, true, "abandoned"}, // what had arrived before the engine aborted is written after it
		{"cut late", 600 * time.Millisecond, false, "abandoned"},
		{"cut late", 40 * time.Millisecond, false, "failed"},
	} {
		synctest.Test(t, func(t *testing.T) {
			var logs bytes.Buffer
			route := fighollow.Route{
				Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 1, Timeout: time.Minute, Stream: true, Repeat: fighollow.RepeatNever,
				Services: []fighollow.WeightedService{{Service: "models", Weight: 1}},
			}
			g := newLoggingGateway(gateway.Options{RetryRatio: 0.2, RetrySlack: 500}, &scriptedUpstreams{script: []string{c.script}}, route, zerolog.New(&logs))
			now := time.Now()
			caller := &slowResponder{pause: c.pause, firstOnly: c.firstOnly}
			g.Serve(t.Context(), &fighollow.Call{
				ID: "q", Method: "POST", Target: "/x", Host: "h", Model: "m", PromptTokens: 100, Arrived: now, Deadline: now.Add(time.Minute),
			}, caller)
			qt.Check(t, caller.aborted, qt.IsTrue)
			qt.Check(t, strings.Contains(logs.String(), `"phase":"decode","result":"`+c.result+`"`), qt.IsTrue, qt.Commentf("%+v: %s", c, &logs))
		})
	}
}

// longStreams is a Dispatcher to engines whose streams have events of 100,000 bytes. Those of the first attempt break off within the second.
type longStreams struct {
	broken   bool
	attempts int
}

func (*longStreams) Release(context.Context, fighollow.Upstream, *fighollow.KVCache) error {
	return nil
}

func (d *longStreams) Dispatch(_ context.Context, a *fighollow.Attempt) (*fighollow.Reply, error) {
	if a.Phase == fighollow.RequestPrefill {
		return replyWith(200, false, "", nil)(a)
	}
	d.attempts++
	body := longEvent(1) + longEvent(2)
	if d.broken && d.attempts == 1 {
		return replyWith(200, false, body[:150_000], errCut)(a)
	}
	if a.ResumeAfter == "1" {
		body = longEvent(2)
	}
	return replyWith(200, false, body, nil)(a)
}

func longEvent(id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", 100_000))
}

// Guards against long events that are lost, repeated or held beyond the bound, whether the bound is reached or not: a stream that breaks off
// within an event of which the caller has a part must not go on.
func TestLongEventsAreRelayedInPartsAtTheBound(t *testing.T) {
	for _, c := range []struct {
		memoryMB int // with 1 MB, answers may hold 29 KB
		broken   bool
		complete bool
	}{{0, false, true}, {1, false, true}, {0, true, true}, {1, true, false}} {
		var logs bytes.Buffer
		route := fighollow.Route{
			Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 3, Timeout: time.Minute, Stream: true, Repeat: fighollow.RepeatResume,
			Services: []fighollow.WeightedService{{Service: "models", Weight: 1}},
		}
		held := heldbytes.New(c.memoryMB, metrics.NewRegistry(), zerolog.Nop())
		g := newLoggingGateway(gateway.Options{RetryRatio: 0.2, RetrySlack: 500, Held: held}, &longStreams{broken: c.broken}, route, zerolog.New(&logs))
		now := time.Now()
		caller := &recordingResponder{}
		g.Serve(t.Context(), &fighollow.Call{
			ID: "q", Method: "POST", Target: "/x", Host: "h", Model: "m", PromptTokens: 100, Arrived: now, Deadline: now.Add(time.Minute),
		}, caller)
		qt.Check(t, caller.aborted, qt.Equals, !c.complete, qt.Commentf("%+v: %s", c, &logs))
		qt.Check(t, caller.body.String() == longEvent(1)+longEvent(2), qt.Equals, c.complete, qt.Commentf("%+v", c))
		qt.Check(t, strings.HasPrefix(longEvent(1)+longEvent(2), caller.body.String()), qt.IsTrue, qt.Commentf("%+v", c))
		qt.Check(t, held.Used(heldbytes.Answer), qt.Equals, int64(0))
	}
}

// Guards against callers that hold a request for ever because they do not read its answer.
func TestCallersThatDoNotReadAreLeftAfterTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := fighollow.Route{
			Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 1, Timeout: 4 * time.Second, Stream: true, Repeat: fighollow.RepeatNever,
			Services: []fighollow.WeightedService{{Service: "models", Weight: 1}},
		}
		var logs bytes.Buffer
		g := newLoggingGateway(gateway.Options{}, &longStreams{}, route, zerolog.New(&logs))
		now := time.Now()
		caller := &slowResponder{pause: time.Hour}
		g.Serve(t.Context(), &fighollow.Call{
			ID: "q", Method: "POST", Target: "/x", Host: "h", Model: "m", PromptTokens: 100, Arrived: now, Deadline: now.Add(time.Minute),
		}, caller)
		qt.Check(t, time.Since(now), qt.Equals, 5*time.Second)
		qt.Check(t, caller.aborted, qt.IsTrue)
		qt.Check(t, strings.Contains(logs.String(), `"outcome":"unread"`), qt.IsTrue, qt.Commentf("%s", &logs))
	})
}
