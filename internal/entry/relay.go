package entry

import (
	"context"
	"errors"
	"net/http"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Faults of a plain service's answer.
var (
	errNoHead = errors.New("the upstream sent a body without a status")
	errStatus = errors.New("the upstream sent an impossible status")
)

// relay runs a call of a plain service and passes its answer on.
func (e *Entry) relay(ctx context.Context, w http.ResponseWriter, q *request) *fighollow.Refusal {
	stored, refusal := e.claim(ctx, q)
	if refusal != nil {
		return refusal
	}
	if stored != nil {
		writeStored(w, stored)
		return nil
	}
	boundWrites(w, q)
	out := &relaySink{w: w, rc: http.NewResponseController(w), keep: q.key != ""}
	_, refusal = e.run(ctx, q, out)
	if refusal == nil && !out.started {
		refusal = fighollow.UnknownRefusal(fighollow.CodeUpstreamFailed, "the upstream finished without a status")
	}
	e.settle(q, refusal, out.stored())
	if refusal == nil || !out.started {
		return refusal
	}
	e.metrics.refusal(refusal)
	// The status is decided; only a broken connection shows that the body is not complete.
	_ = out.flush() // an error means that the caller has left
	panic(http.ErrAbortHandler)
}

// relaySink passes the answer of a plain service on.
type relaySink struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	started bool
	status  int
	keep    bool // the body, for a repeat of the key
	body    []byte
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
	for k, v := range passOn(h.Header) {
		to[k] = v
	}
	s.w.WriteHeader(h.Status)
	return nil
}

func (s *relaySink) chunk(data []byte) error {
	if !s.started {
		return errNoHead
	}
	if s.keep && len(s.body) <= maxStoredBytes {
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

func (s *relaySink) stored() *fighollow.StoredAnswer {
	return &fighollow.StoredAnswer{Status: s.status, ContentType: s.w.Header().Get("Content-Type"), Body: s.body}
}
