package sidecar

import (
	"context"
	"errors"
	"io"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const readBufferBytes = 16 << 10

// proxy runs an attempt at the plain service and buffers its answer.
func (s *Sidecar) proxy(a *attempt) {
	res, err := s.service.Do(a.ctx, *a.call.Service)
	a.call.Service.Body = nil // release the body, which can be large and is not used again
	if err != nil {
		s.endFailedProxy(a, err)
		return
	}
	defer res.Body.Close()
	a.setHead(res.Status, res.Header)
	buf := make([]byte, readBufferBytes)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			if err := a.appendBytes(buf[:n]); err != nil {
				s.endFailedProxy(a, err)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			s.mu.Lock()
			s.counts.addCompleted(&a.call, fighollow.GenerateResult{}, 0)
			s.mu.Unlock()
			a.end(link.Finish{Outcome: fighollow.OutcomeCompleted})
			return
		}
		if err != nil {
			s.endFailedProxy(a, err)
			return
		}
	}
}

func (s *Sidecar) endFailedProxy(a *attempt, err error) {
	r := &fighollow.Refusal{
		Code: fighollow.CodeUpstreamFailed, Message: err.Error(), Outcome: fighollow.OutcomeUnknown, RetryAfterMs: upstreamFailedRetryMs,
	}
	switch {
	case errors.Is(err, fighollow.ErrNotRun):
		r.Code, r.Outcome = fighollow.CodeNotReady, fighollow.OutcomeNotRun
	case a.ctx.Err() != nil:
		r.Code, r.Message = fighollow.CodeCancelled, context.Cause(a.ctx).Error()
	}
	event.AttemptFailed.Log(&s.log).Str("attempt", a.call.Attempt).Str("code", string(r.Code)).Str("message", r.Message).Send()
	a.end(link.Finish{Outcome: r.Outcome, Refusal: r})
}
