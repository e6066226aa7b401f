package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// evidenceTime is how long a break counts.
	evidenceTime = time.Minute
	// maxBreaks bounds the breaks of this entry that are kept, and maxPublished those that each entry publishes.
	maxBreaks    = 512
	maxPublished = 32
	// maxParts bounds the parts of a prompt that are looked at.
	maxParts = 16
	// maxSound bounds the parts whose last completed answer is remembered, and maxCases those in quarantine.
	maxSound = 4096
	maxCases = 256
	// revokeTime is how long after an answer its engine must not crash for the answer to exonerate its parts. A short answer can
	// be complete before the engine that it crashes has ended.
	revokeTime = 500 * time.Millisecond
	// minHold and maxHold bound the time until one request with a part in quarantine is sent as a probe. It doubles with each
	// probe that crashes an engine.
	minHold = time.Minute
	maxHold = 4 * time.Minute
	// doubtTime is how soon after its beginning the end of a quarantine is an objection by an entry that has seen sound answers.
	doubtTime = 3 * time.Second
	// aliveMargin is how long after a break a reply of the upstream shows that it did not crash: earlier ones can have been on their way.
	aliveMargin = 150 * time.Millisecond
	// maxAlive bounds the upstreams whose last reply is remembered.
	maxAlive = 4096
	// probeTime is how long a probe may take.
	probeTime = 30 * time.Second
	// judgeInterval is the least pause between two judgements without news.
	judgeInterval = 250 * time.Millisecond
	// newsTime is how long after a break the reports of others are read more often.
	newsTime = 5 * time.Second
	// cutOffTime is how long the reports of other entries were not read when this entry decides alone.
	cutOffTime = 6 * time.Second
	// caseLapse is how long a part stays in quarantine whose entry does not renew it.
	caseLapse = 10 * time.Minute
)

// Tracker is one entry's view of the parts that crash engines. It is safe for concurrent use.
type Tracker struct {
	self string

	mu       sync.Mutex
	breaks   []Break // of this entry, oldest first
	reported []Break // of the others
	sound    map[Key]soundness
	alive    map[string]time.Time // when each upstream last replied to this entry
	cases    map[Key]*quarantined
	observed time.Time      // when the reports of the others were last read
	judged   time.Time      // when the evidence was last judged
	lifts    map[Key]uint64 // versions of cases to delete from the store
}

// soundness is when an answer to a prompt with a part was last completed.
type soundness struct {
	at       time.Time
	upstream string
	before   time.Time // the same of the answer before, for when at is revoked
	// doubtedAt is when an entry objected to a quarantine that few crashes spoke for.
	doubtedAt time.Time
}

// quarantined is a part in quarantine.
type quarantined struct {
	crashedAt time.Time // the first crash that counted
	crashes   int       // that counted
	addedAt   time.Time // when this entry first knew of the quarantine
	changedAt time.Time // the last change that this entry knows of
	blamedAt  time.Time // when this entry concluded it
	own       bool      // this entry concluded it, probes the part and publishes the result
	published bool      // the store has the state of this entry
	version   uint64    // of the store's object; 0 if it is not known
	probes    int       // that crashed engines
	probeAt   time.Time // when the next one is due
	probing   time.Time // when the last one was sent
	sound     soundness // the answer that ends the quarantine unless its engine crashes; zero if there is none
}

// New returns an empty Tracker for an entry; self is its name.
func New(self string) *Tracker {
	return &Tracker{self: self, sound: make(map[Key]soundness), alive: make(map[string]time.Time), cases: make(map[Key]*quarantined), lifts: make(map[Key]uint64)}
}

// Admission says whether a request may be sent to an engine.
type Admission struct {
	Withheld bool
	Part     Key           // in quarantine, if Withheld or Probe is set
	RetryIn  time.Duration // until a request with the part may be tried, if Withheld is set
	Probe    bool          // the request is a probe of a part in quarantine: it must not be repeated
}

