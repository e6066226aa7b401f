package placement

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// slowSampleWeight is the weight of a sample above the fitted line, relative to one below it, in a fit of the durations of
	// prompts that did not wait. Work of other entries, which this one does not see, lengthens some of them.
	slowSampleWeight = 0.15
	// priorTargetShare is the share of its latency target that a whole prompt is assumed to take before there are samples:
	// operators choose targets that their engines can meet.
	priorTargetShare = 0.25
)

// promptTimes is what an entry has learned of how long the engines of a service take for prompts. It answers a load whose
// prompts differ in size and cached share, on engines of unknown speed.
type promptTimes struct {
	alone lineFit // from dispatch to result of a prompt that did not wait for others of this entry
	next  lineFit // between the results of two prompts that the engine computed one after the other
	whole lineFit // from dispatch to first event of a prompt that a decode engine computes itself
}

// aloneMs returns how long a prompt takes that does not wait, until its result arrives.
func (t *promptTimes) aloneMs(tokens float64) float64 { return t.alone.estimate(tokens) }

// occupiedMs returns how long a prompt keeps its engine from the next one. Work of other entries is part of it.
func (t *promptTimes) occupiedMs(tokens float64) float64 {
	if t.next.weight == 0 {
		return t.aloneMs(tokens)
	}
	return t.next.estimate(tokens)
}

// sharedWorkMs returns for how long a prompt occupies its engine, for other entries. What is the same for each prompt is left out: it is
// latency more than work.
func (t *promptTimes) sharedWorkMs(tokens float64, phase fighollow.RequestPhase) float64 {
	if phase == fighollow.RequestWhole {
		return t.wholeMs(tokens) - t.wholeMs(0)
	}
	return t.aloneMs(tokens) - t.aloneMs(0)
}

// wholeMs returns how long a decode engine takes to compute a prompt, until its first event arrives.
func (t *promptTimes) wholeMs(tokens float64) float64 {
	if t.whole.weight < minFitSamples {
		return decodePrefillSlowdown * t.aloneMs(tokens)
	}
	return t.whole.estimate(tokens)
}

// assume sets what is assumed of prompts before there are samples.
func (t *promptTimes) assume(q Query) {
	if t.alone.weight == 0 && q.Target > 0 && q.PromptTokens > 0 {
		t.alone.priorSlope = priorTargetShare * milliseconds(q.Target) / float64(q.PromptTokens)
	}
}

// observePrompt adds the result at now of a prompt.
func (p *Pool) observePrompt(now time.Time, inst *instance, a *Attempt) {
	lastEnd, tokens := inst.speed.lastEnd, a.PrefillTokens
	switch {
	case a.shared:
		p.observeShared(now, inst, a, &p.times.alone)
	case !a.backlog:
		ms := milliseconds(now.Sub(a.SentAt))
		inst.speed.observe(now, ms, p.times.alone.known(tokens))
		p.times.alone.observe(tokens, ms, slowSampleWeight)
	case lastEnd.After(a.SentAt):
		ms := milliseconds(now.Sub(lastEnd))
		inst.speed.observe(now, ms, p.times.next.known(tokens))
		p.times.next.observe(tokens, ms, 1)
	default:
		inst.speed.observe(now, 0, 0)
	}
}

// observeShared adds the result at now of a prompt that was sent while the entries shared what they placed. It is compared with what was
// expected of it and of the work that preceded it, so that known queueing does not make an engine look slow.
func (p *Pool) observeShared(now time.Time, inst *instance, a *Attempt, own *lineFit) {
	ms := milliseconds(now.Sub(a.SentAt))
	if expected := own.known(a.PrefillTokens); expected > 0 {
		p.pace.observe(now, &inst.pace, ms, expected+a.aheadMs)
		a.reported.Ratio = ms / (expected + a.aheadMs)
	}
	inst.speed.observe(now, 0, 0)
	if !a.backlog {
		own.observe(a.PrefillTokens, ms, envelopeWeight)
	}
}

// observeUnfinished adds a prompt that was abandoned at now while its engine was to compute it. That took longer than expected at least if
// the time until now is longer; without it, an engine whose prompts all outlast their callers would look as fast as the others.
func (p *Pool) observeUnfinished(now time.Time, inst *instance, a *Attempt) {
	if !a.shared || !p.sharing {
		return
	}
	own := &p.times.alone
	if a.Phase == fighollow.RequestWhole {
		own = &p.times.whole
	}
	ms := milliseconds(now.Sub(a.SentAt))
	if expected := own.known(a.PrefillTokens); expected > 0 && ms > expected+a.aheadMs {
		p.pace.observe(now, &inst.pace, ms, expected+a.aheadMs)
		a.reported.Ratio = ms / (expected + a.aheadMs)
	}
}

// observeWhole adds the first event at now of a prompt that a decode engine computed itself.
func (p *Pool) observeWhole(now time.Time, inst *instance, a *Attempt) {
	if a.shared {
		p.observeShared(now, inst, a, &p.times.whole)
		return
	}
	if a.backlog {
		return
	}
	ms := milliseconds(now.Sub(a.SentAt))
	inst.speed.observe(now, ms, p.times.whole.known(a.PrefillTokens))
	p.times.whole.observe(a.PrefillTokens, ms, slowSampleWeight)
}

// milliseconds returns d in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// duration returns the duration of ms milliseconds.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
