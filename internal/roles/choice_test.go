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
	next.Heard(1, 2000)
	qt.Assert(t, next.read(fighollow.NewVersion(2, 5), 1000), qt.Equals, choiceLost)
	same := choice{}
	same.Heard(1, 2000)
	qt.Assert(t, same.read(fighollow.NewVersion(1, 9), 1900), qt.Equals, choiceTaken)
}
