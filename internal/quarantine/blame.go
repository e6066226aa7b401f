package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes under a part, each of another engine and under another prompt, that put it into
	// quarantine. Callers repeat a failed request once as a rule, so that two can be one caller's bad luck.
	minCrashes = 3
	// minCrashesSound is the same for a part that was in completed answers lately.
	minCrashesSound = 5
	// minCrashesRepeated is the same where all crashes are under two prompts, which their callers repeat.
	minCrashesRepeated = 5
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
	// maxTalliedParts is the number of parts in all breaks up to which all keys are counted, and not only those that are in several crashes.
	maxTalliedParts = 1 << 13
	// settleTime is how old the crash must be that makes the evidence sufficient: until then other entries report what broke off at
	// theirs, and answers exonerate parts.
	settleTime = 450 * time.Millisecond
	// settleTimeRequest is the same for a request. It is short: a request that is blamed wrongly costs only itself, and on a service of few
	// engines, which are all down at once, no evidence follows in time.
	settleTimeRequest = 300 * time.Millisecond
)

// Key identifies a part of the prompts for one service, or a request for it.
type Key struct {
	Service string
	ID      uint64
	Request bool // ID is a fingerprint of a request, not a part of prompts
}

// Break is an attempt whose connection broke while the engine worked on it.
type Break struct {
	At       time.Time
	SentAt   time.Time // when the attempt was sent
	Service  string
	Upstream string
	Prompt   uint64 // the last part, which belongs to the request or its session
	// Parts are the others, in the order of the prompt; of a prompt with more than unsiftedParts without those that were exonerated.
	Parts        []uint64
	Fingerprints []uint64 // of the request
	Began        bool     // the answer had begun shortly before
}

// collapse is the crash of one engine, as evidence against a key.
type collapse struct {
	at       time.Time // of the first break there of a request with the key
	upstream string
	prompts  []uint64 // of the requests with the key that broke off there
	isOpen   bool     // no request that crashes engines broke off there
}

// tally is the evidence against one key.
type tally struct {
	key     Key
	parts   []uint64 // of a request
	needed  int      // crashes that suffice
	depth   int      // place in the prompt, or among the fingerprints
	engines []collapse
	crashes []time.Time // that count as several, set by count
	rapid   []time.Time // the same by rapidGap, also under the same prompt
	several time.Time   // when the prompts became minCrashes
	prompts map[uint64]bool
}

// add counts a break, which must not be earlier than those added before; cause is the request that explains it, if there is one. An engine
// crashes once, at its first break.
func (t *tally) add(b *Break, cause *Key, depth int) {
	prompt := b.Prompt
	if cause != nil {
		prompt = cause.ID // all crashes under one request count as one against its parts
	}
	t.depth = max(t.depth, depth)
	if t.key.Request {
		t.parts = b.Parts
	}
	t.prompts[prompt] = true
	if t.several.IsZero() && len(t.prompts) >= minCrashes {
		t.several = b.At
	}
	i := slices.IndexFunc(t.engines, func(c collapse) bool { return c.upstream == b.Upstream })
	if i < 0 {
		i = len(t.engines)
		t.engines = append(t.engines, collapse{at: b.At, upstream: b.Upstream, isOpen: cause == nil})
	}
	if c := &t.engines[i]; !slices.Contains(c.prompts, prompt) {
		c.prompts = append(c.prompts, prompt)
	}
}

// count counts the crashes. Those under a part count as several if a prompt can be told for each that the others don't need.
func (t *tally) count() {
	used := make(map[uint64]bool)
	for _, c := range t.engines {
		if !slices.ContainsFunc(t.rapid, func(at time.Time) bool { return c.at.Sub(at) < rapidGap }) {
			t.rapid = append(t.rapid, c.at)
		}
		if slices.ContainsFunc(t.crashes, func(at time.Time) bool { return c.at.Sub(at) < crashGap }) {
			continue
		}
		i := slices.IndexFunc(c.prompts, func(prompt uint64) bool { return t.key.Request || !used[prompt] })
		if i >= 0 {
			used[c.prompts[i]] = true
			t.crashes = append(t.crashes, c.at)
		}
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
		at, ok = t.crashes[crashes-1], true
	}
	if manyAt, isMany := t.manyAt(); !ok && crashes == minCrashes && isMany {
		return manyAt, true
	}
	// A part that was in completed answers needs crashes that are well apart.
	if crashes > minCrashes || len(t.rapid) <= crashes || len(t.prompts) < crashes {
		return at, ok
	}
	rapidAt := t.rapid[crashes]
	if crashes == minCrashes && t.several.After(rapidAt) {
		rapidAt = t.several
	}
	if !ok || rapidAt.Before(at) {
		return rapidAt, true
	}
	return at, ok
}

