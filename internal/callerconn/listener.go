package callerconn

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/heldbytes"
	"github.com/fighollow/fighollow/pkg/fighollow"
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

// connState is what a Conn waits for.
type connState int

const (
	stateBusy   connState = iota // nothing: a request is being served
	stateHeader                  // the rest of a header
	stateIdle                    // the first byte of a request
	stateBody                    // the rest of a body
)

func (s connState) String() string {
	switch s {
	case stateHeader:
		return "header"
	case stateIdle:
		return "idle"
	case stateBody:
		return "body"
	}
	return "busy"
}

const (
	// headerSlack is how much longer than its limit a header may be before the server sees it.
	headerSlack = 4 << 10
	// Memory that a parsed header takes until its request has ended, garbage included: for each field, for each part of a list, and for
	// each byte.
	fieldBytes = 250
	partBytes  = 64
	byteBytes  = 2
)

// maxFieldBytes is how much of a header line is kept to find the length of the body.
const maxFieldBytes = 128

// header finds the blank line that ends a header which arrives in parts, and the length of the body that follows.
type header struct {
	begun     bool   // a line other than a blank one has begun; servers skip blank lines before a request
	lineBytes int    // of the line that has not ended yet, without a CR
	line      []byte // its beginning
	body      int64  // length in bytes, or unknownLength
	size      int    // bytes so far
	lines     int    // that have ended
	commas    int
}

// memory returns how many bytes the parsed header takes so far.
func (h *header) memory() int { return h.size*byteBytes + h.lines*fieldBytes + h.commas*partBytes }

const unknownLength = -1

// scan reads the next part. It returns the number of bytes that belong to the header, and whether the header ends in them.
func (h *header) scan(p []byte) (n int, ended bool) {
	for i, b := range p {
		if h.begun {
			h.size++
		}
		switch {
		case b == '\n' && h.lineBytes == 0 && h.begun:
			return i + 1, true
		case b == '\n':
			h.endLine()
		case b != '\r':
			h.begun = true
			if b == ',' {
				h.commas++
			}
			if h.lineBytes++; len(h.line) < maxFieldBytes {
				h.line = append(h.line, b)
			}
		}
	}
	return len(p), false
}

// endLine reads the line that has ended, if it is a field that tells the length of the body.
func (h *header) endLine() {
	h.lines++
	if name, value, ok := strings.Cut(string(h.line), ":"); ok && h.body != unknownLength {
		switch strings.ToLower(name) {
		case "transfer-encoding":
			h.body = unknownLength
		case "content-length":
			var err error
			if h.body, err = strconv.ParseInt(strings.TrimSpace(value), 10, 64); err != nil || h.body < 0 || h.lineBytes > maxFieldBytes {
				h.body = unknownLength
			}
		}
	}
	h.lineBytes, h.line = 0, h.line[:0]
}

// ahead follows what a caller sends after the header of the request that is being served: the rest of its body, and the next header. The
// server may read both together.
type ahead struct {
	body     int64 // bytes of the body still to come, or unknownLength: then nothing is known of what follows
	next     header
	complete bool // next has ended; nothing is known of what follows
}

func (a *ahead) scan(p []byte) {
	if a.body == unknownLength || a.complete {
		return
	}
	n := min(a.body, int64(len(p)))
	a.body -= n
	_, a.complete = a.next.scan(p[n:])
}

// Conn is a connection that a Listener accepted.
type Conn struct {
	*net.TCPConn
	raw      rawConn
	l        *Listener
	accepted time.Time
	entry    waitEntry // under the lock of l

	mu        sync.Mutex // also held while bytes are taken from the socket, so that what has arrived is either unread or counted
	state     connState
	answered  bool // the server has ended a request and has not read since; it may hold the next request already
	closed    bool // nothing is read any more
	writing   bool
	bodyBytes int                // of a body, since the last progress
	rejected  *fighollow.Refusal // why nothing is read any more; answered by Read
	held      *heldbytes.Holder  // of the header in progress and of the one whose request is being served; nil until it counts
	header    header
	ahead     ahead
	timer     *time.Timer
	timerID   uint64 // of the timer that counts
}

// await starts to wait for the bytes of the next request. c.mu must be held.
func (c *Conn) await(s connState, timeout time.Duration) {
	c.header = header{}
	c.setState(s)
	c.startTimer(timeout, timeout)
}

// beginRead starts the idle timeout at the first read after a response: until then, the server may serve a request that it has
// read together with the one before. c.mu must be held.
func (c *Conn) beginRead() {
	if !c.answered {
		return
	}
	c.answered = false
	if c.ahead.next.begun && !c.ahead.complete {
		c.await(stateHeader, c.l.opts.Limits().Header)
		c.header = c.ahead.next
		return
	}
	c.await(stateIdle, c.l.opts.Limits().Idle)
}

// startTimer replaces the timer, which expires after delay; zero stops it. The wait that it ends was bounded by timeout. c.mu must
// be held.
func (c *Conn) startTimer(delay, timeout time.Duration) {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timerID++
	if id := c.timerID; delay > 0 {
		c.timer = time.AfterFunc(delay, func() { c.l.expired(c, id, timeout) })
	}
}

// expire ends the reading of c if the timer still counts and there is nothing to read. It returns what c was waiting for.
func (c *Conn) expire(timer uint64, timeout time.Duration) (connState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.timerID != timer {
		return c.state, false
	}
	if c.hasUnread() {
		c.startTimer(unreadDelay, timeout)
		return c.state, false
	}
	c.closed = true
	return c.state, true
}

// expireIdle ends the reading of c if it waits for the first byte of a request and there is nothing to read.
func (c *Conn) expireIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.state == stateIdle || c.state == stateHeader && !c.header.begun && time.Since(c.accepted) >= newConnTime
	if c.closed || !idle || c.hasUnread() {
		return false
	}
	c.closed = true
	c.startTimer(0, 0)
	return true
}

// received updates what c waits for after bytes of a request were read. c.mu must be held.
func (c *Conn) received(p []byte) {
	if len(p) == 0 {
		return
	}
	if c.state == stateBody {
		if c.bodyBytes += len(p); c.bodyBytes >= minProgress {
			c.bodyBytes = 0
			c.setState(stateBody)
		}
	}
	if c.state == stateBusy || c.state == stateBody {
		c.ahead.scan(p)
		return
	}
	n, ended := c.header.scan(p)
	if c.rejected = c.checkHeader(time.Now()); c.rejected != nil {
		c.closed = true
		c.release()
		c.startTimer(0, 0)
		return
	}
	if ended {
		c.ahead = ahead{body: c.header.body}
		c.setState(stateBusy)
		c.ahead.scan(p[n:])
		c.startTimer(0, 0)
		return
	}
	if c.state == stateIdle && c.header.begun { // until then the idle timeout goes on
		c.setState(stateHeader)
		timeout := c.l.opts.Limits().Header
		c.startTimer(timeout, timeout)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.release()
	c.startTimer(0, 0)
	c.mu.Unlock() // a Read that waits for the lock would keep TCPConn.Close from returning
	c.l.remove(c)
	return c.TCPConn.Close()
}
