package gateway

import (
	"bytes"
	"errors"
	"io"
	"time"
)

const (
	// maxEventBytes bounds one event of a stream, which is buffered until it is complete, with the comments and blank lines
	// before it. A stream that consists of these alone never becomes an answer.
	maxEventBytes = 1 << 20
	// eventBufferBytes fits many events, so that those that arrive together are written together.
	eventBufferBytes = 4 << 10
)

var errEventTooLong = errors.New("gateway: event too long")

// relayEvents relays whole events, so that a stream that breaks off can be resumed after the last of them. It returns nil at
// the end of a complete stream.
func (x *exchange) relayEvents(a *attempt) error {
	buf := make([]byte, eventBufferBytes)
	var pending []byte // bytes of an event that is not complete yet
	for {
		n, err := a.body.Read(buf)
		if a.body.Events() > 0 {
			x.recordUsage(time.Now())
		}
		// Comments before the first event are held back, so that they do not send the header. SinceEvent bounds them.
		if end := a.body.EventEnd(); end > 0 && (x.headerSent || a.body.Events() > 0) {
			if err := x.writeEvents(a, append(pending, buf[:end]...)); err != nil {
				return err
			}
			pending = append(pending[:0], buf[end:n]...)
		} else {
			pending = append(pending, buf[:n]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			if len(pending) > 0 {
				return x.writeEvents(a, pending) // comments after the last event, or of a complete stream without events
			}
			return nil
		case err != nil:
			return err
		case a.body.SinceEvent() > maxEventBytes:
			return errEventTooLong
		}
	}
}

// beginEvents sends the status and the header of a stream, unless an earlier attempt has.
func (x *exchange) beginEvents(a *attempt) error {
	if x.headerSent {
		return nil
	}
	err := x.sendHeader(a.reply, -1)
	x.callerLeft = err != nil
	return err
}

// writeEvents writes whole events and comments to the caller and stores the id of the last event for resumption. Comments alone do not
// begin the attempt's stream.
//
// The header is sent with the first event: a stream that breaks off before it can still be refused or begin anew, whereas an answer
// that has begun can only end with its connection.
func (x *exchange) writeEvents(a *attempt, events []byte) error {
	if err := x.beginEvents(a); err != nil {
		return err
	}
	if a.body.Events() > 0 {
		x.recordBegin(a)
	}
	if id := lastEventID(events); id != "" {
		x.resumeAfter = id
	}
	if err := x.write(events); err != nil {
		x.callerLeft = true
		return err
	}
	if a.body.Events() == 0 {
		return nil
	}
	if !x.streaming {
		x.streaming = true
		x.firstByte = time.Since(x.call.Arrived)
	}
	if !a.streaming {
		a.streaming = true
		a.firstEvent = time.Since(a.placed.SentAt)
		x.pool.Started(time.Now(), a.placed)
		x.recordComputed(a)
	}
	return nil
}

// lastEventID returns the id of the last event that has one, or an empty string.
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
