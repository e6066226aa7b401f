package roles

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against a preset that goes back with the store, and an operator's new choice that is refused because of a clock.
func TestChoiceAcrossReturns(t *testing.T) {
	var c choice
	qt.Assert(t, c.read(fighollow.NewVersion(1, 5), 1000), qt.Equals, choiceTaken)
	qt.Assert(t, c.read(fighollow.NewVersion(1, 8), 900), qt.Equals, choiceTaken, qt.Commentf("in one era the version decides"))
	qt.Assert(t, c.read(fighollow.NewVersion(1, 9), 2000), qt.Equals, choiceTaken)
	qt.Assert(t, c.read(fighollow.NewVersion(2, 5), 1000), qt.Equals, choiceLost)
	qt.Assert(t, c.read(fighollow.NewVersion(2, 9), 1500), qt.Equals, choiceTaken, qt.Commentf("written after the return"))
	qt.Assert(t, c.read(fighollow.NewVersion(3, 0), 0), qt.Equals, choiceLost)
	qt.Assert(t, c.read(fighollow.NewVersion(4, 7), 1500), qt.Equals, choiceTaken)

	next := choice{} // a new holder that only heard of the choice
	next.heard(1, 2000)
	qt.Assert(t, next.read(fighollow.NewVersion(2, 5), 1000), qt.Equals, choiceLost)
	same := choice{}
	same.heard(1, 2000)
	qt.Assert(t, same.read(fighollow.NewVersion(1, 9), 1900), qt.Equals, choiceTaken)
}

// Guards against orders by a holder that has seen the store's return.
func TestHolderStopsInANewEra(t *testing.T) {
	l := lease{self: "a", duration: leaseTime}
	l.recordWrite(0, fighollow.NewVersion(1, 5))
	fence, ok := l.fence(1, 1)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = l.fence(1, 2)
	qt.Assert(t, ok, qt.IsFalse)
	l.markLost()
	l.observe(1, 2, fighollow.NewVersion(2, 3), "b", 1)
	qt.Assert(t, l.canAcquire(1), qt.IsTrue, qt.Commentf("nobody else can have acquired the lease meanwhile"))
	l.recordWrite(1, fighollow.NewVersion(2, 4))
	next, ok := l.fence(2, 2)
	qt.Assert(t, ok && next > fence, qt.IsTrue)
}
