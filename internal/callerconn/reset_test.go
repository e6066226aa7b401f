package callerconn_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/callerconn"
)

// call sends a request of HTTP/1.0 to a server of h and reads until the connection ends. during runs once the response has
// begun.
func call(t *testing.T, h http.HandlerFunc, during func(*httptest.Server)) (string, error) {
	t.Helper()
	s := httptest.NewUnstartedServer(callerconn.ResetAborted(h))
	s.Config.ConnContext = callerconn.Context
	s.Start()
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	_, _ = io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	first := make([]byte, 4096)
	n, err := c.Read(first)
	if err != nil {
		return "", err
	}
	during(s)
	rest, err := io.ReadAll(c)
	return string(first[:n]) + string(rest), err
}

func write(w http.ResponseWriter, s string) {
	_, _ = io.WriteString(w, s)
	_ = http.NewResponseController(w).Flush()
}

func nothing(*httptest.Server) {}

// Guards against a response to an HTTP/1.0 caller that is cut short and looks complete, as its body ends with the connection.
func TestCutResponseIsReset(t *testing.T) {
	abort := make(chan struct{})
	_, err := call(t, func(w http.ResponseWriter, _ *http.Request) {
		write(w, "half")
		<-abort
		panic(http.ErrAbortHandler)
	}, func(*httptest.Server) { close(abort) })
	qt.Assert(t, err, qt.IsNotNil)
	_, err = call(t, func(w http.ResponseWriter, r *http.Request) {
		write(w, "half")
		<-r.Context().Done()
	}, func(s *httptest.Server) { _ = s.Config.Close() })
	qt.Assert(t, err, qt.IsNotNil)
}

// Guards against a complete response that is reset, which can destroy its last bytes.
func TestCompleteResponseIsNotReset(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	got, err := call(t, func(w http.ResponseWriter, _ *http.Request) {
		write(w, "begin ")
		write(w, long)
	}, func(*httptest.Server) { time.Sleep(20 * time.Millisecond) })
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.HasSuffix(got, "begin "+long), qt.IsTrue)
	_, err = call(t, func(w http.ResponseWriter, _ *http.Request) { write(w, "short") }, nothing)
	qt.Assert(t, err, qt.IsNil)
}
