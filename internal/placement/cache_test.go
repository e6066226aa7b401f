package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// holds tells the fleet that an engine holds so many tokens of the shared part 7, or, with 0, that it no longer holds it.
func holds(f *placement.Fleet, now time.Time, id string, tokens int) {
	f.ReportCache(now, models, id, fighollow.CacheChanges{
		Epoch: "1", Next: f.CachePosition(models, id) + 1, Parts: []fighollow.PromptPart{{ID: 7, Tokens: tokens}},
	})
}

// place chooses a prefill engine for a prompt with a shared part.
func place(t *testing.T, f *placement.Fleet, now time.Time, part uint64) placement.Choice {
	c, ok := f.Pool(models).Choose(now, prompt(part, 99))
	qt.Assert(t, ok, qt.IsTrue)
	return c
}

// What another entry had computed is used, as the engine says that it holds it.
func TestPartsOfOtherEntriesAreUsed(t *testing.T) {
	f := newFleet("p-a-1", "p-a-2", "p-a-3")
	holds(f, start, "p-a-2", 10_000)
	c := place(t, f, start, 7)
	if c.Upstream.ID == "p-a-2" {
		qt.Assert(t, c.Cached, qt.Equals, 10_000)
		return
	}
	qt.Assert(t, c.FetchFrom, qt.Equals, "p-a-2:1")
	qt.Assert(t, c.Fetched, qt.Equals, 10_000)
}

// A part that its engine has given up is not fetched from it, however lately it was sent there.
func TestPartsGivenUpAreNotUsed(t *testing.T) {
	f := newFleet("p-a-1", "p-a-2", "p-a-3")
	home := serve(f, start, prompt(7, 1), 300*time.Millisecond).Upstream.ID
	now := start.Add(3 * time.Second)
	holds(f, now, home, 10_000)
	qt.Assert(t, place(t, f, now, 7).Cached+place(t, f, now, 7).Fetched, qt.Equals, 10_000)
	holds(f, now, home, 0)
	c := place(t, f, now, 7)
	qt.Assert(t, c.Cached+c.Fetched < 10_000, qt.IsTrue, qt.Commentf("%+v", c))
}

// An engine that started anew, or whose changes are missing, is known to hold nothing.
func TestCacheIsForgotten(t *testing.T) {
	for _, ch := range []fighollow.CacheChanges{{Epoch: "2", Next: 4}, {Epoch: "1", Next: 900, Lost: true}} {
		f := newFleet("p-a-1")
		holds(f, start, "p-a-1", 10_000)
		qt.Assert(t, place(t, f, start, 7).Cached, qt.Equals, 10_000)
		qt.Assert(t, f.ReportCache(start, models, "p-a-1", ch), qt.IsTrue)
		qt.Assert(t, place(t, f, start, 7).Cached < 10_000, qt.IsTrue)
	}
	f := newFleet("p-a-1")
	holds(f, start, "p-a-1", 10_000)
	f.ReportCache(start, models, "p-a-1", fighollow.CacheChanges{Epoch: "2", Next: 4})
	qt.Assert(t, f.CachePosition(models, "p-a-1"), qt.Equals, uint64(0), qt.Commentf("the new run is read from its start"))
}

// While an engine says nothing of its cache, this entry's own requests tell for a while.
func TestCacheOfASilentEngine(t *testing.T) {
	f := newFleet("p-a-1")
	holds(f, start, "p-a-1", 10_000)
	serve(f, start, prompt(8, 1), 100*time.Millisecond)
	now := start.Add(8 * time.Second)
	qt.Assert(t, place(t, f, now, 8).Cached, qt.Equals, 10_000)
	qt.Assert(t, place(t, f, now, 7).Cached < 10_000, qt.IsTrue, qt.Commentf("an old word does not count"))
}
