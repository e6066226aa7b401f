package entry

import (
	"context"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/routing"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// round follows one decision: a whole request, or a prefill and the decode that imports its KV cache.
func (e *Entry) round(ctx context.Context, q *request, d routing.Decision, out sink) (*fighollow.GenerateResult, *fighollow.Refusal) {
	if d.Phase != fighollow.RequestPrefill {
		a := &attempt{e: e, q: q, u: d.Upstream, out: out, phase: d.Phase, cached: d.Cached}
		return e.whole(ctx, a)
	}
	a := &attempt{e: e, q: q, u: d.Upstream, out: prefillSink{}, phase: fighollow.RequestPrefill, cached: d.Cached}
	res, refusal := e.whole(ctx, a)
	if refusal != nil {
		return nil, refusal
	}
	if q.mayRun == nil {
		q.mayRun = fighollow.UnknownRefusal(fighollow.CodeUpstreamFailed, "the prompt was computed, but no upstream generated the answer")
	}
	// Whatever happens to the decode, the next attempt is a whole request elsewhere.
	q.route.NoSplit = true
	if res == nil || res.KV == nil {
		return nil, notRun(fighollow.CodeNoUpstream, "the prefill engine exported no cache")
	}
	return e.decode(ctx, q, res.KV, d.Upstream.DataCentre, out)
}

func (e *Entry) decode(ctx context.Context, q *request, kv *fighollow.KVRef, near string, out sink) (*fighollow.GenerateResult, *fighollow.Refusal) {
	q.route.Decode, q.route.PreferredDataCentre = true, near
	q.attempts-- // the prefill and its decode are one attempt
	d, ok := e.choose(q)
	q.route.Decode, q.route.PreferredDataCentre = false, ""
	if !ok {
		q.attempts++
		return nil, notRun(fighollow.CodeNoUpstream, "no upstream imports the cache now")
	}
	return e.whole(ctx, &attempt{e: e, q: q, u: d.Upstream, out: out, phase: fighollow.RequestDecode, kv: kv})
}

// whole runs one attempt and keeps its upstream from being chosen again for the request.
func (e *Entry) whole(ctx context.Context, a *attempt) (*fighollow.GenerateResult, *fighollow.Refusal) {
	res, refusal := a.run(ctx)
	if refusal != nil {
		a.q.route.Tried = append(a.q.route.Tried, a.u.ID)
	}
	return res, refusal
}

// prefillSink is for attempts that have no output.
type prefillSink struct{}

func (prefillSink) accepted(string)       {}
func (prefillSink) head(*link.Head) error { return errHead }
func (prefillSink) chunk([]byte) error    { return errOutput }
func (prefillSink) flush() error          { return nil }
func (prefillSink) committed() bool       { return false }
