package roster

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/internal/quota"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// fakeStore is an in-memory store of the entries' objects.
type fakeStore struct {
	fighollow.ObjectStore
	mu        sync.Mutex
	era       uint64
	version   uint64
	objects   map[string]fighollow.Object
	loseReply bool // the next write takes effect, but its reply is lost
	down      bool
	puts      int
}

func newStore() *fakeStore { return &fakeStore{objects: make(map[string]fighollow.Object)} }

func (s *fakeStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

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
	s.puts++
	switch {
	case s.down:
		return 0, fighollow.ErrUnavailable
	case s.objects[o.Name].Version != expected:
		return 0, fighollow.ErrConflict
	}
	s.version++
	o.Version = fighollow.NewVersion(s.era, s.version)
	s.objects[o.Name] = o
	if s.loseReply {
		s.loseReply = false
		return 0, fighollow.ErrUnknownOutcome
	}
	return o.Version, nil
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

// round renews this entry's object if it is due, and polls the objects of all entries.
func (r *Roster) round(ctx context.Context, now time.Time) {
	claims := r.currentClaims(now)
	if r.isRenewalDue(now, claims) {
		r.renew(ctx, now, claims)
	}
	r.poll(ctx, now, claims)
}

var start = time.Unix(1000, 0)

func newRoster(s *fakeStore, self string, count *int) *Roster {
	return New(Options{Self: self, DataCentre: "a"}, s, func(n int) { *count = n }, zerolog.Nop())
}

// Guards against wrong counts after departures: entries that left or were killed are counted for departedCountTime
// more, and the objects of killed entries are removed.
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
	qt.Assert(t, counts[:2], qt.DeepEquals, []int{3, 3}, qt.Commentf("an entry that left is still counted for departedCountTime"))
	round(6*time.Second+departedCountTime, 0, 1)
	qt.Assert(t, counts[:2], qt.DeepEquals, []int{2, 2})
	for at := 30 * time.Second; at < 30*time.Second+lapseTimeout+departedCountTime; at += pollInterval {
		round(at, 0) // n1 was killed
	}
	round(31*time.Second+lapseTimeout+departedCountTime, 0)
	qt.Assert(t, counts[0], qt.Equals, 1)
	qt.Assert(t, s.objects, qt.HasLen, 1)
}

// Guards against an entry that fails to renew an existing object: one of an earlier process on its instance, or one
// whose last write had an unknown outcome.
func TestObjectIsTakenOver(t *testing.T) {
	s, ctx := newStore(), context.Background()
	var count int
	newRoster(s, "n1", &count).round(ctx, start)
	restarted := newRoster(s, "n1", &count)
	restarted.round(ctx, start)
	qt.Assert(t, restarted.version, qt.Equals, s.version)
	s.loseReply = true
	restarted.round(ctx, start.Add(renewInterval))
	restarted.round(ctx, start.Add(renewInterval+pollInterval))
	qt.Assert(t, restarted.version, qt.Equals, s.version)
	qt.Assert(t, count, qt.Equals, 1)
	delete(s.objects, "n1") // another entry removed it while this machine was frozen
	restarted.round(ctx, start.Add(3*renewInterval))
	qt.Assert(t, s.objects, qt.HasLen, 1)
}

// Guards against polling that costs too much in a large deployment: 350 entries are the size to design for, and each
// may receive 4 KB/s beside its requests.
func TestPollTrafficOfALargeDeploymentIsBounded(t *testing.T) {
	const entries, objectBytes, bytesPerSecond = 350, 200, 4000
	received := entries * objectBytes / pollPause(entries).Seconds()
	qt.Assert(t, received < bytesPerSecond, qt.IsTrue, qt.Commentf("%.0f bytes a second", received))
	qt.Assert(t, pollPause(19), qt.Equals, pollInterval)
	qt.Assert(t, pollPause(25) <= 3*time.Second, qt.IsTrue, qt.Commentf("%s", pollPause(25)))
}

