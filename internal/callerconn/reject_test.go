package callerconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/callerconn"
	"github.com/fighollow/fighollow/internal/heldbytes"
)

// limitedServer returns a server whose callers' headers are bounded, and which counts them in held.
func limitedServer(t *testing.T, headerBytes int, held *heldbytes.Account, h http.HandlerFunc) *callerconn.Listener {
	inner, err := callerconn.Listen("127.0.0.1:0", 0)
	qt.Assert(t, err, qt.IsNil)
	l := callerconn.NewListener(inner, callerconn.Options{
		Limits: func() callerconn.Limits { return callerconn.Limits{HeaderBytes: headerBytes} }, Held: held,
	}, zerolog.Nop())
	s := httptest.NewUnstartedServer(h)
	s.Listener, s.Config.ConnState, s.Config.ConnContext = l, l.ConnState, callerconn.Context
	s.Start()
	t.Cleanup(s.Close)
	return l
}

// Guards against a header that is held without an end, and against a rejection that its caller cannot read.
func TestHeaderAboveTheLimitIsRejected(t *testing.T) {
	l := limitedServer(t, 1<<10, nil, func(http.ResponseWriter, *http.Request) {})
	c := dial(t, l)
	legal := "GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", 900) + "\r\n\r\n"
	for range 20 { // the limit is that of each header
		sendText(t, c, legal)
		assertAnswered(t, c)
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\n")
		for i := 0; err == nil && i < 1000; i++ {
			_, err = io.WriteString(c, strings.Repeat("a:\r\n", 20))
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	qt.Assert(t, err, qt.IsNil)
	resp.Body.Close()
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	qt.Assert(t, resp.Close, qt.IsTrue)
	<-sent
}

// Guards against headers of many fields that take more memory than may be held, against a rejection that names no time to come back, and
// against memory that stays counted after the request.
func TestParsedHeadersAreBounded(t *testing.T) {
	release, arrived := make(chan struct{}), make(chan struct{}, 10)
	held := heldbytes.New(12, metrics.NewRegistry(), zerolog.Nop()) // 1 MiB for headers
	l := limitedServer(t, 16<<10, held, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			arrived <- struct{}{}
			<-release
		}
	})
	fields := strings.Repeat("a:\r\n", 3000) // some 780 KB
	first := dial(t, l)
	sendText(t, first, "GET /wait HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n")
	<-arrived
	second := dial(t, l)
	sendText(t, second, "GET / HTTP/1.1\r\nHost: h\r\n"+fields)
	resp, err := http.ReadResponse(bufio.NewReader(second), nil)
	qt.Assert(t, err, qt.IsNil)
	resp.Body.Close()
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, resp.Header.Get("Retry-After"), qt.Equals, "0.500")
	qt.Assert(t, resp.Close, qt.IsTrue)
	ordinary := dial(t, l)
	sendText(t, ordinary, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 50)+"\r\n")
	assertAnswered(t, ordinary)
	close(release)
	assertAnswered(t, first)
	for end := time.Now().Add(10 * time.Second); held.Used(heldbytes.Header) != 0; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
	}
}

// Guards against a rejected caller that loses its answer because it is closed for others, and against callers whose unfinished headers keep the memory for others.
func TestStalledHeadersMakeRoomForOthers(t *testing.T) {
	held := heldbytes.New(12, metrics.NewRegistry(), zerolog.Nop())
	l := limitedServer(t, 16<<10, held, func(http.ResponseWriter, *http.Request) {})
	fields := strings.Repeat("a:\r\n", 3000)
	const begin = "GET / HTTP/1.1\r\nHost: h\r\n"
	stalled := dial(t, l)
	sendText(t, stalled, begin+fields)
	slow := dial(t, l) // it is stalled itself, and reads its answer all the same
	sendText(t, slow, begin)
	time.Sleep(1500 * time.Millisecond)
	fresh := dial(t, l)
	sendText(t, fresh, begin)
	statuses := []int{}
	for _, c := range []net.Conn{slow, fresh} {
		sendText(t, c, fields+"\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		qt.Assert(t, err, qt.IsNil)
		resp.Body.Close()
		statuses = append(statuses, resp.StatusCode)
		assertClosed(t, stalled)
	}
	qt.Assert(t, statuses, qt.DeepEquals, []int{http.StatusServiceUnavailable, http.StatusOK})
}

// Guards against headers of closed connections that stay counted until the server has noticed: a caller that was told to come back would be
// rejected again.
func TestStalledHeadersAreFreedBeforeTheAnswer(t *testing.T) {
	const begin = "GET / HTTP/1.1\r\nHost: h\r\n"
	fields := strings.Repeat("a:\r\n", 3000)
	for range 20 {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			held := heldbytes.New(12, metrics.NewRegistry(), zerolog.Nop())
			l := limitedServer(t, 16<<10, held, func(http.ResponseWriter, *http.Request) {})
			stalled := dial(t, l)
			sendText(t, stalled, begin+fields)
			time.Sleep(1500 * time.Millisecond)
			rejected := dial(t, l)
			sendText(t, rejected, begin+fields)
			resp, err := http.ReadResponse(bufio.NewReader(rejected), nil)
			qt.Assert(t, err, qt.IsNil)
			resp.Body.Close()
			qt.Assert(t, held.Used(heldbytes.Header), qt.Equals, int64(0))
			qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		})
	}
}
