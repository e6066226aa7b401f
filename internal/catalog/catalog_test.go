package catalog_test

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against an object that reverts to an older version, or a deleted object that reappears, when copies arrive out
// of order or repeatedly.
func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := catalog.New()
		highest := make(map[string]fighollow.Object)
		for range rapid.IntRange(1, 60).Draw(t, "writes") {
			o := fighollow.Object{
				Kind:    fighollow.KindPreset,
				Name:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
				Version: rapid.Uint64Range(1, 20).Draw(t, "version"),
			}
			// A version always has the same value, as in the object API.
			o.Deleted = o.Version%5 == 0
			o.Value = json.RawMessage(fmt.Sprint(o.Version))
			c.Apply(o)
			if o.Version > highest[o.Name].Version {
				highest[o.Name] = o
			}
			for name, want := range highest {
				got, ok := c.Get(fighollow.KindPreset, name)
				if ok == want.Deleted || got.Version != want.Version {
					t.Fatalf("%s: got version %d (exists %t), want %d (deleted %t)", name, got.Version, ok, want.Version, want.Deleted)
				}
			}
		}
	})
}

// Guards against equal digests of different catalogs, with which peers would stop exchanging objects.
func TestDigestDetectsDifferences(t *testing.T) {
	a, b := catalog.New(), catalog.New()
	x := fighollow.Object{Kind: fighollow.KindPreset, Name: "x", Version: 1}
	y := fighollow.Object{Kind: fighollow.KindPreset, Name: "y", Version: 2}
	a.Apply(x, y)
	b.Apply(y)
	qt.Assert(t, a.Digest(), qt.Not(qt.Equals), b.Digest())
	qt.Assert(t, a.NewerThan(b.Versions()), qt.DeepEquals, []fighollow.Object{x})
	b.Apply(x)
	qt.Assert(t, a.Digest(), qt.Equals, b.Digest())
}
