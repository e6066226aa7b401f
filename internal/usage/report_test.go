package usage

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testWindow = 5 * time.Second

// at returns the time some seconds after the start of window 100.
func at(seconds float64) time.Time {
	return time.Unix(0, 100*int64(testWindow)).Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against windows that are reported although their reports may be lost in the store, against others that are given up without that
// danger, and against frozen reports that are forgotten or taken from a lost store.
func TestWhatAnOlderCopyLeaves(t *testing.T) {
	one := map[string]int64{"w": 1}
	listed := func(era uint64, last int64, windows ...int64) *record {
		r := &record{Era: era, LastWindow: last}
		for _, w := range windows {
			r.Reports = append(r.Reports, storedReport{w, one})
		}
		return r
	}
	own := func(windows ...int64) (out []frozenReport) {
		for _, w := range windows {
			out = append(out, frozenReport{storedReport: storedReport{w, one}})
		}
		return out
	}
	memory := book{known: true, tenure: 7, era: 1, version: 70, last: 97, reports: own(95, 97)}
	none := windowRange{1, 0}
	for _, c := range []struct {
		name    string
		before  book
		read    *record
		era     uint64
		tenure  uint64
		last    int64
		windows []int64
		givenUp windowRange
	}{
		{"first holder ever", book{}, nil, 0, 9, 97, nil, none},
		{"next holder", book{}, listed(0, 94, 93, 94), 0, 9, 94, []int64{93, 94}, none},
		{"next holder in a later era", book{}, listed(3, 94, 93, 94), 3, 9, 94, []int64{93, 94}, none},
		{"holder again in the same era", memory, listed(1, 98, 98), 1, 9, 98, []int64{98}, none},
		{"another process has written in the new era", memory, listed(2, 99, 99), 2, 9, 99, []int64{95, 97, 99}, none},
		{"another process has written less in the new era", memory, listed(2, 96, 96), 2, 9, 97, []int64{95, 96, 97}, none},
		{"another process has frozen a window of this one", memory, listed(2, 99, 97, 99), 2, 9, 99, []int64{95, 97, 99}, none},
		{"absent in a later era", book{}, nil, 3, 9, 99, nil, windowRange{88, 99}},
		{"of an earlier era", book{}, listed(2, 94, 93, 94), 3, 9, 99, nil, windowRange{95, 99}},
		{"of an earlier era, holder before", memory, listed(1, 94, 93), 2, 9, 99, []int64{95, 97}, windowRange{98, 99}},
		{"of an earlier era, holder without a break", memory, listed(1, 94, 93), 2, 7, 97, []int64{95, 97}, none},
		{"absent, holder without a break", memory, nil, 2, 7, 97, []int64{95, 97}, none},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := c.before
			b.window, b.started = testWindow, at(-7)
			got := b.load(at(1), c.read, 80, c.era, c.tenure)
			qt.Check(t, got, qt.Equals, c.givenUp)
			qt.Check(t, b.last, qt.Equals, c.last)
			var windows []int64
			for _, f := range b.reports {
				windows = append(windows, f.Window)
			}
			qt.Check(t, windows, qt.DeepEquals, c.windows)
			qt.Check(t, b.era, qt.Equals, c.era)
			qt.Check(t, b.version, qt.Equals, uint64(80))
		})
	}
}

// Guards against windows that are frozen before all counts have arrived, more than once or after they are due no more, and against a write that
// drops reports that are not yet accepted.
func TestWindowsAreFrozenOnce(t *testing.T) {
	b := book{window: testWindow, known: true, last: 97, era: 4}
	counts := func(w int64) map[string]int64 { return map[string]int64{"w": w, "none": 0} }
	qt.Assert(t, b.due(at(2.9)), qt.Equals, windowRange{98, 98})
	qt.Assert(t, b.due(at(3)), qt.Equals, windowRange{98, 99})
	r := b.freeze(b.due(at(3)), counts)
	qt.Assert(t, b.due(at(3)), qt.Equals, windowRange{98, 99}, qt.Commentf("frozen before the write was acknowledged"))
	qt.Assert(t, r, qt.DeepEquals, record{Era: 4, LastWindow: 99, Reports: []storedReport{
		{98, map[string]int64{"w": 98}}, {99, map[string]int64{"w": 99}},
	}})
	b.frozen(r, 12)
	qt.Assert(t, b.version, qt.Equals, uint64(12))
	due := b.due(at(3))
	qt.Assert(t, due.last < due.first, qt.IsTrue)
	b.done()
	r = b.freeze(b.due(at(8)), counts)
	qt.Assert(t, r.Reports, qt.HasLen, 2)
	qt.Assert(t, r.Reports[0].Window, qt.Equals, int64(99))
	b.frozen(r, 13)

	qt.Assert(t, b.expire(at(60)), qt.HasLen, 0)
	expired := b.expire(at(60.1))
	qt.Assert(t, expired, qt.HasLen, 1)
	qt.Assert(t, expired[0].Window, qt.Equals, int64(99))
	qt.Assert(t, b.skip(at(70)), qt.Equals, windowRange{101, 101})
	qt.Assert(t, b.next(), qt.Equals, int64(102))
	skipped := b.skip(at(-1000))
	qt.Assert(t, skipped.last < skipped.first, qt.IsTrue, qt.Commentf("a clock that goes back"))
	qt.Assert(t, b.next(), qt.Equals, int64(102))
}

// Guards against more calls than the API accepts, and against calls that do not back off or never speed up again.
func TestPaceOfCalls(t *testing.T) {
	p := pacer{interval: 500 * time.Millisecond}
	now := at(0)
	for _, c := range []struct {
		took   time.Duration
		failed bool
		wait   time.Duration // from the start of the call
	}{
		{0, false, 500 * time.Millisecond},
		{0, true, 500 * time.Millisecond},
		{100 * time.Millisecond, true, 600 * time.Millisecond},
		{0, true, time.Second},
		{time.Second, true, 2 * time.Second},
		{0, false, 500 * time.Millisecond},
		{300 * time.Millisecond, true, 550 * time.Millisecond},
	} {
		qt.Assert(t, p.ready(now), qt.IsTrue)
		p.sent(now, now.Add(c.took), c.failed)
		qt.Assert(t, p.ready(now.Add(c.wait-1)), qt.IsFalse, qt.Commentf("%+v", c))
		now = now.Add(c.wait)
	}
}
