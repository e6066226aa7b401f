package callerconn

import (
	"container/list"
	"time"
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
