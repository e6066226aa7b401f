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
	// settleTimeRequest is the same for a request. It is short: a request that is blamed wrongly costs only itself, and on a service of few
	// engines, which are all down at once, no evidence follows in time.
	settleTimeRequest = 500 * time.Millisecond
)

// Key identifies a part of the prompts for one service, or a request for it.
type Key struct {
	Service string
	ID      uint64
	Request bool // ID is a fingerprint of a request, not a part of prompts
}

// Break is an attempt whose connection broke while the engine worked on it.
type Break struct {
	At           time.Time
	SentAt       time.Time // when the attempt was sent
	Service      string
	Upstream     string
	Prompt       uint64   // the last part, which belongs to the request or its session
	Parts        []uint64 // the others, in the order of the prompt
	Fingerprints []uint64 // of the request
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
	depth   int        // place in the prompt, or among the fingerprints
	ended   []collapse // the first break of each engine
	crashes []collapse // that count as several
	rapid   []collapse // the same by rapidGap, also under the same prompt
	several time.Time  // when the prompts became minCrashes
	engines map[string]bool
	prompts map[uint64]bool
}

// add counts a break, which must not be earlier than those added before. An engine crashes once, at its first break.
func (t *tally) add(b *Break, depth int) {
	t.depth = max(t.depth, depth)
	isFirst := !t.engines[b.Upstream]
	t.prompts[b.Prompt], t.engines[b.Upstream] = true, true
	if t.several.IsZero() && len(t.prompts) >= minCrashes {
		t.several = b.At
	}
	if !isFirst {
		return
	}
	c := collapse{b.At, b.Upstream, b.Prompt}
	t.ended = append(t.ended, c)
	if !slices.ContainsFunc(t.crashes, func(o collapse) bool { return o.prompt == c.prompt && !t.key.Request || c.at.Sub(o.at) < crashGap }) {
		t.crashes = append(t.crashes, c)
	}
	if !slices.ContainsFunc(t.rapid, func(o collapse) bool { return c.at.Sub(o.at) < rapidGap }) {
		t.rapid = append(t.rapid, c)
	}
}

// isConclusive reports whether the evidence suffices if it takes so many crashes.
func (t *tally) isConclusive(crashes int) bool {
	_, ok := t.concludedAt(crashes)
	return ok
}

// concludedAt returns the time of the crash that made the evidence suffice, if it takes so many.
func (t *tally) concludedAt(crashes int) (at time.Time, ok bool) {
	if t.key.Request {
		return t.requestConcludedAt(crashes)
	}
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

// requestConcludedAt is concludedAt for a request: it comes again, alone or several times at once, so that each engine counts. A request that
// was answered lately needs crashes that are well apart.
func (t *tally) requestConcludedAt(crashes int) (at time.Time, ok bool) {
	counted := t.ended
	if crashes > minCrashes {
		counted, crashes = t.crashes, minCrashes
	}
	if len(counted) < crashes {
		return time.Time{}, false
	}
	return counted[crashes-1].at, true
}

// counted returns the first crash that counts and how many do.
func (t *tally) counted() (first time.Time, crashes int) {
	if t.key.Request {
		return t.ended[0].at, len(t.ended)
	}
	return t.crashes[0].at, len(t.crashes)
}

// strength grows with the number of engines that crashed and falls with the number of prompts for each.
func (t *tally) strength() float64 {
	return float64(len(t.engines)*len(t.engines)) / float64(len(t.prompts))
}

// compare orders conclusive evidence: that against requests first, which holds nothing against what they share with sound ones, then
// that against keys without answers, then the strongest, and among keys that always occur together the one furthest back, which
// fewer sound requests share.
func compare(a, b *tally) int {
	return cmp.Or(
		compareBool(b.key.Request, a.key.Request), cmp.Compare(a.needed, b.needed), cmp.Compare(b.strength(), a.strength()), cmp.Compare(b.depth, a.depth),
		cmp.Compare(a.key.Service, b.key.Service), cmp.Compare(a.key.ID, b.key.ID),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// judge is what an entry knows beside the breaks.
type judge interface {
	// isSound reports whether a part was exonerated since a break at this time.
	isSound(Key, time.Time) bool
	// crashesNeeded returns how many crashes speak against a part beyond doubt.
	crashesNeeded(Key) int
	// isSettled reports whether a crash at this time can decide.
	isSettled(Key, time.Time) bool
}

// blame returns the keys that the breaks, oldest first, show to crash engines, the strongest evidence first. known are keys in
// quarantine already. What one key explains is not held against others.
func blame(breaks []Break, known []Key, j judge) []Key {
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
		if at, _ := best.concludedAt(best.needed); j.isSettled(best.key, at) {
			blamed = append(blamed, best.key)
		}
		breaks = unexplained(breaks, best.key)
	}
}

// fromAnyAddress returns the key of the requests that have all but the caller's address in common with those of a blamed key. It reports false
// unless all evidence against the blamed one speaks as much against it. Requests from other addresses would otherwise crash further engines until
// enough crashes separate the two. A key that was answered in the last minute isn't returned, because sound requests have it.
func fromAnyAddress(breaks []Break, blamed Key, j judge) (Key, bool) {
	i := slices.IndexFunc(breaks, func(b Break) bool {
		n := len(b.Fingerprints)
		return b.Service == blamed.Service && blamed.Request && n > 1 && b.Fingerprints[n-1] == blamed.ID // the last one has the address
	})
	if i < 0 {
		return Key{}, false
	}
	wide := Key{Service: blamed.Service, ID: breaks[i].Fingerprints[len(breaks[i].Fingerprints)-2], Request: true}
	all := tallies(breaks, j.isSound)
	n, w := all[blamed], all[wide]
	ok := n != nil && w != nil && j.crashesNeeded(blamed) == minCrashes && j.crashesNeeded(wide) == minCrashes && len(w.ended) >= len(n.ended)
	return wide, ok
}

// tallies returns the evidence against each key that was not exonerated. The breaks are ordered by time.
func tallies(breaks []Break, isSound func(Key, time.Time) bool) map[Key]*tally {
	all := make(map[Key]*tally)
	for i := range breaks {
		b := &breaks[i]
		for depth, key := range b.keys() {
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

// unexplained returns the breaks of requests without the key. Those at engines that crashed under it at the time are no evidence against
// parts; against requests they remain, because several that crash engines often break off together.
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
	var out []Break
	for _, b := range breaks {
		switch {
		case b.has(key):
			continue
		case slices.ContainsFunc(crashes, func(c collapse) bool { return c.upstream == b.Upstream && c.at.Sub(b.At).Abs() <= collateralTime }):
			b.Parts = nil
		}
		out = append(out, b)
	}
	return out
}

func (b *Break) has(key Key) bool {
	ids := b.Parts
	if key.Request {
		ids = b.Fingerprints
	}
	return b.Service == key.Service && slices.Contains(ids, key.ID)
}

// keys returns the keys of the request that broke off.
func (b *Break) keys() []Key {
	return (&Request{Service: b.Service, parts: b.Parts, fingerprints: b.Fingerprints}).keys()
}
