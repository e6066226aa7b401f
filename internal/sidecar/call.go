package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/fighollow/fighollow/internal/admission"
	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// ServeCall implements link.Handler.
func (s *Sidecar) ServeCall(ctx context.Context, call *link.Call, st *link.ServerStream) {
	var a *attempt
	var refusal *fighollow.Refusal
	if call.Resume {
		a, refusal = s.resume(call)
	} else {
		a, refusal = s.admit(call)
	}
	load := s.load()
	if refusal != nil {
		s.metrics.refused(refusal.Code)
		event.AttemptRefused.Log(&s.log).Str("attempt", call.Attempt).Str("code", string(refusal.Code)).
			Str("outcome", string(refusal.Outcome)).Bool("resume", call.Resume).Send()
		// The entry that does not get the refusal asks again with Resume.
		_ = st.Refuse(*refusal, load)
		return
	}
	n := a.relay()
	err := st.Accept(load)
	if err == nil {
		err = s.relay(ctx, a, n, call.Offset, st)
	}
	if errors.Is(err, errReplaced) {
		// The entry has turned to another stream, if this one still reaches it.
		_ = st.Finish(link.Finish{Outcome: fighollow.Unknown, Load: s.load(), Refusal: &fighollow.Refusal{
			Code: fighollow.CodeOutcomeUnknown, Message: "the attempt was resumed over another stream", Outcome: fighollow.Unknown,
		}})
	}
	s.relayEnded(a, n, err)
}

// admit decides about a new attempt and starts it or queues it.
func (s *Sidecar) admit(call *link.Call) (*attempt, *fighollow.Refusal) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[call.Attempt] != nil || s.fates.get(call.Attempt) == ran {
		return nil, &fighollow.Refusal{Code: fighollow.CodeBadRequest, Message: "attempt id was used before", Outcome: fighollow.Unknown}
	}
	if s.fates.get(call.Attempt) == barred {
		return nil, notRun(fighollow.CodeBadRequest, "attempt id was given up before")
	}
	refusal := s.fits(call)
	if refusal == nil {
		if refusal = s.offer(now, call); refusal != nil {
			s.counts.refused(call)
		}
	}
	if refusal != nil {
		s.fates.set(now, call.Attempt, barred)
		return nil, refusal
	}
	return s.held[call.Attempt], nil
}

// offer asks for a slot. s.mu is held.
func (s *Sidecar) offer(now time.Time, call *link.Call) *fighollow.Refusal {
	t := admission.Ticket{ID: call.Attempt, Worth: call.Worth, Deadline: deadline(call, now)}
	if g := call.Generate; g != nil {
		t.Cost, t.PromptTokens = s.pace.cost(now, g, s.model(g.Model)), g.PromptTokens
	}
	d := s.admission.Offer(now, t)
	if d.Verdict == admission.Refused {
		return d.Refusal
	}
	a := newAttempt(call, now)
	s.held[call.Attempt] = a
	if d.Evicted != nil {
		s.giveUp(*d.Evicted)
	}
	if d.Verdict == admission.Started {
		close(a.start)
	}
	s.metrics.accepted.Inc(1)
	go s.work(a)
	return nil
}

// model returns the definition of a model, or the zero value.
func (s *Sidecar) model(name string) (m fighollow.Model) {
	if _, err := s.cat.Decode(fighollow.KindModel, name, &m); err != nil {
		s.objectInvalid(err)
	}
	return m
}

const noDeadline = 24 * time.Hour

func deadline(call *link.Call, now time.Time) time.Time {
	if call.Deadline == 0 {
		return now.Add(noDeadline)
	}
	return time.UnixMilli(call.Deadline)
}

// fits checks that the call is for what stands beside this sidecar. s.mu is held.
func (s *Sidecar) fits(call *link.Call) *fighollow.Refusal {
	switch {
	case call.Attempt == "":
		return notRun(fighollow.CodeBadRequest, "no attempt id")
	case s.engine == nil && call.Kind == link.CallService && call.Service != nil && call.Generate == nil:
		return nil
	case s.engine == nil || call.Kind != link.CallGenerate || call.Generate == nil || call.Service != nil:
		return notRun(fighollow.CodeNoUpstream, "not an upstream for this kind of call")
	}
	state, seen := s.machine.State()
	if s.admission.Gate() == admission.Open && seen && state.Assignment.Model != call.Generate.Model {
		return notRun(fighollow.CodeNoUpstream, "engine serves model "+state.Assignment.Model)
	}
	return nil
}

const misdirectedRetryMs = 1000

func notRun(code fighollow.Code, message string) *fighollow.Refusal {
	return &fighollow.Refusal{Code: code, Message: message, Outcome: fighollow.NotRun, RetryAfterMs: misdirectedRetryMs}
}

// resume finds the attempt of an earlier call, or bars its id for ever.
func (s *Sidecar) resume(call *link.Call) (*attempt, *fighollow.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unknown := &fighollow.Refusal{Code: fighollow.CodeOutcomeUnknown, Outcome: fighollow.Unknown}
	if a := s.held[call.Attempt]; a != nil {
		if !a.holds(call.Offset) {
			unknown.Message = "the answer from this offset is not kept"
			return nil, unknown
		}
		s.metrics.resumed.Inc(1)
		return a, nil
	}
	switch {
	case s.fates.get(call.Attempt) == ran:
		unknown.Message = "the attempt ran and its answer is not kept"
		return nil, unknown
	case s.fates.get(call.Attempt) == unseen && s.predates(call):
		unknown.Message = "the attempt was sent to an earlier process"
		return nil, unknown
	}
	s.fates.set(time.Now(), call.Attempt, barred)
	return nil, notRun(fighollow.CodeOutcomeUnknown, "the attempt was never accepted")
}

// relay sends the answer of a from offset on until its end. Errors: link.ErrCancelled, link.ErrClosed, errReplaced.
func (s *Sidecar) relay(ctx context.Context, a *attempt, n int, offset uint64, st *link.ServerStream) error {
	offset = max(offset, uint64(a.firstOffset()))
	headSent := offset > 0
	for {
		p, ok, err := a.take(ctx, n, headSent, offset)
		switch {
		case err != nil:
			return err
		case !ok:
			return errReplaced
		case p.head != nil:
			err, headSent = st.Head(p.head.Status, p.head.Header), true
		case p.finish != nil:
			f := *p.finish
			f.Load = s.load()
			return st.Finish(f)
		default:
			err = st.Chunk(offset, p.units, p.chunk)
			offset += uint64(p.units)
			if err == nil {
				a.noteSent(offset)
			}
		}
		if err != nil {
			return err
		}
	}
}

// errReplaced ends a relay whose attempt was resumed over another link.
var errReplaced = errors.New("sidecar: relay replaced")

// relayEnded decides what becomes of an attempt without a relay.
func (s *Sidecar) relayEnded(a *attempt, n int, err error) {
	window := time.Duration(s.cfg.ResumeWindowMs) * time.Millisecond
	switch {
	case err == nil:
		// The last messages can still be lost with the link.
		a.setWhole()
		a.expire(n, window, func() { s.forget(a) })
	case errors.Is(err, errReplaced):
	case errors.Is(err, link.ErrCancelled):
		a.abort(link.ErrCancelled)
		s.forget(a)
	default:
		event.AttemptDetached.Log(&s.log).Str("attempt", a.call.Attempt).Err(err).Send()
		a.expire(n, window, func() {
			a.abort(errAbandoned)
			s.forget(a)
		})
	}
}

var errAbandoned = errors.New("sidecar: no resume within the window")
