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
	PrefillTokens float64 // prompt tokens that the engine computes; 0 for a decode
	workMs        float64 // expected time for which the prompt occupies the engine
	backlog       bool    // earlier prompts of this entry were unfinished at the engine
	computing     bool    // the engine has not computed the prompt yet
	reported      Work    // to other entries; set if shared
	shared        bool    // the entries shared what they placed when it was sent
	aheadMs       float64 // work that preceded it then; set if shared
	prompt        []fighollow.PromptPart
	urgency       int
	incarnation   incarnation
	trial         bool // placed after a pause
	paused        bool // the answer asked for a pause
}

// Begin records that an attempt is sent to the chosen upstream.
func (p *Pool) Begin(now time.Time, c Choice, q Query) *Attempt {
	a := &Attempt{UpstreamID: c.Upstream.ID, Phase: q.Phase, SentAt: now, prompt: q.Prompt, urgency: q.Urgency, incarnation: incarnationOf(c.Upstream), trial: c.Trial}
	p.mu.Lock()
	defer p.mu.Unlock()
	if inst := p.instances[a.UpstreamID]; inst != nil {
		p.begin(now, inst, a, c, q)
	}
	return a
}

// begin records an attempt at inst.
func (p *Pool) begin(now time.Time, inst *instance, a *Attempt, c Choice, q Query) {
	inst.open++
	// The engine holds the prompt only once it has computed it, but requests that follow at once wait for the same part.
	inst.cache.add(now, q.Prompt, false)
	if q.Phase != fighollow.RequestPrefill {
		inst.running++
	}
	if q.Phase != fighollow.RequestDecode && p.traits.Engine != nil {
		p.beginPrompt(now, inst, a, c, q)
	}
}

// beginPrompt adds the computation of a prompt to the work of its engine.
func (p *Pool) beginPrompt(now time.Time, inst *instance, a *Attempt, c Choice, q Query) {
	a.PrefillTokens = computedTokens(q, &c)
	a.workMs, a.backlog, a.computing = p.workMs(q, &c), inst.prefills > 0, true
	p.observeTypicalPrompt(a.workMs)
	if p.sharing {
		a.workMs = p.times.sharedWorkMs(a.PrefillTokens, q.Phase)
		a.shared, a.aheadMs = true, p.pendingMs(inst, q.Urgency)
	}
	inst.pending[q.Urgency] += a.workMs
	if a.shared && p.onWork != nil {
		a.reported = Work{
			Number: p.placedPrompts.Add(1) - 1, Engine: EngineHash(c.Upstream), Urgency: a.urgency, Ms: a.workMs * p.pace.mean(), Prefix: sharedPrefix(q.Prompt),
		}
		p.onWork(now, a.reported)
	}
	inst.prefills++
	if q.Phase == fighollow.RequestPrefill {
		inst.exports++
	}
}

// computedTokens returns how many tokens of the prompt the chosen engine computes.
func computedTokens(q Query, c *Choice) float64 {
	return float64(max(0, q.PromptTokens-c.Cached-c.Fetched))
}

// workMs returns the expected time for which the prompt occupies an engine of average speed. p.mu must be held.
func (p *Pool) workMs(q Query, c *Choice) float64 {
	if q.Phase == fighollow.RequestWhole {
		return p.times.wholeMs(computedTokens(q, c))
	}
	return p.times.occupiedMs(computedTokens(q, c))
}

// sharedPrefix returns the parts of a prompt that are reported to other entries.
func sharedPrefix(prompt []fighollow.PromptPart) []fighollow.PromptPart {
	return prompt[:min(max(0, len(prompt)-1), maxPrefixParts)]
}

// endPrompt removes the computation of a prompt from the work of its engine; computed tells whether the engine has done it. Calls after
// the first do nothing.
func (p *Pool) endPrompt(now time.Time, inst *instance, a *Attempt, computed bool) {
	if !a.computing {
		return
	}
	a.computing = false
	inst.prefills = max(0, inst.prefills-1)
	if a.Phase == fighollow.RequestPrefill {
		inst.exports = max(0, inst.exports-1)
	}
	inst.pending[a.urgency] = max(0, inst.pending[a.urgency]-a.workMs)
	if inst.prefills == 0 {
		inst.pending = workByUrgency{} // drops rounding errors
	}
	if a.reported.Ms > 0 && p.sharing && p.onWork != nil {
		a.reported.Ended, a.reported.Computed = true, computed
		p.onWork(now, a.reported)
	}
}

// Started records the first event of a stream.
func (p *Pool) Started(now time.Time, a *Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	inst := p.instances[a.UpstreamID]
	if inst == nil {
		return
	}
	inst.cache.add(now, a.prompt, true)
	inst.endPause(a)
	if a.computing {
		p.observeWhole(now, inst, a)
		p.endPrompt(now, inst, a, true)
		return
	}
	inst.latency.observe(now, now.Sub(a.SentAt))
	p.firstEvent.observe(milliseconds(now.Sub(a.SentAt)))
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
	if r == Answered && a.computing && a.Phase == fighollow.RequestPrefill {
		p.observePrompt(now, inst, a)
	}
	if r == Abandoned && a.computing {
		p.observeUnfinished(now, inst, a)
	}
	p.endPrompt(now, inst, a, r == Answered)
	if a.Phase != fighollow.RequestPrefill {
		inst.running = max(0, inst.running-1)
	}
	if a.trial && p.current(a.incarnation) != nil {
		inst.trials = max(0, inst.trials-1)
	}
	switch {
	case r == Answered:
		inst.endPause(a)
	case a.paused:
		return 0 // what the upstream asked for is not a failure
	}
	switch r {
	case Answered:
		inst.recordSuccess()
		switch a.Phase {
		case fighollow.RequestPrefill:
			inst.cache.add(now, a.prompt, true)
		case fighollow.RequestWhole:
			if p.traits.Engine == nil {
				inst.latency.observe(now, now.Sub(a.SentAt))
				p.firstEvent.observe(milliseconds(now.Sub(a.SentAt)))
			}
		case fighollow.RequestDecode:
		}
	case Failed:
		inst.recordFailure(now, p.medianFailureRate())
	case Full:
		inst.recordRefusal(now)
	case Misdirected:
		inst.misdirectedUntil = now.Add(misdirectedBackoff)
	case Unreachable:
		inst.recordUnreachable(now)
		p.returnPermit(inst)
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
