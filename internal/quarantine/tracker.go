package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// evidenceTime is how long a break counts.
	evidenceTime = time.Minute
	// maxBreaks bounds the breaks of this entry that are kept, and maxCases what is in quarantine.
	maxBreaks = 512
	maxCases  = 256
	// unsiftedParts is the number of parts of a prompt up to which all are kept with a break. Of a longer one those that an answer
	// exonerates are left out, which speak for nothing.
	unsiftedParts = 16
	// maxBreakParts bounds the parts of all breaks of this entry that are kept, of 8 bytes each. They suffice for minCrashes under the longest
	// prompts of which nothing is known, and can be judged in some milliseconds.
	maxBreakParts = 1 << 14
	// minHold and maxHold bound the time until one request with a key in quarantine is sent as a probe. It doubles with each
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
	// downMargin is how long after an engine's crash an attempt may have been sent that counts as running at it: the times that other
	// entries report are inexact.
	downMargin = 150 * time.Millisecond
	// claimTime is how long after a probe is due another entry takes over: the request may not come to the one that blamed it any more.
	claimTime = 10 * time.Second
	// caseLapse is how long a key stays in quarantine whose entry does not renew it.
	caseLapse = 10 * time.Minute
)

// Tracker is one entry's view of the parts and the requests that crash engines. It is safe for concurrent use.
type Tracker struct {
	self string

	mu      sync.Mutex
	breaks  []Break // of this entry, oldest first
	reports reports // of all entries
	sound   *soundMemory
	alive   map[string]time.Time // when each upstream last replied to this entry
	crashed map[string]time.Time // when an answer of each upstream first broke off midway
	cases   map[Key]*quarantined
	judged  time.Time         // when the evidence was last judged
	newsAt  time.Time         // when an attempt last broke off, here or by a report of another entry
	lifts   map[Key]uint64    // versions of cases to delete from the store
	liftAt  map[Key]time.Time // when an objection among them is due
	entries int
}

// quarantined is a part or a request in quarantine.
type quarantined struct {
	crashedAt time.Time // the first crash that counted
	crashes   int       // that counted
	addedAt   time.Time // when this entry first knew of the quarantine
	changedAt time.Time // the last change that this entry knows of
	blamedAt  time.Time // when this entry concluded it
	own       bool      // this entry probes it and publishes the result
	claimed   bool      // this entry asks the store to be the one that probes it
	published bool      // the store has the state of this entry
	version   uint64    // of the store's object; 0 if it is not known
	probes    int       // that crashed engines
	probeAt   time.Time // when the next one is due
	probing   time.Time // when the last one was sent
}

// New returns an empty Tracker for an entry; self is its name and memoryMB the memory of its process, 0 if that is not known.
func New(self string, memoryMB int) *Tracker {
	return &Tracker{
		self: self, reports: newReports(), sound: newSoundMemory(memoryMB), alive: make(map[string]time.Time), crashed: make(map[string]time.Time), cases: make(map[Key]*quarantined),
		lifts: make(map[Key]uint64), liftAt: make(map[Key]time.Time), entries: 1,
	}
}

// SetEntries sets how many entries there are, this one included.
func (t *Tracker) SetEntries(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = n
}

// Admission says whether a request may be sent to an engine.
type Admission struct {
	Withheld bool
	Key      Key           // in quarantine, if Withheld or Probe is set
	RetryIn  time.Duration // until a request with the key may be tried, if Withheld is set
	Probe    bool          // the request is a probe of a key in quarantine: it must not be repeated
}

// Admit judges a request.
func (t *Tracker) Admit(now time.Time, r *Request) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, lapsed, withheld := t.admission(now, r)
	for _, key := range lapsed {
		t.drop(key)
	}
	for _, key := range withheld {
		q := t.cases[key]
		q.claimed = !q.own && now.Sub(q.probeAt) >= claimTime
	}
	if a.Probe { // of all keys in quarantine, so that there is one at a time
		for key := range r.keys() {
			if q := t.cases[key]; q != nil {
				q.probing = now
			}
		}
	}
	return a
}

