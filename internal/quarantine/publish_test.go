package quarantine

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// object returns the object of a part that an entry put into quarantine after some crashes.
func object(version uint64, value string) fighollow.Object {
	return fighollow.Object{Kind: fighollow.KindQuarantine, Name: "models-29a", Version: version, Value: []byte(value)}
}

const (
	storedBad  = `{"service":"models","part":"29a","entry":"b","ageMs":2000,"crashes":3}`
	storedSure = `{"service":"models","part":"29a","entry":"b","ageMs":2000,"crashes":5}`
	storedOwn  = `{"service":"models","part":"29a","entry":"a","ageMs":2000,"crashes":3,"probes":1}`
)

// tookTime is how long the attempts of the tests take until they break off.
const tookTime = 50 * time.Millisecond

// prompt returns a request that is recognised only by the parts of its prompt.
func prompt(id uint64, parts ...uint64) *Request {
	return promptFor("models", id, parts...)
}

func promptFor(service string, id uint64, parts ...uint64) *Request {
	var all []fighollow.PromptPart
	for _, part := range append(slices.Clip(parts), id) {
		all = append(all, fighollow.PromptPart{ID: part})
	}
	return NewPrompt(service, all)
}

// concluded returns a Tracker that has put the part bad into quarantine by crashes of its own, and the time then.
func concluded(t *testing.T) (*Tracker, time.Time) {
	t.Helper()
	tr := New("a", 48)
	for i := range 3 {
		tr.Broke(start.Add(time.Duration(i)*time.Second), string(rune('x'+i)), prompt(uint64(1000+i), bad, uint64(10+i)), tookTime)
	}
	now := start.Add(2*time.Second + settleTime)
	tr.Judge(now)
	qt.Assert(t, tr.Admit(now, prompt(1, bad)).Withheld, qt.IsTrue)
	return tr, now
}

// caseWrites returns the writes of parts and requests in quarantine that are due.
func caseWrites(tr *Tracker, now time.Time) []Write {
	return slices.DeleteFunc(tr.Writes(now), func(w Write) bool { return w.Object.Kind != fighollow.KindQuarantine })
}

// write makes the writes of caseWrites succeed with the versions from this one on, and returns how many there were.
func write(tr *Tracker, now time.Time, version uint64) int {
	due := caseWrites(tr, now)
	for i, w := range due {
		tr.Written(w, version+uint64(i), nil)
	}
	return len(due)
}

// Guards against a quarantine that the other entries don't keep, or that outlasts its object.
func TestApplyFollowsTheStore(t *testing.T) {
	tr := New("a", 48)
	added, _, errs := tr.Apply(start, []fighollow.Object{object(7, storedBad)}, false)
	qt.Assert(t, errs, qt.HasLen, 0)
	qt.Assert(t, added, qt.DeepEquals, []Key{{Service: "models", ID: bad}})
	qt.Assert(t, tr.Admit(start, prompt(1, 5, bad)).Withheld, qt.IsTrue)
	qt.Assert(t, tr.Admit(start, promptFor("other", 1, 5, bad)).Withheld, qt.IsFalse)
	qt.Assert(t, tr.Admit(start, prompt(bad, 5)).Withheld, qt.IsFalse)
	_, ended, _ := tr.Apply(start, []fighollow.Object{{Name: "models-29a", Version: 6, Deleted: true}}, false)
	qt.Assert(t, ended, qt.HasLen, 0) // an old change
	_, ended, _ = tr.Apply(start, []fighollow.Object{{Name: "models-29a", Version: 8, Deleted: true}}, false)
	qt.Assert(t, ended, qt.HasLen, 1)
	qt.Assert(t, tr.Admit(start, prompt(1, bad)).Withheld, qt.IsFalse)
	tr.Apply(start, []fighollow.Object{object(9, storedBad)}, false)
	lapsed := start.Add(caseLapse + time.Second)
	qt.Assert(t, tr.Admit(lapsed, prompt(1, bad)).Withheld, qt.IsFalse)
	qt.Assert(t, caseWrites(tr, lapsed), qt.HasLen, 1) // the deletion
}

// Guards against a part of another entry that is withheld although it was answered here lately.
func TestApplyObjectsOnceToFewCrashes(t *testing.T) {
	for _, test := range []struct {
		name, value string
		want        bool // withheld
	}{{"few crashes", storedBad, false}, {"many crashes", storedSure, true}} {
		t.Run(test.name, func(t *testing.T) {
			tr := New("a", 48)
			tr.Answered(start.Add(-10*time.Second), "x", prompt(2, bad))
			tr.Apply(start, []fighollow.Object{object(7, test.value)}, false)
			qt.Assert(t, tr.Admit(start, prompt(1, bad)).Withheld, qt.Equals, test.want)
			if test.want {
				return
			}
			due := caseWrites(tr, start)
			qt.Assert(t, due, qt.HasLen, 1)
			qt.Assert(t, due[0].Object.Value, qt.IsNil)
			qt.Assert(t, due[0].Expected, qt.Equals, uint64(7))
			tr.Written(due[0], 8, nil)
			tr.Apply(start.Add(time.Second), []fighollow.Object{object(9, test.value)}, false)
			qt.Assert(t, tr.Admit(start.Add(time.Second), prompt(1, bad)).Withheld, qt.IsTrue)
		})
	}
}

