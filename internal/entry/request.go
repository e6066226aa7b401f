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
	// maxAttempts bounds the calls of one request that reach an upstream; a prefill and its decode count as one.
	maxAttempts = 3
	// maxDials bounds the upstreams that could not be reached, which are not attempts because nothing was sent.
	maxDials = 8
)

// request is one caller's request on its way through the attempts.
type request struct {
	caller     *caller
	kind       link.CallKind
	deadline   time.Time
	key        string
	idempotent bool
	generate   fighollow.GenerateRequest
	call       fighollow.ServiceRequest
	route      routing.Request

	attempts int
	dials    int
	sent     int                      // calls, to number the attempt ids
	phases   []fighollow.RequestPhase // of these calls
	offset   uint64                   // tokens or bytes that went to the sink
	text     []byte                   // generate: the output up to offset
	mayRun   *fighollow.Refusal       // the first failure after which work may have happened
}

// sink takes the parts of an answer in their order.
type sink interface {
	// accepted names the upstream that took the attempt.
	accepted(upstream string)
	// head takes the status of a plain service's answer.
	head(h *link.Head) error
	// chunk takes a piece of the answer; it may keep it back until flush.
	chunk(data []byte) error
	// flush is called when no more parts are waiting.
	flush() error
	// committed reports whether another upstream's answer could no longer take this one's place.
	committed() bool
}

// errCallerLeft says that the caller's connection broke.
var errCallerLeft = errors.New("entry: the caller has left")

func newID() string { return rand.Text() }

// run makes attempts until one completes the request, none may follow, or the deadline passes. The refusal is nil
// when the whole answer went to out.
func (e *Entry) run(ctx context.Context, q *request, out sink) (*fighollow.GenerateResult, *fighollow.Refusal) {
	if !time.Now().Before(q.deadline) {
		return nil, notRun(fighollow.CodeTooLate, "the deadline has passed")
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	e.balance.request()
	last := notRun(fighollow.CodeNoUpstream, "no upstream serves this target now")
	for {
		d, ok := e.choose(q)
		if !ok {
			break
		}
		res, refusal := e.round(ctx, q, d, out)
		if refusal == nil {
			return res, nil
		}
		last = refusal
		if refusal.Outcome != fighollow.NotRun && q.mayRun == nil {
			q.mayRun = refusal
		}
		if !e.mayRepeat(ctx, q, refusal, out) {
			break
		}
	}
	refusal := q.verdict(last)
	event.RequestFailed.Log(&e.log).Str("request", q.caller.id).Str("workspace", q.caller.workspace.Name).
		Str("code", string(refusal.Code)).Str("outcome", string(refusal.Outcome)).Int("attempts", q.attempts).
		Uint64("offset", q.offset).Str("message", refusal.Message).Send()
	return nil, refusal
}

// choose picks the upstream of the next attempt and logs the decision.
func (e *Entry) choose(q *request) (routing.Decision, bool) {
	d, ok := e.balance.choose(&q.route)
	if !ok {
		event.RouteMissing.Log(&e.log).Str("request", q.caller.id).Str("target", q.route.Target.Name).
			Int("attempt", q.attempts+1).Strs("tried", q.route.Tried).Send()
		return d, false
	}
	event.RouteChosen.Log(&e.log).Str("request", q.caller.id).Str("target", q.route.Target.Name).
		Str("upstream", d.Upstream.ID).Str("phase", string(d.Phase)).Str("reason", string(d.Reason)).
		Int("attempt", q.attempts+1).Int("cached", d.Cached).Float64("costMs", d.CostMs).Send()
	return d, true
}

// mayRepeat reports whether another attempt may follow a failed one, and takes it from the retry budget.
func (e *Entry) mayRepeat(ctx context.Context, q *request, r *fighollow.Refusal, out sink) bool {
	failure := r.Outcome != fighollow.NotRun
	switch {
	case ctx.Err() != nil, q.attempts >= maxAttempts, q.dials >= maxDials:
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
	if !e.balance.retry(failure) {
		return false
	}
	e.metrics.retries.Inc(1)
	return true
}

// verdict returns the refusal for the caller. A request of which any attempt may have run was not "not run", whatever its
// last attempt says.
func (q *request) verdict(last *fighollow.Refusal) *fighollow.Refusal {
	r := *last
	if r.Outcome == fighollow.NotRun && q.mayRun != nil {
		r = *q.mayRun
	}
	if r.Outcome != fighollow.NotRun {
		r.Outcome = fighollow.Unknown
		if statusOf(r.Code) != statusUnknown && r.Code != fighollow.CodeCancelled {
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
	} else if statusOf(r.Code) == statusUnknown {
		r.Code = fighollow.CodeNotReady
	}
	if r.RetryAfterMs == 0 && canHelp(r.Code) {
		r.RetryAfterMs = defaultRetryAfterMs
	}
	return &r
}
