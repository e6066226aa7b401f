package gateway_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/internal/gateway"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// streamEvents is the number of events of a complete stream.
const streamEvents = 4

// fakes is a Dispatcher to upstreams that behave as the test draws. It counts what they did and shares no code with the
// gateway.
type fakes struct {
	t        *rapid.T
	sends    int // attempts that reached an upstream, prefills included
	prefills int // prefills that an engine accepted
	runs     int
	lost     int // attempts at an answer whose connection broke before the upstream ran them
	refused  int
	mix      []string // behaviours to draw from; all of them if it is empty
}

// behaviours are the ways in which an upstream handles an attempt.
var behaviours = []string{"whole", "whole", "notSent", "refused", "misdirected", "lostBefore", "lostAfter", "mismatched", "failure", "cut", "cutInEvent", "closedInEvent", "closedAtStart", "longFailure"}

// longFailure is the body of a failure that is too long to be buffered and breaks off.
var longFailure = strings.Repeat("no ", 50_000)

var errCut = errors.New("connection reset")

// fakeBody is the body of an answer that may break off with an error.
type fakeBody struct {
	io.Reader
	end error
}

func (b *fakeBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF && b.end != nil {
		return n, b.end
	}
	return n, err
}

func (b *fakeBody) Close() error { return nil }

func (f *fakes) Release(context.Context, fighollow.Upstream, *fighollow.KVCache) error { return nil }

func (f *fakes) Dispatch(_ context.Context, a *fighollow.Attempt) (*fighollow.Reply, error) {
	mix := behaviours
	if len(f.mix) > 0 {
		mix = f.mix
	}
	behaviour := rapid.SampledFrom(mix).Draw(f.t, "behaviour")
	if behaviour == "notSent" {
		return nil, fighollow.ErrNotRun
	}
	f.sends++
	switch behaviour {
	case "refused", "misdirected":
		f.refused++
		return &fighollow.Reply{Status: 503, NotRun: true, Misdirected: behaviour == "misdirected", Body: &fakeBody{Reader: &bytes.Buffer{}}}, nil
	case "lostBefore":
		if a.Phase != fighollow.RequestPrefill {
			f.lost++
		}
		return nil, fighollow.ErrUnknownOutcome
	}
	if a.Phase == fighollow.RequestPrefill {
		f.prefills++
		if behaviour != "whole" {
			return nil, fighollow.ErrUnknownOutcome
		}
		return &fighollow.Reply{Status: 200, KV: &fighollow.KVCache{Address: a.Upstream.Address, Handle: "h"}, Body: &fakeBody{Reader: &bytes.Buffer{}}}, nil
	}
	f.runs++
	switch behaviour {
	case "lostAfter":
		return nil, fighollow.ErrUnknownOutcome
	case "mismatched":
		return nil, fighollow.ErrReplyMismatch
	case "failure":
		return &fighollow.Reply{Status: 500, Length: 2, Body: &fakeBody{Reader: bytes.NewBufferString("no")}}, nil
	case "longFailure":
		return &fighollow.Reply{Status: 500, Length: -1, Body: &fakeBody{Reader: strings.NewReader(longFailure), end: errCut}}, nil
	}
	return f.answer(a, behaviour), nil
}

// answer returns the events of a stream after the one that the attempt names, or a plain answer.
func (f *fakes) answer(a *fighollow.Attempt, behaviour string) *fighollow.Reply {
	body := &fakeBody{end: errCut}
	reply := &fighollow.Reply{Status: 200, Length: -1, Framing: fighollow.FramingConnection, Body: body}
	if behaviour == "whole" {
		body.end = nil
	}
	if a.Upstream.Service == "plain" {
		body.Reader = bytes.NewBufferString("answer")
		return reply
	}
	first := 1
	if n, err := strconv.Atoi(a.ResumeAfter); err == nil {
		first = n + 1
	}
	last := streamEvents
	if behaviour != "whole" {
		last = rapid.IntRange(first-1, streamEvents).Draw(f.t, "last")
	}
	if behaviour == "closedAtStart" {
		body.end, last = nil, first-1
	}
	var b bytes.Buffer
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	switch behaviour {
	case "cutInEvent":
		b.WriteString("id: 9\nda")
	case "closedInEvent":
		b.WriteString("id: 9\nda")
		body.end = nil
	}
	body.Reader = &b
	return reply
}

// recordingResponder is a Responder that records what the caller gets.
type recordingResponder struct {
	status  int
	body    bytes.Buffer
	refusal *fighollow.Refusal
	aborted bool
}

func (c *recordingResponder) Begin(status int, _ fighollow.Header, _ int64) error {
	c.status = status
	return nil
}

func (c *recordingResponder) Write(p []byte) error {
	c.body.Write(p)
	return nil
}

func (c *recordingResponder) SetWriteDeadline(time.Time) {}

