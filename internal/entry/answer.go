package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Content types of completions.
const (
	typeJSON   = "application/json"
	typeEvents = "text/event-stream"
)

// writeGrace is how long after the deadline a caller that does not read may hold its connection.
const writeGrace = 5 * time.Second

// flushBytes bounds what is kept back while more parts are waiting.
const flushBytes = 32 << 10

// answer runs a completion and writes its answer.
func (e *Entry) answer(ctx context.Context, w http.ResponseWriter, q *request, f *completionFormat) *fighollow.Refusal {
	stored, refusal := e.claim(ctx, q)
	if refusal != nil {
		return refusal
	}
	if stored != nil {
		writeStored(w, stored)
		return nil
	}
	boundWrites(w, q)
	if f.stream {
		return e.answerEvents(ctx, w, q, f)
	}
	res, refusal := e.run(ctx, q, &wholeSink{w: w})
	if refusal != nil {
		e.settle(q, refusal, nil)
		return refusal
	}
	body := f.whole(q.text, res)
	e.settle(q, nil, &fighollow.StoredAnswer{Status: http.StatusOK, ContentType: typeJSON, Body: body})
	w.Header().Set("Content-Type", typeJSON)
	w.Write(body)
	return nil
}

func (e *Entry) answerEvents(ctx context.Context, w http.ResponseWriter, q *request, f *completionFormat) *fighollow.Refusal {
	out := &eventSink{w: w, rc: http.NewResponseController(w), f: f}
	res, refusal := e.run(ctx, q, out)
	if refusal != nil {
		e.settle(q, refusal, nil)
		if !out.started {
			return refusal
		}
		e.metrics.refusal(refusal)
		out.buf = append(out.buf, "data: "...)
		out.buf = append(out.buf, encodeRefusal(refusal)...)
		out.buf = append(out.buf, "\n\n"...)
		_ = out.flush() // an error means that the caller has left
		return nil
	}
	if q.key != "" && len(q.text) <= maxStoredBytes {
		body := f.end(f.event(nil, q.text), res)
		e.settle(q, nil, &fighollow.StoredAnswer{Status: http.StatusOK, ContentType: typeEvents, Body: body})
	} else {
		e.settle(q, nil, nil)
	}
	out.buf = f.end(out.whole(), res)
	_ = out.flush() // an error means that the caller has left
	return nil
}

// boundWrites keeps a caller that does not read from holding its request open for ever.
func boundWrites(w http.ResponseWriter, q *request) {
	// A connection without deadlines is one of a test; the request's own deadline still ends its attempts.
	_ = http.NewResponseController(w).SetWriteDeadline(q.deadline.Add(writeGrace))
}

// wholeSink leaves the text with the request until it is complete.
type wholeSink struct{ w http.ResponseWriter }

func (s *wholeSink) accepted(upstream string) { s.w.Header().Set(headerUpstream, upstream) }
func (s *wholeSink) head(*link.Head) error    { return errHead }
func (s *wholeSink) chunk([]byte) error       { return nil }
func (s *wholeSink) flush() error             { return nil }
func (s *wholeSink) committed() bool          { return false }

// eventSink writes server-sent events.
type eventSink struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	f       *completionFormat
	buf     []byte
	rest    []byte // the beginning of a character whose end has not come yet
	started bool
}

func (s *eventSink) accepted(upstream string) {
	if !s.started {
		s.w.Header().Set(headerUpstream, upstream)
	}
}

func (s *eventSink) head(*link.Head) error { return errHead }

func (s *eventSink) chunk(data []byte) error {
	if len(s.rest) > 0 {
		data = append(s.rest, data...)
		s.rest = nil
	}
	if n := splitCharacter(data); n > 0 {
		s.rest = append([]byte(nil), data[len(data)-n:]...)
		data = data[:len(data)-n]
	}
	if len(data) == 0 {
		return nil
	}
	s.buf = s.f.event(s.buf, data)
	if len(s.buf) >= flushBytes {
		return s.flush()
	}
	return nil
}

// whole returns the buffer with the rest of a character that never got its end.
func (s *eventSink) whole() []byte {
	if len(s.rest) > 0 {
		s.buf = s.f.event(s.buf, s.rest)
		s.rest = nil
	}
	return s.buf
}

// committed is false because another engine continues the text from its offset.
func (s *eventSink) committed() bool { return false }

func (s *eventSink) flush() error {
	if !s.started {
		s.started = true
		h := s.w.Header()
		h.Set("Content-Type", typeEvents)
		h.Set("Cache-Control", "no-cache")
		s.w.WriteHeader(http.StatusOK)
	}
	if len(s.buf) == 0 {
		return nil
	}
	_, err := s.w.Write(s.buf)
	s.buf = s.buf[:0]
	if err == nil {
		err = s.rc.Flush()
	}
	if err != nil {
		return errCallerLeft
	}
	return nil
}
