package placement

import (
	"slices"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Result is the outcome of an attempt from the point of view of its upstream.
type Result int

// Results of an attempt.
const (
	Answered    Result = iota // the upstream answered without a failure
	Failed                    // the connection broke, there was no answer, or the answer was a failure of the upstream
	Full                      // the upstream refused for lack of capacity
	Misdirected               // the address belongs to another instance, or the engine has another role
	Unreachable               // no connection could be made
	Abandoned                 // this entry cancelled the attempt; the upstream's measurements do not change
)

var resultNames = [...]string{"answered", "failed", "full", "misdirected", "unreachable", "abandoned"}

// String returns the result's name in logs.
func (r Result) String() string { return resultNames[r] }

// Attempt is an attempt in flight. Each call of Pool.Begin must be followed by one call of Pool.End.
type Attempt struct {
	UpstreamID    string
	Phase         fighollow.RequestPhase
	SentAt        time.Time
	PrefillTokens float64 // prompt tokens that the engine computes; 0 unless it is a prefill
	workMs        float64 // expected time for which a prefill occupies the engine
	backlog       bool    // earlier prefills of this entry were unfinished at the engine
	prompt        []fighollow.PromptPart
	urgency       int
}

// Begin records that an attempt is sent to the chosen upstream.
func (p *Pool) Begin(now time.Time, c Choice, q Query) *Attempt {
	a := &Attempt{UpstreamID: c.Upstream.ID, Phase: q.Phase, SentAt: now, prompt: q.Prompt, urgency: q.Urgency}
	p.mu.Lock()
	defer p.mu.Unlock()
	inst := p.instances[a.UpstreamID]
	if inst == nil {
		return a
	}
	inst.open++
	if q.Phase == fighollow.RequestPrefill {
		a.PrefillTokens = float64(max(0, q.PromptTokens-c.Cached-c.Fetched))
		a.workMs, a.backlog = p.times.occupiedMs(a.PrefillTokens), inst.prefills > 0
		inst.pending[q.Urgency] += a.workMs
		inst.prefills++
		// The engine holds the prompt only once it has computed it, but requests that follow at once wait for the same part.
		inst.cache.add(now, q.Prompt, false)
		return a
	}
	inst.running++
	inst.cache.add(now, q.Prompt, false)
	return a
}

// Started records the first event of a stream.
func (p *Pool) Started(now time.Time, a *Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if inst := p.instances[a.UpstreamID]; inst != nil {
		inst.latency.observe(now, now.Sub(a.SentAt))
		p.firstEvent.observe(milliseconds(now.Sub(a.SentAt)))
		inst.cache.add(now, a.prompt, true)
	}
}

// End records the end of an attempt. It returns for how long the upstream gets no further work because of it; 0 if it stays
// in use.
func (p *Pool) End(now time.Time, a *Attempt, r Result) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	inst := p.instances[a.UpstreamID]
	if inst == nil {
		return 0
	}
	before := inst.unavailableUntil()
	inst.open = max(0, inst.open-1)
	if a.Phase == fighollow.RequestPrefill {
		inst.prefills = max(0, inst.prefills-1)
		inst.pending[a.urgency] = max(0, inst.pending[a.urgency]-a.workMs)
		if inst.prefills == 0 {
			inst.pending = [maxUrgency + 1]float64{} // drops rounding errors
		}
	} else {
		inst.running = max(0, inst.running-1)
	}
	switch r {
	case Answered:
		inst.recordSuccess()
		switch a.Phase {
		case fighollow.RequestPrefill:
			p.observePrompt(now, a.SentAt, inst, a.PrefillTokens, a.backlog)
			inst.cache.add(now, a.prompt, true)
		case fighollow.RequestWhole:
			inst.latency.observe(now, now.Sub(a.SentAt))
			if p.traits.Engine == nil {
				p.firstEvent.observe(milliseconds(now.Sub(a.SentAt)))
			}
		}
	case Failed:
		inst.recordFailure(now, p.medianFailureRate())
	case Full:
		inst.recordRefusal(now)
	case Misdirected:
		inst.misdirectedUntil = now.Add(misdirectedBackoff)
	case Unreachable:
		inst.recordUnreachable(now)
	}
	if after := inst.unavailableUntil(); after.After(before) {
		return after.Sub(now)
	}
	return 0
}

// medianFailureRate returns the median failure rate of the upstreams. A plain service may fail some requests by design, so
// the failure rate of an upstream is compared with this median.
func (p *Pool) medianFailureRate() float64 {
	rates := make([]float64, 0, len(p.instances))
	for _, inst := range p.instances {
		rates = append(rates, inst.failureRate)
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[(len(rates)-1)/2]
}
