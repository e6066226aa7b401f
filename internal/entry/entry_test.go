package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against answers that lose text or lack the ids of the engine and the request.
func TestCompletionIsRelayed(t *testing.T) {
	f := startFleet(t)
	f.add("engine-1", "m", serveWords(20))
	for _, stream := range []bool{false, true} {
		a := f.chat("m", stream)
		qt.Assert(t, a.status, qt.Equals, 200)
		qt.Assert(t, a.content(t), qt.Equals, wordText(20))
		qt.Assert(t, a.header.Get("X-Fighollow-Upstream"), qt.Equals, "engine-1")
		qt.Assert(t, a.header.Get("X-Request-Id"), qt.Not(qt.Equals), "")
		qt.Assert(t, strings.HasSuffix(a.body, "data: [DONE]\n\n"), qt.Equals, stream)
	}
	a := f.send("POST", "/v1/completions", `{"model":"m","prompt":"hi","max_tokens":5}`)
	qt.Assert(t, a.content(t), qt.Equals, wordText(20))
}

// Guards against callers that set their own worth or priority. Both must come from the workspace.
func TestCallCarriesTheWorkspacesWorth(t *testing.T) {
	f := startFleet(t)
	s := f.add("engine-1", "m", serveWords(1))
	f.send("POST", "/v1/completions", `{"model":"m","prompt":"hi","max_tokens":5,"priority":99,"worth":99}`)
	call := s.received()[0]
	qt.Assert(t, call.Worth, qt.Equals, 2.0)
	qt.Assert(t, call.Priority, qt.Equals, 7)
	qt.Assert(t, call.Generate.Priority, qt.Equals, 7)
	qt.Assert(t, call.Generate.MaxTokens, qt.Equals, 5)
	qt.Assert(t, call.Generate.Prompt, qt.Equals, "hi")
}

// Guards against refusals of invalid requests with a wrong status, code or notRun field.
func TestBadInputIsRefused(t *testing.T) {
	f := startFleet(t)
	f.add("engine-1", "m", serveWords(1))
	good := `{"model":"m","prompt":"hi"}`
	for _, c := range []struct {
		name, path, body string
		header           []string
		status           int
		code             string
	}{
		{"no key", "/v1/completions", good, []string{"X-Workspace-Key", ""}, 401, "unauthorised"},
		{"wrong key", "/v1/completions", good, []string{"X-Workspace-Key", "other"}, 401, "unauthorised"},
		{"not JSON", "/v1/completions", `{`, nil, 400, "badRequest"},
		{"no prompt", "/v1/completions", `{"model":"m"}`, nil, 400, "badRequest"},
		{"n", "/v1/completions", `{"model":"m","prompt":"hi","n":2}`, nil, 400, "badRequest"},
		{"no messages", "/v1/chat/completions", `{"model":"m"}`, nil, 400, "badRequest"},
		{"model", "/v1/completions", `{"model":"x","prompt":"hi"}`, nil, 404, "modelNotFound"},
		{"service", "/services/none/x", ``, nil, 404, "serviceNotFound"},
		{"deadline 0", "/v1/completions", good, []string{"X-Deadline-Ms", "0"}, 400, "badRequest"},
		{"deadline text", "/v1/completions", good, []string{"X-Deadline-Ms", "1.5"}, 400, "badRequest"},
		{"too large", "/v1/completions", strings.Repeat("x", 2<<20), nil, 413, "tooLarge"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := f.send("POST", c.path, c.body, c.header...)
			code, notRun := a.refusal(t)
			qt.Assert(t, a.status, qt.Equals, c.status)
			qt.Assert(t, code, qt.Equals, c.code)
			qt.Assert(t, notRun, qt.IsTrue)
		})
	}
}

