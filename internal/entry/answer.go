package entry

import (
	"context"
	"errors"
	"net/http"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

var errHead = errors.New("the engine sent a service's status")

// answer runs a completion and writes its answer.
func (e *Entry) answer(ctx context.Context, w http.ResponseWriter, q *request, f *completionFormat) *fighollow.Refusal {
	if !f.stream {
		return e.answerWhole(ctx, w, q, f)
	}
	out := &eventSink{w: w, rc: http.NewResponseController(w), f: f}
	res, refusal := e.run(ctx, q, out)
	if refusal != nil && !out.started {
		return refusal
	}
	out.start()
	if refusal != nil {
		out.buf = append(out.buf, "data: "...)
		out.buf = append(out.buf, encodeRefusal(refusal)...)
		out.buf = append(out.buf, "\n\n"...)
	} else {
		out.buf = f.end(out.buf, res)
	}
	_ = out.flush() // an error means that the caller has left
	return nil
}

func (e *Entry) answerWhole(ctx context.Context, w http.ResponseWriter, q *request, f *completionFormat) *fighollow.Refusal {
	res, refusal := e.run(ctx, q, &wholeSink{w: w})
	if refusal != nil {
		return refusal
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(f.whole(q.text, res))
	return nil
}

// wholeSink leaves the text with the request until it is complete.
type wholeSink struct{ w http.ResponseWriter }

func (s *wholeSink) accepted(upstream string) { s.w.Header().Set(headerUpstream, upstream) }
func (s *wholeSink) head(*link.Head) error    { return errHead }
func (s *wholeSink) chunk([]byte) error       { return nil }
func (s *wholeSink) flush() error             { return nil }

// eventSink writes server-sent events.
type eventSink struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	f       *completionFormat
	buf     []byte
	started bool
}

func (s *eventSink) accepted(upstream string) {
	if !s.started {
		s.w.Header().Set(headerUpstream, upstream)
	}
}

func (s *eventSink) head(*link.Head) error { return errHead }

func (s *eventSink) chunk(data []byte) error {
	s.buf = s.f.event(s.buf, data)
	return nil
}

func (s *eventSink) start() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *eventSink) flush() error {
	s.start()
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

// relay runs a call of a plain service and passes its answer on.
func (e *Entry) relay(ctx context.Context, w http.ResponseWriter, q *request) *fighollow.Refusal {
	out := &relaySink{w: w, rc: http.NewResponseController(w)}
	_, refusal := e.run(ctx, q, out)
	if refusal == nil || !out.started {
		return refusal
	}
	// The status is already with the caller; only a broken connection shows that the body is not complete.
	panic(http.ErrAbortHandler)
}

// relaySink passes the answer of a plain service on.
type relaySink struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	started bool
}

func (s *relaySink) accepted(upstream string) {
	if !s.started {
		s.w.Header().Set(headerUpstream, upstream)
	}
}

var errSecondHead = errors.New("the service sent two statuses")

func (s *relaySink) head(h *link.Head) error {
	if s.started {
		return errSecondHead
	}
	s.started = true
	to := s.w.Header()
	for k, v := range passOn(h.Header) {
		to[k] = v
	}
	s.w.WriteHeader(h.Status)
	return nil
}

func (s *relaySink) chunk(data []byte) error {
	if !s.started {
		return errors.New("the service sent a body without a status")
	}
	if _, err := s.w.Write(data); err != nil {
		return errCallerLeft
	}
	return nil
}

func (s *relaySink) flush() error {
	if err := s.rc.Flush(); err != nil {
		return errCallerLeft
	}
	return nil
}