func (c *recordingResponder) Refuse(r *fighollow.Refusal) { c.refusal = r }
func (c *recordingResponder) Abort()                      { c.aborted = true }

// Guards against repeated runs of requests that must not be repeated, refusals as not run after a run, too many attempts,
// and incomplete answers, whatever the upstreams do.
func TestOutcomesWithFaultyUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fakes{t: t}
		route := fighollow.Route{
			Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"), Timeout: time.Minute,
			Repeat:   rapid.SampledFrom([]fighollow.Repeat{fighollow.RepeatAny, fighollow.RepeatNever, fighollow.RepeatResume}).Draw(t, "repeat"),
			Services: []fighollow.WeightedService{{Service: rapid.SampledFrom([]string{"plain", "models"}).Draw(t, "service"), Weight: 1}},
		}
		route.Stream = route.Services[0].Service == "models"
		g := newGateway(f, route)
		c := &recordingResponder{}
		now := time.Now()
		g.Serve(context.Background(), &fighollow.Call{
			ID: "q", Method: "POST", Target: "/x", Host: "h", Model: "m", PromptTokens: 100, Arrived: now, Deadline: now.Add(time.Minute),
			Prompt: []fighollow.PromptPart{{ID: 1, Tokens: 60}, {ID: 2, Tokens: 40}},
		}, c)
		f.checkOutcome(t, &route, c)
	})
}

func newGateway(f fighollow.Dispatcher, route fighollow.Route) *gateway.Gateway {
	return newGatewayWith(gateway.Options{RetryRatio: 0.2, RetrySlack: 500}, f, route)
}

func newGatewayWith(opts gateway.Options, f fighollow.Dispatcher, route fighollow.Route) *gateway.Gateway {
	return newLoggingGateway(opts, f, route, zerolog.Nop())
}

func newLoggingGateway(opts gateway.Options, f fighollow.Dispatcher, route fighollow.Route, log zerolog.Logger) *gateway.Gateway {
	fleet := placement.New(placement.Options{DataCentre: "a", DrainTime: time.Second})
	g := gateway.New(opts, fleet, f, log)
	g.Apply(&fighollow.Routing{Version: 1, Routes: []fighollow.Route{route}, Services: map[string]fighollow.ServiceTraits{
		"plain": {Name: "plain"}, "models": {Name: "models", Engine: &fighollow.EngineTraits{Slots: 8, KVCapacityTokens: 1000}},
	}})
	now := time.Now()
	for i := range 4 {
		for service, role := range map[string]fighollow.Role{"plain": fighollow.RoleNone, "models": fighollow.RoleDecode} {
			id := fmt.Sprintf("%s%d", service, i)
			fleet.Put(now, fighollow.Upstream{ID: id, Service: service, Address: id, DataCentre: "a", Role: role, Slots: 8}, 1)
		}
		id := fmt.Sprintf("prefill%d", i)
		fleet.Put(now, fighollow.Upstream{ID: id, Service: "models", Address: id, DataCentre: "a", Role: fighollow.RolePrefill, Slots: 8}, 1)
	}
	return g
}

func (f *fakes) checkOutcome(t *rapid.T, route *fighollow.Route, c *recordingResponder) {
	ran := fmt.Sprintf("%d runs, %d sends, %d prefills, %d refused", f.runs, f.sends, f.prefills, f.refused)
	if route.Repeat == fighollow.RepeatNever && f.runs > 1 {
		t.Fatalf("a request that must not be repeated ran again: %s", ran)
	}
	if c.refusal != nil && c.refusal.Outcome == fighollow.OutcomeNotRun && f.runs > 0 {
		t.Fatalf("refused as not run: %s", ran)
	}
	if f.runs > route.MaxAttempts {
		t.Fatalf("%d attempts allowed: %s", route.MaxAttempts, ran)
	}
	// A prefill that was lost before an engine accepted it cannot be told from the one that does not count.
	if f.sends > route.MaxAttempts+1 {
		t.Fatalf("%d attempts allowed: %s", route.MaxAttempts, ran)
	}
	answers := 0
	for _, given := range []bool{c.refusal != nil, c.status != 0} {
		if given {
			answers++
		}
	}
	if answers != 1 {
		t.Fatalf("%d answers: %s", answers, ran)
	}
	if c.aborted {
		return
	}
	if c.status != 200 {
		if c.refusal == nil && c.body.String() != "no" {
			t.Fatalf("complete failure with %d bytes: %s", c.body.Len(), ran)
		}
		return
	}
	if !route.Stream && c.body.String() != "answer" {
		t.Fatalf("complete with %q", c.body.String())
	}
	whole := ""
	for i := 1; i <= streamEvents; i++ {
		whole += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
	}
	if route.Stream && c.body.String() != whole {
		t.Fatalf("complete with %q: %s", c.body.String(), ran)
	}
}

// arrivalLog is a Dispatcher that records what reached upstreams of each request.
type arrivalLog struct {
	*fakes
	phases map[string][]string // by request: "prefill", "accepted" for a prefill that an engine accepted, or "run"
}

