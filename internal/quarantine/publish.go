package quarantine

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/fighollow/fighollow/internal/rendezvous"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// objectionSpreadPerPair and maxObjectionSpread are the time over which the entries object to a quarantine, so that most see that
	// another one has: each objection is a call of the store and wakes all entries, so that what it saves grows with their square. It
	// is well below doubtTime.
	objectionSpreadPerPair = 200 * time.Microsecond
	maxObjectionSpread     = 2 * time.Second
)

// ErrInvalid is returned for what another process has written and what cannot be read.
var ErrInvalid = errors.New("quarantine: unusable object")

// stored is a part or a request in quarantine as stored.
type stored struct {
	Service string `json:"service"`
	Part    string `json:"part,omitempty"`    // in hexadecimal; empty for a request
	Request string `json:"request,omitempty"` // fingerprint in hexadecimal; empty for a part
	Entry   string `json:"entry"`             // that probes it
	AgeMs   int64  `json:"ageMs"`             // of the first crash that counted, when this was written
	Crashes int    `json:"crashes"`           // that counted
	Probes  int    `json:"probes"`
}

// maxAgeMs bounds what is believed of an age.
const maxAgeMs = 24 * 3_600_000

func (k Key) objectName() string {
	name := k.Service + "-"
	if k.Request {
		name += "request-"
	}
	return name + k.hex()
}

func (k Key) hex() string { return strconv.FormatUint(k.ID, 16) }

func decode(o fighollow.Object) (Key, stored, error) {
	var s stored
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return Key{}, s, fmt.Errorf("%w: %s: %w", ErrInvalid, o.Name, err)
	}
	id, err := strconv.ParseUint(s.Part+s.Request, 16, 64)
	key := Key{Service: s.Service, ID: id, Request: s.Request != ""}
	if err != nil || key.objectName() != o.Name || s.AgeMs < 0 || s.AgeMs > maxAgeMs || s.Crashes < 0 || s.Probes < 0 {
		return Key{}, s, fmt.Errorf("%w: %s", ErrInvalid, o.Name)
	}
	return key, s, nil
}

// encode returns the stored state of a key in quarantine that this entry probes.
func (t *Tracker) encode(now time.Time, key Key, q *quarantined) fighollow.Object {
	s := stored{Service: key.Service, Entry: t.self, AgeMs: now.Sub(q.crashedAt).Milliseconds(), Crashes: q.crashes, Probes: q.probes}
	if key.Request {
		s.Request = key.hex()
	} else {
		s.Part = key.hex()
	}
	value, err := json.Marshal(s)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return fighollow.Object{Kind: fighollow.KindQuarantine, Name: key.objectName(), Value: value}
}

// Apply applies objects of KindQuarantine that were listed or have changed; snapshot means that there are no others. It returns the
// keys that are newly in quarantine, those that no longer are, and errors for objects that cannot be read, which are ignored.
func (t *Tracker) Apply(now time.Time, objects []fighollow.Object, snapshot bool) (added, ended []Key, errs []error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[Key]bool)
	for _, o := range objects {
		if o.Deleted {
			t.forgetLift(o.Name)
			if key, ok := t.byName(o.Name); ok && o.Version > t.cases[key].version {
				if q := t.cases[key]; now.Sub(q.addedAt) < doubtTime {
					t.doubt(now, key)
					if q.crashes >= minCrashesSound { // more than a coincidence: the objector has seen an answer since the first
						t.exonerate(now, key, q.crashedAt)
					}
				} else {
					*t.sound.use(now, key) = soundness{at: now, settled: now}
				}
				delete(t.cases, key)
				ended = append(ended, key)
			}
			continue
		}
		key, s, err := decode(o)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		listed[key] = true
		if t.applyCase(now, key, s, o.Version) {
			added = append(added, key)
		}
	}
	if !snapshot {
		return added, ended, errs
	}
	for key, q := range t.cases {
		switch {
		case listed[key]:
		case q.own:
			q.version, q.published = 0, false // the store came back without it
		default:
			delete(t.cases, key)
			ended = append(ended, key)
		}
	}
	return added, ended, errs
}

// doubt makes more crashes necessary to put a key into quarantine. The evidence against it remains.
func (t *Tracker) doubt(now time.Time, key Key) {
	t.sound.use(now, key).doubtedAt = now
}

// exonerate makes crashes up to this one count no more against a key to which an entry has objected.
func (t *Tracker) exonerate(now time.Time, key Key, crash time.Time) {
	s := t.sound.use(now, key)
	if at := crash.Add(time.Nanosecond - soundMargin); at.After(s.at) {
		s.at, s.settled = at, at
	}
}

// isDoubted reports whether an entry has objected lately. One objection is enough.
func (t *Tracker) isDoubted(now time.Time, key Key) bool {
	return now.Sub(t.sound.get(key).doubtedAt) < evidenceTime
}

