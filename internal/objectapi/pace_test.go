package objectapi_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/objectapi"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// pacedBody returns a handler that writes n bytes of a body at each of so many intervals, and then ends it or is silent.
func pacedBody(n, times int, interval time.Duration, thenSilent bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		part := strings.Repeat(" ", n)
		w.Header().Set("Content-Length", fmt.Sprint(len(`{}`)+n*times))
		for range times {
			if r.Context().Err() != nil {
				return
			}
			_, _ = w.Write([]byte(part)) // the caller may have left
			w.(http.Flusher).Flush()
			time.Sleep(interval)
		}
		if thenSilent {
			<-r.Context().Done()
		}
		_, _ = w.Write([]byte(`{}`))
	}
}

// longChunk writes a body of one chunk, n bytes at each of so many intervals.
func longChunk(n, times int, interval time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		part := strings.Repeat(" ", n)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n{}", len(`{}`)+n*times)
		for range times {
			fmt.Fprint(c, part)
			time.Sleep(interval)
		}
		fmt.Fprint(c, "\r\n0\r\n\r\n")
	}
}

// Guards against calls that are cut off while their response arrives, and against dead or nearly dead connections that are not given up.
func TestCallsAreBoundedByProgress(t *testing.T) {
	const silence = 200 * time.Millisecond
	for name, c := range map[string]struct {
		handle   http.HandlerFunc
		timedOut bool
		within   time.Duration
	}{
		"long response":     {pacedBody(20<<10, 10, silence/4, false), false, 4 * silence},
		"long chunk":        {longChunk(100<<10, 20, silence/8), false, 4 * silence},
		"silent at once":    {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, true, 2 * silence},
		"silent after head": {pacedBody(1, 1, 0, true), true, 3 * silence},
		"silent midway":     {pacedBody(20<<10, 4, silence/4, true), true, 4 * silence},
		"a byte at a time":  {pacedBody(1, 100, silence/4, false), true, 3 * silence},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := httptest.NewServer(c.handle)
			defer s.Close()
			defer s.CloseClientConnections()
			client := objectapi.New(objectapi.Options{Address: strings.TrimPrefix(s.URL, "http://"), Timeout: silence})
			began := time.Now()
			_, err := client.Get(testContext(t), fighollow.KindPreset, "a")
			qt.Check(t, errors.Is(err, objectapi.ErrTimeout), qt.Equals, c.timedOut, qt.Commentf("%v", err))
			qt.Check(t, err != nil, qt.Equals, c.timedOut, qt.Commentf("%v", err))
			qt.Check(t, time.Since(began) < c.within, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		})
	}
}
