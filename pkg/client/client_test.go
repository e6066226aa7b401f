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

	"github.com/fighollow/fighollow/internal/standin/answers"
	"github.com/fighollow/fighollow/pkg/client"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// fakeEntry answers each request with the next of its replies and records the idempotency keys.
type fakeEntry struct {
	replies []func(w http.ResponseWriter)
	keys    []string
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.keys = append(e.keys, r.Header.Get("Idempotency-Key"))
	reply := e.replies[0]
	e.replies = e.replies[1:]
	reply(w)
}

func newClient(t *testing.T, replies ...func(w http.ResponseWriter)) (*fakeEntry, *client.Client, context.Context) {
	e := &fakeEntry{replies: replies}
	hs := httptest.NewServer(e)
	t.Cleanup(hs.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return e, client.New(client.Options{URL: hs.URL, Key: "k"}), ctx
}

func refuseWith(status int, code fighollow.Code, notRun bool) func(w http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(status)
		fmt.Fprintf(w, `{"error": {"code": %q, "message": "m", "notRun": %t}}`, code, notRun)
	}
}

func complete(w http.ResponseWriter) {
	fmt.Fprint(w, `{"id": "r", "choices": [{"message": {"content": "text"}, "finish_reason": "stop"}]}`)
}

func sendEvents(data ...string) func(w http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		for _, d := range data {
			fmt.Fprintf(w, "data: %s\n\n", d)
		}
	}
}

const chunk = `{"choices": [{"delta": {"content": "text "}}]}`

// Guards against a client that gives up although the request did not run, or that sends a request again that may have
// run.
func TestOnlySafeRequestsAreSentAgain(t *testing.T) {
	notRun := refuseWith(http.StatusServiceUnavailable, fighollow.CodeOverloaded, true)
	unknown := refuseWith(http.StatusGatewayTimeout, fighollow.CodeOutcomeUnknown, false)
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
			e, cl, ctx := newClient(t, c.first, complete)
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

// Guards against a truncated stream being taken for a complete response.
func TestStreamIsCompleteOnlyAfterDone(t *testing.T) {
	for _, c := range []struct {
		name     string
		events   []string
		complete bool
	}{
		{"whole", []string{chunk, chunk, "[DONE]"}, true},
		{"cut", []string{chunk, chunk}, false},
		{"error event", []string{chunk, `{"error": {"code": "upstreamFailed", "message": "m"}}`}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, cl, ctx := newClient(t, sendEvents(c.events...))
			s, err := cl.ChatStream(ctx, client.ChatRequest{Model: "m"})
			qt.Assert(t, err, qt.IsNil)
			defer s.Close()
			for err == nil {
				_, err = s.Next()
			}
			qt.Assert(t, errors.Is(err, io.EOF), qt.Equals, c.complete)
		})
	}
}

// Guards against an error status of a plain service being taken for a refusal of the system.
func TestServiceStatusIsPassedOn(t *testing.T) {
	_, cl, ctx := newClient(t, func(w http.ResponseWriter) {
		w.Header().Set("X-Fighollow-Upstream", "broker-api-1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	res, err := cl.Call(ctx, client.ServiceCall{Service: "broker-api", Method: http.MethodGet, Path: "/"})
	qt.Assert(t, err, qt.IsNil)
	defer res.Body.Close()
	qt.Assert(t, res.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}

// Guards against a response that ended with its connection before it was complete and is returned as a complete one.
func TestTruncatedResponseIsAnError(t *testing.T) {
	for _, c := range []struct {
		body string
		read func(ctx context.Context, cl *client.Client) error
	}{
		{`{"id": "r", "choices": [{"message": {"content": "text"}, "finish_reason": "stop"}]}`, func(ctx context.Context, cl *client.Client) error {
			_, err := cl.Chat(ctx, client.ChatRequest{Model: "m"})
			return err
		}},
		{`{"data": [{"id": "m"}, {"id": "n"}]}`, func(ctx context.Context, cl *client.Client) error {
			_, err := cl.Models(ctx)
			return err
		}},
		{"data: " + chunk + "\n\ndata: [DONE]", func(ctx context.Context, cl *client.Client) error {
			s, err := cl.ChatStream(ctx, client.ChatRequest{Model: "m"})
			if err != nil {
				return err
			}
			defer s.Close()
			for err == nil {
				_, err = s.Next()
			}
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}},
	} {
		for cut := range len(c.body) {
			_, cl, ctx := newClient(t, func(w http.ResponseWriter) {
				conn, _, err := http.NewResponseController(w).Hijack()
				qt.Assert(t, err, qt.IsNil)
				_ = answers.Answer{Body: c.body, Framing: fighollow.FramingConnection}.Send(conn, cut, false) // the client has the error
			})
			qt.Assert(t, c.read(ctx, cl), qt.IsNotNil, qt.Commentf("%q", c.body[:cut]))
		}
	}
}
