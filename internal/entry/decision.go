package entry

import (
	"context"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/routing"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// runDecision carries out one routing decision: a whole request, or a prefill and the decode that imports its KV cache.
func (e *Entry) runDecision(ctx context.Context, q *request, d routing.Decision, out answerSink) (*fighollow.GenerateResult, *fighollow.Refusal) {
	if d.Phase != fighollow.RequestPrefill {
		a := &attempt{e: e, q: q, u: d.Upstream, out: out, phase: d.Phase, cached: d.Cached}
		return e.runAttempt(ctx, a)
	}
	a := &attempt{e: e, q: q, u: d.Upstream, out: prefillSink{}, phase: fighollow.RequestPrefill, cached: d.Cached}
	res, refusal := e.runAttempt(ctx, a)
	if refusal != nil {
		return nil, refusal
	}
	if q.mayHaveRun == nil {
		q.mayHaveRun = fighollow.UnknownRefusal(fighollow.CodeUpstreamFailed, "the prompt was computed, but no upstream generated the answer")
	}
	// If the decode fails, the next attempt is a whole request on another upstream.
	q.route.NoSplit = true
	if res == nil || res.KV == nil {
		return nil, notRun(fighollow.CodeNoUpstream, "the prefill engine exported no cache")
	}
	return e.runDecode(ctx, q, res.KV, d.Upstream.DataCentre, out)
}

// runDecode runs the decode phase with an exported KV cache, preferably in the data centre of the prefill engine.
func (e *Entry) runDecode(ctx context.Context, q *request, kv *fighollow.KVRef, dataCentre string, out answerSink) (*fighollow.GenerateResult, *fighollow.Refusal) {
	q.route.Decode, q.route.PreferredDataCentre = true, dataCentre
	q.attempts-- // a prefill and its decode count as one attempt
	d, ok := e.choose(q)
	q.route.Decode, q.route.PreferredDataCentre = false, ""
	if !ok {
		q.attempts++
		return nil, notRun(fighollow.CodeNoUpstream, "no upstream imports the cache now")
	}
	return e.runAttempt(ctx, &attempt{e: e, q: q, u: d.Upstream, out: out, phase: fighollow.RequestDecode, kv: kv})
}

// runAttempt runs one attempt. If it fails, its upstream is excluded from further attempts of the request.
func (e *Entry) runAttempt(ctx context.Context, a *attempt) (*fighollow.GenerateResult, *fighollow.Refusal) {
	res, refusal := a.run(ctx)
	if refusal != nil {
		a.q.route.Tried = append(a.q.route.Tried, a.u.ID)
	}
	return res, refusal
}

// prefillSink is the sink of prefill attempts, which have no output.
type prefillSink struct{}

func (prefillSink) accepted(string)       {}
func (prefillSink) head(*link.Head) error { return errUnexpectedHead }
func (prefillSink) chunk([]byte) error    { return errUnexpectedOutput }
func (prefillSink) flush() error          { return nil }
func (prefillSink) committed() bool       { return false }
