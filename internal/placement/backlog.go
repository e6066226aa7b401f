package placement

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// maxBacklogMs bounds what others' prompts add to the backlog of one engine. No deadline is longer, so that more changes no decision.
	maxBacklogMs = 30_000
	// maxWorkMs bounds the work of one prompt as another entry reports it.
	maxWorkMs = 10_000
	// maxUnconfirmed is how long a prompt of another entry counts that no later report of that entry names as unfinished. An entry with
	// unfinished prompts reports at least every second, so that two lost reports in a row end none.
	maxUnconfirmed = 2500 * time.Millisecond
	// maxUnfinished is how long a prompt of another entry counts at most. Its caller has left by then.
	maxUnfinished = 10 * time.Second
	// expiryInterval is the pause between two searches for prompts that no longer count.
	expiryInterval = 250 * time.Millisecond
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

// total returns the work of all urgencies.
func (w *workByUrgency) total() float64 { return w.ahead(maxUrgency) }

// backlog is the work of other entries at an engine while the entries share what they place: that of the prompts which they reported
// and which have not ended. It does not drain with time: an engine that is slower than expected, or that computes several prompts by
// turns, would look idle while prompts pile up there. The zero value has no work.
type backlog struct {
	others  workByUrgency
	prompts int
}

func (b *backlog) add(urgency int, ms float64) {
	b.others[urgency] += ms
	b.prompts++
}

func (b *backlog) remove(urgency int, ms float64) {
	b.prompts--
	if b.prompts <= 0 {
		*b = backlog{} // drops rounding errors
		return
	}
	b.others[urgency] = max(0, b.others[urgency]-ms)
}

// reportedPrompt is an unfinished prompt of another entry.
type reportedPrompt struct {
	engine      uint64 // EngineHash
	urgency     int
	ms          float64 // as added to the backlog
	prefix      []fighollow.PromptPart
	placedAt    time.Time
	confirmedAt time.Time // by the entry's last report that names it
}

// reportedPrompts holds the unfinished prompts of other entries in one service, by entry and the entry's number of the prompt.
type reportedPrompts struct {
	byEntry   map[string]map[uint32]*reportedPrompt
	expiredAt time.Time
}

// of returns the prompts of an entry.
func (r *reportedPrompts) of(entry string) map[uint32]*reportedPrompt {
	if r.byEntry == nil {
		r.byEntry = make(map[string]map[uint32]*reportedPrompt)
	}
	prompts := r.byEntry[entry]
	if prompts == nil {
		prompts = make(map[uint32]*reportedPrompt)
		r.byEntry[entry] = prompts
	}
	return prompts
}

// expire removes the prompts that no longer count, at most every expiryInterval, and returns them.
func (r *reportedPrompts) expire(now time.Time) []*reportedPrompt {
	if now.Sub(r.expiredAt) < expiryInterval {
		return nil
	}
	r.expiredAt = now
	var expired []*reportedPrompt
	for entry, prompts := range r.byEntry {
		for number, rp := range prompts {
			if now.Sub(rp.confirmedAt) > maxUnconfirmed || now.Sub(rp.placedAt) > maxUnfinished {
				expired = append(expired, rp)
				delete(prompts, number)
			}
		}
		if len(prompts) == 0 {
			delete(r.byEntry, entry)
		}
	}
	return expired
}
