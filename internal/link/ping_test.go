package link

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// stalledConn delivers what it reads only after delay, as a process does that waits for processor time.
type stalledConn struct {
	net.Conn
	delay atomic.Int64 // nanoseconds
}

func (c *stalledConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(time.Duration(c.delay.Load()))
	return n, err
}

// Guards against a ping timeout that closes a link, and ends its streams, although the peer's answer has arrived and the process
// was only slow to read it.
func TestUnreadAnswerKeepsTheLinkOpen(t *testing.T) {
	opts := Options{PingActive: 20 * time.Millisecond, PingIdle: 20 * time.Millisecond, PingTimeout: 100 * time.Millisecond}
	l, err := Listen("127.0.0.1:0", Hello{ID: "server"}, NoHandler{}, Options{}, nil)
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	var d net.Dialer
	nc, err := d.DialContext(context.Background(), "tcp", l.Addr())
	qt.Assert(t, err, qt.IsNil)
	stalled := &stalledConn{Conn: nc}
	c, err := handshake(stalled, Hello{ID: "client"}, NoHandler{}, opts.withDefaults())
	qt.Assert(t, err, qt.IsNil)
	stalled.delay.Store(int64(3 * opts.PingTimeout))
	c.start()
	defer c.Close()
	select {
	case <-c.Closed():
		t.Fatalf("the link was closed: %v", c.err)
	case <-time.After(6 * opts.PingTimeout):
	}
}