// Preview returns what Admit would return, and changes nothing.
func (t *Tracker) Preview(now time.Time, r *Request) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, _, _ := t.admission(now, r)
	return a
}

// admission judges a request. It also returns which of its keys are not in quarantine any more, and which withhold it.
func (t *Tracker) admission(now time.Time, r *Request) (a Admission, lapsed, withheld []Key) {
	if len(t.cases) == 0 {
		return a, nil, nil
	}
	for key := range r.keys() {
		q := t.cases[key]
		switch {
		case q == nil:
		case now.Sub(q.changedAt) > caseLapse:
			lapsed = append(lapsed, key)
		case q.own && !now.Before(q.probeAt) && now.Sub(q.probing) > probeTime && !a.Withheld:
			a = Admission{Key: key, Probe: true}
		default:
			withheld = append(withheld, key)
			a = Admission{Withheld: true, Key: key, RetryIn: max(q.probeAt.Sub(now), time.Second)}
		}
	}
	return a, lapsed, withheld
}

// MayRepeat reports whether a request that broke off may be sent to another engine: none of its keys is in quarantine or has been
// in two crashes without a completed answer since.
func (t *Tracker) MayRepeat(now time.Time, r *Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	brokeAt := make(map[Key]string) // upstream at which a request with the key broke off; empty if there is none
	for key := range r.keys() {
		if t.cases[key] != nil {
			return false
		}
		brokeAt[key] = ""
	}
	if !t.brokeAtTwo(brokeAt) {
		return true // as after most failures, so that the evidence need not be judged
	}
	for key, c := range tallies(t.evidence(now), slices.Collect(maps.Keys(t.cases)), t.seemsSound) {
		if _, ok := brokeAt[key]; ok && c.isConclusive(minCrashes-1) {
			return false
		}
	}
	return true
}

// brokeAtTwo reports whether requests with one of the keys of brokeAt broke off at two upstreams. It sets the first ones.
func (t *Tracker) brokeAtTwo(brokeAt map[Key]string) bool {
	isSecond := func(b Break) bool {
		for _, key := range b.keys() {
			first, ok := brokeAt[key]
			switch {
			case !ok || first == b.Upstream:
			case first != "":
				return true
			default:
				brokeAt[key] = b.Upstream
			}
		}
		return false
	}
	for _, e := range t.reports.byEntry {
		if slices.ContainsFunc(e.breaks, isSecond) {
			return true
		}
	}
	return slices.ContainsFunc(t.breaks, isSecond)
}

// Answered records that the answer of an upstream to a request began. One that it crashes under never begins.
func (t *Tracker) Answered(now time.Time, upstream string, r *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sound.add(now, r, upstream)
}

// Abandoned records that this entry ended an attempt whose answer had begun. If that was shortly before, nothing shows that the upstream lived on.
func (t *Tracker) Abandoned(now time.Time, upstream string, r *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sound.revoke(now, upstream, r)
}

// Interrupted records that the connection of an attempt broke whose answer had begun, so long after it was sent and after its answer began. An
// answer that had gone on for some time is no evidence: what crashes engines does so when they begin to answer it.
func (t *Tracker) Interrupted(now time.Time, upstream string, r *Request, sent, begun time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if begun < revokeTime {
		t.broke(now, upstream, r, sent, true)
		return
	}
	t.sound.revoke(now, upstream, nil)
	for key := range r.keys() {
		if q := t.cases[key]; q != nil && q.own {
			q.probing = time.Time{}
		}
	}
	if _, ok := t.crashed[upstream]; ok {
		return
	}
	if len(t.crashed) >= maxAlive {
		clear(t.crashed)
	}
	t.crashed[upstream] = now
}

// Broke records that the connection of an attempt broke before its answer began, so long after it was sent.
func (t *Tracker) Broke(now time.Time, upstream string, r *Request, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broke(now, upstream, r, after, false)
}

