package lease

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const leaseTime = 3 * time.Second

// modelChecks is the number of plays of the model unless -rapid.checks is given. 100, the default, miss most mutations of the takeover time.
const modelChecks = "10000"

// candidate is an entry that competes for the lease.
type candidate struct {
	l           state
	seenEra     uint64 // newest era in an answer of the store
	frozenUntil time.Duration
}

type sentOrder struct {
	at    time.Duration // when the engine receives it
	from  int
	fence uint64
}

// leaseObject is the content of a store that holds only the lease.
type leaseObject struct {
	revision  uint64 // of the store
	written   uint64 // revision of the lease; 0 if there is none
	holder    string
	writtenIn uint64
	released  bool
}

// leaseSim simulates a store with one lease object that comes back from older copies, and candidates that freeze and miss
// replies. Its checks share no code with lease.
type leaseSim struct {
	era        uint64
	now, copy  leaseObject
	candidates []*candidate
	orders     []sentOrder
	releases   []sentOrder // those that the store has taken
}

// Guards against orders of two holders within one lease duration unless the first released the lease, against a holder that sends orders
// before and after another one within that time, and against fencing tokens that decrease, also when the
// store comes back from an older copy. Engines that do not check tokens carry out every order that they receive.
func TestOrdersOfTwoHoldersAreALeaseApart(t *testing.T) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if f := flag.Lookup("rapid.checks"); !given {
		before := f.Value.String()
		qt.Assert(t, f.Value.Set(modelChecks), qt.IsNil)
		defer func() { qt.Check(t, f.Value.Set(before), qt.IsNil) }()
	}
	rapid.Check(t, func(t *rapid.T) {
		s := &leaseSim{}
		for _, name := range []string{"a", "b", "c"} {
			s.candidates = append(s.candidates, &candidate{l: newState(name, leaseTime, -10*leaseTime)})
		}
		steps := []string{"round", "round", "round", "order", "order", "freeze", "restart"}
		if rapid.Bool().Draw(t, "returns") {
			s.era = uint64(rapid.IntRange(0, 1).Draw(t, "era"))
			steps = append(steps, "copy", "return", "see", "return and act")
		}
		if rapid.Bool().Draw(t, "releases") {
			steps = append(steps, "release", "handover", "handover", "handover")
		}
		pause := rapid.SampledFrom([]int{50, 300, 1500}).Draw(t, "pause")
		now := time.Duration(0)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, pause).Draw(t, "ms")) * time.Millisecond
			s.step(t, now, rapid.IntRange(0, 2).Draw(t, "candidate"), rapid.SampledFrom(steps).Draw(t, "what"))
			s.check(t)
			s.checkReturns(t)
		}
	})
}

func (s *leaseSim) step(t *rapid.T, now time.Duration, i int, what string) {
	c := s.candidates[i]
	switch what {
	case "copy":
		s.copy = s.now
	case "return", "return and act":
		s.era++
		s.now = s.copy
	}
	if now < c.frozenUntil {
		return
	}
	switch what {
	case "freeze":
		c.frozenUntil = now + time.Duration(rapid.IntRange(100, 12000).Draw(t, "freeze"))*time.Millisecond
	case "restart":
		c.l, c.seenEra = newState(c.l.self, leaseTime, now), 0
	case "see":
		c.seenEra = s.era
	case "order":
		// Orders arrive immediately. The platform's rules excuse orders that are in flight when their sender freezes.
		if fence, ok := c.l.fence(now, c.seenEra); ok {
			s.orders = append(s.orders, sentOrder{at: now, from: i, fence: fence})
		}
	case "round":
		s.round(t, now, c)
	case "release":
		s.release(t, now, i)
	case "handover":
		s.handover(t, now, i)
	case "return and act":
		s.round(t, now, c)
		s.step(t, now, i, "order")
	}
}

// handover lets the holder act and release the lease, and candidate i acquire it and act. The store may be copied or come back in between.
func (s *leaseSim) handover(t *rapid.T, now time.Duration, i int) {
	for j, c := range s.candidates {
		if j != i && c.l.term != 0 && now >= c.frozenUntil {
			s.step(t, now, j, "order")
			s.release(t, now, j)
		}
	}
	if s.era > 0 {
		s.step(t, now, i, rapid.SampledFrom([]string{"copy", "copy", "return", "none"}).Draw(t, "store in between"))
	}
	s.step(t, now, i, "round")
	s.step(t, now, i, "order")
}

// release gives the lease up, as a Holder does. The write may succeed with or without its reply, or fail. The process does not compete
// for the lease again; another one with its name may start at once.
func (s *leaseSim) release(t *rapid.T, now time.Duration, i int) {
	c := s.candidates[i]
	if c.l.term == 0 {
		return
	}
	version, era := c.l.version, c.l.era
	c.l.recordRelease(now)
	if rapid.Bool().Draw(t, "written") && s.now.written == fighollow.VersionRevision(version) {
		s.now.revision++
		s.now = leaseObject{revision: s.now.revision, written: s.now.revision, holder: c.l.self, writtenIn: era, released: true}
		s.releases = append(s.releases, sentOrder{at: now, from: i})
	}
	if rapid.Bool().Draw(t, "restart") {
		c.l, c.seenEra = newState(c.l.self, leaseTime, now), 0
	}
}

