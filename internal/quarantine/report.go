package quarantine

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// maxPublished bounds the breaks that each entry publishes, maxPublishedParts the parts of all of them, and maxPublishedPrints the
	// fingerprints of each.
	maxPublished       = 32
	maxPublishedParts  = 512
	maxPublishedPrints = 16
	// reportInterval is the least pause between two writes of this entry's reports. The first is written at once.
	reportInterval = 500 * time.Millisecond
	// maxReporters bounds the entries whose reports are kept.
	maxReporters = 1024
)

// Report is a Break as published.
type Report struct {
	Service      string   `json:"service"`
	Upstream     string   `json:"upstream"`
	Prompt       uint64   `json:"prompt,omitempty"`
	Parts        []uint64 `json:"parts,omitempty"`
	Fingerprints []uint64 `json:"fingerprints,omitempty"`
	AgeMs        int64    `json:"ageMs"`
	TookMs       int64    `json:"tookMs"` // from the sending of the attempt to the break
	Began        bool     `json:"began,omitempty"`
}

// Reports returns the breaks as published at now.
func Reports(now time.Time, breaks []Break) []Report {
	var out []Report
	for _, b := range breaks {
		out = append(out, Report{
			b.Service, b.Upstream, b.Prompt, b.Parts, b.Fingerprints, now.Sub(b.At).Milliseconds(), b.At.Sub(b.SentAt).Milliseconds(), b.Began,
		})
	}
	return out
}

// ReadReports returns the breaks of reports that were published at a time. It leaves out those that cannot be.
func ReadReports(published time.Time, reports []Report) []Break {
	var out []Break
	parts := 0
	for _, r := range reports[:min(len(reports), maxPublished)] {
		if r.AgeMs < 0 || r.AgeMs > evidenceTime.Milliseconds() || r.TookMs < 0 || r.TookMs > maxAgeMs ||
			parts+len(r.Parts) > maxPublishedParts || len(r.Fingerprints) > maxPublishedPrints {
			continue
		}
		parts += len(r.Parts)
		at := published.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		out = append(out, Break{
			At: at, SentAt: at.Add(-time.Duration(r.TookMs) * time.Millisecond), Service: r.Service, Upstream: r.Upstream, Prompt: r.Prompt,
			Parts: r.Parts, Fingerprints: r.Fingerprints, Began: r.Began,
		})
	}
	return out
}

// reports are the breaks that entries publish, each in an object of its own. Only the observers among the entries follow those of others.
type reports struct {
	byEntry map[string]*entryReports
	lapse   time.Duration // after which an object that has not changed is deleted; it differs from entry to entry
	triedAt time.Time     // when this entry last wrote its own
	isDue   bool          // an attempt broke off here since
	isOwn   bool          // this process has written its own, in place of those of an earlier one
	era     uint64        // of the store
}

// entryReports is the object of one entry.
type entryReports struct {
	version   uint64
	changedAt time.Time // when this entry knew of it
	breaks    []Break
}

func newReports() reports {
	return reports{byEntry: make(map[string]*entryReports), lapse: 2*evidenceTime + rand.N(evidenceTime)}
}

// breaks returns what the other entries have published, without what is void.
func (r *reports) breaks(self string, isVoid func(Break) bool) (out []Break) {
	for entry, e := range r.byEntry {
		if entry != self {
			e.breaks = slices.DeleteFunc(e.breaks, isVoid)
			out = append(out, e.breaks...)
		}
	}
	return out
}

// ApplyReports applies objects of KindCrashReports that were listed or have changed; snapshot means that there are no others. It returns
// errors for objects that cannot be read, which are ignored. The next judgement takes them into account.
func (t *Tracker) ApplyReports(now time.Time, objects []fighollow.Object, snapshot bool) (errs []error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(objects) > 0 {
		t.newsAt = now
	}
	listed := make(map[string]bool)
	for _, o := range objects {
		e := t.reports.byEntry[o.Name]
		listed[o.Name] = !o.Deleted
		switch {
		case e != nil && o.Version <= e.version && !snapshot:
		case o.Deleted:
			delete(t.reports.byEntry, o.Name)
		case e != nil && o.Version == e.version:
		case e == nil && len(t.reports.byEntry) >= maxReporters:
		default:
			var published []Report
			if err := json.Unmarshal(o.Value, &published); err != nil {
				errs = append(errs, fmt.Errorf("%w: %s: %w", ErrInvalid, o.Name, err))
				published = nil // json.Unmarshal keeps what came before the error
			}
			breaks := ReadReports(now, published)
			if e == nil && o.Name == t.self && !t.reports.isOwn {
				t.breaks = slices.Concat(breaks, t.breaks) // of an earlier process of this entry
			}
			t.reports.byEntry[o.Name] = &entryReports{o.Version, now, breaks}
		}
	}
	if snapshot && !listed[t.self] {
		t.reports.isDue = true
	}
	for name := range t.reports.byEntry {
		if snapshot && !listed[name] {
			delete(t.reports.byEntry, name)
		}
	}
	return errs
}

