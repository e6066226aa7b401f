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
	contentTypeJSON        = "application/json"
	contentTypeEventStream = "text/event-stream"
)

// writeGracePeriod is how long after the request's deadline writes to a caller may still block.
const writeGracePeriod = 5 * time.Second

// maxUnflushedBytes limits the buffered output while further messages are waiting.
const maxUnflushedBytes = 32 << 10

// runCompletion runs a completion and writes its answer, streamed or as one body.
func (e *Entry) runCompletion(ctx context.Context, w http.ResponseWriter, q *request, f *completionFormat) *fighollow.Refusal {
	stored, refusal := e.claim(ctx, q)
	if refusal != nil {
		return refusal
	}
	if stored != nil {
		writeStored(w, stored)
		return nil
	}
	setWriteDeadline(w, q)
	if f.stream {
		return e.streamCompletion(ctx, w, q, f)
	}
	res, refusal := e.dispatch(ctx, q, &bufferedSink{w: w})
	if refusal != nil {
		e.settle(q, refusal, nil)
		return refusal
	}
	body := f.body(q.output, res)
	e.settle(q, nil, &fighollow.StoredResponse{Status: http.StatusOK, ContentType: contentTypeJSON, Body: body})
	w.Header().Set("Content-Type", contentTypeJSON)
	w.Write(body)
	return nil
}

func (e *Entry) streamCompletion(ctx context.Context, w http.ResponseWriter, q *request, f *completionFormat) *fighollow.Refusal {
	out := &eventSink{w: w, rc: http.NewResponseController(w), f: f}
	res, refusal := e.dispatch(ctx, q, out)
	if refusal != nil {
		e.settle(q, refusal, nil)
		if !out.started {
			return refusal
		}
		e.metrics.countRefusal(refusal)
		out.buf = append(out.buf, "data: "...)
		out.buf = append(out.buf, encodeRefusal(refusal)...)
		out.buf = append(out.buf, "\n\n"...)
		_ = out.flush() // an error means that the caller has left
		return nil
	}
	if q.key != "" && len(q.output) <= maxStoredResponseBytes {
		body := f.closingEvents(f.event(nil, q.output), res)
		e.settle(q, nil, &fighollow.StoredResponse{Status: http.StatusOK, ContentType: contentTypeEventStream, Body: body})
	} else {
		e.settle(q, nil, nil)
	}
	out.buf = f.closingEvents(out.appendPartialRune(), res)
	_ = out.flush() // an error means that the caller has left
	return nil
}

// setWriteDeadline limits the time for which a caller that does not read can block its request.
func setWriteDeadline(w http.ResponseWriter, q *request) {
	// Only connections in tests do not support deadlines. The attempts still end at the request's deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(q.deadline.Add(writeGracePeriod))
}

// bufferedSink is the sink of completions that are not streamed. It writes nothing: the text collects in request.output.
type bufferedSink struct{ w http.ResponseWriter }

func (s *bufferedSink) accepted(upstream string) { s.w.Header().Set(headerUpstream, upstream) }
func (s *bufferedSink) head(*link.Head) error    { return errUnexpectedHead }
func (s *bufferedSink) chunk([]byte) error       { return nil }
func (s *bufferedSink) flush() error             { return nil }
func (s *bufferedSink) committed() bool          { return false }

// eventSink writes the answer as server-sent events.
type eventSink struct {
	w           http.ResponseWriter
	rc          *http.ResponseController
	f           *completionFormat
	buf         []byte
	partialRune []byte // the first bytes of a character that is not complete yet
	started     bool
}

func (s *eventSink) accepted(upstream string) {
	if !s.started {
		s.w.Header().Set(headerUpstream, upstream)
	}
}

func (s *eventSink) head(*link.Head) error { return errUnexpectedHead }

func (s *eventSink) chunk(data []byte) error {
	if len(s.partialRune) > 0 {
		data = append(s.partialRune, data...)
		s.partialRune = nil
	}
	if n := partialRuneLen(data); n > 0 {
		s.partialRune = append([]byte(nil), data[len(data)-n:]...)
		data = data[:len(data)-n]
	}
	if len(data) == 0 {
		return nil
	}
	s.buf = s.f.event(s.buf, data)
	if len(s.buf) >= maxUnflushedBytes {
		return s.flush()
	}
	return nil
}

// appendPartialRune returns the buffer with the bytes of a character that was never completed.
func (s *eventSink) appendPartialRune() []byte {
	if len(s.partialRune) > 0 {
		s.buf = s.f.event(s.buf, s.partialRune)
		s.partialRune = nil
	}
	return s.buf
}

// committed returns false because another engine can continue the text from the offset.
func (s *eventSink) committed() bool { return false }

func (s *eventSink) flush() error {
	if !s.started {
		s.started = true
		h := s.w.Header()
		h.Set("Content-Type", contentTypeEventStream)
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
