package roles

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const leaseTime = 3 * time.Second

// rival is one entry that wants the lease.
type rival struct {
	l      lease
	asleep time.Duration // until then it is frozen
}

type orderOnWay struct {
	at    time.Duration // when it arrives
	from  int
	fence uint64
}

// leaseWorld is a store with one object, and rivals that may freeze and lose answers. It shares no code with the lease.
type leaseWorld struct {
	version uint64
	holder  string
	rivals  []*rival
	arrived []orderOnWay
}

// Guards against two machines that order engines in turns, and against a fencing token that falls: engines that do not
// check tokens carry out every order that arrives.
func TestHoldersNeverTakeTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &leaseWorld{}
		for _, name := range []string{"a", "b", "c"} {
			w.rivals = append(w.rivals, &rival{l: lease{self: name, duration: leaseTime}})
		}
		now := time.Duration(0)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, 2).Draw(t, "rival")
			w.step(t, now, i)
			w.check(t)
		}
	})
}

func (w *leaseWorld) step(t *rapid.T, now time.Duration, i int) {
	r := w.rivals[i]
	if now < r.asleep {
		return
	}
	switch rapid.SampledFrom([]string{"round", "round", "round", "order", "order", "freeze", "restart"}).Draw(t, "what") {
	case "freeze":
		r.asleep = now + time.Duration(rapid.IntRange(100, 12000).Draw(t, "freeze"))*time.Millisecond
	case "restart":
		r.l = lease{self: r.l.self, duration: leaseTime}
	case "order":
		// Orders arrive at once; those on their way at a freeze are excused by the platform's rules.
		if fence, ok := r.l.fence(now); ok {
			w.arrived = append(w.arrived, orderOnWay{at: now, from: i, fence: fence})
		}
	case "round":
		w.round(t, now, r)
	}
}

// round renews the lease or looks at it and may claim it, as a Runner does. An answer may be lost, and a store call may
// take time.
func (w *leaseWorld) round(t *rapid.T, now time.Duration, r *rival) {
	if r.l.term == 0 {
		r.l.observed(now, w.version, w.holder)
		if !r.l.mayClaim(now) {
			return
		}
	}
	if r.l.version != w.version {
		r.l.lost()
		return
	}
	switch rapid.SampledFrom([]string{"done", "done", "lost", "refused"}).Draw(t, "store") {
	case "done":
		w.version++
		w.holder = r.l.self
		r.l.written(now, w.version)
	case "lost":
		w.version++
		w.holder = r.l.self
		r.l.lost()
	}
}

func (w *leaseWorld) check(t *rapid.T) {
	for i := 1; i < len(w.arrived); i++ {
		a, b := w.arrived[i-1], w.arrived[i]
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
	l.observed(0, 5, "a")
	qt.Assert(t, l.mayClaim(5*time.Second), qt.IsFalse)
	l.observed(5*time.Second, 6, "a")
	qt.Assert(t, l.mayClaim(10*time.Second), qt.IsFalse)
	qt.Assert(t, l.mayClaim(11*time.Second), qt.IsTrue)
}

// Guards against orders by an entry that slept through its lease.
func TestLeaseEndsWithoutRenewal(t *testing.T) {
	l := lease{self: "a", duration: leaseTime}
	l.observed(0, 0, "")
	qt.Assert(t, l.mayClaim(0), qt.IsTrue)
	l.written(0, 1)
	_, ok := l.fence(time.Second)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = l.fence(2 * time.Second)
	qt.Assert(t, ok, qt.IsFalse)
	l.written(4*time.Second, 2)
	fence, ok := l.fence(5 * time.Second)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, fence, qt.Equals, uint64(1))
}
