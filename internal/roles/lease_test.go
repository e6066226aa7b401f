package roles

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const leaseTime = 3 * time.Second

// candidate is an entry that competes for the lease.
type candidate struct {
	l           lease
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
}

// leaseSim simulates a store with one lease object that comes back from older copies, and candidates that freeze and miss
// replies. Its checks share no code with lease.
type leaseSim struct {
	era        uint64
	now, copy  leaseObject
	candidates []*candidate
	orders     []sentOrder
}

// Guards against orders of two holders within one lease duration, and against fencing tokens that decrease, also when the
// store comes back from an older copy. Engines that do not check tokens carry out every order that they receive.
func TestOrdersOfTwoHoldersAreALeaseApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &leaseSim{}
		for _, name := range []string{"a", "b", "c"} {
			s.candidates = append(s.candidates, &candidate{l: lease{self: name, duration: leaseTime}})
		}
		steps := []string{"round", "round", "round", "order", "order", "freeze", "restart"}
		if rapid.Bool().Draw(t, "returns") {
			s.era = uint64(rapid.IntRange(0, 1).Draw(t, "era"))
			steps = append(steps, "copy", "return", "see")
		}
		now := time.Duration(0)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			s.step(t, now, rapid.IntRange(0, 2).Draw(t, "candidate"), rapid.SampledFrom(steps).Draw(t, "what"))
			s.check(t)
		}
	})
}

func (s *leaseSim) step(t *rapid.T, now time.Duration, i int, what string) {
	c := s.candidates[i]
	switch what {
	case "copy":
		s.copy = s.now
	case "return":
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
		c.l, c.seenEra = lease{self: c.l.self, duration: leaseTime}, 0
	case "see":
		c.seenEra = s.era
	case "order":
		// Orders arrive immediately. The platform's rules excuse orders that are in flight when their sender freezes.
		if fence, ok := c.l.fence(now, c.seenEra); ok {
			s.orders = append(s.orders, sentOrder{at: now, from: i, fence: fence})
		}
	case "round":
		s.round(t, now, c)
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
		c.l.observe(now, s.era, version, s.now.holder, s.now.writtenIn)
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
		if a.from != b.from && b.at-a.at < leaseTime {
			t.Fatalf("orders of %d and %d within %v", a.from, b.from, b.at-a.at)
		}
		if b.fence < a.fence {
			t.Fatalf("fence %d after %d", b.fence, a.fence)
		}
	}
}

func TestLeaseIsTakenOverOnlyWhenUnchanged(t *testing.T) {
	l := lease{self: "b", duration: leaseTime}
	l.observe(0, 0, 5, "a", 0)
	qt.Assert(t, l.canAcquire(5*time.Second), qt.IsFalse)
	l.observe(5*time.Second, 0, 6, "a", 0)
	qt.Assert(t, l.canAcquire(10*time.Second), qt.IsFalse)
	qt.Assert(t, l.canAcquire(11*time.Second), qt.IsTrue)
}

// Guards against orders by an entry that was suspended until its lease had expired.
func TestLeaseEndsWithoutRenewal(t *testing.T) {
	l := lease{self: "a", duration: leaseTime}
	l.observe(0, 0, 0, "", 0)
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
