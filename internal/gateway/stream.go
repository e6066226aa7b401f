package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"
)

const (
	// maxEventBytes bounds one event of a stream, which is buffered until it is complete.
	maxEventBytes = 1 << 20
	// eventBufferBytes fits many events, so that those that arrive together are written together.
	eventBufferBytes = 4 << 10
)

var errEventTooLong = errors.New("gateway: event too long")

// relayEvents relays whole events, so that a stream that breaks off can be resumed after the last of them. It returns nil at
// the end of the stream.
func (x *exchange) relayEvents(a *attempt) error {
	r := bufio.NewReaderSize(a.reply.Body, eventBufferBytes)
	var pending []byte // bytes read but not relayed yet
	whole := 0         // length of the complete events in pending
	for {
		line, err := r.ReadSlice('\n')
		pending = append(pending, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(pending) > maxEventBytes {
				return errEventTooLong
			}
			continue
		case errors.Is(err, io.EOF):
			// Bytes after the last event are part of the answer if the stream ends without an error.
			a.insideEvent = len(pending) > 0
			if len(pending) > 0 {
				return x.writeEvents(a, pending)
			}
			return nil
		case err != nil:
			if whole > 0 {
				if err := x.writeEvents(a, pending[:whole]); err != nil {
					return err
				}
			}
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			whole = len(pending)
		}
		if whole > 0 && r.Buffered() == 0 {
			if err := x.writeEvents(a, pending[:whole]); err != nil {
				return err
			}
			pending = append(pending[:0], pending[whole:]...)
			whole = 0
		}
	}
}

// writeEvents writes whole events to the caller and stores the id of the last one for resumption.
func (x *exchange) writeEvents(a *attempt, events []byte) error {
	if id := lastEventID(events); id != "" {
		x.resumeAfter = id
	}
	if err := x.out.Write(events); err != nil {
		x.callerLeft = true
		return err
	}
	if !x.streaming {
		x.streaming = true
		x.firstByte = time.Since(x.call.Arrived)
	}
	if !a.streaming {
		a.streaming = true
		a.firstEvent = time.Since(a.placed.SentAt)
		x.pool.Started(time.Now(), a.placed)
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
