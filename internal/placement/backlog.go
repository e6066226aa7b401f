package placement

import "time"

const (
	// maxBacklogMs bounds what others' work adds to the backlog of one engine. No deadline is longer, so that more changes no decision.
	maxBacklogMs = 30_000
	// maxWorkMs bounds the work of one prompt as another entry reports it.
	maxWorkMs = 10_000
	// maxUnreportedMs bounds the work of other entries that should have been done and was not reported to have ended. The reports of its end
	// can be lost.
	maxUnreportedMs = 1000
)

// workByUrgency is engine time in milliseconds by urgency.
type workByUrgency [maxUrgency + 1]float64

// ahead returns the work that is done before a new prompt of this urgency.
func (w *workByUrgency) ahead(urgency int) float64 {
	var ms float64
	for _, v := range w[:urgency+1] {
		ms += v
	}
	return ms
}

// aheadOf is ahead of what done leaves of w.
func (w *workByUrgency) aheadOf(done *workByUrgency, urgency int) float64 {
	var ms float64
	for u, v := range w[:urgency+1] {
		ms += v - done[u]
	}
	return max(0, ms)
}

// backlog estimates what is left of an engine's work while the entries share what they place. A prompt's work is added when it is placed
// and removed when it ends, by this entry (own, kept by the caller) or as another entry reports. Of the unfinished prompts, the engine is
// expected to have done what fits into the time since: it serves the most urgent prompt first; within an urgency, the estimate drains own
// and others' work in proportion. So what an entry cannot report any more drains too. The zero value has no work.
type backlog struct {
	ownDone    workByUrgency // at most own
	others     workByUrgency // unfinished prompts of other entries
	othersDone workByUrgency // at most others
	added      workByUrgency // others' work since the beginning
	overdueMs  float64       // for which all work should have been done while a prompt of this entry is unfinished
	drainedAt  time.Time
}

// drain applies the time since the last call at an engine that takes slowness times as long as expected.
func (b *backlog) drain(now time.Time, slowness float64, own *workByUrgency) {
	if b.drainedAt.IsZero() {
		b.drainedAt = now // own prompts can precede the backlog: the engine started again, or the entries began to share work
	}
	elapsed := milliseconds(now.Sub(b.drainedAt))
	if elapsed <= 0 {
		return
	}
	b.drainedAt = now
	left := elapsed / slowness
	unfinished := false
	for u := range own {
		if own[u] == 0 && b.others[u] == 0 {
			continue
		}
		unfinished = unfinished || own[u] > 0
		ownLeft, othersLeft := max(0, own[u]-b.ownDone[u]), max(0, b.others[u]-b.othersDone[u])
		share := 1.0
		if total := ownLeft + othersLeft; left < total {
			share = left / total
		}
		b.ownDone[u] += share * ownLeft
		b.othersDone[u] += share * othersLeft
		left = max(0, left-share*(ownLeft+othersLeft))
		if b.othersDone[u] > maxUnreportedMs {
			b.others[u] -= b.othersDone[u] - maxUnreportedMs
			b.othersDone[u] = maxUnreportedMs
		}
	}
	if unfinished {
		b.overdueMs += left
	}
}

// add adds a prompt of another entry, after drain. It returns the work that the bounds leave of it.
func (b *backlog) add(urgency int, ms float64) float64 {
	ms = min(ms, maxWorkMs, maxBacklogMs-b.othersLeft(maxUrgency))
	if ms <= 0 {
		return 0
	}
	b.others[urgency] += ms
	b.added[urgency] += ms
	return ms
}

// endOther records that a prompt of another entry is no longer at the engine.
func (b *backlog) endOther(urgency int, ms float64) {
	ms = min(ms, b.others[urgency])
	b.others[urgency] -= ms
	b.othersDone[urgency] = min(max(0, b.othersDone[urgency]-ms), b.others[urgency])
}

// othersLeft returns what is left of others' work that is done before a new prompt of this urgency.
func (b *backlog) othersLeft(urgency int) float64 {
	return b.others.aheadOf(&b.othersDone, urgency)
}

// ownLeft returns what is left of own work that is done before a new prompt of this urgency. toleranceMs is the time by which results
// can be late without a reason to expect more work at the engine: they travel, and estimates are not exact.
func (b *backlog) ownLeft(own *workByUrgency, urgency int, toleranceMs float64) float64 {
	return own.aheadOf(&b.ownDone, urgency) + max(0, b.overdueMs-toleranceMs)
}

// end records that a prompt of this entry with workMs is no longer at the engine. Prompts end in order, so that it takes with it as much of
// what was done.
func (b *backlog) end(urgency int, workMs float64) {
	b.ownDone[urgency] = max(0, b.ownDone[urgency]-workMs)
	b.overdueMs = 0
}

// computed records that the engine has computed a prompt that was sent when added was addedBefore: it has done all work of others that
// preceded it, whatever they reported.
func (b *backlog) computed(urgency int, addedBefore *workByUrgency) {
	for u := range urgency + 1 {
		after := max(0, b.added[u]-addedBefore[u])
		b.othersDone[u] = max(b.othersDone[u], b.others[u]-after)
	}
}
