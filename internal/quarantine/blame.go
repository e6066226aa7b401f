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
	// crashGap separates crashes that count as several. A failure that takes many engines at once counts as one.
	crashGap = 500 * time.Millisecond
	// maxPrompts is the number of prompts for each crash up to which a part is blamed. A crash breaks off many prompts with a
	// part that all have in common, and few with the one that caused it.
	maxPrompts = 3
	// collateralTime is how long before or after a crash at an engine other attempts there broke off by it, as other entries tell
	// it: the times that they publish are as old as a poll.
	collateralTime = 1500 * time.Millisecond
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
	depth   int // place in the prompt
	crashes []collapse
	prompts map[uint64]bool
}

// add counts a break, which must not be earlier than those added before.
func (t *tally) add(b *Break, depth int) {
	t.depth = max(t.depth, depth)
	t.prompts[b.Prompt] = true
	for _, c := range t.crashes {
		if c.upstream == b.Upstream || c.prompt == b.Prompt || b.At.Sub(c.at) < crashGap {
			return
		}
	}
	t.crashes = append(t.crashes, collapse{b.At, b.Upstream, b.Prompt})
}

func (t *tally) isConclusive() bool {
	return len(t.crashes) >= minCrashes && len(t.prompts) <= maxPrompts*len(t.crashes)
}

// compare orders evidence, the strongest first: few prompts for each crash, many crashes, and among parts that always occur together
// the one furthest back, which fewer sound prompts share.
func compare(a, b *tally) int {
	return cmp.Or(
		cmp.Compare(len(a.prompts)*len(b.crashes), len(b.prompts)*len(a.crashes)),
		cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(b.depth, a.depth),
		cmp.Compare(a.key.Service, b.key.Service), cmp.Compare(a.key.Part, b.key.Part),
	)
}

// blame returns the parts that the breaks show to crash engines, the strongest evidence first. known are parts in quarantine already.
// isSound reports whether a part was exonerated since a break at this time. What one part explains is not held against others.
func blame(breaks []Break, known map[Key]bool, isSound func(Key, time.Time) bool) []Key {
	breaks = slices.Clone(breaks)
	slices.SortStableFunc(breaks, func(a, b Break) int { return a.At.Compare(b.At) })
	for key := range known {
		breaks = unexplained(breaks, key)
	}
	var blamed []Key
	for {
		var best *tally
		for _, t := range tallies(breaks, isSound) {
			if t.isConclusive() && (best == nil || compare(t, best) < 0) {
				best = t
			}
		}
		if best == nil {
			return blamed
		}
		blamed = append(blamed, best.key)
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
				t = &tally{key: key, prompts: make(map[uint64]bool)}
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
