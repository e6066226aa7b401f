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

// ServeCall implements link.Handler. It admits a new attempt, or finds the one to resume, and relays its answer.
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
		s.metrics.addRefused(refusal.Code)
		event.AttemptRefused.Log(&s.log).Str("attempt", call.Attempt).Str("code", string(refusal.Code)).
			Str("outcome", string(refusal.Outcome)).Bool("resume", call.Resume).Send()
		// An entry that does not receive the refusal repeats the call with Resume.
		_ = st.Refuse(*refusal, load)
		return
	}
	relay := a.beginRelay()
	err := st.Accept(load)
	if err == nil {
		err = s.relay(ctx, a, relay, call.Offset, st)
	}
	if errors.Is(err, errReplaced) {
		// An entry that still receives this has already resumed the attempt over another stream.
		_ = st.Finish(link.Finish{Outcome: fighollow.OutcomeUnknown, Load: s.load(), Refusal: &fighollow.Refusal{
			Code: fighollow.CodeOutcomeUnknown, Message: "the attempt was resumed over another stream", Outcome: fighollow.OutcomeUnknown,
		}})
	}
	s.relayEnded(a, relay, err)
}

// admit starts or queues a new attempt, or refuses it. An id that was refused or used before is refused again, so that
// each attempt runs at most once.
func (s *Sidecar) admit(call *link.Call) (*attempt, *fighollow.Refusal) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts[call.Attempt] != nil || s.ids.get(call.Attempt) == mayHaveRun {
		return nil, &fighollow.Refusal{Code: fighollow.CodeBadRequest, Message: "attempt id was used before", Outcome: fighollow.OutcomeUnknown}
	}
	if s.ids.get(call.Attempt) == blocked {
		return nil, notRun(fighollow.CodeBadRequest, "attempt id was given up before")
	}
	refusal := s.checkTarget(call)
	if refusal == nil {
		if refusal = s.enqueue(now, call); refusal != nil {
			s.counts.addRefused(call)
		}
	}
	if refusal != nil {
		s.ids.set(now, call.Attempt, blocked)
		return nil, refusal
	}
	return s.attempts[call.Attempt], nil
}

// enqueue offers the attempt to the admission queue and, unless it is refused, starts its goroutine. s.mu must be held.
func (s *Sidecar) enqueue(now time.Time, call *link.Call) *fighollow.Refusal {
	t := admission.Ticket{ID: call.Attempt, Worth: call.Worth, Deadline: deadline(call, now)}
	if g := call.Generate; g != nil {
		t.Cost, t.PromptTokens = s.costs.estimate(now, g, s.model(g.Model)), g.PromptTokens
	}
	d := s.queue.Offer(now, t)
	if d.Verdict == admission.Refused {
		return d.Refusal
	}
	a := newAttempt(call, now)
	s.attempts[call.Attempt] = a
	if d.Evicted != nil {
		s.dropQueued(*d.Evicted)
	}
	if d.Verdict == admission.Started {
		close(a.start)
	}
	s.awaitPermit(now)
	s.metrics.accepted.Inc(1)
	go s.runAttempt(a)
	return nil
}

// model returns the definition of a model, or the zero value if there is no readable one.
func (s *Sidecar) model(name string) (m fighollow.Model) {
	if _, err := s.cat.Decode(fighollow.KindModel, name, &m); err != nil {
		s.logInvalidObject(err)
	}
	return m
}

const defaultTimeout = 24 * time.Hour // for calls without a deadline

func deadline(call *link.Call, now time.Time) time.Time {
	if call.Deadline == 0 {
		return now.Add(defaultTimeout)
	}
	return time.UnixMilli(call.Deadline)
}

