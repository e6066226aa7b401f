package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// reportStore is a store that holds one object and gives the next version to each write.
type reportStore struct {
	fighollow.ObjectStore
	object fighollow.Object
	era    uint64
	down   bool
	writes int
}

func (s *reportStore) Era() uint64 { return s.era }

func (s *reportStore) Get(context.Context, fighollow.Kind, string) (fighollow.Object, error) {
	if s.object.Version == 0 {
		return s.object, fighollow.ErrNotFound
	}
	return s.object, nil
}

func (s *reportStore) Put(_ context.Context, o fighollow.Object, expected uint64) (uint64, error) {
	s.writes++
	switch {
	case s.down:
		return 0, fighollow.ErrUnavailable
	case expected != s.object.Version:
		return 0, fighollow.ErrConflict
	}
	o.Version = s.object.Version + 1
	s.object = o
	return o.Version, nil
}

// step steps a Writer for a time.
func step(w *Writer, from time.Time, d time.Duration) {
	for at := time.Duration(0); at < d; at += writeInterval {
		w.Step(context.Background(), from.Add(at))
	}
}

// Guards against reports of an entry that follows nobody's, which are not written over those of its earlier process, after the store
// lost them, or with what that process saw.
func TestReportsAreWrittenWithoutObserving(t *testing.T) {
	earlier := `[{"service":"models","upstream":"z","prompt":7,"parts":[666],"ageMs":100,"tookMs":50}]`
	for _, stored := range []fighollow.Object{
		{}, {Kind: fighollow.KindCrashReports, Name: "a", Version: 5, Value: []byte(earlier)}, {Kind: fighollow.KindCrashReports, Name: "a", Version: 5, Value: []byte(`{`)},
	} {
		s := &reportStore{object: stored}
		tr := New("a", 48)
		w := NewWriter(tr, s, zerolog.Nop())
		tr.Broke(start, "x", prompt(1, bad), tookTime)
		step(w, start, 2*time.Second)
		qt.Assert(t, s.object.Version, qt.Equals, stored.Version+1)
		wantBreaks := 1
		if string(stored.Value) == earlier {
			wantBreaks = 2
		}
		qt.Assert(t, tr.Evidence(start.Add(2*time.Second)), qt.HasLen, wantBreaks)

		s.object, s.era = fighollow.Object{}, s.era+1 // the store came back without them
		step(w, start.Add(2*time.Second), 2*time.Second)
		qt.Assert(t, s.object.Version, qt.Equals, uint64(1))
	}
}

// Guards against writes in quick succession while the store is away, which each entry would make.
func TestWritesPauseWhileTheStoreIsAway(t *testing.T) {
	s := &reportStore{down: true}
	tr, now := concluded(t)
	w := NewWriter(tr, s, zerolog.Nop())
	step(w, now, 10*time.Second)
	qt.Assert(t, s.writes <= 20, qt.IsTrue, qt.Commentf("%d writes in 10 s", s.writes))
	s.down = false
	step(w, now.Add(10*time.Second), 2*time.Second)
	qt.Assert(t, s.object.Version > 0, qt.IsTrue)
}

// Guards against a sound part whose quarantine is ended by all entries that know better at once, each with a call, or by none.
func TestFewEntriesObject(t *testing.T) {
	const entries, readTime = 100, 700 * time.Millisecond
	var trackers []*Tracker
	for i := range entries {
		tr := New(fmt.Sprint("n", i), 48)
		tr.SetEntries(entries)
		tr.Answered(start, "x", prompt(1, bad))
		tr.Apply(start.Add(time.Second), []fighollow.Object{object(7, storedBad)}, false)
		trackers = append(trackers, tr)
	}
	var deletedAt time.Time
	calls := 0
	for at := start.Add(time.Second); at.Before(start.Add(5 * time.Second)); at = at.Add(writeInterval) {
		if !deletedAt.IsZero() && at.Sub(deletedAt) == readTime {
			for _, tr := range trackers {
				tr.Apply(at, []fighollow.Object{{Kind: fighollow.KindQuarantine, Name: "models-29a", Version: 8, Deleted: true}}, false)
			}
		}
		for _, tr := range trackers {
			for _, w := range caseWrites(tr, at) {
				calls++
				if deletedAt.IsZero() {
					deletedAt = at
					tr.Written(w, 8, nil)
				} else {
					tr.Written(w, 0, fighollow.ErrNotFound)
				}
			}
		}
	}
	qt.Assert(t, deletedAt.Sub(start) < time.Second+doubtTime, qt.IsTrue)
	qt.Assert(t, calls <= entries*2/3, qt.IsTrue, qt.Commentf("%d calls", calls))
}