func TestCountStaysDuringStoreOutage(t *testing.T) {
	s, ctx := newStore(), context.Background()
	var countA, countB int
	a, b := newRoster(s, "n1", &countA), newRoster(s, "n2", &countB)
	a.round(ctx, start)
	b.round(ctx, start)
	a.round(ctx, start.Add(pollInterval))
	s.down = true
	a.round(ctx, start.Add(30*time.Second))
	qt.Assert(t, countA, qt.Equals, 2)
	s.down = false
	b.round(ctx, start.Add(31*time.Second))
	a.round(ctx, start.Add(32*time.Second))
	qt.Assert(t, countA, qt.Equals, 2)
}

// Guards against counts that are too low, with which the entries together would exceed shared limits. Peers start,
// stop, are killed and freeze. The oracle is the number of peers that ran in the round and whose objects were in the
// store.
func TestNoRunningEntryIsMissed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, ctx := newStore(), context.Background()
		var count int
		me := newRoster(s, "me", &count)
		me.round(ctx, start)
		type peer struct {
			roster    *Roster
			lastRound time.Time // time of its last round; while it is frozen, the end of the freeze
		}
		peers := make(map[string]*peer)
		now := start
		for i := range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(pollInterval)
			s.down = rapid.IntRange(0, 9).Draw(t, "outage") == 0
			names := make([]string, 0, len(peers))
			for n := range peers {
				names = append(names, n)
			}
			slices.Sort(names)
			switch what := rapid.SampledFrom([]string{"start", "start", "kill", "stop", "freeze", "none"}).Draw(t, "what"); {
			case what == "start":
				n := fmt.Sprint("n", i)
				peers[n] = &peer{roster: newRoster(s, n, new(int))}
			case len(names) == 0:
			case what == "kill":
				delete(peers, rapid.SampledFrom(names).Draw(t, "who"))
			case what == "stop":
				n := rapid.SampledFrom(names).Draw(t, "who")
				peers[n].roster.leave()
				delete(peers, n)
			case what == "freeze":
				// It resumes some rounds later.
				n := rapid.SampledFrom(names).Draw(t, "who")
				peers[n].lastRound = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "rounds")) * pollInterval)
			}
			running := 0
			for _, p := range peers {
				if now.Before(p.lastRound) {
					continue
				}
				p.lastRound = now
				p.roster.round(ctx, now)
				if _, err := s.Get(ctx, fighollow.KindEntry, p.roster.opts.Self); err == nil {
					running++
				} else if !errors.Is(err, fighollow.ErrNotFound) || !s.down {
					t.Fatalf("%s runs and is not registered: %v", p.roster.opts.Self, err)
				}
			}
			me.round(ctx, now)
			if !s.down && count < running+1 {
				t.Fatalf("counted %d of %d entries", count, running+1)
			}
		}
	})
}

// Guards against a retry budget that is given twice because the store lost the registration of an entry.
func TestEntryRegistersAgainInANewEra(t *testing.T) {
	s := newStore()
	ctx, now := context.Background(), time.Now()
	counts := make(map[string]int)
	entry := func(name string) *Roster {
		return New(Options{Self: name}, s, func(n int) { counts[name] = n }, zerolog.Nop())
	}
	a, b := entry("a"), entry("b")
	a.round(ctx, now)
	b.round(ctx, now)
	a.round(ctx, now.Add(pollInterval))
	qt.Assert(t, counts["a"], qt.Equals, 2)
	s.mu.Lock()
	s.era, s.objects, s.version = 1, make(map[string]fighollow.Object), 0
	s.mu.Unlock()
	later := now.Add(2 * pollInterval)
	a.round(ctx, later)
	qt.Assert(t, counts["a"], qt.Equals, 2, qt.Commentf("a lost registration lowered the count at once"))
	b.round(ctx, later)
	c := entry("c")
	c.round(ctx, later)
	qt.Assert(t, counts["c"], qt.Equals, 3)
}