func (t *Tracker) broke(now time.Time, upstream string, r *Request, after time.Duration, began bool) {
	t.sound.revoke(now, upstream, nil)
	for key := range r.keys() {
		if q := t.cases[key]; q != nil && q.own && !q.probing.IsZero() {
			q.probes++
			q.probing, q.published, q.changedAt = time.Time{}, false, now
			q.probeAt = now.Add(hold(q.probes))
		}
	}
	b := Break{
		At: now, SentAt: now.Add(-after), Service: r.Service, Upstream: upstream, Prompt: r.own, Parts: r.partIDs(), Fingerprints: r.fingerprints, Began: began,
	}
	t.sift(&b)
	t.breaks = append(t.breaks, b)
	t.newsAt, t.reports.isDue = now, true
	t.boundParts()
	if len(t.breaks) > maxBreaks {
		t.breaks = slices.DeleteFunc(t.breaks, t.isExonerated)
	}
	if len(t.breaks) > maxBreaks {
		t.breaks = slices.Delete(t.breaks, 0, len(t.breaks)-maxBreaks)
	}
}

// sift leaves out of a break with many parts those that were exonerated since.
func (t *Tracker) sift(b *Break) {
	if len(b.Parts) <= unsiftedParts {
		return
	}
	kept := slices.DeleteFunc(b.Parts, func(id uint64) bool { return t.isSound(Key{Service: b.Service, ID: id}, b.At) })
	b.Parts = slices.Clip(slices.Clone(kept))
}

// boundParts bounds the parts of the breaks that are kept. What answers have not exonerated goes with the oldest break.
func (t *Tracker) boundParts() {
	if countParts(t.breaks) <= maxBreakParts {
		return
	}
	for i := range t.breaks {
		t.sift(&t.breaks[i])
	}
	n := countParts(t.breaks)
	oldest := 0
	for ; n > maxBreakParts; oldest++ {
		n -= len(t.breaks[oldest].Parts)
	}
	t.breaks = slices.Delete(t.breaks, 0, oldest)
}

func countParts(breaks []Break) (n int) {
	for i := range breaks {
		n += len(breaks[i].Parts)
	}
	return n
}

// Judge judges the evidence if that is due, and returns the keys that are in quarantine because of it.
func (t *Tracker) Judge(now time.Time) []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.judged) < judgeInterval || t.judged.Sub(t.newsAt) > settleTime+judgeInterval {
		return nil
	}
	return t.judge(now)
}

// view is a Tracker at a moment. It implements judge.
type view struct {
	*Tracker
	now time.Time
}

func (v view) crashesNeeded(key Key) int {
	if v.hasSoundHistory(v.now, key) || v.isDoubted(v.now, key) || v.sound.mayHaveForgotten(v.now, key) {
		return minCrashesSound
	}
	return minCrashes
}

// isCommon implements judge. Without the requests that have such a part few are left to be served, and what has crashed engines since it came
// is rarely what many answers have had.
func (v view) isCommon(key Key) bool { return !key.Request && v.sound.isCommon(v.now, key) }

// isSettled implements judge.
func (v view) isSettled(key Key, crash time.Time) bool {
	if key.Request {
		return v.now.Sub(crash) >= settleTimeRequest
	}
	return v.now.Sub(crash) >= settleTime
}

// hasSoundHistory reports whether an answer to a request with the key was completed lately.
func (t *Tracker) hasSoundHistory(now time.Time, key Key) bool {
	s := t.sound.get(key)
	return !s.settled.IsZero() && now.Sub(s.settled) < evidenceTime
}

