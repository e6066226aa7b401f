package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes under a part, each of another engine and under another prompt, that put it into
	// quarantine. Callers repeat a failed request once as a rule, so that two can be one caller's bad luck.
	minCrashes = 3
	// minCrashesSound is the same for a part that was in completed answers lately.
	minCrashesSound = 5
	// crashGap separates crashes that count as several. A failure that takes many engines at once counts as one.
	crashGap = 300 * time.Millisecond
	// rapidGap separates crashes that count as several where there is one more of them than minCrashes. A part that comes often
	// ends a few engines in less than crashGap each, and no evidence follows while all of them are down; the connections to engines
	// that one failure takes break closer together.
	rapidGap = 50 * time.Millisecond
	// maxPrompts is the number of prompts for each engine that crashed up to which a part is blamed. A crash breaks off many prompts with a
	// part that all have in common, and few with the one that caused it.
	maxPrompts = 3
	// collateralTime is how long before or after a crash at an engine other attempts there broke off by it, as other entries tell
	// it: the times that they publish are as old as a poll.
	collateralTime = 1500 * time.Millisecond
	// settleTime is how old the crash must be that makes the evidence sufficient: until then other entries report what broke off at
	// theirs, and answers exonerate parts.
	settleTime = 1300 * time.Millisecond
	// reportTime is how long after that crash the reports of other entries must have been read.
	reportTime = 800 * time.Millisecond
	// soundMargin is how long before a crash a completed answer exonerates its parts.
	soundMargin = time.Second
)

// Key identifies a part of the prompts for one service.
type Key struct {
	Service string
	Part    uint64
}

// Break is an attempt whose connection broke while the engine worked on it.
type Break struct {
	At       time.Time
	Service  string
	Upstream string
	Prompt   uint64   // the last part, which belongs to the request or its session
	Parts    []uint64 // the others, in the order of the prompt
}

// collapse is one crash that counts against a part.
type collapse struct {
	at       time.Time
	upstream string
	prompt   uint64
}

// tally is the evidence against one part.
type tally struct {
	key     Key
	needed  int        // crashes that suffice
	depth   int        // place in the prompt
	crashes []collapse // that count as several
	rapid   []collapse // the same by rapidGap, also under the same prompt
	several time.Time  // when the prompts became minCrashes
	engines map[string]bool
	prompts map[uint64]bool
}

// add counts a break, which must not be earlier than those added before.
func (t *tally) add(b *Break, depth int) {
	t.depth = max(t.depth, depth)
	t.prompts[b.Prompt], t.engines[b.Upstream] = true, true
	if t.several.IsZero() && len(t.prompts) >= minCrashes {
		t.several = b.At
	}
	if !slices.ContainsFunc(t.crashes, func(c collapse) bool {
		return c.upstream == b.Upstream || c.prompt == b.Prompt || b.At.Sub(c.at) < crashGap
	}) {
		t.crashes = append(t.crashes, collapse{b.At, b.Upstream, b.Prompt})
	}
	if !slices.ContainsFunc(t.rapid, func(c collapse) bool { return c.upstream == b.Upstream || b.At.Sub(c.at) < rapidGap }) {
		t.rapid = append(t.rapid, collapse{b.At, b.Upstream, b.Prompt})
	}
}

// isConclusive reports whether the evidence suffices if it takes so many crashes.
func (t *tally) isConclusive(crashes int) bool {
	_, ok := t.concludedAt(crashes)
	return ok
}

// concludedAt returns the time of the crash that made the evidence suffice, if it takes so many.
func (t *tally) concludedAt(crashes int) (at time.Time, ok bool) {
	if len(t.prompts) > maxPrompts*len(t.engines) {
		return time.Time{}, false
	}
	if len(t.crashes) >= crashes {
		at, ok = t.crashes[crashes-1].at, true
	}
	// A part that was in completed answers needs crashes that are well apart.
	if crashes > minCrashes || len(t.rapid) <= crashes || len(t.prompts) < crashes {
		return at, ok
	}
	rapidAt := t.rapid[crashes].at
	if crashes == minCrashes && t.several.After(rapidAt) {
		rapidAt = t.several
	}
	if !ok || rapidAt.Before(at) {
		return rapidAt, true
	}
	return at, ok
}

// strength grows with the number of engines that crashed and falls with the number of prompts for each.
func (t *tally) strength() float64 {
	return float64(len(t.engines)*len(t.engines)) / float64(len(t.prompts))
}

// compare orders conclusive evidence: that against parts without answers first, then the strongest, and among parts that always occur
// together the one furthest back, which fewer sound prompts share.
func compare(a, b *tally) int {
	return cmp.Or(
		cmp.Compare(a.needed, b.needed), cmp.Compare(b.strength(), a.strength()), cmp.Compare(b.depth, a.depth),
		cmp.Compare(a.key.Service, b.key.Service), cmp.Compare(a.key.Part, b.key.Part),
	)
}

// judge is what an entry knows beside the breaks.
type judge interface {
	// isSound reports whether a part was exonerated since a break at this time.
	isSound(Key, time.Time) bool
	// crashesNeeded returns how many crashes speak against a part beyond doubt.
	crashesNeeded(Key) int
	// isSettled reports whether a crash at this time can decide.
	isSettled(time.Time) bool
}

// blame returns the parts that the breaks show to crash engines, the strongest evidence first. known are parts in quarantine already.
// What one part explains is not held against others.
func blame(breaks []Break, known []Key, j judge) []Key {
	breaks = slices.Clone(breaks)
	slices.SortStableFunc(breaks, func(a, b Break) int { return a.At.Compare(b.At) })
	for _, key := range known {
		breaks = unexplained(breaks, key)
	}
	var blamed []Key
	for {
		var best *tally
		for key, t := range tallies(breaks, j.isSound) {
			t.needed = j.crashesNeeded(key)
			if t.isConclusive(t.needed) && (best == nil || compare(t, best) < 0) {
				best = t
			}
		}
		if best == nil {
			return blamed
		}
		if at, _ := best.concludedAt(best.needed); j.isSettled(at) {
			blamed = append(blamed, best.key)
		}
		breaks = unexplained(breaks, best.key)
	}
}

// tallies returns the evidence against each part that was not exonerated. The breaks are ordered by time.
func tallies(breaks []Break, isSound func(Key, time.Time) bool) map[Key]*tally {
	all := make(map[Key]*tally)
	for i := range breaks {
		b := &breaks[i]
		for depth, part := range b.Parts {
			key := Key{b.Service, part}
			if isSound(key, b.At) {
				continue
			}
			t := all[key]
			if t == nil {
				t = &tally{key: key, engines: make(map[string]bool), prompts: make(map[uint64]bool)}
				all[key] = t
			}
			t.add(b, depth)
		}
	}
	return all
}

// unexplained returns the breaks of prompts without the part, at engines that did not crash under it at the time.
func unexplained(breaks []Break, key Key) []Break {
	var crashes []collapse
	for _, b := range breaks {
		if b.has(key) {
			crashes = append(crashes, collapse{at: b.At, upstream: b.Upstream})
		}
	}
	if len(crashes) == 0 {
		return breaks
	}
	return slices.DeleteFunc(breaks, func(b Break) bool {
		return b.has(key) || slices.ContainsFunc(crashes, func(c collapse) bool {
			return c.upstream == b.Upstream && c.at.Sub(b.At).Abs() <= collateralTime
		})
	})
}

func (b *Break) has(key Key) bool {
	return b.Service == key.Service && slices.Contains(b.Parts, key.Part)
}
