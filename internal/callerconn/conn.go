package callerconn

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/fighollow/fighollow/internal/heldbytes"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

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
	c.endReading()
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
	c.endReading()
	return true
}

// endReading records that nothing is read any more. It frees what is held of an unfinished header at once: a caller that finds the connection
// closed, or is told to come back because others were closed for it, can come back before the server calls Close. c.mu must be held.
func (c *Conn) endReading() {
	c.closed = true
	if c.state == stateHeader {
		c.release()
	}
	c.startTimer(0, 0)
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

// setState records what c waits for from now on. c.mu must be held.
func (c *Conn) setState(s connState) {
	c.state = s
	c.l.moved(c, c.l.waiting.of(s))
}

// moved records that c made progress and belongs to a list from now on.
func (l *Listener) moved(c *Conn, to *list.List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.conns[c]; open {
		l.waiting.move(c, to, time.Now())
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.setWriting(true)
	defer c.setWriting(false)
	return c.TCPConn.Write(p)
}

func (c *Conn) setWriting(writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing = writing; writing {
		c.l.moved(c, &c.l.waiting.writing)
	} else {
		c.l.moved(c, c.l.waiting.of(c.state))
	}
}