// Guards against a registration of another version, or a broken one, that ends the process or takes a share of a limit.
func TestMalformedRegistrationsTakeNoShare(t *testing.T) {
	s, ctx := newStore(), context.Background()
	divider := quota.New("me")
	claims := map[string]fighollow.LimitClaim{"u": {Told: true, PerSecond: 3, Demand: 2}}
	me := New(Options{Self: "me", Claims: func(time.Time) map[string]fighollow.LimitClaim { return claims }, Divider: divider},
		s, func(int) {}, zerolog.Nop())
	for i, value := range []string{
		"", "{", "null", "[]", `"text"`, `{"limits":3}`, `{"limits":{"u":null}}`, `{"limits":{"u":{"demand":-5}}}`,
		`{"limits":{"u":{"demand":1e300,"told":true,"perSecond":1}}}`, `{"limits":{"u":{"demand":"2"}}}`,
		`{"limits":{"u":{"demand":2,"told":true,"perSecond":-1}}}`, `{"limits":{"u":{"demand":2,"ageMs":-1}}}`,
	} {
		_, err := s.Put(ctx, fighollow.Object{Name: fmt.Sprint("other", i), Value: []byte(value)}, 0)
		qt.Assert(t, err, qt.IsNil)
	}
	now := start
	for range 20 {
		now = now.Add(time.Second)
		me.Step(ctx, now)
	}
	qt.Assert(t, divider.Share(now, "u", 3).PerSecond, qt.Equals, 3.0)
	qt.Assert(t, divider.Reported(), qt.HasLen, 0)
}

// Guards against a change of claims that the other entries read only with the next regular renewal.
func TestClaimsArePublishedAtOnce(t *testing.T) {
	s, ctx := newStore(), context.Background()
	var claims map[string]fighollow.LimitClaim
	me := New(Options{Self: "me", Claims: func(time.Time) map[string]fighollow.LimitClaim { return claims }, Divider: quota.New("me")},
		s, func(int) {}, zerolog.Nop())
	me.Step(ctx, start)
	published := func() bool { return strings.Contains(string(s.objects["me"].Value), `"limits"`) }
	claims = map[string]fighollow.LimitClaim{"u": {Told: true, PerSecond: 3, Demand: 2}}
	me.Step(ctx, start.Add(claimPollInterval))
	qt.Assert(t, published(), qt.IsTrue)
	claims = nil
	me.Step(ctx, start.Add(2*claimPollInterval))
	qt.Assert(t, published(), qt.IsFalse)
}

// Guards against an entry that counts as gone because polls of a large deployment are far apart while limits are known.
func TestRegistrationIsRenewedBetweenPolls(t *testing.T) {
	s, ctx := newStore(), context.Background()
	claims := map[string]fighollow.LimitClaim{"u": {Told: true, PerSecond: 3, Demand: 2}}
	me := New(Options{Self: "me", Claims: func(time.Time) map[string]fighollow.LimitClaim { return claims }, Divider: quota.New("me")},
		s, func(int) {}, zerolog.Nop())
	for i := range 350 {
		_, err := s.Put(ctx, fighollow.Object{Name: fmt.Sprint("other", i), Value: []byte(`{"limits":{}}` + strings.Repeat(" ", 600))}, 0)
		qt.Assert(t, err, qt.IsNil)
	}
	renewed := start
	for now := start; now.Before(start.Add(3 * time.Minute)); now = now.Add(stepInterval) {
		before := s.objects["me"].Version
		if me.Step(ctx, now); s.objects["me"].Version != before {
			renewed = now
		}
		qt.Assert(t, now.Sub(renewed) < lapseTimeout, qt.IsTrue)
	}
}

