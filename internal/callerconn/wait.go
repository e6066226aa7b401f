package callerconn

import (
	"container/list"
	"context"
	"time"

	"github.com/fighollow/fighollow/internal/event"
)

const (
	// stalledAfter is the time without progress after which a connection with an unfinished request is closed before one that is
	// idle between two requests.
	stalledAfter = time.Second
	// minProgress is how many bytes of a body count as progress. Fewer would let a caller that sends a byte now and then keep its connection
	// for as long as one that sends steadily.
	minProgress = 16 << 10
	// minStay is the least time that a connection stays open without progress. It bounds the processor time that callers cost who
	// connect again at once: a Listener with n connections accepts n in this time.
	minStay = 200 * time.Millisecond
	// roomInterval is the time between two attempts to make room.
	roomInterval = 5 * time.Millisecond
	// maxUnreadSkips bounds how many connections are left open, each time that room is made, because bytes have arrived on them.
	maxUnreadSkips = 8
	// fullInterval bounds the log lines about a full Listener.
	fullInterval = 10 * time.Second
)

// waitEntry is the place of a connection in waitLists.
type waitEntry struct {
	in    *list.List // nil while the connection waits for nothing of its caller
	at    *list.Element
	since time.Time // of the last progress
}

// waitLists order the connections that wait for their caller by their last progress, the oldest first. Connections whose caller waits for an
// answer are in no list.
type waitLists struct {
	unfinished list.List // a header or a body is incomplete, or nothing has arrived on a new connection
	idle       list.List // between two requests
	writing    list.List // a write has not ended, as long as the caller does not read
}

// move puts c to the end of a list because it made progress at now, or out of all lists if to is nil.
func (w *waitLists) move(c *Conn, to *list.List, now time.Time) {
	c.entry.since = now
	if to != nil && c.entry.in == to {
		to.MoveToBack(c.entry.at)
		return
	}
	w.remove(c)
	if to != nil {
		c.entry.in, c.entry.at = to, to.PushBack(c)
	}
}

// of returns the list of connections in a state; nil for those whose callers wait for an answer.
func (w *waitLists) of(s connState) *list.List {
	switch s {
	case stateHeader, stateBody:
		return &w.unfinished
	case stateIdle:
		return &w.idle
	case stateBusy:
	}
	return nil
}

func (w *waitLists) remove(c *Conn) {
	if c.entry.in != nil {
		c.entry.in.Remove(c.entry.at)
		c.entry.in, c.entry.at = nil, nil
	}
}

// front returns the connection of l with the oldest progress, or nil.
func front(l *list.List) *Conn {
	if e := l.Front(); e != nil {
		return e.Value.(*Conn)
	}
	return nil
}

// next returns the connection to close first, or nil if all callers wait for answers. early means that it has not stayed for minStay.
func (w *waitLists) next(now time.Time) (c *Conn, early bool) {
	unfinished, writing := front(&w.unfinished), front(&w.writing)
	if unfinished.stalled(now, stalledAfter) {
		return unfinished, false
	}
	if writing.stalled(now, stalledAfter) {
		return writing, false
	}
	if idle := front(&w.idle); idle != nil {
		return idle, false
	}
	c = unfinished
	if c == nil || writing != nil && writing.entry.since.Before(c.entry.since) {
		c = writing
	}
	return c, c != nil && !c.stalled(now, minStay)
}

// stalled reports whether c, if there is one, made no progress for a time. The lock of its Listener must be held.
func (c *Conn) stalled(now time.Time, d time.Duration) bool {
	return c != nil && now.Sub(c.entry.since) >= d
}

// makeRoom closes a connection that waits for its caller if there are as many as may be. It reports whether there is room for another one:
// there is none if all callers wait for answers or send without a pause, or if the Listener drains.
func (l *Listener) makeRoom() bool {
	if l.opts.MaxConns == 0 {
		return true
	}
	start := time.Now()
	for skips := 0; ; {
		now := time.Now()
		l.mu.Lock()
		if len(l.conns) < l.opts.MaxConns {
			l.mu.Unlock()
			return true
		}
		c, early := l.waiting.next(now)
		draining := l.draining
		l.mu.Unlock()
		switch {
		case c == nil || draining || early && now.Sub(start) >= minStay:
			l.countFull(now, false)
			return false
		case early:
			time.Sleep(roomInterval)
		case c.evict(skips < maxUnreadSkips):
			l.countFull(now, true)
			l.remove(c)
			_ = c.TCPConn.Close() // the server's read fails, and it calls Close
		default:
			skips++
		}
	}
}

// evict ends the reading of c if it still waits for its caller. If bytes have arrived, they count as progress unless skipUnread is false.
func (c *Conn) evict(skipUnread bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return true // it has expired or was rejected
	case c.state == stateBusy && !c.writing:
		return false
	case skipUnread && !c.writing && c.hasUnread():
		c.setState(c.state)
		return false
	}
	c.closed = true
	c.startTimer(0, 0)
	return true
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

// Receiving records whether the rest of the body of the request with the context ctx is awaited from its caller, so that its connection can be
// closed for another one. It has no effect without Context.
func Receiving(ctx context.Context, receiving bool) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.setReceiving(receiving)
	}
}

// CloseStalled closes the connections of the same Listener whose unfinished requests made no progress for some time, because the memory for
// requests is used up. It has no effect without Context.
func CloseStalled(ctx context.Context, now time.Time) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.l.closeStalled(now)
	}
}

func (l *Listener) closeStalled(now time.Time) {
	for _, c := range l.stalled(now) {
		if c.evict(true) {
			l.countEvicted()
			_ = c.TCPConn.Close() // the server's read fails, and it calls Close
		}
	}
}

// stalled returns the connections with an unfinished request that made no progress for stalledAfter.
func (l *Listener) stalled(now time.Time) []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*Conn
	for e := l.waiting.unfinished.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if !c.stalled(now, stalledAfter) {
			break
		}
		out = append(out, c)
	}
	return out
}

// setReceiving records whether the body of the request that is being served is incomplete.
func (c *Conn) setReceiving(receiving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case receiving && c.state == stateBusy:
		c.bodyBytes = 0
		c.setState(stateBody)
	case !receiving && c.state == stateBody:
		c.setState(stateBusy)
	}
}

// Stats are counts of a Listener's connections.
type Stats struct {
	Open    int
	Evicted int64 // closed for others, since the start
	Refused int64 // closed at once for lack of room, since the start
}

// Stats returns the present counts.
func (l *Listener) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Open: len(l.conns), Evicted: l.full.evicted, Refused: l.full.refused}
}

// fullReport counts what a full Listener did.
type fullReport struct {
	evicted, refused int64     // connections
	nextLine         time.Time // of the log
}

// countEvicted counts a connection that was closed for others.
func (l *Listener) countEvicted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.full.evicted++
}

// countFull counts a connection that was closed to make room, or a new one for which there was none.
func (l *Listener) countFull(now time.Time, evicted bool) {
	l.mu.Lock()
	if evicted {
		l.full.evicted++
	} else {
		l.full.refused++
	}
	due := !now.Before(l.full.nextLine)
	if due {
		l.full.nextLine = now.Add(fullInterval)
	}
	report, unfinished, idle := l.full, l.waiting.unfinished.Len(), l.waiting.idle.Len()
	l.mu.Unlock()
	if due {
		event.CallersFull.Log(&l.log).Str("listener", l.Addr().String()).Int("bound", l.opts.MaxConns).Int("unfinished", unfinished).
			Int("idle", idle).Int64("closed", report.evicted).Int64("refused", report.refused).Send()
	}
}
