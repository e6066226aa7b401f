package callerconn

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/heldbytes"
)

// Limits bound what a caller may send and how long it may take. A limit of zero does not apply.
type Limits struct {
	Header      time.Duration // from the connection, or from the first byte of a later request, to the end of the header
	Idle        time.Duration // from the end of an answer to the first byte of the next request, blank lines aside
	HeaderBytes int           // of a header as it is sent; some more are accepted, so that a server can judge what it counts otherwise
}

// Options are the bounds of a Listener's connections.
type Options struct {
	Limits   func() Limits      // those of each wait that begins
	MaxConns int                // connections at a time; 0 for no bound
	Held     *heldbytes.Account // counts headers; nil if they are not counted
}

// unreadDelay is how long a timeout waits for the server to read bytes that have arrived before it expired.
const unreadDelay = 100 * time.Millisecond

const (
	// newConnTime is how long a draining Listener waits for the first byte of a connection, as http.Server.Shutdown does.
	newConnTime = 5 * time.Second
	// malformedTime bounds the writing of the server's own answers.
	malformedTime = 10 * time.Second
	// drainInterval is the time between two checks for connections that have become idle.
	drainInterval = 10 * time.Millisecond
)

// Listener accepts connections and closes those that exceed their timeouts. A connection is only closed while the header of a
// request is incomplete and everything that arrived has been read: a timer that expires while the process is short of processor
// time ends no request that is there already. It is safe for concurrent use.
type Listener struct {
	net.Listener
	opts  Options
	log   zerolog.Logger
	close func() error // closes net.Listener once: both Drain and the server close it

	mu        sync.Mutex
	accepting int // calls of Accept that may return a connection
	conns     map[*Conn]struct{}
	waiting   waitLists
	draining  bool
	full      fullReport
}

// NewListener returns a Listener for the TCP connections of l. The server of the connections must call ConnState.
func NewListener(l net.Listener, opts Options, log zerolog.Logger) *Listener {
	return &Listener{Listener: l, opts: opts, log: log, close: sync.OnceValue(l.Close), conns: map[*Conn]struct{}{}}
}

// Close implements net.Listener.
func (l *Listener) Close() error { return l.close() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		return nil, net.ErrClosed
	}
	l.accepting++
	l.mu.Unlock()
	nc, err := l.acceptWithinBound()
	l.mu.Lock()
	l.accepting--
	return nc, err
}

// acceptWithinBound returns the next connection for which there is room.
func (l *Listener) acceptWithinBound() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.makeRoom() {
			return l.accepted(nc), nil
		}
		_ = nc.Close() // nothing of it was read
	}
}

// accepted returns the connection that the server gets for nc.
func (l *Listener) accepted(nc net.Conn) net.Conn {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nc // an error of one connection must not end the server
	}
	c := &Conn{TCPConn: tcp, raw: raw, l: l, accepted: time.Now()}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.await(stateHeader, l.opts.Limits().Header)
	return c
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
		c.answered = true
		c.release()
	case http.StateActive:
		// Replaces that of the last request. The server answers a malformed one itself, also if its caller does not read; handlers set
		// their own.
		_ = c.SetWriteDeadline(time.Now().Add(malformedTime)) // fails only if the connection has ended
		c.answered = false
		c.await(stateBusy, 0)
		if c.ahead.complete { // the server has begun to serve the request that follows
			c.ahead = ahead{body: unknownLength}
		}
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// expired closes c unless it has been read since its timer was started, or there is something to read.
func (l *Listener) expired(c *Conn, timer uint64, timeout time.Duration) {
	state, ok := c.expire(timer, timeout)
	if !ok {
		return
	}
	_ = c.TCPConn.Close() // the connection has ended, whatever the result
	event.CallerTimedOut.Log(&l.log).Str("caller", c.RemoteAddr().String()).Str("state", state.String()).
		Int64("timeoutMs", timeout.Milliseconds()).Send()
}

// Drain closes l, and each connection once it is idle. It returns when no connection is left, or with the error of ctx. It must be
// called before http.Server.Shutdown, which ends connections whose request has been read and not yet been noticed by the server.
func (l *Listener) Drain(ctx context.Context) error {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	_ = l.Close() // Accept returns, whatever the result
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for !l.drained() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// drained closes the connections that are idle and reports whether none is left.
func (l *Listener) drained() bool {
	l.mu.Lock()
	conns := slices.Collect(maps.Keys(l.conns))
	accepting := l.accepting
	l.mu.Unlock()
	for _, c := range conns {
		if c.expireIdle() {
			_ = c.TCPConn.Close() // the server's read fails, and it calls Close
		}
	}
	return accepting == 0 && len(conns) == 0
}

// remove forgets c, which the server has closed.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.waiting.remove(c)
}
