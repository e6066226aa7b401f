package placement

import (
	"slices"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Result is how an attempt ended for its upstream.
type Result int

// Results.
const (
	Answered    Result = iota // the upstream did its work
	Failed                    // it broke off, answered with a failure of its own, or not at all
	Full                      // it refused for lack of room
	Misdirected               // another instance has the address, or the engine has another role
	Unreachable               // no connection could be made
	Abandoned                 // the entry gave up; nothing is learned about the upstream
)

var resultNames = [...]string{"answered", "failed", "full", "misdirected", "unreachable", "abandoned"}

// String returns the result's name in logs.
func (r Result) String() string { return resultNames[r] }

// Work is an attempt that was sent. Each Begin is followed by one End.
type Work struct {
	ID      string // of the upstream
	Phase   fighollow.RequestPhase
	Began   time.Time
	Tokens  float64 // prompt tokens to compute
	prompt  []fighollow.PromptPart
	urgency int
}

// Begin notes that an attempt is sent.
func (p *Pool) Begin(now time.Time, c Choice, q Query) *Work {
	w := &Work{ID: c.Upstream.ID, Phase: q.Phase, Began: now, prompt: q.Prompt, urgency: q.Urgency}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.instances[w.ID]
	if n == nil {
		return w
	}
	n.open++
	if q.Phase == fighollow.RequestPrefill {
		w.Tokens = float64(max(0, q.PromptTokens-c.Cached-c.Fetched))
		n.pending[q.Urgency] += w.Tokens
		// The engine will hold the prompt when it has read it; requests that follow at once wait for the same part.
		n.cache.add(now, q.Prompt, false)
		return w
	}
	n.running++
	n.cache.add(now, q.Prompt, false)
	return w
}

// Started notes the first event of a stream.
func (p *Pool) Started(now time.Time, w *Work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.instances[w.ID]; n != nil {
		n.answers.add(now, now.Sub(w.Began))
		n.cache.add(now, w.prompt, true)
	}
}

// End notes the end of an attempt. It returns for how long the upstream gets no further work because of it.
func (p *Pool) End(now time.Time, w *Work, r Result) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.instances[w.ID]
	if n == nil {
		return 0
	}
	before := n.away()
	n.open = max(0, n.open-1)
	if w.Phase == fighollow.RequestPrefill {
		n.pending[w.urgency] = max(0, n.pending[w.urgency]-w.Tokens)
	} else {
		n.running = max(0, n.running-1)
	}
	switch r {
	case Answered:
		n.succeeded()
		switch w.Phase {
		case fighollow.RequestPrefill:
			n.prefills.add(now, w.Began, w.Tokens)
			n.cache.add(now, w.prompt, true)
		case fighollow.RequestWhole:
			n.answers.add(now, now.Sub(w.Began))
		}
	case Failed:
		n.failed(now, p.medianFailures())
	case Full:
		n.refused(now)
	case Misdirected:
		n.denied = now.Add(misdirectedRest)
	case Unreachable:
		n.unreachable(now)
	}
	if after := n.away(); after.After(before) {
		return after.Sub(now)
	}
	return 0
}

// medianFailures returns the failure share of the median upstream: a plain service may fail some requests by design.
func (p *Pool) medianFailures() float64 {
	shares := make([]float64, 0, len(p.instances))
	for _, n := range p.instances {
		shares = append(shares, n.failures)
	}
	if len(shares) == 0 {
		return 0
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2]
}
