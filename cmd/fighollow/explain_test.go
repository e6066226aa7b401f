package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/internal/gateway"
	"github.com/fighollow/fighollow/platform/standin"
)

// runExplain runs the command against an entry and returns what it prints.
func runExplain(entry string, args ...string) (string, error) {
	var out bytes.Buffer
	app := &cli.Command{Name: "fighollow", Commands: []*cli.Command{explainCommand()}, Writer: &out, ErrWriter: &out}
	err := app.Run(context.Background(), append([]string{"fighollow", "explain", "--entry", entry}, args...))
	return out.String(), err
}

// Guards against a command that succeeds although the entry does not answer or has no configuration, that fails for an unknown route, and
// against requests that reach engines.
func TestExplainAgainstAProcess(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	defer server.CloseClientConnections()
	cfg := testSettings(t, strings.TrimPrefix(server.URL, "http://"))
	metricsAddress := freeAddress(t)
	_, port, err := net.SplitHostPort(metricsAddress)
	qt.Assert(t, err, qt.IsNil)
	metricsPort, err := strconv.Atoi(port)
	qt.Assert(t, err, qt.IsNil)
	request := []string{
		"--host", "models.example", "--path", "/chat/completions", "--prompt", "5eed:4000,a1:1500", "--bytes", "21000", "--deadline", "6s",
		"--workspace", "atelier", "--id", "r-1",
	}
	_, err = runExplain(metricsAddress, request...)
	qt.Assert(t, err, qt.ErrorMatches, ".*does not answer.*")

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := startProcess(ctx, cfg, metricsPort)
	await(t, "the process answers", func() bool { return status(cfg) == http.StatusServiceUnavailable })
	await(t, "the process has no configuration", func() bool {
		_, err = runExplain(metricsAddress, request...)
		return err != nil && strings.Contains(err.Error(), "503")
	})
	var engines []*standin.Engine
	for i, role := range []string{"prefill", "prefill", "prefill", "decode", "decode"} {
		e := standin.NewEngine(fmt.Sprintf("gpu-%d", i+1), role)
		engines = append(engines, e)
		s := standin.NewServer(e, store, "chat", string('a'+rune(i%2)), time.Second, time.Second)
		defer s.Close()
	}
	route := map[string]any{
		"name": "chat", "host": "models.example", "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 8000, "service": "chat", "maxAttempts": 2,
		"priority": 1, "resumable": true,
	}
	standin.SetTarget(route, 800)
	config := map[string]any{
		"version":  7,
		"routes":   []any{route},
		"services": []any{map[string]any{"name": "chat", "healthCheck": "/healthz", "maxConnections": 100, "engine": standin.EngineTraits(8, 100_000)}},
	}
	standin.SetWorkspaces(config, []standin.Workspace{{Name: "atelier", Keys: []string{"secret-key"}}})
	store.Put("config", "main", config)
	var text string
	await(t, "the request would be sent", func() bool {
		text, err = runExplain(metricsAddress, request...)
		return err == nil && strings.Contains(text, "sent to gpu-") && strings.Count(text, "role") >= 2
	})
	t.Logf("\n%s", text)
	qt.Check(t, strings.Contains(text, "secret-key"), qt.IsFalse)
	for _, e := range engines {
		requests, _ := e.Received()
		qt.Check(t, requests, qt.Equals, 0)
	}
	body, err := runExplain(metricsAddress, append(request, "--json")...)
	qt.Assert(t, err, qt.IsNil)
	var decoded gateway.Explanation
	qt.Assert(t, json.Unmarshal([]byte(body), &decoded), qt.IsNil)
	qt.Check(t, decoded.Phases, qt.HasLen, 2)
	text, err = runExplain(metricsAddress, "--host", "other.example", "--path", "/chat/")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, strings.Contains(text, "404 routeNotFound"), qt.IsTrue, qt.Commentf("%s", text))
	_, err = runExplain(metricsAddress, append(request, "--method", "GET", "--prompt-tokens", "-1")...)
	qt.Check(t, err, qt.ErrorMatches, "(?s).*400.*promptTokens.*")
	cancel()
	qt.Assert(t, <-done, qt.IsNil)
}