// Guards against a quarantine that is lost with the store's newest writes, and against one of another entry that stays.
func TestApplyAfterTheStoreCameBackFromACopy(t *testing.T) {
	tr, now := concluded(t)
	qt.Assert(t, write(tr, now, 7), qt.Equals, 1)
	qt.Assert(t, caseWrites(tr, now), qt.HasLen, 0)
	tr.Apply(now, []fighollow.Object{{Name: "models-29b", Version: 8, Value: []byte(`{"service":"models","part":"29b","entry":"b","crashes":3}`)}}, false)
	_, ended, _ := tr.Apply(now, nil, true)
	qt.Assert(t, ended, qt.DeepEquals, []Key{{Service: "models", ID: bad2}})
	qt.Assert(t, tr.Admit(now, prompt(1, bad)).Withheld, qt.IsTrue)
	due := caseWrites(tr, now)
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Assert(t, due[0].Expected, qt.Equals, uint64(0))
}

// Guards against a part that nobody probes after its entry restarted.
func TestRestartedEntryProbesItsParts(t *testing.T) {
	tr := New("a", 48)
	tr.Apply(start, []fighollow.Object{object(7, storedOwn)}, true)
	qt.Assert(t, tr.Admit(start.Add(time.Second), prompt(1, bad)).Withheld, qt.IsTrue)
	qt.Assert(t, tr.Admit(start.Add(hold(1)), prompt(1, bad)).Probe, qt.IsTrue)
}

// Guards against two entries that conclude at once and overwrite each other's objects, or both probe.
func TestConflictingWrites(t *testing.T) {
	tr, now := concluded(t)
	due := caseWrites(tr, now)
	qt.Assert(t, due, qt.HasLen, 1)
	tr.Written(due[0], 0, fighollow.ErrConflict)
	qt.Assert(t, caseWrites(tr, now), qt.HasLen, 0)
	tr.Apply(now, []fighollow.Object{object(7, storedBad)}, false)
	qt.Assert(t, tr.Admit(now, prompt(1, bad)).Withheld, qt.IsTrue)
	qt.Assert(t, tr.Admit(now.Add(minHold+time.Second), prompt(1, bad)).Probe, qt.IsFalse)
}

// Guards against a write whose answer was lost that is not made again.
func TestUnansweredWriteIsRepeated(t *testing.T) {
	tr, now := concluded(t)
	due := caseWrites(tr, now)
	tr.Written(due[0], 0, fighollow.ErrUnavailable)
	qt.Assert(t, caseWrites(tr, now), qt.HasLen, 1)
}

// Guards against objects that are garbage and change what is withheld.
func TestApplyIgnoresMalformedObjects(t *testing.T) {
	for _, value := range []string{
		``, `{`, `null`, `[]`, `"a"`, `{"service":"models"}`, `{"service":"models","part":"xyz"}`, `{"service":"models","part":"29b"}`,
		`{"service":"models","part":"-29a"}`, `{"service":"other","part":"29a"}`, `{"service":"models","part":"029a","ageMs":-1}`,
		`{"service":"models","part":"29a","ageMs":-1}`, `{"service":"models","part":"29a","ageMs":9223372036854775807}`,
		`{"service":"models","part":"29a","ageMs":1e99}`, `{"service":"models","part":"29a","crashes":-1}`,
		`{"service":"models","part":"29a","probes":-1}`,
	} {
		tr := New("a", 48)
		added, ended, errs := tr.Apply(start, []fighollow.Object{object(7, value)}, false)
		qt.Check(t, errs, qt.HasLen, 1, qt.Commentf("%s", value))
		qt.Check(t, len(added)+len(ended), qt.Equals, 0)
		qt.Check(t, tr.Admit(start, prompt(1, bad)), qt.Equals, Admission{})
		qt.Check(t, caseWrites(tr, start), qt.HasLen, 0)
	}
}

// Guards against reports that are garbage and count as evidence.
func TestReadReportsIgnoresMalformedReports(t *testing.T) {
	for _, r := range []Report{
		{AgeMs: -1}, {AgeMs: evidenceTime.Milliseconds() + 1}, {AgeMs: 1 << 62}, {AgeMs: -1 << 63}, {Parts: make([]uint64, maxPublishedParts+1)},
		{Fingerprints: make([]uint64, maxPublishedPrints+1)}, {TookMs: -1}, {TookMs: 1 << 62},
	} {
		qt.Check(t, ReadReports(start, []Report{r}), qt.HasLen, 0, qt.Commentf("%+v", r))
	}
	qt.Check(t, ReadReports(start, make([]Report, 10_000)), qt.HasLen, maxPublished)
	for _, value := range []string{``, `{`, `"a"`, `{"service":"s"}`, `[1]`, `[{"parts":"x"}]`, `[{"ageMs":1e99}]`} {
		tr := New("a", 48)
		qt.Check(t, tr.ApplyReports(start, []fighollow.Object{{Name: "b", Version: 1, Value: []byte(value)}}, false), qt.HasLen, 1, qt.Commentf("%s", value))
		qt.Check(t, tr.evidence(start), qt.HasLen, 0)
	}
}
