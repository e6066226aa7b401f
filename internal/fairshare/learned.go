package fairshare

import (
	"math"
	"sync"
	"time"
)

const (
	// observedHalfLife is the time after which what was observed of a prompt counts half. A workspace that uses all entries has some tens of
	// prompts at each within it.
	observedHalfLife = 30 * time.Second
	// minObserved is the number of prompts of a workspace, and of the others in a rank, from which on their durations are compared.
	minObserved = 8
	// maxMisstated is by which factor the durations of a workspace's prompts may differ from what others' durations suggest for the engine
	// time that it stated. Waits are the same for short prompts and long ones, so that honest workspaces differ too.
	maxMisstated = 4
	// maxCorrection bounds the correction of stated engine time, up and down.
	maxCorrection = 100
	// minWorkMs is the least engine time of a prompt. Without it, there would be nothing to correct where none is stated.
	minWorkMs = 1
)

// observed are sums over the computed prompts of one rank. They decay.
type observed struct {
	tookMs, workMs, prompts float64
	at                      time.Time
}

// decayed returns the sums as of now.
func (o observed) decayed(now time.Time) observed {
	if o.prompts == 0 {
		return o
	}
	keep := math.Exp2(-float64(max(0, now.Sub(o.at))) / float64(observedHalfLife))
	return observed{keep * o.tookMs, keep * o.workMs, keep * o.prompts, now}
}

func (o *observed) add(now time.Time, tookMs, workMs float64) {
	old := o.decayed(now)
	*o = observed{old.tookMs + tookMs, old.workMs + workMs, old.prompts + 1, now}
}

// observedRanks are the sums by rank: less urgent prompts wait longer.
type observedRanks [maxRanks]observed

// prompts returns the number of prompts as of now.
func (o *observedRanks) prompts(now time.Time) float64 {
	n := 0.0
	for i := range o {
		n += o[i].decayed(now).prompts
	}
	return n
}

// correction returns the factor that corrects the engine time that a workspace states, by the durations of its prompts in comparison with
// those of the other workspaces in the same ranks; 1 if they are plausible or not known.
func correction(now time.Time, workspace, all *observedRanks) float64 {
	var took, expected, prompts float64
	for i := range workspace {
		own, others := workspace[i].decayed(now), all[i].decayed(now)
		others.tookMs, others.workMs, others.prompts = others.tookMs-own.tookMs, others.workMs-own.workMs, others.prompts-own.prompts
		if others.prompts < minObserved || others.tookMs <= 0 || others.workMs <= 0 {
			continue
		}
		took, expected, prompts = took+own.tookMs, expected+own.workMs*others.tookMs/others.workMs, prompts+own.prompts
	}
	if prompts < minObserved {
		return 1
	}
	switch ratio := took / expected; {
	case ratio > maxMisstated:
		return min(ratio/maxMisstated, maxCorrection)
	case ratio < 1./maxMisstated:
		return max(ratio*maxMisstated, 1./maxCorrection)
	}
	return 1
}

// observations has the sums over all workspaces. It is safe for concurrent use.
type observations struct {
	mu    sync.Mutex
	ranks observedRanks
}

func (o *observations) add(now time.Time, rank int, tookMs, workMs float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ranks[rank].add(now, tookMs, workMs)
}

func (o *observations) get() observedRanks {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ranks
}
