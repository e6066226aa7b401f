package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// reportTokens applies a report that an engine holds that many tokens of the shared part 7, or no longer holds it if tokens
// is 0.
func reportTokens(f *placement.Fleet, now time.Time, id string, tokens int) {
	f.ApplyCacheChanges(now, models, id, fighollow.CacheChanges{
		Epoch: "1", Next: f.CachePosition(models, id) + 1, Parts: []fighollow.PromptPart{{ID: 7, Tokens: tokens}},
	})
}

// place chooses a prefill engine for a prompt that begins with a shared part.
func place(t *testing.T, f *placement.Fleet, now time.Time, part uint64) placement.Choice {
	c, ok := f.Pool(models).Choose(now, prompt(part, 99))
	qt.Assert(t, ok, qt.IsTrue)
	return c
}

// Guards against a part being computed again that another entry had computed and that the engine reports.
func TestPartsOfOtherEntriesAreUsed(t *testing.T) {
	f := newFleet("p-a-1", "p-a-2", "p-a-3")
	reportTokens(f, start, "p-a-2", 10_000)
	c := place(t, f, start, 7)
	if c.Upstream.ID == "p-a-2" {
		qt.Assert(t, c.Cached, qt.Equals, 10_000)
		return
	}
	qt.Assert(t, c.FetchFrom, qt.Equals, "p-a-2:1")
	qt.Assert(t, c.Fetched, qt.Equals, 10_000)
}

// Guards against fetching a part from an engine that reported its eviction, however recently the part was sent there.
func TestEvictedPartsAreNotUsed(t *testing.T) {
	f := newFleet("p-a-1", "p-a-2", "p-a-3")
	id := runPrefill(f, start, prompt(7, 1), 300*time.Millisecond).Upstream.ID
	now := start.Add(3 * time.Second)
	reportTokens(f, now, id, 10_000)
	qt.Assert(t, place(t, f, now, 7).Cached+place(t, f, now, 7).Fetched, qt.Equals, 10_000)
	reportTokens(f, now, id, 0)
	c := place(t, f, now, 7)
	qt.Assert(t, c.Cached+c.Fetched < 10_000, qt.IsTrue, qt.Commentf("%+v", c))
}

// Guards against relying on cached parts after an engine restarted or some of its changes were lost.
func TestCacheIsForgotten(t *testing.T) {
	for _, ch := range []fighollow.CacheChanges{{Epoch: "2", Next: 4}, {Epoch: "1", Next: 900, Lost: true}} {
		f := newFleet("p-a-1")
		reportTokens(f, start, "p-a-1", 10_000)
		qt.Assert(t, place(t, f, start, 7).Cached, qt.Equals, 10_000)
		qt.Assert(t, f.ApplyCacheChanges(start, models, "p-a-1", ch), qt.IsTrue)
		qt.Assert(t, place(t, f, start, 7).Cached < 10_000, qt.IsTrue)
	}
	f := newFleet("p-a-1")
	reportTokens(f, start, "p-a-1", 10_000)
	f.ApplyCacheChanges(start, models, "p-a-1", fighollow.CacheChanges{Epoch: "2", Next: 4})
	qt.Assert(t, f.CachePosition(models, "p-a-1"), qt.Equals, uint64(0), qt.Commentf("changes of the new epoch are read from its start"))
}

// Without reports of an engine, the requests that this entry sent it count as cached until prefixTTL, and old reports do
// not.
func TestCacheOfASilentEngine(t *testing.T) {
	f := newFleet("p-a-1")
	reportTokens(f, start, "p-a-1", 10_000)
	runPrefill(f, start, prompt(8, 1), 100*time.Millisecond)
	now := start.Add(8 * time.Second)
	qt.Assert(t, place(t, f, now, 8).Cached, qt.Equals, 10_000)
	qt.Assert(t, place(t, f, now, 7).Cached < 10_000, qt.IsTrue, qt.Commentf("an old report counts as cached"))
}

// Guards against an engine whose cache is taken for empty for as long as it runs, because it was listed before the first configuration.
func TestCacheOfAnEngineListedBeforeTheConfiguration(t *testing.T) {
	f := placement.New(placement.Options{DataCentre: "a", DrainTime: drain})
	f.Put(start, engine("p-a-1"), 1)
	f.Configure(playRouting())
	runPrefill(f, start, prompt(7, 1), 100*time.Millisecond)
	qt.Assert(t, place(t, f, start.Add(time.Second), 7).Cached, qt.Equals, 10_000)
}
