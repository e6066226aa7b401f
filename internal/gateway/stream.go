package gateway

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/fighollow/fighollow/internal/answer"
	"github.com/fighollow/fighollow/internal/heldbytes"
)

const (
	// maxEventBytes bounds one event of a stream, which is buffered until it is complete, with the comments and blank lines
	// before it. A stream that consists of these alone never becomes an answer.
	maxEventBytes = 1 << 20
	// eventBufferBytes fits many events, so that those that arrive together are written together.
	eventBufferBytes = 4 << 10
	// minRead is the least room in bytes for a read, so that long events do not arrive in many short parts.
	minRead = 512
)

var (
	errEventTooLong = errors.New("gateway: event too long")
	// errNoEvents is the reason why an upstream's answer is not the rest of a stream: only events show that a stream which broke off is whole.
	errNoEvents = errors.New("gateway: no event in the rest of a stream")
)

// relayEvents relays whole events, so that a stream that breaks off can be resumed after the last of them. It returns nil at
// the end of a complete stream.
//
// An event that would exceed the bytes that may be held is relayed in parts.
func (x *exchange) relayEvents(a *attempt) error {
	defer x.free()
	isRest := x.headerSent // of a stream that an earlier attempt began
	var buf []byte         // an event that is not complete yet
	for {
		if cap(buf)-len(buf) < minRead {
			var err error
			if buf, err = x.makeRoom(a, buf); err != nil {
				return err
			}
		}
		n, err := a.body.Read(buf[len(buf):cap(buf)])
		if a.body.Events() > 0 {
			x.recordUsage(time.Now())
		}
		whole := len(buf) + a.body.EventEnd()
		buf = buf[:len(buf)+n]
		// What precedes the first event is held back, as it does not show yet that the attempt brings any. SinceEvent bounds it.
		if a.body.EventEnd() > 0 && a.body.Events() > 0 {
			if err := x.writeEvents(a, buf[:whole]); err != nil {
				return err
			}
			buf = x.shrink(buf, whole)
		}
		switch {
		case errors.Is(err, io.EOF) && isRest && a.body.Events() == 0:
			return errNoEvents
		case errors.Is(err, io.EOF):
			if len(buf) > 0 {
				return x.writeEvents(a, buf) // comments after the last event, or of a complete stream without events
			}
			return nil
		case err != nil:
			return err
		case a.body.SinceEvent() > maxEventBytes:
			return errEventTooLong
		}
	}
}

// makeRoom returns buf with room for another read. If it may not grow, its bytes are relayed before the rest of their event arrives.
func (x *exchange) makeRoom(a *attempt, buf []byte) ([]byte, error) {
	size := heldbytes.NextSize(cap(buf), maxEventBytes+eventBufferBytes)
	if x.held.Hold(time.Now(), size) == nil {
		return append(make([]byte, 0, size), buf...), nil
	}
	if !a.body.MayBeEvent() {
		return nil, answer.ErrMalformed
	}
	if err := x.beginEvents(a); err != nil {
		return nil, err
	}
	x.recordBegin(a)
	x.insideEvent, x.beyondLast = true, true
	if err := x.write(buf); err != nil {
		x.callerLeft = true
		return nil, err
	}
	return x.shrink(buf, len(buf)), nil
}

// shrink returns the bytes of buf from an offset on, in a buffer that does not count: the next event may come much later.
func (x *exchange) shrink(buf []byte, from int) []byte {
	rest := buf[from:]
	if cap(buf) <= heldbytes.UncountedAnswer || len(rest) > eventBufferBytes-minRead {
		return buf[:copy(buf, rest)]
	}
	x.free()
	return append(make([]byte, 0, eventBufferBytes), rest...)
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
	if x.insideEvent {
		x.insideEvent = false // events begins with the rest of an event, whose id may have been in the parts before
	} else if id := lastEventID(events); id != "" {
		x.resumeAfter, x.beyondLast = id, false
	}
	if err := x.write(events); err != nil {
		x.callerLeft = true
		return err
	}
	if a.body.Events() == 0 {
		return nil
	}
	x.lastEvent = time.Now()
	if !x.streaming {
		x.streaming = true
		x.firstByte = time.Since(x.call.Arrived)
	}
	if !a.streaming {
		a.streaming = true
		a.firstEvent = time.Since(a.placed.SentAt)
		x.recordAnswer(a)
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
