package placement

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a request that cannot meet its target going before one that can, and against a less urgent route going
// before a more urgent one.
func TestUrgencyKeepsTheOrderOfRoutes(t *testing.T) {
	last := -1
	for priority := range 5 {
		for _, late := range []bool{false, true} {
			u := urgency(priority, late)
			qt.Assert(t, u > last, qt.IsTrue)
			last = u
		}
	}
	qt.Assert(t, urgency(20, true), qt.Equals, 9)
}
