package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"
)

const (
	// maxEvent bounds one event of a stream, which is held back until it is whole.
	maxEvent = 1 << 20
	// eventBuffer fits many events, so that those that arrive together leave in one write.
	eventBuffer = 4 << 10
)

var errEventTooLong = errors.New("gateway: event too long")

// relayEvents passes whole events on, so that a stream that breaks off can go on after the last of them. It returns nil at
// the end of the stream.
func (x *exchange) relayEvents(l *leg) error {
	r := bufio.NewReaderSize(l.reply.Body, eventBuffer)
	var pending []byte // what was read of events that were not passed on
	whole := 0         // length of the whole events in pending
	for {
		line, err := r.ReadSlice('\n')
		pending = append(pending, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(pending) > maxEvent {
				return errEventTooLong
			}
			continue
		case errors.Is(err, io.EOF):
			// Bytes after the last event belong to the answer when it ends in order.
			if len(pending) > 0 {
				return x.passEvents(l, pending)
			}
			return nil
		case err != nil:
			if whole > 0 {
				if err := x.passEvents(l, pending[:whole]); err != nil {
					return err
				}
			}
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			whole = len(pending)
		}
		if whole > 0 && r.Buffered() == 0 {
			if err := x.passEvents(l, pending[:whole]); err != nil {
				return err
			}
			pending = append(pending[:0], pending[whole:]...)
			whole = 0
		}
	}
}

// passEvents writes whole events and notes the id of the last.
func (x *exchange) passEvents(l *leg, events []byte) error {
	if id := lastEventID(events); id != "" {
		x.resumeAfter = id
	}
	if err := x.out.Write(events); err != nil {
		x.left = true
		return err
	}
	if !x.streaming {
		x.streaming = true
		x.first = time.Since(x.call.Arrived)
	}
	if !l.started {
		l.started = true
		l.first = time.Since(l.work.SentAt)
		x.pool.Started(time.Now(), l.work)
	}
	return nil
}

// lastEventID returns the id of the last event that has one; empty when there is none.
func lastEventID(events []byte) string {
	at := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case at >= 0:
		events = events[at+len("\nid:"):]
	case bytes.HasPrefix(events, []byte("id:")):
		events = events[len("id:"):]
	default:
		return ""
	}
	if end := bytes.IndexByte(events, '\n'); end >= 0 {
		events = events[:end]
	}
	return string(bytes.TrimSpace(events))
}
