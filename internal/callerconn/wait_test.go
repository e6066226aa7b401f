package callerconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/callerconn"
)

// boundedServer returns the listener of a server that has at most so many connections. Requests for /wait are answered once release is closed.
func boundedServer(t *testing.T, conns int, release chan struct{}) *callerconn.Listener {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l := callerconn.NewListener(inner, callerconn.Options{
		Limits: func() callerconn.Limits { return callerconn.Limits{} }, MaxConns: conns,
	}, zerolog.Nop())
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/wait":
			<-release
		case "/long":
			_, _ = w.Write(make([]byte, 32<<20)) // fails if the caller does not read
		case "/body":
			callerconn.Receiving(r.Context(), true)
			_, _ = io.Copy(io.Discard, r.Body)
			callerconn.Receiving(r.Context(), false)
		}
	}))
	s.Listener, s.Config.ConnState, s.Config.ConnContext = l, l.ConnState, callerconn.Context
	s.Start()
	t.Cleanup(s.Close)
	return l
}

func sendText(t *testing.T, c net.Conn, s string) {
	t.Helper()
	_, err := io.WriteString(c, s)
	qt.Assert(t, err, qt.IsNil)
}

func assertAnswered(t *testing.T, c net.Conn) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
	resp.Body.Close()
}

func assertClosed(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := io.Copy(io.Discard, c)
	if ne, ok := err.(net.Error); ok { //nolint:errorlint // as net returns it
		qt.Assert(t, ne.Timeout(), qt.IsFalse)
	}
}

const (
	get     = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	getWait = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
)

// Guards against a full listener that turns new callers away while stalled ones keep their connections, that closes the connection of a caller
// who waits for an answer, or that closes idle connections before stalled ones.
func TestFullListenerClosesStalledConnections(t *testing.T) {
	for name, stall := range map[string]string{
		"silent": "",
		"header": "GET / HTTP/1.1\r\nHo",
		"body":   "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc",
		"unread": "GET /long HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			l := boundedServer(t, 3, release)
			idle := dial(t, l)
			sendText(t, idle, get)
			assertAnswered(t, idle)
			waiting, stalled := dial(t, l), dial(t, l)
			sendText(t, waiting, getWait)
			sendText(t, stalled, stall)
			time.Sleep(1500 * time.Millisecond)
			fresh := dial(t, l)
			sendText(t, fresh, get)
			assertAnswered(t, fresh)
			assertClosed(t, stalled)
			sendText(t, idle, get)
			assertAnswered(t, idle)
			close(release)
			assertAnswered(t, waiting)
			qt.Assert(t, l.Stats(), qt.Equals, callerconn.Stats{Open: 3, Evicted: 1})
		})
	}
}

// Guards against a caller that waits for an answer and loses its connection to a new one, and against a new one that waits without an end.
func TestFullListenerKeepsCallersThatWait(t *testing.T) {
	release := make(chan struct{})
	l := boundedServer(t, 2, release)
	conns := []net.Conn{dial(t, l), dial(t, l)}
	for _, c := range conns {
		sendText(t, c, getWait)
	}
	time.Sleep(100 * time.Millisecond)
	assertClosed(t, dial(t, l))
	close(release)
	for _, c := range conns {
		assertAnswered(t, c)
	}
	last := dial(t, l) // an idle connection makes room
	sendText(t, last, get)
	assertAnswered(t, last)
}

// Guards against a bound that is above what the instance can hold, and against one that is met by an ordinary number of callers.
func TestMaxConns(t *testing.T) {
	for _, c := range []struct{ memoryMB, descriptors, want int }{
		{0, 0, 0}, {144, 0, 768}, {0, 3075, 1437}, {144, 3075, 768}, {284, 4100, 1514}, {144, 512, 156}, {144, 100, 16},
	} {
		qt.Check(t, callerconn.MaxConns(c.memoryMB, c.descriptors), qt.Equals, c.want, qt.Commentf("%+v", c))
	}
}

// Guards against a probe that waits for the body of a request, and so for a caller that does not send it.
func TestBodiesAreRefused(t *testing.T) {
	s := httptest.NewServer(callerconn.RefuseBodies(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	defer s.Close()
	for text, want := range map[string]int{
		get: http.StatusOK,
		"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc":              http.StatusRequestEntityTooLarge,
		"GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc": http.StatusRequestEntityTooLarge,
	} {
		c := dial(t, s.Listener)
		sendText(t, c, text)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		qt.Assert(t, err, qt.IsNil)
		resp.Body.Close()
		qt.Assert(t, resp.StatusCode, qt.Equals, want)
		qt.Assert(t, resp.Close, qt.Equals, want != http.StatusOK)
	}
}
