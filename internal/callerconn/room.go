package callerconn

import (
	"context"
	"time"

	"github.com/fighollow/fighollow/internal/event"
)

const (
	// roomInterval is the time between two attempts to make room.
	roomInterval = 5 * time.Millisecond
	// maxUnreadSkips bounds how many connections are left open, each time that room is made, because bytes have arrived on them.
	maxUnreadSkips = 8
	// fullInterval bounds the log lines about a full Listener.
	fullInterval = 10 * time.Second
)

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

// evict ends the reading of c if it still waits for its caller, or reports that it has ended: c has expired or was rejected. See stopReading.
func (c *Conn) evict(skipUnread bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || c.stopReading(skipUnread)
}

// evictOpen is evict for a connection that has not expired and was not rejected, so that the answer to a rejected header is not lost.
func (c *Conn) evictOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.stopReading(true)
}

// stopReading ends the reading of c if it still waits for its caller. If bytes have arrived, they count as progress unless skipUnread is false.
// c.mu must be held.
func (c *Conn) stopReading(skipUnread bool) bool {
	switch {
	case c.state == stateBusy && !c.writing:
		return false
	case skipUnread && !c.writing && c.hasUnread():
		c.setState(c.state)
		return false
	}
	c.endReading()
	return true
}

// CloseStalled closes the other connections of the same Listener whose unfinished requests made no progress for some time, because the memory for
// requests is used up. It has no effect without Context.
func CloseStalled(ctx context.Context, now time.Time) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.closeOthersStalled(now)
	}
}

func (c *Conn) closeOthersStalled(now time.Time) {
	for _, other := range c.l.stalled(now) {
		if other != c && other.evictOpen() {
			c.l.countEvicted()
			_ = other.TCPConn.Close() // the server's read fails, and it calls Close
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
