package quarantine

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// ErrInvalid is returned for what another process has written and what cannot be read.
var ErrInvalid = errors.New("quarantine: unusable object")

// Report is a Break as published.
type Report struct {
	Service  string   `json:"service"`
	Upstream string   `json:"upstream"`
	Prompt   uint64   `json:"prompt"`
	Parts    []uint64 `json:"parts"`
	AgeMs    int64    `json:"ageMs"`
}

// Reports returns the breaks as published at now.
func Reports(now time.Time, breaks []Break) []Report {
	var out []Report
	for _, b := range breaks {
		out = append(out, Report{b.Service, b.Upstream, b.Prompt, b.Parts, now.Sub(b.At).Milliseconds()})
	}
	return out
}

// ReadReports returns the breaks of reports that were published at a time. It leaves out those that cannot be.
func ReadReports(published time.Time, reports []Report) []Break {
	var out []Break
	for _, r := range reports[:min(len(reports), maxPublished)] {
		if r.AgeMs < 0 || r.AgeMs > evidenceTime.Milliseconds() || len(r.Parts) > maxParts {
			continue
		}
		at := published.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		out = append(out, Break{At: at, Service: r.Service, Upstream: r.Upstream, Prompt: r.Prompt, Parts: r.Parts})
	}
	return out
}

// stored is a part in quarantine as stored.
type stored struct {
	Service string `json:"service"`
	Part    string `json:"part"`    // in hexadecimal
	Entry   string `json:"entry"`   // that probes the part
	AgeMs   int64  `json:"ageMs"`   // of the first crash that counted, when this was written
	Crashes int    `json:"crashes"` // that counted
	Probes  int    `json:"probes"`
}

// maxAgeMs bounds what is believed of an age.
const maxAgeMs = 24 * 3_600_000

func (k Key) objectName() string { return k.Service + "-" + strconv.FormatUint(k.Part, 16) }

func decode(o fighollow.Object) (Key, stored, error) {
	var s stored
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return Key{}, s, fmt.Errorf("%w: %s: %w", ErrInvalid, o.Name, err)
	}
	part, err := strconv.ParseUint(s.Part, 16, 64)
	key := Key{s.Service, part}
	if err != nil || key.objectName() != o.Name || s.AgeMs < 0 || s.AgeMs > maxAgeMs || s.Crashes < 0 || s.Probes < 0 {
		return Key{}, s, fmt.Errorf("%w: %s", ErrInvalid, o.Name)
	}
	return key, s, nil
}

// Apply applies objects of KindQuarantine that were listed or have changed; snapshot means that there are no others. It returns the
// parts that are newly in quarantine, those that no longer are, and errors for objects that cannot be read, which are ignored.
func (t *Tracker) Apply(now time.Time, objects []fighollow.Object, snapshot bool) (added, ended []Key, errs []error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[Key]bool)
	for _, o := range objects {
		if o.Deleted {
			if key, ok := t.byName(o.Name); ok && o.Version > t.cases[key].version {
				// Evidence until now does not count any more, but the reason need not be an answer.
				t.sound[key] = soundness{at: now, before: now, objected: true}
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

// byName returns the part in quarantine whose object has this name.
func (t *Tracker) byName(name string) (Key, bool) {
	for key := range t.cases {
		if key.objectName() == name {
			return key, true
		}
	}
	return Key{}, false
}

// applyCase applies the stored state of a part. It reports whether the part was not in quarantine before.
func (t *Tracker) applyCase(now time.Time, key Key, s stored, version uint64) bool {
	q := t.cases[key]
	if q != nil && version <= q.version {
		return false
	}
	crashedAt := now.Add(-time.Duration(s.AgeMs) * time.Millisecond)
	if doubted := q == nil && s.Crashes < minCrashesSound && t.hasSoundHistory(now, key); doubted || t.sound[key].at.After(crashedAt) {
		// An answer with the part was completed here meanwhile, or lately: the crashes may be a coincidence. It is held against the
		// part only once.
		sound := t.sound[key]
		sound.objected = sound.objected || doubted
		t.sound[key] = sound
		t.lifts[key] = version
		delete(t.cases, key)
		return false
	}
	isNew := q == nil
	if isNew || !q.own || s.Entry != t.self {
		q = &quarantined{own: s.Entry == t.self, probes: s.Probes, probeAt: now.Add(hold(s.Probes))}
		t.put(key, q)
	}
	q.crashedAt, q.changedAt, q.version, q.published = crashedAt, now, version, true
	return isNew
}

// hold returns how long after so many probes that crashed engines the next one is due.
func hold(probes int) time.Duration { return min(minHold<<min(probes, 8), maxHold) }

// Write is a write to the store that is due.
type Write struct {
	Key      Key
	Object   fighollow.Object // without a value to delete it
	Expected uint64           // the version that the object must have; 0: it must not exist
}

// Writes returns the writes that are due.
func (t *Tracker) Writes(now time.Time) []Write {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Write
	for key, q := range t.cases {
		switch {
		case !q.sound.at.IsZero() && now.Sub(q.sound.at) >= revokeTime:
			t.lift(now, key)
		case now.Sub(q.changedAt) > caseLapse:
			t.drop(key)
		case q.own && !q.published:
			value, err := json.Marshal(stored{key.Service, strconv.FormatUint(key.Part, 16), t.self, now.Sub(q.crashedAt).Milliseconds(), q.crashes, q.probes})
			if err != nil {
				panic(err) // strings and numbers always encode
			}
			out = append(out, Write{key, fighollow.Object{Kind: fighollow.KindQuarantine, Name: key.objectName(), Value: value}, q.version})
		}
	}
	for key, version := range t.lifts {
		out = append(out, Write{key, fighollow.Object{Kind: fighollow.KindQuarantine, Name: key.objectName()}, version})
	}
	slices.SortFunc(out, func(a, b Write) int { return cmp.Compare(a.Object.Name, b.Object.Name) })
	return out
}

// Written records the result of a write.
func (t *Tracker) Written(w Write, version uint64, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	settled := errors.Is(err, fighollow.ErrConflict) || errors.Is(err, fighollow.ErrNotFound)
	if w.Object.Value == nil {
		if (err == nil || settled) && t.lifts[w.Key] == w.Expected {
			delete(t.lifts, w.Key)
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
	case settled:
		q.published = true // another entry was faster; the follower brings its object
	}
}
