package callerconn

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
)

// Timeouts bound how long a caller may take. A timeout of zero does not apply.
type Timeouts struct {
	Header time.Duration // from the connection, or from the first byte of a later request, to the end of the header
	Idle   time.Duration // from the end of an answer to the first byte of the next request
}

// unreadDelay is how long a timeout waits for the server to read bytes that have arrived before it expired.
const unreadDelay = 100 * time.Millisecond

// Listener accepts connections and closes those that exceed their timeouts. A connection is only closed while the header of a
// request is incomplete and everything that arrived has been read: a timer that expires while the process is short of processor
// time ends no request that is there already. It is safe for concurrent use.
type Listener struct {
	net.Listener
	timeouts func() Timeouts
	log      zerolog.Logger
}

// NewListener returns a Listener for the TCP connections of l. Each wait is bounded by the result of timeouts at its start. The
// server of the connections must call ConnState.
func NewListener(l net.Listener, timeouts func() Timeouts, log zerolog.Logger) *Listener {
	return &Listener{Listener: l, timeouts: timeouts, log: log}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nc, nil //nolint:nilerr // an error of one connection must not end the server
	}
	c := &Conn{TCPConn: tcp, raw: raw, l: l}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.await(stateHeader, l.timeouts().Header)
	return c, nil
}

// ConnState is the callback for http.Server.ConnState.
func (l *Listener) ConnState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.await(stateIdle, l.timeouts().Idle)
	case http.StateActive:
		c.await(stateBusy, 0) // a pipelined request may have been read together with the one before
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// expired closes c unless it has been read since its timer was started, or there is something to read.
func (l *Listener) expired(c *Conn, timer uint64, timeout time.Duration) {
	state, ok := c.expire(timer)
	if !ok {
		return
	}
	event.CallerTimedOut.Log(&l.log).Str("caller", c.RemoteAddr().String()).Str("state", state.String()).
		Int64("timeoutMs", timeout.Milliseconds()).Send()
	_ = c.TCPConn.Close() // the connection has ended, whatever the result
}

// connState is what a Conn waits for.
type connState int

const (
	stateBusy   connState = iota // nothing: a request is being served
	stateHeader                  // the rest of a header
	stateIdle                    // the first byte of a request
)

func (s connState) String() string {
	switch s {
	case stateHeader:
		return "header"
	case stateIdle:
		return "idle"
	}
	return "busy"
}

// headerEnd finds the blank line that ends a header which arrives in parts.
type headerEnd struct {
	begun     bool // a line other than a blank one has begun; servers skip blank lines before a request
	lineBytes int  // of the line that has not ended yet, without a CR
}

// scan reads the next part and reports whether the header ends in it.
func (h *headerEnd) scan(p []byte) bool {
	for _, b := range p {
		switch {
		case b == '\n' && h.lineBytes == 0 && h.begun:
			return true
		case b == '\n':
			h.lineBytes = 0
		case b != '\r':
			h.begun = true
			h.lineBytes++
		}
	}
	return false
}

// Conn is a connection that a Listener accepted.
type Conn struct {
	*net.TCPConn
	raw rawConn
	l   *Listener

	mu      sync.Mutex // also held while bytes are taken from the socket, so that what has arrived is either unread or counted
	state   connState
	closed  bool // nothing is read any more
	header  headerEnd
	timer   *time.Timer
	timerID uint64 // of the timer that counts
}

// await starts to wait for the bytes of the next request. c.mu must be held.
func (c *Conn) await(s connState, timeout time.Duration) {
	c.state, c.header = s, headerEnd{}
	c.startTimer(timeout)
}

// startTimer replaces the timer; zero stops it. c.mu must be held.
func (c *Conn) startTimer(timeout time.Duration) {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timerID++
	if id := c.timerID; timeout > 0 {
		c.timer = time.AfterFunc(timeout, func() { c.l.expired(c, id, timeout) })
	}
}

// expire ends the reading of c if the timer still counts and there is nothing to read. It returns what c was waiting for.
func (c *Conn) expire(timer uint64) (connState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.timerID != timer {
		return c.state, false
	}
	if c.hasUnread() {
		c.startTimer(unreadDelay)
		return c.state, false
	}
	c.closed = true
	return c.state, true
}

// received updates what c waits for after bytes of a request were read. c.mu must be held.
func (c *Conn) received(p []byte) {
	if len(p) == 0 || c.state == stateBusy {
		return
	}
	if c.header.scan(p) {
		c.state = stateBusy
		c.startTimer(0)
		return
	}
	if c.state == stateIdle {
		c.state = stateHeader
		c.startTimer(c.l.timeouts().Header)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.startTimer(0)
	c.mu.Unlock() // a Read that waits for the lock would keep TCPConn.Close from returning
	return c.TCPConn.Close()
}
