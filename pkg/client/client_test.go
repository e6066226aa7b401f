package client_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/client"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// entry answers each request with the next of its replies.
type entry struct {
	replies []func(w http.ResponseWriter)
	keys    []string
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.keys = append(e.keys, r.Header.Get("Idempotency-Key"))
	reply := e.replies[0]
	e.replies = e.replies[1:]
	reply(w)
}

func start(t *testing.T, replies ...func(w http.ResponseWriter)) (*entry, *client.Client, context.Context) {
	e := &entry{replies: replies}
	hs := httptest.NewServer(e)
	t.Cleanup(hs.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return e, client.New(client.Options{URL: hs.URL, Key: "k"}), ctx
}

func refuse(status int, code fighollow.Code, notRun bool) func(w http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(status)
		fmt.Fprintf(w, `{"error": {"code": %q, "message": "m", "notRun": %t}}`, code, notRun)
	}
}

func whole(w http.ResponseWriter) {
	fmt.Fprint(w, `{"id": "r", "choices": [{"message": {"content": "text"}, "finish_reason": "stop"}]}`)
}

func events(text ...string) func(w http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		for _, t := range text {
			fmt.Fprintf(w, "data: %s\n\n", t)
		}
	}
}

const piece = `{"choices": [{"delta": {"content": "text "}}]}`

// Guards against a client that gives up although nothing ran, or that repeats a request that may have run.
func TestOnlySafeRequestsAreSentAgain(t *testing.T) {
	notRun := refuse(http.StatusServiceUnavailable, fighollow.CodeOverloaded, true)
	unknown := refuse(http.StatusGatewayTimeout, fighollow.CodeOutcomeUnknown, false)
	for _, c := range []struct {
		name  string
		first func(w http.ResponseWriter)
		key   string
		sent  int
	}{
		{"not run", notRun, "", 2},
		{"unknown without a key", unknown, "", 1},
		{"unknown with a key", unknown, "key", 2},
		{"bad request", func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadRequest) }, "key", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, cl, ctx := start(t, c.first, whole)
			got, err := cl.Chat(ctx, client.ChatRequest{Model: "m", Key: c.key})
			qt.Assert(t, e.keys, qt.HasLen, c.sent)
			qt.Assert(t, e.keys[len(e.keys)-1], qt.Equals, c.key)
			if c.sent == 2 {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, got.Text, qt.Equals, "text")
				return
			}
			qt.Assert(t, err, qt.ErrorIs, fighollow.ErrUnknownOutcome)
		})
	}
}

// Guards against a stream that broke off being taken for a whole answer.
func TestOnlyAMarkedEndIsWhole(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []string
		whole  bool
	}{
		{"whole", []string{piece, piece, "[DONE]"}, true},
		{"cut", []string{piece, piece}, false},
		{"error event", []string{piece, `{"error": {"code": "upstreamFailed", "message": "m"}}`}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, cl, ctx := start(t, events(c.events...))
			s, err := cl.ChatStream(ctx, client.ChatRequest{Model: "m"})
			qt.Assert(t, err, qt.IsNil)
			defer s.Close()
			for err == nil {
				_, err = s.Next()
			}
			qt.Assert(t, errors.Is(err, io.EOF), qt.Equals, c.whole)
		})
	}
}

// Guards against a status of a plain service being taken for a refusal of the system.
func TestServiceStatusIsPassedOn(t *testing.T) {
	_, cl, ctx := start(t, func(w http.ResponseWriter) {
		w.Header().Set("X-Fighollow-Upstream", "broker-api-1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	res, err := cl.Call(ctx, client.ServiceCall{Service: "broker-api", Method: http.MethodGet, Path: "/"})
	qt.Assert(t, err, qt.IsNil)
	defer res.Body.Close()
	qt.Assert(t, res.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}