// Admit judges a request for a service.
func (t *Tracker) Admit(now time.Time, service string, prompt []fighollow.PromptPart) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.cases) == 0 {
		return Admission{}
	}
	var a Admission
	for _, part := range sharedParts(prompt) {
		key := Key{service, part}
		q := t.cases[key]
		switch {
		case q == nil:
		case now.Sub(q.changedAt) > caseLapse:
			t.drop(key)
		case q.own && !now.Before(q.probeAt) && now.Sub(q.probing) > probeTime && !a.Withheld:
			a = Admission{Part: key, Probe: true}
		default:
			a = Admission{Withheld: true, Part: key, RetryIn: max(q.probeAt.Sub(now), time.Second)}
		}
	}
	if a.Probe {
		t.cases[a.Part].probing = now
	}
	return a
}

// MayRepeat reports whether a request that broke off may be sent to another engine: none of its parts is in quarantine or has been
// in two crashes without a completed answer since.
func (t *Tracker) MayRepeat(now time.Time, service string, prompt []fighollow.PromptPart) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	parts := sharedParts(prompt)
	for _, part := range parts {
		if t.cases[Key{service, part}] != nil {
			return false
		}
	}
	evidence := t.evidence(now)
	slices.SortStableFunc(evidence, func(a, b Break) int { return a.At.Compare(b.At) })
	for key, c := range tallies(evidence, t.isSound) {
		if key.Service == service && slices.Contains(parts, key.Part) && c.isConclusive(minCrashes-1) {
			return false
		}
	}
	return true
}

// Completed records that an engine completed an answer.
func (t *Tracker) Completed(now time.Time, service, upstream string, prompt []fighollow.PromptPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range sharedParts(prompt) {
		key := Key{service, part}
		t.sound[key] = soundness{at: now, upstream: upstream, before: t.sound[key].at, doubtedAt: t.sound[key].doubtedAt}
		if q := t.cases[key]; q != nil {
			q.sound = t.sound[key]
		}
	}
	t.forgetSound(now)
}

// forgetSound keeps the memory of sound parts bounded. Parts that few requests have are forgotten with the old ones.
func (t *Tracker) forgetSound(now time.Time) {
	if len(t.sound) <= maxSound {
		return
	}
	for key, s := range t.sound {
		if now.Sub(s.at) > evidenceTime || len(t.sound) > maxSound*3/4 && now.Sub(s.at) > soundMargin {
			delete(t.sound, key)
		}
	}
	for key := range t.sound {
		if len(t.sound) <= maxSound {
			return
		}
		delete(t.sound, key)
	}
}

// Broke records that the connection of an attempt broke while the engine worked on it.
func (t *Tracker) Broke(now time.Time, service, upstream string, prompt []fighollow.PromptPart) {
	parts := sharedParts(prompt)
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revoke(now, upstream)
	for _, part := range parts {
		if q := t.cases[Key{service, part}]; q != nil && q.own && !q.probing.IsZero() {
			q.probes++
			q.probing, q.published, q.changedAt = time.Time{}, false, now
			q.probeAt = now.Add(hold(q.probes))
		}
	}
	t.breaks = append(t.breaks, Break{At: now, Service: service, Upstream: upstream, Prompt: prompt[len(prompt)-1].ID, Parts: parts})
	if len(t.breaks) > maxBreaks {
		t.breaks = slices.DeleteFunc(t.breaks, t.isExonerated)
	}
	if len(t.breaks) > maxBreaks {
		t.breaks = slices.Delete(t.breaks, 0, len(t.breaks)-maxBreaks)
	}
}

// revoke takes back what answers say of their parts that an engine completed just before it crashed.
func (t *Tracker) revoke(now time.Time, upstream string) {
	for key, s := range t.sound {
		if s.upstream == upstream && now.Sub(s.at) < revokeTime {
			t.sound[key] = soundness{at: s.before, doubtedAt: s.doubtedAt}
		}
	}
	for _, q := range t.cases {
		if q.sound.upstream == upstream && now.Sub(q.sound.at) < revokeTime {
			q.sound = soundness{}
		}
	}
}

// Judge judges the evidence if that is due, and returns the parts that are in quarantine because of it.
func (t *Tracker) Judge(now time.Time) []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.judged) < judgeInterval {
		return nil
	}
	return t.judge(now)
}

