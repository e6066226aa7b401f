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

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

func listen(t *testing.T, limits callerconn.Limits) *callerconn.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	return callerconn.NewListener(l, callerconn.Options{Limits: func() callerconn.Limits { return limits }}, zerolog.Nop())
}

func dial(t *testing.T, l net.Listener) net.Conn {
	c, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { c.Close() })
	qt.Assert(t, c.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	return c
}

// Guards against a timer that closes a connection on which a request has arrived and waits for a stalled process.
func TestUnreadRequestSurvivesItsTimeout(t *testing.T) {
	const timeout = 100 * time.Millisecond
	l := listen(t, callerconn.Limits{Header: timeout, Idle: timeout})
	caller := dial(t, l)
	nc, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer nc.Close()
	for range 3 {
		_, err = io.WriteString(caller, "GET / HTTP/1.1\r\n\r\n")
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(4 * timeout)
		p := make([]byte, 100)
		n, err := nc.Read(p)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(p[:n]), qt.Equals, "GET / HTTP/1.1\r\n\r\n")
		time.Sleep(2 * timeout) // no timeout runs while the request is served
		_, err = io.WriteString(nc, "HTTP/1.1 204 No Content\r\n\r\n")
		qt.Assert(t, err, qt.IsNil)
		l.ConnState(nc, http.StateIdle)
	}
	start := time.Now()
	_, err = nc.Read(make([]byte, 1))
	qt.Assert(t, err, qt.ErrorIs, net.ErrClosed)
	qt.Assert(t, time.Since(start) < time.Second, qt.IsTrue)
}

// Guards against a header that arrives byte by byte and holds a connection for ever, on a new connection or a kept one.
func TestSlowHeaderEndsItsConnection(t *testing.T) {
	l := listen(t, callerconn.Limits{Header: 150 * time.Millisecond, Idle: 5 * time.Second})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Listener, s.Config.ConnState = l, l.ConnState
	s.Start()
	defer s.Close()
	for _, kept := range []bool{false, true} {
		c := dial(t, l)
		r := bufio.NewReader(c)
		if kept {
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			qt.Assert(t, err, qt.IsNil)
			resp, err := http.ReadResponse(r, nil)
			qt.Assert(t, err, qt.IsNil)
			resp.Body.Close()
		}
		go func() {
			for _, b := range []byte("GET / HTTP/1.1\r\nHost: h\r\nLong: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa") {
				if _, err := c.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
		start := time.Now()
		_, err := r.ReadByte()
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, time.Since(start) < time.Second, qt.IsTrue, qt.Commentf("kept %t: %v", kept, time.Since(start)))
	}
}

// Guards against an idle timer that runs while a request is served which arrived together with the one before.
func TestPipelinedRequestIsNotIdle(t *testing.T) {
	const idle = 100 * time.Millisecond
	l := listen(t, callerconn.Limits{Idle: idle})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(3 * idle)
		}
	}))
	s.Listener, s.Config.ConnState = l, l.ConnState
	s.Start()
	defer s.Close()
	c := dial(t, l)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	r := bufio.NewReader(c)
	for range 2 {
		resp, err := http.ReadResponse(r, nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
		resp.Body.Close()
	}
}

// Guards against a response to a request whose connection has expired: the caller may take it for the result of its request.
func TestExpiredHeaderGetsNoResponse(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	expired := make(chan struct{})
	log := zerolog.New(writerFunc(func(p []byte) (int, error) { // the connection has expired and is not closed yet
		close(expired)
		time.Sleep(100 * time.Millisecond)
		return len(p), nil
	}))
	l := callerconn.NewListener(inner, callerconn.Options{Limits: func() callerconn.Limits { return callerconn.Limits{Header: 100 * time.Millisecond} }}, log)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Listener, s.Config.ConnState = l, l.ConnState
	s.Start()
	defer s.Close()
	c := dial(t, l)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
	qt.Assert(t, err, qt.IsNil)
	<-expired
	_, err = io.WriteString(c, "Host: h\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	got, _ := io.ReadAll(c) // ends with an end of file or a reset
	qt.Assert(t, string(got), qt.Equals, "")
}

// Guards against the idle timeout cutting a request that was read together with the one before it, while the server is slow to
// notice it.
func TestPipelinedRequestSurvivesTheIdleTimeout(t *testing.T) {
	const idle = 100 * time.Millisecond
	l := listen(t, callerconn.Limits{Idle: idle})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Listener = l
	n := 0
	s.Config.ConnState = func(nc net.Conn, state http.ConnState) {
		if state == http.StateActive {
			if n++; n == 2 {
				time.Sleep(3 * idle)
			}
		}
		l.ConnState(nc, state)
	}
	s.Start()
	defer s.Close()
	c := dial(t, l)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	r := bufio.NewReader(c)
	for i := range 2 {
		resp, err := http.ReadResponse(r, nil)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("request %d", i))
		resp.Body.Close()
	}
}

