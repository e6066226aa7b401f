package emulator

import (
	"errors"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// request is one request in progress: a prefill attempt, followed by a decode attempt that imports its KV cache.
type request struct {
	run    *run
	class  RequestClass
	pool   *placement.Pool
	prompt []fighollow.PromptPart
	slo    placement.SLO
	seed   uint64
	result *ClassResult

	failures int      // failed attempts
	tried    []string // ids of the upstreams whose attempts failed
	started  bool     // the first token has arrived
	ended    bool
	attempt  *placement.Attempt // in progress, or nil
	job      *job               // of the attempt in progress
}

func (q *request) tokens() int {
	n := 0
	for _, p := range q.prompt {
		n += p.Tokens
	}
	return n
}

func (q *request) prefill() {
	q.dispatch(fighollow.RequestPrefill, func(ok bool) {
		if ok {
			q.decode()
			return
		}
		q.retry()
	})
}

func (q *request) decode() {
	q.dispatch(fighollow.RequestDecode, func(ok bool) {
		switch {
		case ok:
			q.complete()
		case q.started:
			q.fail()
		default:
			q.retry()
		}
	})
}

// retry restarts the request from its prefill, or fails it after maxAttempts attempts.
func (q *request) retry() {
	q.failures++
	if q.failures >= maxAttempts {
		q.fail()
		return
	}
	q.prefill()
}

// dispatch places an attempt and sends it to the engine that placement chose. done is called when the attempt ends, unless the
// caller has left. If placement refuses the attempt, the request ends and done is not called.
func (q *request) dispatch(phase fighollow.RequestPhase, done func(ok bool)) {
	r := q.run
	query := placement.Query{
		Phase: phase, Prompt: q.prompt, PromptTokens: q.tokens(), Bytes: q.tokens(), Tried: q.tried, Seed: q.seed + uint64(len(q.tried)),
	}
	c, _, err := q.pool.Place(r.Now, &query, q.slo)
	if err != nil {
		if errors.Is(err, placement.ErrTooLate) {
			q.result.Refused++
			q.ended = true
			return
		}
		q.fail()
		return
	}
	a := q.pool.Begin(r.Now, c, query)
	q.attempt = a
	finish := func(result placement.Result, ok bool) {
		if q.ended {
			return
		}
		q.attempt, q.job = nil, nil
		q.pool.End(r.Now, a, result)
		if !ok {
			q.tried = append(q.tried, c.Upstream.ID)
		}
		done(ok)
	}
	j := &job{
		phase: phase, prompt: q.prompt, promptTokens: query.PromptTokens, outputTokens: q.class.OutputTokens, urgency: query.Urgency, fetchFrom: c.FetchFrom,
		onFirstToken: func() { q.recordFirstToken(a) },
		onEnd: func(ok bool) {
			result := placement.Answered
			if !ok {
				result = placement.Failed
			}
			finish(result, ok)
		},
	}
	q.job = j
	r.After(networkDelay, func() {
		if q.ended {
			return
		}
		if !r.byID(c.Upstream.ID).submit(j) {
			finish(placement.Full, false)
		}
	})
}

// recordFirstToken records the arrival of the first token.
func (q *request) recordFirstToken(a *placement.Attempt) {
	if q.ended || q.started {
		return
	}
	q.started, q.slo.Begun = true, true
	q.pool.Started(q.run.Now, a)
	q.result.recordFirst(q.run.Now.Sub(q.slo.Arrived), q.class)
}

func (q *request) complete() {
	q.ended = true
	q.result.Served++
}

func (q *request) fail() {
	q.ended = true
	q.result.Failed++
}

// abandon ends a request whose caller leaves because no token has arrived within the timeout.
func (q *request) abandon() {
	if q.ended || q.started {
		return
	}
	if q.job != nil {
		q.job.cancelled = true
	}
	if q.attempt != nil {
		q.pool.End(q.run.Now, q.attempt, placement.Abandoned)
	}
	q.result.Abandoned++
	q.ended = true
}