// manyAt returns the time of the crash that makes the evidence suffice under fewer prompts than minCrashes, because callers repeat them: there
// are many crashes, and requests that crash engines do not explain all of them.
func (t *tally) manyAt() (time.Time, bool) {
	open := 0
	for _, c := range t.engines {
		if c.isOpen {
			open++
		}
	}
	if len(t.prompts) < 2 || open < 2 {
		return time.Time{}, false
	}
	return nth(t.rapid, minCrashesRepeated)
}

// requestConcludedAt is concludedAt for a request: it comes again, alone or several times at once, so that each engine counts. A request that
// was answered lately needs crashes that are well apart.
func (t *tally) requestConcludedAt(crashes int) (at time.Time, ok bool) {
	if crashes > minCrashes {
		return nth(t.crashes, minCrashes)
	}
	var all []time.Time
	for _, c := range t.engines {
		all = append(all, c.at)
	}
	return nth(all, crashes)
}

// nth returns the n-th of the times, if there are so many.
func nth(times []time.Time, n int) (time.Time, bool) {
	if len(times) < n {
		return time.Time{}, false
	}
	return times[n-1], true
}

// counted returns the first crash that counts and how many do.
func (t *tally) counted() (first time.Time, crashes int) {
	if t.key.Request {
		return t.engines[0].at, len(t.engines)
	}
	return t.crashes[0], len(t.crashes)
}

// strength grows with the number of engines that crashed and falls with the number of prompts for each.
func (t *tally) strength() float64 {
	return float64(len(t.engines)*len(t.engines)) / float64(len(t.prompts))
}

// compare orders conclusive evidence. A request goes before its own parts, because that holds nothing against the sound requests that share
// them and the crashes under it still count against them. Otherwise keys without answers come first, then the strongest evidence, and among
// keys that always occur together the one furthest back, which fewer sound requests share.
func compare(a, b *tally) int {
	return cmp.Or(
		compareBool(b.isRequestWith(a.key), a.isRequestWith(b.key)), cmp.Compare(a.needed, b.needed), cmp.Compare(b.strength(), a.strength()),
		compareBool(b.key.Request, a.key.Request), cmp.Compare(b.depth, a.depth), compareKeys(a.key, b.key),
	)
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), compareBool(a.Request, b.Request), cmp.Compare(a.ID, b.ID))
}

// isUnder reports whether all crashes that count against a part were under requests among these keys, which explain them.
func (t *tally) isUnder(requests []Key) bool {
	for prompt := range t.prompts {
		if !slices.ContainsFunc(requests, func(key Key) bool { return key.Request && key.ID == prompt }) {
			return false
		}
	}
	return true
}

// isRequestWith reports whether t is the evidence against a request that has a part.
func (t *tally) isRequestWith(part Key) bool {
	return t.key.Request && !part.Request && slices.Contains(t.parts, part.ID)
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
	// isCommon reports whether many requests have had a part that was answered lately.
	isCommon(Key) bool
	// isSettled reports whether a crash at this time can decide.
	isSettled(Key, time.Time) bool
}

// blame returns the keys that the breaks, oldest first, show to crash engines, the strongest evidence first. known are keys in
// quarantine already. What one key explains is not held against others.
func blame(breaks []Break, known []Key, j judge) []Key {
	waiting := slices.DeleteFunc(slices.Clone(breaks), func(b Break) bool { return b.Began })
	// An engine mostly ends before it writes anything, so that what had begun is looked at only where the rest explains nothing.
	blamed, explained := explain(waiting, known, j)
	if len(waiting) < len(breaks) {
		more, _ := explain(breaks, explained, j)
		blamed = append(blamed, more...)
	}
	return blamed
}

