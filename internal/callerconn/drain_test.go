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

	"github.com/fighollow/fighollow/internal/callerconn"
)

// Guards against a drain that cuts a request which is being read or served, or that keeps idle connections open.
func TestDrainEndsIdleConnectionsOnly(t *testing.T) {
	l := listen(t, callerconn.Limits{Header: 5 * time.Second, Idle: 5 * time.Second})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(300 * time.Millisecond)
		}
	}))
	s.Listener, s.Config.ConnState = l, l.ConnState
	s.Start()
	defer s.Close()
	idle, half, slow, fresh := dial(t, l), dial(t, l), dial(t, l), dial(t, l)
	send := func(c net.Conn, p string) {
		_, err := io.WriteString(c, p)
		qt.Assert(t, err, qt.IsNil)
	}
	answered := func(c net.Conn) {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		qt.Assert(t, err, qt.IsNil)
		resp.Body.Close()
	}
	send(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	answered(idle)
	send(half, "GET / HTTP/1.1\r\n")
	send(slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(100 * time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(t.Context()) }()
	_, err := idle.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF)
	answered(slow)
	_, err = slow.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF)
	send(half, "Host: h\r\n\r\n")
	answered(half)
	send(fresh, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	answered(fresh)
	qt.Assert(t, <-drained, qt.IsNil)
	_, err = net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNotNil)
}
