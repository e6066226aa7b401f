package emulator

import (
	"errors"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// request is one request on its way: a prefill, then the decode that imports its KV cache.
type request struct {
	run    *run
	kind   Kind
	pool   *placement.Pool
	prompt []fighollow.PromptPart
	slo    placement.SLO
	seed   uint64
	result *KindResult

	tries   int
	tried   []string
	begun   bool
	ended   bool
	attempt *placement.Attempt
	job     *job
}

func (q *request) tokens() int {
	n := 0
	for _, p := range q.prompt {
		n += p.Tokens
	}
	return n
}

func (q *request) prefill() {
	q.send(fighollow.RequestPrefill, func(ok bool) {
		if ok {
			q.decode()
			return
		}
		q.again()
	})
}

func (q *request) decode() {
	q.send(fighollow.RequestDecode, func(ok bool) {
		switch {
		case ok:
			q.end()
		case q.begun:
			q.fail()
		default:
			q.again()
		}
	})
}

// again makes another try at the whole answer, if one is allowed.
func (q *request) again() {
	q.tries++
	if q.tries >= maxTries {
		q.fail()
		return
	}
	q.prefill()
}

// send places an attempt; done is called with its end.
func (q *request) send(phase fighollow.RequestPhase, done func(ok bool)) {
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
	settled := func(result placement.Result, ok bool) {
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
		phase: phase, prompt: q.prompt, tokens: query.PromptTokens, output: q.kind.Output, urgency: query.Urgency, fetchFrom: c.FetchFrom,
		started: func() { q.start(a) },
		done: func(ok bool) {
			result := placement.Answered
			if !ok {
				result = placement.Failed
			}
			settled(result, ok)
		},
	}
	q.job = j
	r.After(networkDelay, func() {
		if q.ended {
			return
		}
		if !r.byID(c.Upstream.ID).take(j) {
			settled(placement.Full, false)
		}
	})
}

// start notes the first event of the answer.
func (q *request) start(a *placement.Attempt) {
	if q.ended || q.begun {
		return
	}
	q.begun, q.slo.Begun = true, true
	q.pool.Started(q.run.Now, a)
	q.result.first(q.run.Now.Sub(q.slo.Arrived), q.kind)
}

func (q *request) end() {
	q.ended = true
	q.result.Served++
}

func (q *request) fail() {
	q.ended = true
	q.result.Failed++
}

// leave ends a request whose caller has waited long enough for its first event.
func (q *request) leave() {
	if q.ended || q.begun {
		return
	}
	if q.job != nil {
		q.job.cancelled = true
	}
	if q.attempt != nil {
		q.pool.End(q.run.Now, q.attempt, placement.Abandoned)
	}
	q.result.Left++
	q.ended = true
}