// Guards against reports of crashes that nobody follows, that each entry follows, or that only one data centre does.
func TestObservers(t *testing.T) {
	for _, entries := range []int{1, 3, 4, 20, 103, 350} {
		dataCentres := make(map[string]string)
		for i := range entries {
			dataCentres[fmt.Sprint("n", i)] = fmt.Sprint("dc", i%5)
		}
		observers := Observers(dataCentres)
		qt.Assert(t, observers, qt.HasLen, min(entries, maxObservers))
		qt.Assert(t, Observers(dataCentres), qt.DeepEquals, observers)
		seen := make(map[string]bool)
		for _, name := range observers {
			seen[dataCentres[name]] = true
		}
		qt.Assert(t, seen, qt.HasLen, len(observers), qt.Commentf("%d entries", entries))
		delete(dataCentres, observers[0])
		for _, name := range observers[1:] {
			qt.Assert(t, slices.Contains(Observers(dataCentres), name), qt.IsTrue, qt.Commentf("%s has not changed", name))
		}
	}
}

// Guards against entries that do not take over when an observer is gone, and against writes while polls show that the store is away.
func TestObserversFollowTheEntries(t *testing.T) {
	s, ctx := newStore(), context.Background()
	observing := make([]bool, 8)
	var rosters []*Roster
	for i := range observing {
		on := func(is bool) { observing[i] = is }
		rosters = append(rosters, New(Options{Self: fmt.Sprint("n", i), DataCentre: "a", OnObserver: on}, s, func(int) {}, zerolog.Nop()))
	}
	step := func(from, to time.Duration) (observers int) {
		for at := from; at < to; at += stepInterval {
			for _, r := range rosters {
				r.Step(ctx, start.Add(at))
			}
		}
		for _, is := range observing {
			if is {
				observers++
			}
		}
		return observers
	}
	qt.Assert(t, step(0, 3*time.Second), qt.Equals, maxObservers)
	gone := slices.Index(observing, true)
	rosters[gone].leave()
	rosters, observing[gone] = slices.Delete(rosters, gone, gone+1), false
	qt.Assert(t, step(3*time.Second, 6*time.Second), qt.Equals, maxObservers)
	s.down = true
	before := s.puts
	step(6*time.Second, time.Minute)
	qt.Assert(t, s.puts-before <= len(rosters), qt.IsTrue, qt.Commentf("%d writes", s.puts-before))
}

// Guards against entries that cannot reach each other without the store, also after one has started again at another address.
func TestEntriesLearnTheAddressesOfOthers(t *testing.T) {
	s, ctx := newStore(), context.Background()
	known := make(map[string]map[string]fighollow.Peer)
	entry := func(name, address string) *Roster {
		return New(Options{
			Self: name, DataCentre: "a", Address: func() string { return address }, OnPeers: func(p map[string]fighollow.Peer) { known[name] = p },
		}, s, func(int) {}, zerolog.Nop())
	}
	a, b, silent := entry("a", "10.1.0.1:7380"), entry("b", "10.1.0.2:7380"), New(Options{Self: "c", DataCentre: "a"}, s, func(int) {}, zerolog.Nop())
	s.objects["d"] = fighollow.Object{Name: "d", Version: 1, Value: []byte(`{"address":7}`)}
	step := func(at time.Duration) {
		for _, r := range []*Roster{a, b, silent} {
			r.Step(ctx, start.Add(at))
		}
	}
	step(0)
	step(2 * time.Second)
	qt.Assert(t, known["a"], qt.DeepEquals, map[string]fighollow.Peer{
		"a": {Address: "10.1.0.1:7380", DataCentre: "a"}, "b": {Address: "10.1.0.2:7380", DataCentre: "a"},
	})
	moved := map[string]fighollow.Peer{
		"a": {Address: "10.1.0.1:7380", DataCentre: "a"}, "b": {Address: "10.1.0.2:7381", DataCentre: "a"},
	}
	b = entry("b", "10.1.0.2:7381")
	step(4 * time.Second)
	step(6 * time.Second)
	qt.Assert(t, known["a"], qt.DeepEquals, moved)
	s.down = true
	step(8 * time.Second)
	qt.Assert(t, known["a"], qt.DeepEquals, moved)
}
