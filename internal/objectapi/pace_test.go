package objectapi_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/objectapi"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// sleeper is how late the sleeps of a test's handler ended in all, in nanoseconds: on a busy machine, a handler that sleeps 20 times sends for
// longer than its test says, which is no time of the call that is measured.
type sleeper struct{ late atomic.Int64 }

func (s *sleeper) sleep(d time.Duration) {
	began := time.Now()
	time.Sleep(d)
	s.late.Add(int64(time.Since(began) - d))
}

// pacedHandler is a handler whose sleeps are measured.
type pacedHandler func(w http.ResponseWriter, r *http.Request, s *sleeper)

// pacedBody returns a handler that writes n bytes of a body at each of so many intervals, and then ends it or is silent.
func pacedBody(n, times int, interval time.Duration, thenSilent bool) pacedHandler {
	return func(w http.ResponseWriter, r *http.Request, s *sleeper) {
		part := strings.Repeat(" ", n)
		w.Header().Set("Content-Length", fmt.Sprint(len(`{}`)+n*times))
		for range times {
			if r.Context().Err() != nil {
				return
			}
			_, _ = w.Write([]byte(part)) // the caller may have left
			w.(http.Flusher).Flush()
			s.sleep(interval)
		}
		if thenSilent {
			<-r.Context().Done()
		}
		_, _ = w.Write([]byte(`{}`))
	}
}

// longChunk writes a body of one chunk, n bytes at each of so many intervals.
func longChunk(n, times int, interval time.Duration) pacedHandler {
	return func(w http.ResponseWriter, _ *http.Request, s *sleeper) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		part := strings.Repeat(" ", n)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n{}", len(`{}`)+n*times)
		for range times {
			fmt.Fprint(c, part)
			s.sleep(interval)
		}
		fmt.Fprint(c, "\r\n0\r\n\r\n")
	}
}

// Guards against calls that are cut off while their response arrives, and against dead or nearly dead connections that are not given up.
func TestCallsAreBoundedByProgress(t *testing.T) {
	const silence = 200 * time.Millisecond
	for name, c := range map[string]struct {
		handle   pacedHandler
		timedOut bool
		within   time.Duration // beside the lateness of the handler's sleeps
	}{
		"long response":     {pacedBody(20<<10, 10, silence/4, false), false, 4 * silence},
		"long chunk":        {longChunk(25<<10, 20, silence/8), false, 4 * silence},
		"silent at once":    {func(_ http.ResponseWriter, r *http.Request, _ *sleeper) { <-r.Context().Done() }, true, 2 * silence},
		"silent after head": {pacedBody(1, 1, 0, true), true, 3 * silence},
		"silent midway":     {pacedBody(20<<10, 4, silence/4, true), true, 4 * silence},
		"a byte at a time":  {pacedBody(1, 100, silence/4, false), true, 3 * silence},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slept := &sleeper{}
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.handle(w, r, slept) }))
			defer s.Close()
			defer s.CloseClientConnections()
			client := objectapi.New(objectapi.Options{Address: strings.TrimPrefix(s.URL, "http://"), Timeout: silence})
			began := time.Now()
			_, err := client.Get(testContext(t), fighollow.KindPreset, "a")
			qt.Check(t, errors.Is(err, objectapi.ErrTimeout), qt.Equals, c.timedOut, qt.Commentf("%v", err))
			qt.Check(t, err != nil, qt.Equals, c.timedOut, qt.Commentf("%v", err))
			took, late := time.Since(began), time.Duration(slept.late.Load())
			qt.Check(t, took-late < c.within, qt.IsTrue, qt.Commentf("%s, late %s", took, late))
		})
	}
}
