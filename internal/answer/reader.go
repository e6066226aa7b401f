package answer

import (
	"errors"
	"fmt"
	"io"
	"mime"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// ErrTruncated is the error of a body that ended before it was complete although its connection reported no error.
var ErrTruncated = errors.New("answer: truncated")

// ErrMalformed is the error of a body of events that has something else between them.
var ErrMalformed = errors.New("answer: not a series of events")

// Options describes the body that a Reader reads.
type Options struct {
	Framing fighollow.Framing
	// Events is set if the body is a series of server-sent events.
	Events bool
	// Strict is set if such a body may hold nothing but events and comments.
	Strict bool
}

// IsEventStream reports whether an answer with this header is a series of server-sent events; unnamed is the result for an
// answer without a content type.
func IsEventStream(h fighollow.Header, unnamed bool) bool {
	values := h["Content-Type"]
	if len(values) == 0 {
		return unnamed
	}
	mediaType, _, err := mime.ParseMediaType(values[0])
	return err == nil && mediaType == "text/event-stream"
}

// Reader reads the body of an answer. Unlike the body itself it returns io.EOF only if the body is complete, as far as that
// can be told: the end of a connection ends a body without a length or chunks also if its sender crashed. It is not safe for
// concurrent use.
type Reader struct {
	body     io.Reader
	opts     Options
	events   eventScanner
	eventEnd int   // see EventEnd
	n        int64 // bytes read
	err      error // that ended the body; nil before its end
}

// NewReader returns a Reader of body, which the caller closes.
func NewReader(body io.Reader, opts Options) *Reader {
	return &Reader{body: body, opts: opts, events: eventScanner{strict: opts.Strict}}
}

// Read implements io.Reader. A body that ended too soon yields ErrTruncated. A strict one yields ErrMalformed with the bytes in which something
// follows that is no event; the events before it end at EventEnd.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		r.eventEnd = 0
		return 0, r.err
	}
	n, err := r.body.Read(p)
	r.n += int64(n)
	if r.opts.Events {
		r.eventEnd = r.events.scan(p[:n])
	}
	switch {
	case r.events.malformed:
		err = ErrMalformed
	case errors.Is(err, io.EOF):
		err = r.end()
	}
	r.err = err
	return n, err
}

// end returns the error with which a body ends whose connection reported none.
func (r *Reader) end() error {
	switch {
	case !r.opts.Events:
	case r.events.insideEvent():
		return fmt.Errorf("%w: it ended within an event", ErrTruncated)
	case r.opts.Framing == fighollow.FramingConnection && r.events.events == 0:
		return fmt.Errorf("%w: its connection ended before the first event", ErrTruncated)
	}
	return io.EOF
}

// EventEnd returns the offset after the last blank line in the bytes of the last Read, which ends an event or comments, or 0 if there is
// none.
func (r *Reader) EventEnd() int { return r.eventEnd }

// Events returns the number of complete events so far: those with a data, event or id field.
func (r *Reader) Events() int { return r.events.events }

// SinceEvent returns the number of bytes since the last complete event: those of the next event, and of comments and blank lines.
func (r *Reader) SinceEvent() int { return r.events.sinceEvent }

// InsideEvent reports whether the bytes read so far end within an event.
func (r *Reader) InsideEvent() bool { return r.events.insideEvent() }

// MayBeEvent reports whether the bytes after the last event can be the beginning of another one, or of comments.
func (r *Reader) MayBeEvent() bool { return r.events.mayBeEvent() }

// Bytes returns the number of bytes read.
func (r *Reader) Bytes() int64 { return r.n }
