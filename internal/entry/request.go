package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/routing"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// maxAttempts limits the attempts of one request that reach an upstream. A prefill and its decode count as one.
	maxAttempts = 3
	// maxFailedDials limits the upstreams that could not be reached for one request. They do not count as attempts because
	// no call was sent.
	maxFailedDials = 8
)

// request is one caller's request and the state of its dispatch.
type request struct {
	info       *requestInfo
	kind       link.CallKind
	deadline   time.Time
	key        string
	idempotent bool
	generate   fighollow.GenerateRequest
	service    fighollow.ServiceRequest
	route      routing.Request

	attempts    int
	failedDials int
	calls       int                      // number of calls sent, from which attempt ids are made
	callPhases  []fighollow.RequestPhase // phases of these calls
	offset      uint64                   // tokens (generate) or bytes (service) passed to the sink
	output      []byte                   // generate only: the output up to offset
	mayHaveRun  *fighollow.Refusal       // refusal of the first attempt that may have run, or nil
}

// answerSink receives the parts of an answer in order.
type answerSink interface {
	// accepted is called with the id of the upstream that accepted the attempt.
	accepted(upstream string)
	// head receives the status and headers of a plain service's answer.
	head(h *link.Head) error
	// chunk receives a piece of the answer, which it may buffer until flush.
	chunk(data []byte) error
	// flush writes buffered parts to the caller. It is called when no further message has arrived.
	flush() error
	// committed reports whether the part of the answer that was sent rules out a continuation by another upstream.
	committed() bool
}

// errCallerLeft is returned when the caller's connection is broken.
var errCallerLeft = errors.New("entry: the caller has left")

func newID() string { return rand.Text() }

// dispatch makes attempts until one completes the request, no retry is allowed, or the deadline passes. The refusal is nil
// if the whole answer was passed to out.
func (e *Entry) dispatch(ctx context.Context, q *request, out answerSink) (*fighollow.GenerateResult, *fighollow.Refusal) {
	if !time.Now().Before(q.deadline) {
		return nil, notRun(fighollow.CodeTooLate, "the deadline has passed")
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	e.balancer.countRequest()
	last := notRun(fighollow.CodeNoUpstream, "no upstream serves this target now")
	for {
		d, ok := e.choose(q)
		if !ok {
			break
		}
		res, refusal := e.runDecision(ctx, q, d, out)
		if refusal == nil {
			return res, nil
		}
		last = refusal
		if refusal.Outcome != fighollow.OutcomeNotRun && q.mayHaveRun == nil {
			q.mayHaveRun = refusal
		}
		if !e.mayRetry(ctx, q, refusal, out) {
			break
		}
	}
	refusal := q.finalRefusal(last)
	event.RequestFailed.Log(&e.log).Str("request", q.info.id).Str("workspace", q.info.workspace.Name).
		Str("code", string(refusal.Code)).Str("outcome", string(refusal.Outcome)).Int("attempts", q.attempts).
		Uint64("offset", q.offset).Str("message", refusal.Message).Send()
	return nil, refusal
}

// choose selects the upstream for the next attempt and logs the decision.
func (e *Entry) choose(q *request) (routing.Decision, bool) {
	d, ok := e.balancer.choose(&q.route)
	if !ok {
		event.RouteMissing.Log(&e.log).Str("request", q.info.id).Str("target", q.route.Target.Name).
			Int("attempt", q.attempts+1).Strs("tried", q.route.Tried).Send()
		return d, false
	}
	event.RouteChosen.Log(&e.log).Str("request", q.info.id).Str("target", q.route.Target.Name).
		Str("upstream", d.Upstream.ID).Str("phase", string(d.Phase)).Str("reason", string(d.Reason)).
		Int("attempt", q.attempts+1).Int("cached", d.Cached).Float64("costMs", d.CostMs).Send()
	return d, true
}

// mayRetry reports whether another attempt may follow a failed one. If so, it has taken the retry from the retry budget.
func (e *Entry) mayRetry(ctx context.Context, q *request, r *fighollow.Refusal, out answerSink) bool {
	failure := r.Outcome != fighollow.OutcomeNotRun
	switch {
	case ctx.Err() != nil, q.attempts >= maxAttempts, q.failedDials >= maxFailedDials:
		return false
	case failure && (!q.idempotent || out.committed()):
		return false
	}
	switch r.Code {
	case fighollow.CodeBadRequest, fighollow.CodeTooLarge, fighollow.CodeUnauthorised, fighollow.CodeCancelled:
		return false
	case fighollow.CodeDraining, fighollow.CodeStopping, fighollow.CodeNotReady, fighollow.CodeNoUpstream:
		failure = true
	}
	if !e.balancer.takeRetry(failure) {
		return false
	}
	e.metrics.retries.Inc(1)
	return true
}

// finalRefusal returns the refusal for the caller, given that of the last attempt. Its outcome is not run only if no
// attempt of the request may have run.
func (q *request) finalRefusal(last *fighollow.Refusal) *fighollow.Refusal {
	r := *last
	if r.Outcome == fighollow.OutcomeNotRun && q.mayHaveRun != nil {
		r = *q.mayHaveRun
	}
	if r.Outcome != fighollow.OutcomeNotRun {
		r.Outcome = fighollow.OutcomeUnknown
		if statusOf(r.Code) != statusOutcomeUnknown && r.Code != fighollow.CodeCancelled {
			r.Message += " (" + string(r.Code) + ")"
			r.Code = fighollow.CodeUpstreamFailed
		}
		r.RetryAfterMs = 0
		if q.idempotent {
			r.RetryAfterMs = defaultRetryAfterMs
		}
		return &r
	}
	if r.Code == fighollow.CodeDeadline {
		r.Code = fighollow.CodeTooLate
	} else if statusOf(r.Code) == statusOutcomeUnknown {
		r.Code = fighollow.CodeNotReady
	}
	if r.RetryAfterMs == 0 && retryable(r.Code) {
		r.RetryAfterMs = defaultRetryAfterMs
	}
	return &r
}