// judge puts parts and requests into quarantine. It releases those that this entry has blamed lately and whose crashes a newly blamed one explains.
func (t *Tracker) judge(now time.Time) (added []Key) {
	t.judged = now
	evidence := t.evidence(now)
	if len(evidence) < minCrashes {
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
	for _, key := range blame(evidence, settled, view{t, now}) {
		if t.cases[key] != nil {
			continue
		}
		crashedAt, crashes := tallies(evidence, nil, t.isSound)[key].counted()
		t.begin(now, key, crashedAt, crashes)
		added = append(added, key)
		if wide, ok := fromAnyAddress(evidence, key, view{t, now}); ok && t.cases[wide] == nil {
			// No crash speaks against the wide key alone, so that an entry which has seen an answer with it lately must object.
			t.begin(now, wide, crashedAt, minCrashes)
			added = append(added, wide)
		}
	}
	for _, key := range recent {
		if t.isExplained(now, key, evidence, added) {
			t.drop(key)
		}
	}
	return added
}

// begin puts a key into quarantine because of evidence that this entry has.
func (t *Tracker) begin(now time.Time, key Key, crashedAt time.Time, crashes int) {
	t.put(key, &quarantined{
		crashedAt: crashedAt, crashes: crashes, addedAt: now, changedAt: now, blamedAt: now, own: true, probeAt: now.Add(minHold),
	})
}

// isExplained reports whether other keys, against which there is more evidence, explain all crashes that speak against a key.
func (t *Tracker) isExplained(now time.Time, key Key, evidence []Break, others []Key) bool {
	v := view{t, now}
	all := tallies(evidence, nil, t.isSound)
	own := all[key]
	if own == nil || !own.isConclusive(minCrashes) {
		return false // the evidence has lapsed
	}
	var stronger []Key
	for _, other := range others {
		if c := all[other]; c != nil && c.strength() > own.strength() && v.crashesNeeded(other) <= v.crashesNeeded(key) {
			stronger = append(stronger, other)
		}
	}
	rest := tallies(evidence, stronger, t.isSound)[key]
	return rest == nil || rest.isUnder(stronger)
}

// put adds a key, in place of the one that has not changed for longest if there are too many.
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
	delete(t.liftAt, key)
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

// evidence returns the breaks that count, oldest first.
func (t *Tracker) evidence(now time.Time) []Break {
	t.sound.settle(now)
	isVoid := func(b Break) bool {
		return now.Sub(b.At) > evidenceTime || t.alive[b.Upstream].Sub(b.At) > aliveMargin
	}
	t.breaks = slices.DeleteFunc(t.breaks, isVoid)
	for i := range t.breaks {
		t.sift(&t.breaks[i])
	}
	out := slices.Concat(t.breaks, t.reports.breaks(t.self, isVoid))
	slices.SortFunc(out, compareBreaks)
	ended := maps.Clone(t.crashed) // by upstream, when it crashed
	return slices.DeleteFunc(out, func(b Break) bool {
		at, ok := ended[b.Upstream]
		if !ok {
			ended[b.Upstream] = b.At
		}
		return ok && b.SentAt.Sub(at) > downMargin // it was down already
	})
}

// compareBreaks orders breaks by time, and those of one moment in the same way at each entry.
func compareBreaks(a, b Break) int {
	return cmp.Or(
		a.At.Compare(b.At), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Prompt, b.Prompt), slices.Compare(a.Fingerprints, b.Fingerprints),
		slices.Compare(a.Parts, b.Parts), a.SentAt.Compare(b.SentAt),
	)
}

// isSound reports whether an answer shows that a key did not cause a break at this time.
func (t *Tracker) isSound(key Key, at time.Time) bool {
	return t.sound.get(key).settled.After(at.Add(-soundMargin))
}

// seemsSound is isSound for answers too that can still be revoked.
func (t *Tracker) seemsSound(key Key, at time.Time) bool {
	return t.sound.get(key).at.After(at.Add(-soundMargin))
}

// lift ends the quarantine of a key that was answered.
func (t *Tracker) lift(now time.Time, key Key) {
	*t.sound.use(now, key) = soundness{at: now, settled: now}
	t.drop(key)
}

// drop ends the quarantine of a key and has its object deleted.
func (t *Tracker) drop(key Key) {
	if q := t.cases[key]; q != nil && q.version > 0 {
		t.lifts[key] = q.version
		delete(t.liftAt, key)
	}
	delete(t.cases, key)
}

// isExonerated reports whether all keys of a break were exonerated.
func (t *Tracker) isExonerated(b Break) bool {
	return !slices.ContainsFunc(b.keys(), func(key Key) bool { return !t.isSound(key, b.At) })
}

// bytes returns the id for logs.
func (k Key) bytes() []byte { return binary.BigEndian.AppendUint64(nil, k.ID) }
