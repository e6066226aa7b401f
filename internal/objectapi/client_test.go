package objectapi_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/objectapi"
	"github.com/fighollow/fighollow/internal/standin/objects"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

func newClient(t *testing.T, opts objects.Options) (*objects.Server, *objectapi.Client) {
	s := objects.New(opts)
	hs := httptest.NewServer(s)
	c := objectapi.New(objectapi.Options{
		Address: strings.TrimPrefix(hs.URL, "http://"), Timeout: 500 * time.Millisecond, WatchWait: 100 * time.Millisecond,
	})
	t.Cleanup(func() {
		s.SetControl(objects.Control{})
		c.Close()
		hs.CloseClientConnections()
		hs.Close()
	})
	return s, c
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func preset(name, value string) fighollow.Object {
	return fighollow.Object{Kind: fighollow.KindPreset, Name: name, Value: []byte(value)}
}

// Guards against a conditional update that replaces a version other than the expected one.
func TestWritesNameTheVersionThatTheyReplace(t *testing.T) {
	_, c := newClient(t, objects.Options{})
	ctx := testContext(t)
	v1, err := c.Put(ctx, preset("a/b c", `{"n":1}`), 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Put(ctx, preset("a/b c", `{"n":2}`), 0)
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrConflict)
	other, err := c.Put(ctx, preset("other", `{}`), 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, other > v1, qt.IsTrue)
	o, err := c.Get(ctx, fighollow.KindPreset, "a/b c")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, o, qt.DeepEquals, fighollow.Object{Kind: fighollow.KindPreset, Name: "a/b c", Version: v1, Value: []byte(`{"n":1}`)})
	_, err = c.Delete(ctx, fighollow.KindPreset, "a/b c", v1+100)
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrConflict)
	gone, err := c.Delete(ctx, fighollow.KindPreset, "a/b c", v1)
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Get(ctx, fighollow.KindPreset, "a/b c")
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrNotFound)
	list, version, err := c.List(ctx, "")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, version, qt.Equals, gone)
	_, err = c.Put(ctx, preset("big", `"`+strings.Repeat("x", fighollow.MaxValueBytes)+`"`), 0)
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrInvalid)
}

// Guards against missing or repeated changes between a List and the watches that follow it, and against a watch that
// reports no changes although the API has dropped the history.
func TestWatchFollowsWithoutGap(t *testing.T) {
	_, c := newClient(t, objects.Options{History: 3})
	ctx := testContext(t)
	_, after, err := c.List(ctx, "")
	qt.Assert(t, err, qt.IsNil)
	got, unchanged, err := c.Watch(ctx, "", after)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.HasLen, 0)
	qt.Assert(t, unchanged, qt.Equals, after)
	v, err := c.Put(ctx, preset("a", `{}`), 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Delete(ctx, fighollow.KindPreset, "a", v)
	qt.Assert(t, err, qt.IsNil)
	got, next, err := c.Watch(ctx, "", after)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.HasLen, 2)
	qt.Assert(t, got[1].Deleted, qt.IsTrue)
	qt.Assert(t, next, qt.Equals, got[1].Version)
	for _, name := range []string{"b", "c", "d"} {
		_, err = c.Put(ctx, preset(name, `{}`), 0)
		qt.Assert(t, err, qt.IsNil)
	}
	_, _, err = c.Watch(ctx, "", after)
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrWatchExpired)
	got, _, err = c.Watch(ctx, "", next)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.HasLen, 3)
}

// Guards against a write being reported as unavailable although it may have taken effect, and the reverse (I5).
func TestFailuresOfWritesAreUnknownOnceSent(t *testing.T) {
	s, c := newClient(t, objects.Options{})
	ctx := testContext(t)
	for name, control := range map[string]objects.Control{
		"answer lost": {LoseWrites: 1}, "down": {Down: true}, "held": {HoldWrites: 1}, "slow": {SlowMs: 1000},
	} {
		s.SetControl(control)
		_, err := c.Put(ctx, preset(name, `{}`), 0)
		qt.Check(t, err, qt.ErrorIs, fighollow.ErrUnknownOutcome, qt.Commentf("%s", name))
		s.SetControl(objects.Control{})
	}
	_, err := c.Get(ctx, fighollow.KindPreset, "answer lost")
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Get(ctx, fighollow.KindPreset, "down")
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrNotFound)
	s.SetControl(objects.Control{Down: true})
	_, err = c.Get(ctx, fighollow.KindPreset, "answer lost")
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrUnavailable)
}

// Guards against a refused connection being reported as an unknown outcome, which would make writers wait for the outcome
// during an outage.
func TestNoConnectionIsUnavailable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	addr := l.Addr().String()
	l.Close()
	c := objectapi.New(objectapi.Options{Address: addr})
	_, err = c.Put(testContext(t), preset("a", `{}`), 0)
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrUnavailable)
	_, _, err = c.List(testContext(t), "")
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrUnavailable)
}

// Guards against an error page or a malformed response of a proxy in front of the API being taken for a definite
// refusal.
func TestUnclearAnswersToWritesAreUnknown(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"status 502":       func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
		"status 503":       func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"not JSON":         func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) },
		"truncated answer": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "100") },
	} {
		hs := httptest.NewServer(h)
		c := objectapi.New(objectapi.Options{Address: strings.TrimPrefix(hs.URL, "http://")})
		_, err := c.Put(testContext(t), preset("a", `{}`), 0)
		qt.Check(t, err, qt.ErrorIs, fighollow.ErrUnknownOutcome, qt.Commentf("%s", name))
		_, err = c.Get(testContext(t), fighollow.KindPreset, "a")
		qt.Check(t, err, qt.ErrorIs, fighollow.ErrUnavailable, qt.Commentf("%s", name))
		hs.Close()
	}
}
