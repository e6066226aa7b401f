package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/callerconn"
	"github.com/fighollow/fighollow/internal/gateway"
	"github.com/fighollow/fighollow/platform"
)

// Guards against a stop that ends the connection of a request which was read before the shutdown of the server, but which the
// server, short of processor time, had not yet noticed.
func TestStopAnswersRequestsThatWereRead(t *testing.T) {
	const grace, delay = 2 * time.Second, 400 * time.Millisecond
	p := &gatewayProcess{
		cfg:     platform.Settings{Bounds: platform.Bounds{Grace: grace}},
		gateway: gateway.New(gateway.Options{Registry: metrics.NewRegistry()}, nil, nil, zerolog.Nop()), log: zerolog.Nop(),
	}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	callers := callerconn.NewListener(s.Listener, callerconn.Options{Limits: func() callerconn.Limits { return callerconn.Limits{} }}, zerolog.Nop())
	s.Listener = callers
	s.Config.ConnState = func(nc net.Conn, state http.ConnState) {
		if state == http.StateActive {
			time.Sleep(delay)
		}
		callers.ConnState(nc, state)
	}
	s.Start()
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	stopped := make(chan struct{})
	go func() {
		p.stop(s.Config, callers)
		close(stopped)
	}()
	time.Sleep(grace/2 - delay/2) // the server is shut down while the request waits
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	qt.Assert(t, err, qt.IsNil)
	resp.Body.Close()
	<-stopped
}