// StopObserving forgets what other entries have published: this entry no longer follows their objects.
func (t *Tracker) StopObserving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for entry := range t.reports.byEntry {
		if entry != t.self {
			delete(t.reports.byEntry, entry)
		}
	}
}

// SetEra tells the era of the store. When a new one begins, this entry's reports may be missing and are written again.
func (t *Tracker) SetEra(era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports.era != era {
		t.reports.era, t.reports.isDue = era, true
	}
}

// applyOwn applies this entry's object as read after a write that did not find it as expected; ok is false if there is none.
func (t *Tracker) applyOwn(now time.Time, o fighollow.Object, ok bool) []error {
	if !ok {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.reports.byEntry, t.self)
		return nil
	}
	return t.ApplyReports(now, []fighollow.Object{o}, false)
}

// reportWrites returns the writes of reports that are due: this entry's after a new break, and the deletion of those that have lapsed.
func (t *Tracker) reportWrites(now time.Time) (out []Write) {
	if t.reports.isDue && now.Sub(t.reports.triedAt) >= reportInterval {
		t.reports.triedAt, t.reports.isDue = now, false
		breaks := t.published(now)
		value, err := json.Marshal(Reports(now, breaks))
		if err != nil {
			panic(err) // strings and numbers always encode
		}
		var version uint64
		if own := t.reports.byEntry[t.self]; own != nil {
			version = own.version
		}
		if len(breaks) > 0 {
			out = append(out, Write{Object: fighollow.Object{Kind: fighollow.KindCrashReports, Name: t.self, Value: value}, Expected: version})
		}
	}
	for entry, e := range t.reports.byEntry {
		if now.Sub(e.changedAt) > t.reports.lapse {
			e.changedAt = now
			out = append(out, Write{Object: fighollow.Object{Kind: fighollow.KindCrashReports, Name: entry}, Expected: e.version})
		}
	}
	return out
}

// written records the result of a write of reports. After a conflict, the Writer reads the version that the object has.
func (r *reports) written(w Write, version uint64, err error) {
	if w.Object.Value != nil && (err == nil || errors.Is(err, fighollow.ErrUnknownOutcome)) {
		r.isOwn = true
	}
	switch {
	case err != nil:
		r.isDue = r.isDue || w.Object.Value != nil
	case w.Object.Value == nil:
		delete(r.byEntry, w.Object.Name)
	default:
		r.byEntry[w.Object.Name] = &entryReports{version: version, changedAt: r.triedAt}
	}
}

// Evidence returns the breaks of this entry that say most, with the keys that were not exonerated, for publication. The newest comes
// last.
func (t *Tracker) Evidence(now time.Time) []Break {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.published(now)
}

func (t *Tracker) published(now time.Time) []Break {
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
		out[i].Parts = slices.DeleteFunc(slices.Clone(b.Parts), func(id uint64) bool { return t.isSound(Key{Service: b.Service, ID: id}, b.At) })
		out[i].Fingerprints = slices.DeleteFunc(slices.Clone(b.Fingerprints), func(id uint64) bool {
			return t.isSound(Key{Service: b.Service, ID: id, Request: true}, b.At)
		})
	}
	if countParts(out) > maxPublishedParts {
		t.cutParts(out, all)
	}
	return out
}

// cutParts leaves the parts of breaks that the evidence speaks against most, as many as are published. Each break has the same share of them, and
// what those with fewer parts leave.
func (t *Tracker) cutParts(breaks, evidence []Break) {
	against := tallies(evidence, nil, t.isSound)
	strength := func(service string, id uint64) float64 {
		if c := against[Key{Service: service, ID: id}]; c != nil {
			return c.strength()
		}
		return 0
	}
	byLength := slices.Clone(breaks)
	slices.SortStableFunc(byLength, func(a, b Break) int { return cmp.Compare(len(a.Parts), len(b.Parts)) })
	share, left := 0, maxPublishedParts
	for i, b := range byLength {
		share = left / (len(byLength) - i)
		if len(b.Parts) > share {
			break
		}
		left -= len(b.Parts)
	}
	for i := range breaks {
		b := &breaks[i]
		if len(b.Parts) <= share {
			continue
		}
		// Entries that know the same choose the same parts.
		chosen := slices.SortedFunc(slices.Values(b.Parts), func(x, y uint64) int {
			return cmp.Or(cmp.Compare(strength(b.Service, y), strength(b.Service, x)), cmp.Compare(x, y))
		})[:share]
		b.Parts = slices.DeleteFunc(b.Parts, func(id uint64) bool { return !slices.Contains(chosen, id) })
	}
}

// sortByStrength orders breaks by the strongest evidence against one of their keys, the newest first where it is the same.
func (t *Tracker) sortByStrength(breaks, evidence []Break) {
	against := tallies(evidence, nil, t.isSound)
	strength := func(b Break) (most float64) {
		for _, key := range b.keys() {
			if c := against[key]; c != nil {
				most = max(most, c.strength())
			}
		}
		return most
	}
	slices.SortStableFunc(breaks, func(a, b Break) int { return cmp.Or(cmp.Compare(strength(b), strength(a)), b.At.Compare(a.At)) })
}