// Guards against a graceful stop that interrupts open requests or accepts new ones.
func TestStopFinishesOpenRequests(t *testing.T) {
	f := startFleet(t)
	release := make(chan struct{})
	f.add("engine-1", "m", func(_ context.Context, call *link.Call, s *link.ServerStream) {
		_ = s.Accept(fighollow.Load{})
		_ = sendWords(call, s, 2)
		<-release
		call.Offset = 2
		_ = sendWords(call, s, 4)
		finishCompleted(s, 4)
	})
	res := f.open(context.Background(), "POST", "/v1/completions", `{"model":"m","prompt":"hi","stream":true}`)
	defer res.Body.Close()
	f.stop()
	eventually(t, func() bool { return f.status(f.admin+"/readyz") == 503 })
	a := f.chat("m", false)
	code, notRun := a.refusal(t)
	qt.Assert(t, a.status, qt.Equals, 503)
	qt.Assert(t, code, qt.Equals, "stopping")
	qt.Assert(t, notRun, qt.IsTrue)
	qt.Assert(t, a.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Assert(t, f.status(f.admin+"/healthz"), qt.Equals, 200)
	close(release)
	b, err := io.ReadAll(res.Body)
	qt.Assert(t, err, qt.IsNil)
	got := answer{res.StatusCode, res.Header, string(b)}
	qt.Assert(t, got.content(t), qt.Equals, wordText(4))
	f.wait()
}

// Guards against calls of plain services that lose their method, path, headers or body, or leak the workspace's key.
func TestServiceCallIsRelayed(t *testing.T) {
	f := startFleet(t)
	in := fighollow.Instance{Kind: fighollow.InstanceService, Service: "orders", DataCentre: "dc"}
	s := f.addInstance("orders-1", in, "", func(_ context.Context, _ *link.Call, s *link.ServerStream) {
		_ = s.Accept(fighollow.Load{})
		_ = s.Head(201, map[string][]string{"X-Made": {"yes"}, "Connection": {"close"}})
		_ = s.Chunk(0, 5, []byte("made "))
		_ = s.Chunk(5, 2, []byte("it"))
		_ = s.Finish(link.Finish{Outcome: fighollow.OutcomeCompleted})
	})
	a := f.send("PUT", "/services/orders/a%2Fb/c?q=1", "body", "X-Mine", "1")
	qt.Assert(t, a.status, qt.Equals, 201)
	qt.Assert(t, a.body, qt.Equals, "made it")
	qt.Assert(t, a.header.Get("X-Made"), qt.Equals, "yes")
	call := s.received()[0].Service
	qt.Assert(t, call.Method, qt.Equals, "PUT")
	qt.Assert(t, call.Path, qt.Equals, "/a%2Fb/c?q=1")
	qt.Assert(t, string(call.Body), qt.Equals, "body")
	qt.Assert(t, http.Header(call.Header).Get("X-Mine"), qt.Equals, "1")
	qt.Assert(t, http.Header(call.Header).Get("X-Workspace-Key"), qt.Equals, "")
}

// Guards against a truncated request that reaches an upstream as a complete one.
func TestTruncatedRequestIsNotSent(t *testing.T) {
	f := startFleet(t)
	s := f.add("engine-1", "m", serveWords(1))
	in := fighollow.Instance{Kind: fighollow.InstanceService, Service: "orders", DataCentre: "dc"}
	orders := f.addInstance("orders-1", in, "", refuseOverloaded)
	for _, path := range []string{"/v1/chat/completions", "/services/orders/a"} {
		for _, body := range []string{
			"Content-Length: 90\r\n\r\n{\"model\": \"m\", \"messages\": []}", "Transfer-Encoding: chunked\r\n\r\n20\r\n{\"model\":",
			"Transfer-Encoding: chunked\r\n\r\n1e\r\n{\"model\": \"m\", \"messages\": []}\r\n",
		} {
			c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			qt.Assert(t, err, qt.IsNil)
			_, _ = io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+workspaceKey+"\r\n"+body)
			qt.Assert(t, c.(*net.TCPConn).CloseWrite(), qt.IsNil)
			got, _ := io.ReadAll(c)
			c.Close()
			qt.Assert(t, strings.Contains(string(got), " 200 "), qt.IsFalse, qt.Commentf("%q: %s", body, got))
		}
	}
	qt.Assert(t, len(s.received())+len(orders.received()), qt.Equals, 0)
}

// Guards against workspace keys that are written to the log.
func TestKeysAreNotLogged(t *testing.T) {
	f := startFleet(t)
	f.add("engine-1", "m", serveWords(1))
	f.chat("m", false)
	f.chat("m", false, "X-Workspace-Key", "", "Authorization", "Bearer "+workspaceKey)
	f.wait()
	qt.Assert(t, f.log.String(), qt.Contains, "routeChosen")
	qt.Assert(t, strings.Contains(f.log.String(), workspaceKey), qt.IsFalse)
}

// Guards against a success for a request that no engine has answered: the HTTP library answers it unless it is told not to.
func TestOptionsForTheServerIsRefused(t *testing.T) {
	f := startFleet(t)
	callers, admin, _ := f.entry.Addrs()
	for _, address := range []string{callers, admin} {
		c, err := net.Dial("tcp", address)
		qt.Assert(t, err, qt.IsNil)
		defer c.Close()
		_, err = io.WriteString(c, "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n")
		qt.Assert(t, err, qt.IsNil)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		qt.Assert(t, err, qt.IsNil)
		resp.Body.Close()
		qt.Check(t, resp.StatusCode >= 400, qt.IsTrue, qt.Commentf("%d", resp.StatusCode))
	}
}