// Observe replaces what other entries have published, and returns the parts that are in quarantine because of it.
func (t *Tracker) Observe(now time.Time, breaks []Break) []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported, t.observed = breaks, now
	return t.judge(now)
}

// view is a Tracker at a moment. It implements judge.
type view struct {
	*Tracker
	now time.Time
}

func (v view) crashesNeeded(key Key) int {
	if v.hasSoundHistory(v.now, key) || v.isDoubted(v.now, key) {
		return minCrashesSound
	}
	return minCrashes
}

// isSettled implements judge. An entry that is cut off from the others decides alone.
func (v view) isSettled(crash time.Time) bool {
	return v.now.Sub(crash) >= settleTime && (v.observed.Sub(crash) >= reportTime || v.now.Sub(v.observed) >= cutOffTime)
}

// hasSoundHistory reports whether an answer with the part was completed lately.
func (t *Tracker) hasSoundHistory(now time.Time, key Key) bool {
	s, ok := t.sound[key]
	return ok && !s.at.IsZero() && now.Sub(s.at) < evidenceTime
}

// judge puts parts into quarantine. It releases those that this entry has blamed lately and whose crashes a newly blamed part explains.
func (t *Tracker) judge(now time.Time) (added []Key) {
	t.judged = now
	if len(t.breaks)+len(t.reported) < minCrashes {
		return nil
	}
	var settled, recent []Key
	for key, q := range t.cases {
		if q.own && q.probes == 0 && now.Sub(q.blamedAt) < evidenceTime/2 {
			recent = append(recent, key)
		} else {
			settled = append(settled, key)
		}
	}
	evidence := t.evidence(now)
	slices.SortStableFunc(evidence, func(a, b Break) int { return a.At.Compare(b.At) })
	for _, key := range blame(evidence, settled, view{t, now}) {
		if t.cases[key] != nil {
			continue
		}
		crashes := tallies(evidence, t.isSound)[key].crashes
		t.put(key, &quarantined{
			crashedAt: crashes[0].at, crashes: len(crashes), addedAt: now, changedAt: now, blamedAt: now, own: true, probeAt: now.Add(minHold),
		})
		added = append(added, key)
	}
	for _, key := range recent {
		if t.isExplained(now, key, evidence, added) {
			t.drop(key)
		}
	}
	return added
}

// isExplained reports whether other parts, against which there is more evidence, explain all crashes that speak against a part.
func (t *Tracker) isExplained(now time.Time, key Key, evidence []Break, others []Key) bool {
	v := view{t, now}
	all := tallies(evidence, t.isSound)
	own := all[key]
	if own == nil || !own.isConclusive(minCrashes) {
		return false // the evidence has lapsed
	}
	rest := slices.Clone(evidence)
	for _, other := range others {
		if c := all[other]; c != nil && c.strength() > own.strength() && v.crashesNeeded(other) <= v.crashesNeeded(key) {
			rest = unexplained(rest, other)
		}
	}
	return tallies(rest, t.isSound)[key] == nil
}

// put adds a part, in place of the one that has not changed for longest if there are too many.
func (t *Tracker) put(key Key, q *quarantined) {
	for len(t.cases) >= maxCases {
		var oldest Key
		for k, c := range t.cases {
			if o := t.cases[oldest]; o == nil || c.changedAt.Before(o.changedAt) {
				oldest = k
			}
		}
		t.drop(oldest)
	}
	delete(t.lifts, key)
	t.cases[key] = q
}

// Replied records that an upstream replied to an attempt. One that crashed is another upstream when it is back, so that this shows
// that attempts there which broke off before did not crash it.
func (t *Tracker) Replied(now time.Time, upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.alive) >= maxAlive {
		clear(t.alive)
	}
	t.alive[upstream] = now
}

// evidence returns the breaks that count.
func (t *Tracker) evidence(now time.Time) []Break {
	isVoid := func(b Break) bool {
		return now.Sub(b.At) > evidenceTime || t.alive[b.Upstream].Sub(b.At) > aliveMargin
	}
	t.breaks, t.reported = slices.DeleteFunc(t.breaks, isVoid), slices.DeleteFunc(t.reported, isVoid)
	return slices.Concat(t.breaks, t.reported)
}