// Guards against a blank line after a body, which servers ignore, being taken for the start of a header: the connection would
// end at the header timeout although the caller may use it until the idle timeout.
func TestBlankLineBetweenRequestsIsIdle(t *testing.T) {
	l := listen(t, callerconn.Limits{Header: 100 * time.Millisecond, Idle: 5 * time.Second})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	s.Listener, s.Config.ConnState = l, l.ConnState
	s.Start()
	defer s.Close()
	c := dial(t, l)
	r := bufio.NewReader(c)
	for i := range 2 {
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
		qt.Assert(t, err, qt.IsNil)
		resp, err := http.ReadResponse(r, nil)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("request %d", i))
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
		resp.Body.Close()
		_, err = io.WriteString(c, "\r\n")
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(300 * time.Millisecond)
	}
}

// Guards against blank lines that keep an idle connection open for ever.
func TestBlankLinesDoNotKeepAConnection(t *testing.T) {
	const idle = 200 * time.Millisecond
	l := listen(t, callerconn.Limits{Header: 5 * time.Second, Idle: idle})
	c := dial(t, l)
	nc, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer nc.Close()
	l.ConnState(nc, http.StateIdle)
	go func() {
		for {
			if _, err := io.WriteString(c, "\r\n"); err != nil {
				return
			}
			time.Sleep(idle / 10)
		}
	}()
	start := time.Now()
	for err == nil {
		_, err = nc.Read(make([]byte, 100))
	}
	qt.Assert(t, err, qt.ErrorIs, net.ErrClosed)
	qt.Assert(t, time.Since(start) >= idle && time.Since(start) < 4*idle, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
}

// Guards against a log line that names the wait for unread bytes instead of the timeout.
func TestExpiryAfterUnreadBytesLogsItsTimeout(t *testing.T) {
	const timeout = 50 * time.Millisecond
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer inner.Close()
	lines := make(chan string, 1)
	log := zerolog.New(writerFunc(func(p []byte) (int, error) {
		lines <- string(p)
		return len(p), nil
	}))
	l := callerconn.NewListener(inner, callerconn.Options{Limits: func() callerconn.Limits { return callerconn.Limits{Header: timeout} }}, log)
	c := dial(t, l)
	nc, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer nc.Close()
	_, err = io.WriteString(c, "GET")
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(2 * timeout)
	_, err = nc.Read(make([]byte, 100))
	qt.Assert(t, err, qt.IsNil)
	select {
	case line := <-lines:
		qt.Assert(t, line, qt.Contains, `"timeoutMs":50`)
	case <-time.After(5 * time.Second):
		t.Fatal("no log line")
	}
}

// Guards against the idle timeout cutting a pipelined request of which only the last line was read after the response before it.
func TestPipelinedRequestInPartsSurvivesTheIdleTimeout(t *testing.T) {
	for _, first := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\ncontent-length: 5\r\nHost: h\r\n\r\n\r\na\r\n",
	} {
		t.Run(first[:4], func(t *testing.T) { playPipelined(t, first) })
	}
}

// playPipelined sends a request and the beginning of another one at once, and the rest after the first answer.
func playPipelined(t *testing.T, first string) {
	const idle = 100 * time.Millisecond
	l := listen(t, callerconn.Limits{Idle: idle})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Listener = l
	n := 0
	s.Config.ConnState = func(nc net.Conn, state http.ConnState) {
		if state == http.StateActive {
			if n++; n == 2 {
				time.Sleep(3 * idle)
			}
		}
		l.ConnState(nc, state)
	}
	s.Start()
	defer s.Close()
	c := dial(t, l)
	_, err := io.WriteString(c, first+"GET / HTTP/1.1\r\nHost: h\r\n")
	qt.Assert(t, err, qt.IsNil)
	r := bufio.NewReader(c)
	for i := range 2 {
		resp, err := http.ReadResponse(r, nil)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("request %d", i))
		resp.Body.Close()
		if i == 0 {
			_, err = io.WriteString(c, "\r\n")
			qt.Assert(t, err, qt.IsNil)
		}
	}
}
