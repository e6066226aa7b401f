package gateway_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/internal/gateway"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// pieces is how many events a whole stream has.
const pieces = 4

// world is a fleet whose upstreams do what the test draws, and a record of what they did. It shares no code with the gateway.
type world struct {
	t        *rapid.T
	sends    int // that reached an upstream, prefills included
	prefills int // that an engine accepted
	runs     int
	refused  int
}

// fate is what an upstream does with an attempt.
var fates = []string{"whole", "whole", "notSent", "refused", "misdirected", "lostBefore", "lostAfter", "crossed", "failure", "cut", "cutInEvent"}

var errCut = errors.New("connection reset")

// body is an answer that may break off.
type body struct {
	io.Reader
	end error
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF && b.end != nil {
		return n, b.end
	}
	return n, err
}

func (b *body) Close() error { return nil }

func (w *world) Release(context.Context, fighollow.Upstream, *fighollow.KVCache) error { return nil }

func (w *world) Dispatch(_ context.Context, a *fighollow.Attempt) (*fighollow.Reply, error) {
	fate := rapid.SampledFrom(fates).Draw(w.t, "fate")
	if fate == "notSent" {
		return nil, fighollow.ErrNotRun
	}
	w.sends++
	switch fate {
	case "refused", "misdirected":
		w.refused++
		return &fighollow.Reply{Status: 503, NotRun: true, Misdirected: fate == "misdirected", Body: &body{Reader: &bytes.Buffer{}}}, nil
	case "lostBefore":
		return nil, fighollow.ErrUnknownOutcome
	}
	if a.Phase == fighollow.RequestPrefill {
		w.prefills++
		if fate != "whole" {
			return nil, fighollow.ErrUnknownOutcome
		}
		return &fighollow.Reply{Status: 200, KV: &fighollow.KVCache{Address: a.Upstream.Address, Handle: "h"}, Body: &body{Reader: &bytes.Buffer{}}}, nil
	}
	w.runs++
	switch fate {
	case "lostAfter":
		return nil, fighollow.ErrUnknownOutcome
	case "crossed":
		return nil, fighollow.ErrCrossed
	case "failure":
		return &fighollow.Reply{Status: 500, Length: 2, Body: &body{Reader: bytes.NewBufferString("no")}}, nil
	}
	return w.answer(a, fate), nil
}

// answer is the rest of a stream after the event that the attempt names, or a plain answer.
func (w *world) answer(a *fighollow.Attempt, fate string) *fighollow.Reply {
	var b bytes.Buffer
	var end error
	if a.Upstream.Service == "plain" {
		b.WriteString("answer")
	} else {
		first := 1
		if n, err := strconv.Atoi(a.ResumeAfter); err == nil {
			first = n + 1
		}
		last := pieces
		if fate != "whole" {
			last = rapid.IntRange(first-1, pieces).Draw(w.t, "last")
		}
		for i := first; i <= last; i++ {
			fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
		}
	}
	if fate != "whole" {
		end = errCut
	}
	if fate == "cutInEvent" {
		b.WriteString("id: 9\nda")
	}
	return &fighollow.Reply{Status: 200, Length: -1, Body: &body{Reader: &b, end: end}}
}

// caller is what the caller sees.
type caller struct {
	status  int
	body    bytes.Buffer
	refusal *fighollow.Refusal
	aborted bool
}

func (c *caller) Begin(status int, _ fighollow.CallHeader, _ int64) error {
	c.status = status
	return nil
}

func (c *caller) Write(p []byte) error {
	c.body.Write(p)
	return nil
}

func (c *caller) Refuse(r *fighollow.Refusal) { c.refusal = r }
func (c *caller) Abort()                      { c.aborted = true }

// Guards against second runs, false promises, too many attempts, and answers that are not whole, whatever upstreams do.
func TestOutcomesWhateverUpstreamsDo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t}
		route := fighollow.Route{
			Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"), Timeout: time.Minute,
			Repeat: rapid.SampledFrom([]fighollow.Repeat{fighollow.RepeatAny, fighollow.RepeatNever, fighollow.RepeatResume}).Draw(t, "repeat"),
			Shares: []fighollow.Share{{Service: rapid.SampledFrom([]string{"plain", "models"}).Draw(t, "service"), Weight: 1}},
		}
		route.Stream = route.Shares[0].Service == "models"
		g := newGateway(w, route)
		c := &caller{}
		now := time.Now()
		g.Serve(context.Background(), &fighollow.Call{
			ID: "q", Method: "POST", Target: "/x", Host: "h", Model: "m", PromptTokens: 100, Arrived: now, Deadline: now.Add(time.Minute),
			Prompt: []fighollow.PromptPart{{ID: 1, Tokens: 60}, {ID: 2, Tokens: 40}},
		}, c)
		w.judge(t, &route, c)
	})
}

func newGateway(w *world, route fighollow.Route) *gateway.Gateway {
	fleet := placement.New(placement.Options{DataCentre: "a", Drain: time.Second})
	g := gateway.New(gateway.Options{RetryRatio: 0.2, RetrySlack: 500}, fleet, w, zerolog.Nop())
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

func (w *world) judge(t *rapid.T, route *fighollow.Route, c *caller) {
	ran := fmt.Sprintf("%d runs, %d sends, %d prefills, %d refused", w.runs, w.sends, w.prefills, w.refused)
	if route.Repeat == fighollow.RepeatNever && w.runs > 1 {
		t.Fatalf("a request that must not be repeated: %s", ran)
	}
	if c.refusal != nil && c.refusal.Outcome == fighollow.NotRun && w.runs > 0 {
		t.Fatalf("refused as not run: %s", ran)
	}
	if w.runs > route.MaxAttempts {
		t.Fatalf("%d attempts allowed: %s", route.MaxAttempts, ran)
	}
	// Prefills that were lost before an engine took them cannot be told from the one that does not count.
	if w.sends > route.MaxAttempts+1 {
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
	if c.status != 200 || c.aborted {
		return
	}
	if !route.Stream && c.body.String() != "answer" {
		t.Fatalf("complete with %q", c.body.String())
	}
	whole := ""
	for i := 1; i <= pieces; i++ {
		whole += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
	}
	if route.Stream && c.body.String() != whole {
		t.Fatalf("complete with %q: %s", c.body.String(), ran)
	}
}