// explain returns the keys that the breaks show to crash engines, and all keys that explain crashes: those in known, and those that are not settled
// too.
func explain(breaks []Break, known []Key, j judge) (blamed, explained []Key) {
	explained = slices.Clone(known)
	for {
		var best *tally
		all := tallies(breaks, explained, j.isSound)
		for _, key := range slices.SortedFunc(maps.Keys(all), compareKeys) { // as compare is not transitive, and entries should agree
			t := all[key]
			t.needed = j.crashesNeeded(key)
			if t.isConclusive(t.needed) && !j.isCommon(key) && (best == nil || compare(t, best) < 0) {
				best = t
			}
		}
		if best == nil {
			return blamed, explained
		}
		if at, _ := best.concludedAt(best.needed); j.isSettled(best.key, at) {
			blamed = append(blamed, best.key)
		}
		explained = append(explained, best.key)
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
	all := tallies(breaks, nil, j.isSound)
	n, w := all[blamed], all[wide]
	ok := n != nil && w != nil && j.crashesNeeded(blamed) == minCrashes && j.crashesNeeded(wide) == minCrashes && len(w.engines) >= len(n.engines)
	return wide, ok
}

// tallies returns the evidence against each key that was not exonerated, without what the keys in explained explain. The breaks are ordered
// by time.
func tallies(breaks []Break, explained []Key, isSound func(Key, time.Time) bool) map[Key]*tally {
	causes := crashesUnder(breaks, explained)
	all := make(map[Key]*tally)
	isSingle := func(Key) bool { return false }
	if countParts(breaks) > maxTalliedParts {
		several := keysAtSeveral(breaks)
		isSingle = func(key Key) bool { return !several[key] }
	}
	for i := range breaks {
		b := &breaks[i]
		request, part := b.firstOf(explained)
		cause := causes.of(b)
		if part || cause == byPart {
			continue
		}
		for depth, key := range b.keys() {
			switch {
			case key.Request && request != nil, !key.Request && request == nil && cause == byRequest:
				continue
			case isSingle(key), isSound(key, b.At):
				continue
			}
			t := all[key]
			if t == nil {
				t = &tally{key: key, prompts: make(map[uint64]bool)}
				all[key] = t
			}
			t.add(b, request, depth)
		}
	}
	for _, t := range all {
		t.count()
	}
	return all
}

// keysAtSeveral returns the keys that are in breaks at several upstreams. A single crash is never conclusive.
func keysAtSeveral(breaks []Break) map[Key]bool {
	first, several := make(map[Key]string), make(map[Key]bool)
	for i := range breaks {
		b := &breaks[i]
		for _, key := range b.keys() {
			switch upstream, ok := first[key]; {
			case !ok:
				first[key] = b.Upstream
			case upstream != b.Upstream:
				several[key] = true
			}
		}
	}
	return several
}

// firstOf returns the first of the keys that is a request's and that the break has, and whether it has a part among them.
func (b *Break) firstOf(keys []Key) (request *Key, part bool) {
	for i, key := range keys {
		switch {
		case !b.has(key):
		case !key.Request:
			return nil, true
		case request == nil:
			request = &keys[i]
		}
	}
	return request, false
}

// explanation says by what kind of key a crash is explained. Several requests that crash engines often break off together, so that one that
// explains a crash is held against parts only.
type explanation int

const (
	unexplained explanation = iota
	byRequest
	byPart
)

// explainedCrashes holds, by upstream, the times of breaks of requests with keys that explain them.
type explainedCrashes map[string][]explainedBreak

type explainedBreak struct {
	at time.Time
	by explanation
}

func crashesUnder(breaks []Break, explained []Key) explainedCrashes {
	out := make(explainedCrashes)
	for i := range breaks {
		b := &breaks[i]
		request, part := b.firstOf(explained)
		switch {
		case part:
			out[b.Upstream] = append(out[b.Upstream], explainedBreak{b.At, byPart})
		case request != nil:
			out[b.Upstream] = append(out[b.Upstream], explainedBreak{b.At, byRequest})
		}
	}
	return out
}

// of returns what explains the crash by which an attempt broke off.
func (e explainedCrashes) of(b *Break) explanation {
	by := unexplained
	for _, c := range e[b.Upstream] {
		if c.at.Sub(b.At).Abs() <= collateralTime {
			by = max(by, c.by)
		}
	}
	return by
}

func (b *Break) has(key Key) bool {
	ids := b.Parts
	if key.Request {
		ids = b.Fingerprints
	}
	return b.Service == key.Service && slices.Contains(ids, key.ID)
}

// keys returns the keys of the request that broke off: its parts in the order of the prompt, then its fingerprints.
func (b *Break) keys() []Key {
	out := make([]Key, 0, len(b.Parts)+len(b.Fingerprints))
	for _, id := range b.Parts {
		out = append(out, Key{Service: b.Service, ID: id})
	}
	for _, id := range b.Fingerprints {
		out = append(out, Key{Service: b.Service, ID: id, Request: true})
	}
	return out
}