func (t *Tracker) isSound(key Key, at time.Time) bool {
	s, ok := t.sound[key]
	return ok && s.at.After(at.Add(-soundMargin))
}

// lift ends the quarantine of a part that was answered.
func (t *Tracker) lift(now time.Time, key Key) {
	t.sound[key] = soundness{at: now, before: now}
	t.drop(key)
}

// drop ends the quarantine of a part and has its object deleted.
func (t *Tracker) drop(key Key) {
	if q := t.cases[key]; q != nil && q.version > 0 {
		t.lifts[key] = q.version
	}
	delete(t.cases, key)
}

// isExonerated reports whether all parts of a break were exonerated.
func (t *Tracker) isExonerated(b Break) bool {
	return !slices.ContainsFunc(b.Parts, func(part uint64) bool { return !t.isSound(Key{b.Service, part}, b.At) })
}

// Evidence returns the breaks of this entry that say most, with the parts that were not exonerated, for publication. The newest comes
// last.
func (t *Tracker) Evidence(now time.Time) []Break {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.breaks) == 0 {
		return nil
	}
	all := t.evidence(now)
	out := slices.DeleteFunc(slices.Clone(t.breaks), t.isExonerated)
	if len(out) > maxPublished {
		t.sortByStrength(out, all)
		out = out[:maxPublished]
		slices.SortFunc(out, func(a, b Break) int { return a.At.Compare(b.At) })
	}
	for i, b := range out {
		out[i].Parts = slices.DeleteFunc(slices.Clone(b.Parts), func(part uint64) bool { return t.isSound(Key{b.Service, part}, b.At) })
	}
	return out
}

// sortByStrength orders breaks by the strongest evidence against one of their parts, the newest first where it is the same.
func (t *Tracker) sortByStrength(breaks, evidence []Break) {
	slices.SortStableFunc(evidence, func(a, b Break) int { return a.At.Compare(b.At) })
	against := tallies(evidence, t.isSound)
	strength := func(b Break) (most float64) {
		for _, part := range b.Parts {
			if c := against[Key{b.Service, part}]; c != nil {
				most = max(most, c.strength())
			}
		}
		return most
	}
	slices.SortStableFunc(breaks, func(a, b Break) int { return cmp.Or(cmp.Compare(strength(b), strength(a)), b.At.Compare(a.At)) })
}

// HasNews reports whether an attempt broke off here lately, so that others may have something to report.
func (t *Tracker) HasNews(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.breaks) - 1; i >= 0 && now.Sub(t.breaks[i].At) < newsTime; i-- {
		if !t.isExonerated(t.breaks[i]) {
			return true
		}
	}
	return false
}

// IsUrgent reports whether some part is likely to be found to crash engines soon, so that what others publish is worth reading often.
func (t *Tracker) IsUrgent(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.breaks) == 0 || now.Sub(t.breaks[len(t.breaks)-1].At) > evidenceTime/4 {
		return false
	}
	known := t.evidence(now)
	for key := range t.cases {
		known = unexplained(known, key)
	}
	slices.SortStableFunc(known, func(a, b Break) int { return a.At.Compare(b.At) })
	for _, c := range tallies(known, t.isSound) {
		if c.isConclusive(minCrashes - 1) {
			return true
		}
	}
	return false
}

// sharedParts returns the parts of a prompt that others can share: all but the last.
func sharedParts(prompt []fighollow.PromptPart) []uint64 {
	if len(prompt) < 2 {
		return nil
	}
	parts := make([]uint64, 0, min(len(prompt)-1, maxParts))
	for _, p := range prompt[:len(prompt)-1] {
		if len(parts) < maxParts {
			parts = append(parts, p.ID)
		}
	}
	return parts
}

// bytes returns the part for logs.
func (k Key) bytes() []byte {
	b := make([]byte, 8)
	binary.BigEndian.PutUint64(b, k.Part)
	return b
}
