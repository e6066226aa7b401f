package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/admin"
	"github.com/fighollow/fighollow/internal/gateway"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/internal/quarantine"
	"github.com/fighollow/fighollow/pkg/fighollow"
	"github.com/fighollow/fighollow/platform"
)

var explainDecoder = gateway.ExplainDecoder{
	Prompt: platform.ParsePromptParts, PromptTokens: platform.PromptTokens, Deadline: platform.DefaultDeadline, Status: platform.RefusalStatus,
}

// placements is a Dispatcher that keeps which upstreams got the attempts of each request.
type placements struct {
	by map[string][]string
}

func (p *placements) Release(context.Context, fighollow.Upstream, *fighollow.KVCache) error {
	return nil
}

func (p *placements) Dispatch(_ context.Context, a *fighollow.Attempt) (*fighollow.Reply, error) {
	p.by[a.Call.ID] = append(p.by[a.Call.ID], a.Upstream.ID)
	reply := &fighollow.Reply{Status: 200, Length: -1, Framing: fighollow.FramingChunked, Body: &fakeBody{Reader: strings.NewReader("id: 1\ndata: 1\n\n")}}
	if a.Phase == fighollow.RequestPrefill {
		reply.KV, reply.Body = &fighollow.KVCache{Address: a.Upstream.Address, Handle: "h"}, &fakeBody{Reader: &bytes.Buffer{}}
	}
	return reply, nil
}

// ask returns the answer of the handler of g, decoded if it is an explanation.
func ask(t *testing.T, g *gateway.Gateway, query string) (*httptest.ResponseRecorder, *gateway.Explanation) {
	t.Helper()
	w := httptest.NewRecorder()
	g.ExplainHandler(explainDecoder)(w, httptest.NewRequest(http.MethodGet, "/explain?"+query, nil))
	var e gateway.Explanation
	if w.Code == http.StatusOK {
		qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &e), qt.IsNil)
	}
	return w, &e
}

func counts(registry metrics.Registry) string {
	var b strings.Builder
	admin.WriteMetrics(&b, registry)
	return b.String()
}

// Guards against an explanation that names other upstreams than those that the request is sent to next, and against one that counts.
func TestExplanationIsWhatServeDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, service := range []string{"models", "plain"} {
			route := fighollow.Route{
				Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 3, Stream: service == "models", TargetLatency: time.Second, Repeat: fighollow.RepeatAny,
				Services: []fighollow.WeightedService{{Service: service, Weight: 1}},
			}
			d := &placements{by: make(map[string][]string)}
			registry := metrics.NewRegistry()
			g := newGatewayWith(gateway.Options{RetryRatio: 0.2, RetrySlack: 500, Registry: registry}, d, route)
			for i := range 200 {
				id, part := fmt.Sprint("q", i), uint64(i%7)
				counted := counts(registry)
				var explained []string
				for range 2 {
					_, e := ask(t, g, fmt.Sprintf("host=h&path=/x&id=%s&prompt=%x:60,%x:40&bytes=10", id, part, 1000+i))
					qt.Assert(t, e.Answer.Sent, qt.IsTrue, qt.Commentf("%+v", e.Answer))
					explained = nil
					for _, p := range e.Phases {
						explained = append(explained, p.Chosen)
						qt.Assert(t, p.Candidates[0].Upstream, qt.Equals, p.Chosen)
					}
				}
				qt.Assert(t, counts(registry), qt.Equals, counted)
				now := time.Now()
				g.Serve(t.Context(), &fighollow.Call{
					ID: id, Method: "POST", Target: "/x", Host: "h", PromptTokens: 100, Arrived: now, Deadline: now.Add(30 * time.Second), Body: make([]byte, 10),
					Prompt: []fighollow.PromptPart{{ID: part, Tokens: 60}, {ID: uint64(1000 + i), Tokens: 40}},
				}, &recordingResponder{})
				qt.Assert(t, explained, qt.DeepEquals, d.by[id])
				time.Sleep(50 * time.Millisecond)
			}
		}
	})
}

