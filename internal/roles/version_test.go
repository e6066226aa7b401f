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
