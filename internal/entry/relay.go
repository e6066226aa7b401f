package entry

import (
	"context"
	"errors"
	"net/http"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Protocol errors of a plain service's answer. Their texts reach callers in refusals.
var (
	errNoHead = errors.New("the upstream sent a body without a status")
	errStatus = errors.New("the upstream sent an impossible status")
)

// relayService runs a call of a plain service and relays its answer.
func (e *Entry) relayService(ctx context.Context, w http.ResponseWriter, q *request) *fighollow.Refusal {
	stored, refusal := e.claim(ctx, q)
	if refusal != nil {
		return refusal
	}
	if stored != nil {
		writeStored(w, stored)
		return nil
	}
	setWriteDeadline(w, q)
	out := &relaySink{w: w, rc: http.NewResponseController(w), keepBody: q.key != ""}
	_, refusal = e.dispatch(ctx, q, out)
	if refusal == nil && !out.started {
		refusal = fighollow.UnknownRefusal(fighollow.CodeUpstreamFailed, "the upstream finished without a status")
	}
	e.settle(q, refusal, out.storedAnswer())
	if refusal == nil || !out.started {
		return refusal
	}
	e.metrics.countRefusal(refusal)
	// The status has been sent, so only a broken connection can show the caller that the body is incomplete.
	_ = out.flush() // an error means that the caller has left
	panic(http.ErrAbortHandler)
}

// relaySink writes the answer of a plain service to the caller.
type relaySink struct {
	w        http.ResponseWriter
	rc       *http.ResponseController
	started  bool
	status   int
	keepBody bool // keep the body, to store it for repeats of the idempotency key
	body     []byte
}

func (s *relaySink) accepted(upstream string) {
	if !s.started {
		s.w.Header().Set(headerUpstream, upstream)
	}
}

func (s *relaySink) head(h *link.Head) error {
	if h.Status < http.StatusOK || h.Status > 999 {
		return errStatus
	}
	s.started, s.status = true, h.Status
	to := s.w.Header()
	for k, v := range forwardedHeader(h.Header) {
		to[k] = v
	}
	s.w.WriteHeader(h.Status)
	return nil
}

func (s *relaySink) chunk(data []byte) error {
	if !s.started {
		return errNoHead
	}
	if s.keepBody && len(s.body) <= maxStoredResponseBytes {
		s.body = append(s.body, data...)
	}
	if _, err := s.w.Write(data); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
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

func (s *relaySink) committed() bool { return s.started }

func (s *relaySink) storedAnswer() *fighollow.StoredResponse {
	return &fighollow.StoredResponse{Status: s.status, ContentType: s.w.Header().Get("Content-Type"), Body: s.body}
}