// objectionDelay returns how long this entry waits before it objects: another one may be faster. Its objection ends the quarantine for all.
func (t *Tracker) objectionDelay(key Key) time.Duration {
	spread := min(time.Duration(t.entries*(t.entries-1))*objectionSpreadPerPair, maxObjectionSpread)
	return time.Duration(float64(spread) * float64(rendezvous.Score(rendezvous.Key(t.self), key.ID)>>11) / (1 << 53))
}

// forgetLift forgets the deletion of an object that is gone.
func (t *Tracker) forgetLift(name string) {
	for key := range t.lifts {
		if key.objectName() == name {
			delete(t.lifts, key)
			delete(t.liftAt, key)
		}
	}
}

// byName returns the key in quarantine whose object has this name.
func (t *Tracker) byName(name string) (Key, bool) {
	for key := range t.cases {
		if key.objectName() == name {
			return key, true
		}
	}
	return Key{}, false
}

// applyCase applies the stored state of a key. It reports whether the key was not in quarantine before.
func (t *Tracker) applyCase(now time.Time, key Key, s stored, version uint64) bool {
	q := t.cases[key]
	if q != nil && version <= q.version {
		return false
	}
	crashedAt := now.Add(-time.Duration(s.AgeMs) * time.Millisecond)
	// An answer since the first crash shows that it had another cause. One before makes few crashes a coincidence, which is said once.
	t.sound.settle(now)
	isAnswered := t.sound.get(key).settled.After(crashedAt)
	isCoincidence := s.Crashes < minCrashesSound && q == nil && t.hasSoundHistory(now, key) && !t.isDoubted(now, key)
	if isAnswered || isCoincidence || q == nil && !key.Request && t.sound.isCommon(now, key) {
		t.doubt(now, key)
		t.lifts[key], t.liftAt[key] = version, now.Add(t.objectionDelay(key))
		delete(t.cases, key)
		return false
	}
	isNew := q == nil
	addedAt := now
	if !isNew {
		addedAt = q.addedAt
	}
	switch {
	case !isNew && q.claimed && s.Entry == t.self:
		q.own, q.claimed = true, false
	case isNew || !q.own || s.Entry != t.self:
		q = &quarantined{addedAt: addedAt, own: s.Entry == t.self, crashes: s.Crashes, probes: s.Probes, probeAt: now.Add(hold(s.Probes))}
		t.put(key, q)
	}
	q.crashedAt, q.changedAt, q.version, q.published = crashedAt, now, version, true
	return isNew
}

// hold returns how long after so many probes that crashed engines the next one is due.
func hold(probes int) time.Duration { return min(minHold<<min(probes, 8), maxHold) }

// Write is a write to the store that is due.
type Write struct {
	Key      Key              // zero for reports
	Object   fighollow.Object // without a value to delete it
	Expected uint64           // the version that the object must have; 0: it must not exist
}

// Writes returns the writes that are due.
func (t *Tracker) Writes(now time.Time) []Write {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Write
	t.sound.settle(now)
	for key, q := range t.cases {
		switch {
		case t.sound.get(key).settled.After(q.addedAt):
			t.lift(now, key)
		case now.Sub(q.changedAt) > caseLapse:
			t.drop(key)
		case q.own && !q.published, q.claimed:
			out = append(out, Write{key, t.encode(now, key, q), q.version})
		}
	}
	out = append(out, t.reportWrites(now)...)
	for key, version := range t.lifts {
		if now.Before(t.liftAt[key]) {
			continue
		}
		out = append(out, Write{key, fighollow.Object{Kind: fighollow.KindQuarantine, Name: key.objectName()}, version})
	}
	slices.SortFunc(out, func(a, b Write) int { return cmp.Compare(a.Object.Name, b.Object.Name) })
	return out
}

// Written records the result of a write.
func (t *Tracker) Written(w Write, version uint64, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.Object.Kind == fighollow.KindCrashReports {
		t.reports.written(w, version, err)
		return
	}
	settled := errors.Is(err, fighollow.ErrConflict) || errors.Is(err, fighollow.ErrNotFound)
	if w.Object.Value == nil {
		if (err == nil || settled) && t.lifts[w.Key] == w.Expected {
			delete(t.lifts, w.Key)
			delete(t.liftAt, w.Key)
		}
		return
	}
	q := t.cases[w.Key]
	switch {
	case q == nil:
		if err == nil {
			t.lifts[w.Key] = version // ended meanwhile
		}
	case err == nil:
		q.version, q.published = max(q.version, version), true
		q.own, q.claimed = true, false
	case settled:
		q.published, q.claimed = true, false // another entry was faster; the follower brings its object
	}
}