// checkTarget refuses a call that this upstream cannot serve: one of another kind or, while the gate is open, for
// another model. s.mu must be held.
func (s *Sidecar) checkTarget(call *link.Call) *fighollow.Refusal {
	switch {
	case call.Attempt == "":
		return notRun(fighollow.CodeBadRequest, "no attempt id")
	case s.engine == nil && call.Kind == link.CallService && call.Service != nil && call.Generate == nil:
		return nil
	case s.engine == nil || call.Kind != link.CallGenerate || call.Generate == nil || call.Service != nil:
		return notRun(fighollow.CodeNoUpstream, "not an upstream for this kind of call")
	}
	state, known := s.machine.State()
	if s.queue.Gate() == admission.Open && known && state.Assignment.Model != call.Generate.Model {
		return notRun(fighollow.CodeNoUpstream, "engine serves model "+state.Assignment.Model)
	}
	return nil
}

const notRunRetryMs = 1000

func notRun(code fighollow.Code, message string) *fighollow.Refusal {
	return &fighollow.Refusal{Code: code, Message: message, Outcome: fighollow.OutcomeNotRun, RetryAfterMs: notRunRetryMs}
}

// resume returns the attempt of an earlier call. If no call of its id was accepted, it blocks the id, so that a delayed
// call cannot run after the entry was told that the attempt has not run.
func (s *Sidecar) resume(call *link.Call) (*attempt, *fighollow.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unknown := &fighollow.Refusal{Code: fighollow.CodeOutcomeUnknown, Outcome: fighollow.OutcomeUnknown}
	if a := s.attempts[call.Attempt]; a != nil {
		if !a.canResumeAt(call.Offset) {
			unknown.Message = "the answer from this offset is not kept"
			return nil, unknown
		}
		s.metrics.resumed.Inc(1)
		return a, nil
	}
	switch {
	case s.ids.get(call.Attempt) == mayHaveRun:
		unknown.Message = "the attempt ran and its answer is not kept"
		return nil, unknown
	case s.ids.get(call.Attempt) == unseen && s.mayPredateProcess(call):
		unknown.Message = "the attempt was sent to an earlier process"
		return nil, unknown
	}
	s.ids.set(time.Now(), call.Attempt, blocked)
	return nil, notRun(fighollow.CodeOutcomeUnknown, "the attempt was never accepted")
}

// relay sends the answer of a from offset on, up to its Finish. Errors: link.ErrCancelled, link.ErrClosed, errReplaced.
func (s *Sidecar) relay(ctx context.Context, a *attempt, relay int, offset uint64, st *link.ServerStream) error {
	offset = max(offset, uint64(a.startOffset()))
	headSent := offset > 0
	for {
		item, ok, err := a.nextItem(ctx, relay, headSent, offset)
		switch {
		case err != nil:
			return err
		case !ok:
			return errReplaced
		case item.head != nil:
			err, headSent = st.Head(item.head.Status, item.head.Header), true
		case item.finish != nil:
			f := *item.finish
			f.Load, f.End = s.load(), a.received()
			return st.Finish(f)
		default:
			err = st.Chunk(offset, item.units, item.chunk)
			offset += uint64(item.units)
			if err == nil {
				a.advanceSent(offset)
			}
		}
		if err != nil {
			return err
		}
	}
}

// errReplaced is the error of a relay whose attempt was resumed over another stream.
var errReplaced = errors.New("sidecar: relay replaced")

// relayEnded handles the end of a relay. A cancelled attempt is aborted at once. Otherwise its answer can be resumed
// for the resume window; after it, an attempt that still runs is aborted. The end of a replaced relay changes nothing.
func (s *Sidecar) relayEnded(a *attempt, relay int, err error) {
	window := time.Duration(s.cfg.ResumeWindowMs) * time.Millisecond
	switch {
	case err == nil:
		// The answer stays resumable: its last messages can still be lost with the link.
		a.setRelayed()
		a.expireAfter(relay, window, func() { s.remove(a) })
	case errors.Is(err, errReplaced):
	case errors.Is(err, link.ErrCancelled):
		a.cancel(link.ErrCancelled)
		s.remove(a)
	default:
		event.AttemptDetached.Log(&s.log).Str("attempt", a.call.Attempt).Err(err).Send()
		a.expireAfter(relay, window, func() {
			a.cancel(errNotResumed)
			s.remove(a)
		})
	}
}

var errNotResumed = errors.New("sidecar: no resume within the window")
