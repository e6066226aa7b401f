package usage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// epoch is when the tests begin, in true time.
var epoch = time.Date(2026, 1, 1, 0, 0, 2, 0, time.UTC)

// testClocks are the clocks of a machine whose time of day is off.
type testClocks struct {
	now  *time.Time    // true time
	off  time.Duration // of the time of day
	boot time.Duration // since boot, at epoch
}

func (c *testClocks) read() (time.Time, time.Duration) {
	return c.now.Add(c.off), c.now.Sub(epoch) + c.boot
}

// Guards against requests that are counted in another window after a jump of the time of day, and against an entry whose time of day is
// wrong at its start and that is not corrected, or by a faulty peer alone.
func TestClock(t *testing.T) {
	now := epoch
	clocks := &testClocks{now: &now, boot: time.Hour}
	c := NewClock(clocks.read)
	for _, jump := range []time.Duration{3 * time.Second, -2 * time.Second, 0} {
		clocks.off = jump
		now = now.Add(time.Second)
		qt.Assert(t, c.Now(now.Add(jump)).Equal(now), qt.IsTrue, qt.Commentf("%v", jump))
	}
	clocks.off = -7 * time.Second
	c = NewClock(clocks.read)
	for i, step := range []struct {
		offset time.Duration // stated by another peer
		want   time.Duration // error of the estimate afterwards
	}{{0, -7 * time.Second}, {2 * time.Millisecond, -7 * time.Second}, {time.Hour, time.Millisecond}, {-time.Hour, time.Millisecond}, {0, time.Millisecond}} {
		c.heard(fmt.Sprint(i), 1, now.Add(step.offset))
		c.correct()
		qt.Check(t, c.Now(now.Add(clocks.off)).Sub(now), qt.Equals, step.want, qt.Commentf("step %d", i))
	}
	qt.Check(t, c.stated().Equal(now.Add(clocks.off)), qt.IsTrue) // not the corrected time

	// A peer's new process replaces what the earlier one stated, and peers that are silent no longer count.
	o := newClockOffsets(epoch, 0)
	for i := range minClockPeers {
		o.heard(0, fmt.Sprint(i), 1, o.own+time.Second)
		o.heard(0, fmt.Sprint(i), 2, o.own+2*time.Second)
	}
	change, peers := o.correct(clockSampleLifetime)
	qt.Check(t, change, qt.Equals, 2*time.Second)
	qt.Check(t, peers, qt.Equals, minClockPeers)
	change, peers = o.correct(clockSampleLifetime + 1)
	qt.Check(t, change, qt.Equals, time.Duration(0)) // the estimate stays
	qt.Check(t, peers, qt.Equals, 0)
}

// Guards against estimates that drift because entries adjust to each other, that follow delayed messages, or that two faulty entries of
// seven move by more than the others differ.
func TestClocksThatAdjustToEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		off := []time.Duration{}
		for range 5 {
			off = append(off, time.Duration(rapid.IntRange(-5, 5).Draw(t, "ms"))*time.Millisecond)
		}
		for range 2 {
			off = append(off, time.Duration(rapid.IntRange(-9000, 9000).Draw(t, "faulty ms"))*time.Millisecond)
		}
		var all []*Clock
		for _, o := range off {
			all = append(all, NewClock((&testClocks{now: &now, off: o}).read))
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "delays"), 0))
		for round := range 100 {
			for from := range all {
				stated := all[from].stated()
				for to := range all {
					if from == to {
						continue
					}
					delay := 2 * time.Millisecond
					if round%maxClockSamples != 0 {
						delay = time.Duration(random.IntN(400)) * time.Millisecond
					}
					now = now.Add(delay)
					all[to].heard(fmt.Sprint(from), 1, stated)
					now = now.Add(-delay)
				}
			}
			now = now.Add(5 * time.Second)
			for i, c := range all {
				c.correct()
				if got := c.Now(now.Add(off[i])).Sub(now); round >= maxClockSamples && got.Abs() > 7*time.Millisecond+minCorrection {
					t.Fatalf("round %d: clock %d of %v is off by %v", round, i, off, got)
				}
			}
		}
	})
}
