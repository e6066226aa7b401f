package roster

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// fakeStore holds the entries' objects.
type fakeStore struct {
	fighollow.ObjectStore
	mu      sync.Mutex
	version uint64
	objects map[string]fighollow.Object
	lose    bool // the answer to the next write
	down    bool
}

func newStore() *fakeStore { return &fakeStore{objects: make(map[string]fighollow.Object)} }

func (s *fakeStore) Get(_ context.Context, _ fighollow.Kind, name string) (fighollow.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	if !ok {
		return o, fighollow.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) Put(_ context.Context, o fighollow.Object, expected uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return 0, fighollow.ErrUnavailable
	case s.objects[o.Name].Version != expected:
		return 0, fighollow.ErrConflict
	}
	s.version++
	o.Version = s.version
	s.objects[o.Name] = o
	if s.lose {
		s.lose = false
		return 0, fighollow.ErrUnknownOutcome
	}
	return s.version, nil
}

func (s *fakeStore) Delete(_ context.Context, _ fighollow.Kind, name string, expected uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[name].Version != expected {
		return 0, fighollow.ErrConflict
	}
	delete(s.objects, name)
	return 0, nil
}

func (s *fakeStore) List(context.Context, fighollow.Kind) ([]fighollow.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, fighollow.ErrUnavailable
	}
	var out []fighollow.Object
	for _, o := range s.objects {
		out = append(out, o)
	}
	return out, s.version, nil
}

var start = time.Unix(1000, 0)

func newRoster(s *fakeStore, self string, count *int) *Roster {
	return New(Options{Self: self, DataCentre: "a"}, s, func(n int) { *count = n }, zerolog.Nop())
}

// Entries count each other, also those that left lately, and remove the objects of those that were killed.
func TestEntriesCountEachOther(t *testing.T) {
	s, ctx := newStore(), context.Background()
	counts := make([]int, 3)
	var rosters []*Roster
	for i := range counts {
		rosters = append(rosters, newRoster(s, fmt.Sprint("n", i), &counts[i]))
	}
	round := func(at time.Duration, who ...int) {
		for _, i := range who {
			rosters[i].round(ctx, start.Add(at))
		}
	}
	round(0, 0, 1, 2)
	round(3*time.Second, 0, 1, 2)
	qt.Assert(t, counts, qt.DeepEquals, []int{3, 3, 3})
	rosters[2].leave()
	round(6*time.Second, 0, 1)
	qt.Assert(t, counts[:2], qt.DeepEquals, []int{3, 3}, qt.Commentf("what it took still counts"))
	round(6*time.Second+countFor, 0, 1)
	qt.Assert(t, counts[:2], qt.DeepEquals, []int{2, 2})
	for at := 30 * time.Second; at < 30*time.Second+lapseAfter+countFor; at += lookEvery {
		round(at, 0) // the other was killed
	}
	round(31*time.Second+lapseAfter+countFor, 0)
	qt.Assert(t, counts[0], qt.Equals, 1)
	qt.Assert(t, s.objects, qt.HasLen, 1)
}

// A process that starts anew on its machine, or whose write got no answer, goes on with the object that is there.
func TestObjectIsTakenOver(t *testing.T) {
	s, ctx := newStore(), context.Background()
	var count int
	newRoster(s, "n1", &count).round(ctx, start)
	again := newRoster(s, "n1", &count)
	again.round(ctx, start)
	qt.Assert(t, again.version, qt.Equals, s.version)
	s.lose = true
	again.round(ctx, start.Add(renewEvery))
	again.round(ctx, start.Add(renewEvery+lookEvery))
	qt.Assert(t, again.version, qt.Equals, s.version)
	qt.Assert(t, count, qt.Equals, 1)
	delete(s.objects, "n1") // it was taken to be gone while the machine was frozen
	again.round(ctx, start.Add(3*renewEvery))
	qt.Assert(t, s.objects, qt.HasLen, 1)
}

// 350 entries are the size that decides the design; 4 KB a second is what each may spend beside requests.
func TestLooksOfALargeDeploymentAreCheap(t *testing.T) {
	const entries, objectBytes, bytesPerSecond = 350, 200, 4000
	received := entries * objectBytes / lookPause(entries).Seconds()
	qt.Assert(t, received < bytesPerSecond, qt.IsTrue, qt.Commentf("%.0f bytes a second", received))
	qt.Assert(t, lookPause(25), qt.Equals, lookEvery)
}

func TestCountStaysWhileTheStoreIsAway(t *testing.T) {
	s, ctx := newStore(), context.Background()
	var one, two int
	a, b := newRoster(s, "n1", &one), newRoster(s, "n2", &two)
	a.round(ctx, start)
	b.round(ctx, start)
	a.round(ctx, start.Add(lookEvery))
	s.down = true
	a.round(ctx, start.Add(30*time.Second))
	qt.Assert(t, one, qt.Equals, 2)
	s.down = false
	b.round(ctx, start.Add(31*time.Second))
	a.round(ctx, start.Add(32*time.Second))
	qt.Assert(t, one, qt.Equals, 2)
}

// Guards against an entry that counts too few: what all share would be exceeded. Rivals start, stop, are killed and freeze;
// the oracle is the list of those that were running, and whose objects were there, for a whole look.
func TestNoRunningEntryIsMissed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, ctx := newStore(), context.Background()
		var count int
		me := newRoster(s, "me", &count)
		me.round(ctx, start)
		type rival struct {
			roster *Roster
			last   time.Time // of its rounds
		}
		rivals := make(map[string]*rival)
		now := start
		for i := range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(lookEvery)
			s.down = rapid.IntRange(0, 9).Draw(t, "outage") == 0
			names := make([]string, 0, len(rivals))
			for n := range rivals {
				names = append(names, n)
			}
			slices.Sort(names)
			switch what := rapid.SampledFrom([]string{"start", "start", "kill", "stop", "freeze", "none"}).Draw(t, "what"); {
			case what == "start":
				n := fmt.Sprint("n", i)
				rivals[n] = &rival{roster: newRoster(s, n, new(int))}
			case len(names) == 0:
			case what == "kill":
				delete(rivals, rapid.SampledFrom(names).Draw(t, "who"))
			case what == "stop":
				n := rapid.SampledFrom(names).Draw(t, "who")
				rivals[n].roster.leave()
				delete(rivals, n)
			case what == "freeze":
				// It wakes up some rounds later.
				n := rapid.SampledFrom(names).Draw(t, "who")
				rivals[n].last = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "rounds")) * lookEvery)
			}
			running := 0
			for _, r := range rivals {
				if now.Before(r.last) {
					continue
				}
				r.last = now
				r.roster.round(ctx, now)
				if _, err := s.Get(ctx, fighollow.KindEntry, r.roster.opts.Self); err == nil {
					running++
				} else if !errors.Is(err, fighollow.ErrNotFound) || !s.down {
					t.Fatalf("%s runs and is not registered: %v", r.roster.opts.Self, err)
				}
			}
			me.round(ctx, now)
			if !s.down && count < running+1 {
				t.Fatalf("counted %d of %d entries", count, running+1)
			}
		}
	})
}
