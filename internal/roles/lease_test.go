package roles

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const leaseTime = 3 * time.Second

// candidate is an entry that competes for the lease.
type candidate struct {
	l           lease
	frozenUntil time.Duration
}

type sentOrder struct {
	at    time.Duration // when the engine receives it
	from  int
	fence uint64
}

// leaseSim simulates a store with one lease object, and candidates that freeze and miss replies. Its checks share no
// code with lease.
type leaseSim struct {
	version    uint64
	holder     string
	candidates []*candidate
	orders     []sentOrder
}

// Guards against orders of two holders within one lease duration, and against fencing tokens that decrease. Engines
// that do not check tokens carry out every order that they receive.
func TestOrdersOfTwoHoldersAreALeaseApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &leaseSim{}
		for _, name := range []string{"a", "b", "c"} {
			s.candidates = append(s.candidates, &candidate{l: lease{self: name, duration: leaseTime}})
		}
		now := time.Duration(0)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, 2).Draw(t, "candidate")
			s.step(t, now, i)
			s.check(t)
		}
	})
}

func (s *leaseSim) step(t *rapid.T, now time.Duration, i int) {
	c := s.candidates[i]
	if now < c.frozenUntil {
		return
	}
	switch rapid.SampledFrom([]string{"round", "round", "round", "order", "order", "freeze", "restart"}).Draw(t, "what") {
	case "freeze":
		c.frozenUntil = now + time.Duration(rapid.IntRange(100, 12000).Draw(t, "freeze"))*time.Millisecond
	case "restart":
		c.l = lease{self: c.l.self, duration: leaseTime}
	case "order":
		// Orders arrive immediately. The platform's rules excuse orders that are in flight when their sender freezes.
		if fence, ok := c.l.fence(now); ok {
			s.orders = append(s.orders, sentOrder{at: now, from: i, fence: fence})
		}
	case "round":
		s.round(t, now, c)
	}
}

// round renews the lease, or reads it and tries to acquire it, as a Runner does. The write may succeed, fail, or
// succeed with its reply lost.
func (s *leaseSim) round(t *rapid.T, now time.Duration, c *candidate) {
	if c.l.term == 0 {
		c.l.observe(now, s.version, s.holder)
		if !c.l.canAcquire(now) {
			return
		}
	}
	if c.l.version != s.version {
		c.l.markLost()
		return
	}
	switch rapid.SampledFrom([]string{"done", "done", "lost", "refused"}).Draw(t, "store") {
	case "done":
		s.version++
		s.holder = c.l.self
		c.l.recordWrite(now, s.version)
	case "lost":
		s.version++
		s.holder = c.l.self
		c.l.markLost()
	}
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
	l.observe(0, 5, "a")
	qt.Assert(t, l.canAcquire(5*time.Second), qt.IsFalse)
	l.observe(5*time.Second, 6, "a")
	qt.Assert(t, l.canAcquire(10*time.Second), qt.IsFalse)
	qt.Assert(t, l.canAcquire(11*time.Second), qt.IsTrue)
}

// Guards against orders by an entry that was suspended until its lease had expired.
func TestLeaseEndsWithoutRenewal(t *testing.T) {
	l := lease{self: "a", duration: leaseTime}
	l.observe(0, 0, "")
	qt.Assert(t, l.canAcquire(0), qt.IsTrue)
	l.recordWrite(0, 1)
	_, ok := l.fence(time.Second)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = l.fence(2 * time.Second)
	qt.Assert(t, ok, qt.IsFalse)
	l.recordWrite(4*time.Second, 2)
	fence, ok := l.fence(5 * time.Second)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, fence, qt.Equals, uint64(1))
}