// Guards against a key in an answer, against parameters that are ignored or not named, and against refusals that are explained otherwise than
// callers get them.
func TestExplanationsOfRefusals(t *testing.T) {
	route := fighollow.Route{
		Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 3, Stream: true, TargetLatency: time.Second, Repeat: fighollow.RepeatAny,
		Services: []fighollow.WeightedService{{Service: "models", Weight: 1}},
	}
	tracker := quarantine.New("e", 48)
	for i := range 3 {
		r := quarantine.NewPrompt("models", []fighollow.PromptPart{{ID: 0xbad}, {ID: uint64(i)}})
		tracker.Broke(time.Now().Add(-time.Duration(9-i)*time.Second), fmt.Sprint("x", i), r, time.Second)
	}
	qt.Assert(t, tracker.Judge(time.Now()), qt.HasLen, 1)
	shares := &shareLog{refuse: true}
	g := newGatewayWith(gateway.Options{RetryRatio: 0.2, RetrySlack: 500, Shares: shares, Quarantine: tracker}, &placements{}, route)
	r := *g.Routing()
	r.Version, r.KeysRequired = 2, true
	r.Workspaces = []fighollow.KeyedWorkspace{{Name: "w", Keys: []string{"secret"}}}
	g.Apply(&r)
	for _, c := range []struct {
		query  string
		status int
		text   string // in the answer
	}{
		{"host=h&path=/x&workspace=w&prompt=1:60,2:40", 200, `"sent":false,"status":503,"code":"overloaded","message":"gateway: the workspace asks for more than its share of the engines","retryAfterMs":1234`},
		{"host=h&path=/x&workspace=w&prompt=1:60,2:40", 200, `"share":{"scarce":true,"admittedFraction":0.25,"admitted":false}`},
		{"host=h&path=/x&workspace=w&prompt=bad:60,2:40", 200, `"sent":false,"status":503,"code":"quarantined"`},
		{"host=h&path=/x&workspace=w&prompt=bad:60,2:40", 200, `"kind":"part","key":"bad"`},
		{"host=h&path=/x", 200, `"sent":false,"status":401,"code":"unauthorised"`},
		{"host=other&path=/x&workspace=w", 200, `"route":null,"answer":{"sent":false,"status":404,"code":"routeNotFound"`},
		{"host=h&path=/x&workspace=secret", 400, "parameter workspace: "},
		{"host=h&path=x", 400, "parameter path: "},
		{"path=/x", 400, "parameter host: "},
		{"host=h&path=/x&key=secret", 400, "parameter key: "},
		{"host=h&host=h&path=/x", 400, "parameter host: "},
		{"host=h&path=/x&prompt=x", 400, "parameter prompt: "},
		{"host=h&path=/x&prompt=" + strings.Repeat("1:1,", 64) + "1:1", 400, "parameter prompt: "},
		{"host=h&path=/x&promptTokens=-1", 400, "parameter promptTokens: "},
		{"host=h&path=/x&bytes=many", 400, "parameter bytes: "},
		{"host=h&path=/x&deadlineMs=0", 400, "parameter deadlineMs: "},
		{"host=%zz", 400, "parameter query: "},
	} {
		w, _ := ask(t, g, c.query)
		qt.Check(t, w.Code, qt.Equals, c.status, qt.Commentf("%s", c.query))
		qt.Check(t, strings.Contains(w.Body.String(), c.text), qt.IsTrue, qt.Commentf("%s: %s", c.query, w.Body.String()))
		qt.Check(t, strings.Contains(w.Body.String(), "secret"), qt.IsFalse, qt.Commentf("%s", c.query))
	}
	qt.Assert(t, shares.asked, qt.HasLen, 0)
	fresh := gateway.New(gateway.Options{}, placement.New(placement.Options{}), nil, zerolog.Nop())
	w, _ := ask(t, fresh, "host=h&path=/x")
	qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
}

// Guards against explanations that use up the memory of an entry, because of their number or of a fleet's size.
func TestExplanationsAreBounded(t *testing.T) {
	route := fighollow.Route{Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 3, Services: []fighollow.WeightedService{{Service: "models", Weight: 1}}}
	fleet := placement.New(placement.Options{DataCentre: "a", DrainTime: time.Second})
	g := gateway.New(gateway.Options{}, fleet, nil, zerolog.Nop())
	g.Apply(&fighollow.Routing{Version: 1, Routes: []fighollow.Route{route}, Services: map[string]fighollow.ServiceTraits{
		"models": {Name: "models", Engine: &fighollow.EngineTraits{Slots: 8, KVCapacityTokens: 1000}},
	}})
	for i := range 1500 {
		u := fighollow.Upstream{ID: fmt.Sprint("u", i), Service: "models", DataCentre: "a", Role: fighollow.RolePrefill, Slots: 8}
		if i%3 == 0 {
			u.Role = fighollow.RoleDecode
		}
		fleet.Put(time.Now(), u, 1)
	}
	w, e := ask(t, g, "host=h&path=/x&prompt=1:60,2:40")
	qt.Assert(t, e.Phases, qt.HasLen, 2)
	p := &e.Phases[0]
	qt.Assert(t, []int{len(p.Candidates), p.MoreCandidates, len(p.Excluded), p.MoreExcluded, p.Reasons[placement.ExcludedRole]}, qt.DeepEquals, []int{50, 950, 50, 450, 500})
	qt.Assert(t, w.Body.Len() < 100_000, qt.IsTrue, qt.Commentf("%d bytes", w.Body.Len()))

	held, release := make(chan struct{}, 8), make(chan struct{})
	slow := explainDecoder
	slow.Prompt = func(string) []fighollow.PromptPart {
		held <- struct{}{}
		<-release
		return nil
	}
	var waiting sync.WaitGroup
	for range 8 {
		waiting.Go(func() {
			g.ExplainHandler(slow)(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/explain?host=h&path=/x&prompt=1:1", nil))
		})
	}
	for range 8 {
		<-held
	}
	w, _ = ask(t, g, "host=h&path=/x")
	qt.Assert(t, w.Code, qt.Equals, http.StatusTooManyRequests)
	close(release)
	waiting.Wait()
	w, _ = ask(t, g, "host=h&path=/x")
	qt.Assert(t, w.Code, qt.Equals, http.StatusOK)
}
