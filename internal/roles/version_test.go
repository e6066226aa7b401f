package roles

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against a software version that is left without decode engines by a release that replaces one engine after the other, so that no
// stream that it began goes on.
func TestReleaseKeepsADecodeEngineOfEachVersion(t *testing.T) {
	for _, engines := range []int{3, 18, 180} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			f := newTestFleet(engines*2/3, engines-engines*2/3)
			for i := range f.engines {
				f.engines[i].Upstream.Version = "v1"
			}
			busy := load(1, 0.3)
			f.round(busy)
			// Decode engines are replaced first, the worst order for the old version.
			perRound := max(1, engines/18)
			for replaced := 0; replaced < engines; {
				for range perRound {
					if i := nextOfVersion(f, "v1"); i >= 0 {
						f.engines[i].Upstream.Version = "v2"
						f.engines[i].Upstream.ID += "-v2"
						f.engines[i].Report.Role = fighollow.RoleDecode
						replaced++
					}
				}
				f.round(busy)
				for range int(f.planner.cooldown() / time.Second) { // an order takes effect, and the next one may follow
					f.round(busy)
				}
				old, decode := 0, 0
				for _, e := range f.engines {
					if e.Upstream.Version == "v1" {
						old++
						if e.Report.Role == fighollow.RoleDecode {
							decode++
						}
					}
				}
				if old >= 2 {
					qt.Assert(t, decode > 0, qt.IsTrue, qt.Commentf("%d engines of v1 left", old))
				}
			}
			orders := f.orders
			for range 60 {
				f.round(nil)
			}
			qt.Assert(t, f.orders-orders, qt.Equals, 0, qt.Commentf("%d orders after the release", f.orders-orders))
		})
	}
}

// nextOfVersion returns the index of an engine of a version, a decode engine if there is one, or -1.
func nextOfVersion(f *testFleet, version string) int {
	found := -1
	for i, e := range f.engines {
		if e.Upstream.Version == version && (found < 0 || e.Report.Role == fighollow.RoleDecode) {
			found = i
		}
	}
	return found
}

// Guards against orders for a version whose streams nobody can take up any more, or that never began any.
func TestVersionWithoutStreamsGetsNoDecodeEngine(t *testing.T) {
	f := newTestFleet(4, 2)
	for i := range f.engines {
		f.engines[i].Upstream.Version = "v1"
		if i < 2 {
			f.engines[i].Upstream.Version = "v2" // never had a decode engine
		}
	}
	for range 10 {
		qt.Assert(t, f.round(load(0, 0.3)), qt.HasLen, 0)
	}
}

// Guards against a version whose decode engines have all crashed and that gets one other engine only, or none until the pause after its last order
// is over: streams wait, and an order can be lost.
func TestVersionWhoseDecodeEnginesCrashGetsOthersAtOnce(t *testing.T) {
	f := newTestFleet(10, 8)
	for i := range f.engines {
		f.engines[i].Upstream.Version = "v1"
		if i%2 == 1 {
			f.engines[i].Upstream.Version = "v2"
		}
	}
	busy := load(0, 0.3)
	f.round(busy)
	crash := func() {
		for i := range f.engines {
			if e := &f.engines[i]; e.Upstream.Version == "v1" && e.Report.Role == fighollow.RoleDecode {
				e.Fresh = false // no report is read
			}
		}
	}
	crash()
	f.planner.SetShort([]string{"v1"})
	orders := f.round(busy)
	qt.Assert(t, orders, qt.HasLen, reservedDecode)
	for _, o := range orders {
		qt.Assert(t, o.Engine.Upstream.Version, qt.Equals, "v1")
		qt.Assert(t, o.Role, qt.Equals, fighollow.RoleDecode)
	}
	crash()
	qt.Assert(t, f.round(busy), qt.HasLen, reservedDecode)
}

// Guards against an order to an engine that may still carry out an earlier one, while others of the version could be ordered.
func TestVersionIsNotGivenAnEngineWhoseOrderIsUnknown(t *testing.T) {
	f := newTestFleet(4, 3)
	for i := range f.engines {
		f.engines[i].Upstream.Version = "v1"
	}
	f.engines[0].Upstream.Version = "v2"
	f.round(load(0, 0.3))
	for i := range f.engines {
		e := &f.engines[i]
		e.Fresh = e.Report.Role == fighollow.RolePrefill || e.Upstream.Version == "v2"
		e.Paused = i == 1
	}
	f.planner.SetShort([]string{"v1"})
	orders := f.round(load(0, 0.3))
	qt.Assert(t, orders, qt.HasLen, reservedDecode)
	for _, o := range orders {
		qt.Assert(t, o.Engine.Upstream.ID, qt.Not(qt.Equals), f.engines[1].Upstream.ID)
	}
}

// Guards against a version's last engine that stays a prefill engine while streams wait for it, and against an order that nobody needs.
func TestLastEngineOfAVersionDecodesIfStreamsWait(t *testing.T) {
	f := newTestFleet(4, 3)
	for i := range f.engines {
		f.engines[i].Upstream.Version = "v1"
		if i == 3 || i == 4 { // a prefill and a decode engine
			f.engines[i].Upstream.Version = "v2"
		}
	}
	f.round(load(0, 0.3))
	f.engines[4].Fresh = false
	qt.Assert(t, f.round(load(0, 0.3)), qt.HasLen, 0)
	f.planner.SetShort([]string{"v2"})
	orders := f.round(load(0, 0.3))
	qt.Assert(t, orders, qt.HasLen, 1)
	qt.Assert(t, orders[0].Engine.Upstream.ID, qt.Equals, f.engines[3].Upstream.ID)
}

// Guards against a service of one version that waits for the pause after an earlier change, although streams wait for a decode engine.
func TestServiceWithoutDecodeEnginesGetsOthersAtOnceIfStreamsWait(t *testing.T) {
	f := newTestFleet(8, 4)
	for i := range f.engines {
		f.engines[i].Upstream.Version = "v1"
	}
	f.round(load(0, 0.3))
	f.planner.lastChange = f.now
	for i := range f.engines {
		f.engines[i].Fresh = f.engines[i].Report.Role == fighollow.RolePrefill
	}
	qt.Assert(t, f.round(load(0, 0)), qt.HasLen, 0)
	f.planner.SetShort([]string{"v1"})
	qt.Assert(t, f.round(load(0, 0)), qt.HasLen, reservedDecode)
}

// Guards against orders for several engines because the reports of a version's decode engines were lost once, while streams go on at them.
func TestLostReportsOrderOneEngine(t *testing.T) {
	f := newTestFleet(10, 8)
	for i := range f.engines {
		f.engines[i].Upstream.Version = fmt.Sprint("v", 1+i%2)
	}
	f.round(load(0, 0.3))
	for i := range f.engines {
		e := &f.engines[i]
		e.Fresh = e.Upstream.Version != "v1" || e.Report.Role == fighollow.RolePrefill
	}
	qt.Assert(t, f.round(load(0, 0.3)), qt.HasLen, 1)
}