// round renews the lease, or reads it and tries to acquire it, as a Runner does with the platform's store. The write may
// succeed, fail, or succeed with its reply lost.
func (s *leaseSim) round(t *rapid.T, now time.Duration, c *candidate) {
	if c.l.term != 0 && c.seenEra != c.l.era {
		c.l.markLost()
	}
	if c.l.term == 0 {
		c.seenEra = s.era
		var version uint64
		if s.now.written > 0 {
			version = fighollow.NewVersion(s.era, s.now.written)
		}
		c.l.observe(now, s.era, version, s.now.holder, s.now.writtenIn, s.now.released)
		if !c.l.canAcquire(now) {
			return
		}
	}
	reply := rapid.SampledFrom([]string{"done", "done", "lost", "refused"}).Draw(t, "store")
	if reply == "refused" {
		return
	}
	sentIn := c.seenEra
	if reply == "done" {
		c.seenEra = s.era
	}
	if s.now.written != fighollow.VersionRevision(c.l.version) { // the store does not see the era of the condition
		c.l.markLost()
		return
	}
	s.now.revision++
	s.now = leaseObject{revision: s.now.revision, written: s.now.revision, holder: c.l.self, writtenIn: c.l.era}
	if reply == "lost" || s.era != sentIn {
		c.l.markLost()
		return
	}
	c.l.recordWrite(now, fighollow.NewVersion(s.era, s.now.written))
}

func (s *leaseSim) check(t *rapid.T) {
	for i := 1; i < len(s.orders); i++ {
		a, b := s.orders[i-1], s.orders[i]
		if a.from != b.from && b.at-a.at < leaseTime && !s.releasedBetween(a, b) {
			t.Fatalf("orders of %d and %d within %v", a.from, b.from, b.at-a.at)
		}
		if a.from != b.from && a.fence == b.fence {
			t.Fatalf("orders of %d and %d with fence %d", a.from, b.from, a.fence)
		}
		if b.fence < a.fence {
			t.Fatalf("fence %d after %d", b.fence, a.fence)
		}
	}
}

// releasedBetween reports whether the sender of a released the lease between a and the order b of another holder.
func (s *leaseSim) releasedBetween(a, b sentOrder) bool {
	for _, r := range s.releases {
		if r.from == a.from && r.at >= a.at && r.at <= b.at {
			return true
		}
	}
	return false
}

// checkReturns fails if a holder sends orders again within a lease duration, after another one has sent some.
func (s *leaseSim) checkReturns(t *rapid.T) {
	for i, a := range s.orders {
		others := false
		for _, b := range s.orders[i+1:] {
			if b.at-a.at >= leaseTime {
				break
			}
			others = others || b.from != a.from
			if others && b.from == a.from {
				t.Fatalf("orders of %d, of another one and of %d again within %v", a.from, b.from, b.at-a.at)
			}
		}
	}
}

func TestLeaseIsTakenOverOnlyWhenUnchanged(t *testing.T) {
	l := newState("b", leaseTime, 0)
	l.observe(0, 0, 5, "a", 0, false)
	qt.Assert(t, l.canAcquire(5*time.Second), qt.IsFalse)
	l.observe(5*time.Second, 0, 6, "a", 0, false)
	qt.Assert(t, l.canAcquire(10*time.Second), qt.IsFalse)
	qt.Assert(t, l.canAcquire(11*time.Second), qt.IsTrue)
}

// Guards against orders by an entry that was suspended until its lease had expired.
func TestLeaseEndsWithoutRenewal(t *testing.T) {
	l := newState("a", leaseTime, 0)
	l.observe(0, 0, 0, "", 0, false)
	qt.Assert(t, l.canAcquire(0), qt.IsTrue)
	l.recordWrite(0, 1)
	_, ok := l.fence(time.Second, 0)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = l.fence(2*time.Second, 0)
	qt.Assert(t, ok, qt.IsFalse)
	l.recordWrite(4*time.Second, 2)
	fence, ok := l.fence(5*time.Second, 0)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, fence, qt.Equals, uint64(1))
}

// Guards against orders by a holder that has seen the store's return.
func TestHolderStopsInANewEra(t *testing.T) {
	l := newState("a", leaseTime, 0)
	l.recordWrite(0, fighollow.NewVersion(1, 5))
	fence, ok := l.fence(1, 1)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = l.fence(1, 2)
	qt.Assert(t, ok, qt.IsFalse)
	l.markLost()
	l.observe(1, 2, fighollow.NewVersion(2, 3), "b", 1, false)
	qt.Assert(t, l.canAcquire(1), qt.IsTrue, qt.Commentf("nobody else can have acquired the lease meanwhile"))
	l.recordWrite(1, fighollow.NewVersion(2, 4))
	next, ok := l.fence(2, 2)
	qt.Assert(t, ok && next > fence, qt.IsTrue)
}

// Guards against a takeover at once by the record of a release that belongs to an older copy of the store: the lease may have had another
// holder since.
func TestReleaseOfAnEarlierEra(t *testing.T) {
	for _, c := range []struct {
		writtenIn uint64
		at        time.Duration
		want      bool
	}{{2, 0, true}, {1, 0, false}, {1, 6 * time.Second, true}} {
		l := newState("a", leaseTime, -time.Minute)
		l.observe(0, 2, fighollow.NewVersion(2, 3), "b", c.writtenIn, true)
		qt.Assert(t, l.canAcquire(c.at), qt.Equals, c.want, qt.Commentf("%+v", c))
	}
}