func (l *arrivalLog) Dispatch(ctx context.Context, a *fighollow.Attempt) (*fighollow.Reply, error) {
	sends, prefills := l.sends, l.prefills
	reply, err := l.fakes.Dispatch(ctx, a)
	switch {
	case l.sends == sends:
	case l.prefills > prefills:
		l.phases[a.Call.ID] = append(l.phases[a.Call.ID], "accepted")
	case a.Phase == fighollow.RequestPrefill:
		l.phases[a.Call.ID] = append(l.phases[a.Call.ID], "prefill")
	default:
		l.phases[a.Call.ID] = append(l.phases[a.Call.ID], "run")
	}
	return reply, err
}

// extraArrivals returns how many arrivals of a request count against the retry budget: those beyond the first, without the
// first prefill that an engine accepted. Further prefills count, and so do rejected ones.
func extraArrivals(phases []string) int {
	count := make(map[string]int)
	for _, p := range phases {
		count[p]++
	}
	free := min(1, count["accepted"])
	prefills := count["prefill"] + count["accepted"]
	beyondFirst := len(phases) - free - 1
	byPhase := max(0, count["run"]-1) + max(0, prefills-1)
	if free == 0 {
		byPhase = 0
	}
	return max(0, beyondFirst, byPhase)
}

// Guards against arrivals that the retry budget does not pay for, such as the second prefill of a request whose first one
// was accepted by an engine and whose decode engine could not be reached. Without requests that add to it, a budget must
// never exceed its slack.
func TestBudgetPaysForEveryExtraArrival(t *testing.T) {
	const slack = 10
	rapid.Check(t, func(t *rapid.T) {
		route := fighollow.Route{
			Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts"), Timeout: time.Minute, Stream: true,
			Repeat:   rapid.SampledFrom([]fighollow.Repeat{fighollow.RepeatAny, fighollow.RepeatNever, fighollow.RepeatResume}).Draw(t, "repeat"),
			Services: []fighollow.WeightedService{{Service: "models", Weight: 1}},
		}
		mix := rapid.SliceOfN(rapid.SampledFrom(behaviours), 2, 4).Draw(t, "mix")
		l := &arrivalLog{fakes: &fakes{t: t, mix: mix}, phases: make(map[string][]string)}
		g := newGateway(l, route)
		g.SetRetries(0, slack)
		g.SetEntries(1)
		for i := range 60 {
			now := time.Now()
			g.Serve(context.Background(), &fighollow.Call{
				ID: strconv.Itoa(i), Method: "POST", Target: "/x", Host: "h", Model: "m", PromptTokens: 100, Arrived: now,
				Deadline: now.Add(time.Minute), Prompt: []fighollow.PromptPart{{ID: 1, Tokens: 60}, {ID: 2, Tokens: 40}},
			}, &recordingResponder{})
		}
		extra := 0
		for _, phases := range l.phases {
			extra += extraArrivals(phases)
		}
		if extra > slack {
			t.Fatalf("%d extra arrivals, %d allowed: %v", extra, slack, l.phases)
		}
	})
}

// jsonEngine is a Dispatcher to engines that answer with a JSON document in place of a stream.
type jsonEngine struct {
	*fakes
	document string
}

func (e *jsonEngine) Dispatch(_ context.Context, a *fighollow.Attempt) (*fighollow.Reply, error) {
	if a.Phase == fighollow.RequestPrefill {
		return &fighollow.Reply{Status: 200, KV: &fighollow.KVCache{Address: a.Upstream.Address, Handle: "h"}, Body: &fakeBody{Reader: &bytes.Buffer{}}}, nil
	}
	return &fighollow.Reply{
		Status: 200, Header: fighollow.Header{"Content-Type": {"application/json"}}, Length: int64(len(e.document)),
		Framing: fighollow.FramingLength, Body: &fakeBody{Reader: strings.NewReader(e.document)},
	}, nil
}

// Guards against an engine's answer without events that is taken for one endless event and broken off.
func TestLongAnswerWithoutEvents(t *testing.T) {
	e := &jsonEngine{document: `{"text":"` + strings.Repeat("word ", 1<<18) + `"}`}
	g := newGateway(e, fighollow.Route{
		Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 2, Timeout: time.Minute, Stream: true, Repeat: fighollow.RepeatNever,
		Services: []fighollow.WeightedService{{Service: "models", Weight: 1}},
	})
	c := &recordingResponder{}
	now := time.Now()
	g.Serve(context.Background(), &fighollow.Call{ID: "q", Method: "POST", Target: "/x", Host: "h", Arrived: now, Deadline: now.Add(time.Minute)}, c)
	qt.Assert(t, c.status, qt.Equals, 200)
	qt.Assert(t, c.aborted, qt.IsFalse)
	qt.Assert(t, c.body.String() == e.document, qt.IsTrue)
}
