package placement_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// shortParts returns the query of a prompt with 1,750 parts of its own, each of which claims so many tokens: about what fits into a header.
func shortParts(n uint64, tokens int) placement.Query {
	q := placement.Query{Phase: fighollow.RequestPrefill, PromptTokens: 1500, Bytes: 100, Target: 800 * time.Millisecond, Seed: n}
	for i := range uint64(1750) {
		q.Prompt = append(q.Prompt, fighollow.PromptPart{ID: 1<<40 + n*1750 + i, Tokens: tokens})
	}
	return q
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) //nolint:gosec // far below the largest value
}

// Guards against prompts of many short parts that fill the memory, as what is kept of prompts is bounded by the tokens that they claim.
func TestPartsOfPromptsAreBoundedByMemory(t *testing.T) {
	for _, c := range []struct {
		memoryMB, engines, tokens int
		service                   string
	}{{48, 18, 0, models}, {48, 18, 1, models}, {144, 18, 0, models}, {284, 2, 1, models}, {48, 300, 1, models}, {48, 3, 0, plain}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			role := map[string]string{models: "p", plain: "s"}[c.service]
			ids := make([]string, c.engines)
			for i := range ids {
				ids[i] = fmt.Sprintf("%s-a-%d", role, i+1)
			}
			f := newFleetWith(placement.Options{DataCentre: "a", DrainTime: drain, MemoryMB: c.memoryMB}, ids...)
			before, now := heapBytes(), start
			for n := range uint64(1500) {
				now = now.Add(time.Millisecond)
				q := shortParts(n, c.tokens)
				if c.service == plain {
					q.Phase, q.PromptTokens = fighollow.RequestWhole, 0
				}
				p := f.Pool(c.service)
				if choice, ok := p.Choose(now, q); ok {
					p.End(now, p.Begin(now, choice, q), placement.Answered)
				}
			}
			held, most := f.MirroredParts()
			grown := heapBytes() - before
			t.Logf("%d of %d parts, %d KB", held, most, grown>>10)
			qt.Check(t, held <= most, qt.IsTrue)
			qt.Check(t, grown < int64(c.memoryMB)<<20/24+1<<20, qt.IsTrue, qt.Commentf("%d KB", grown>>10))
			if c.service == plain {
				qt.Check(t, held, qt.Equals, int64(0))
			}
			runtime.KeepAlive(f)
		})
	}
}

// Guards against an engine whose cache is no longer known because prompts of many short parts went to others.
func TestShortPartsOfOtherEnginesDisplaceNothing(t *testing.T) {
	f := newFleetWith(placement.Options{DataCentre: "a", DrainTime: drain, MemoryMB: 48}, "p-a-1", "p-a-2")
	reportTokens(f, start, "p-a-1", 10_000)
	p := f.Pool(models)
	for n := range uint64(100) {
		q := shortParts(n, 1)
		q.Tried = []string{"p-a-1"}
		c, ok := p.Choose(start, q)
		qt.Assert(t, ok, qt.IsTrue)
		p.End(start, p.Begin(start, c, q), placement.Answered)
	}
	c := place(t, f, start, 7)
	qt.Assert(t, c.Cached+c.Fetched, qt.Equals, 10_000)
}

// Guards against memory that stays lent: to upstreams that have left, or for parts that are too old to count.
func TestLentPartsAreReturned(t *testing.T) {
	f := newFleetWith(placement.Options{DataCentre: "a", DrainTime: drain, MemoryMB: 48}, "p-a-1", "p-a-2", "p-a-3")
	fill := func(now time.Time, id string, from uint64) int64 {
		p := f.Pool(models)
		held, _ := f.MirroredParts()
		for n := range uint64(20) {
			q := shortParts(from+n, 1)
			for _, other := range []string{"p-a-1", "p-a-2", "p-a-3"} {
				if other != id {
					q.Tried = append(q.Tried, other)
				}
			}
			c, ok := p.Choose(now, q)
			qt.Assert(t, ok, qt.IsTrue)
			p.End(now, p.Begin(now, c, q), placement.Answered)
		}
		after, _ := f.MirroredParts()
		return after - held
	}
	first := fill(start, "p-a-1", 0)
	second := fill(start, "p-a-2", 100)
	qt.Assert(t, first > 2*second && second > 1000, qt.IsTrue, qt.Commentf("%d, %d", first, second))
	f.Remove(start, "p-a-1", 100)
	now := start.Add(drain)
	_, _ = f.Pool(models).Choose(now, prompt(7, 1)) // upstreams that have left are dropped
	third := fill(now, "p-a-3", 200)
	qt.Assert(t, third > 2*second, qt.IsTrue, qt.Commentf("%d after the first has left", third))
	now = now.Add(13 * time.Second)
	runOn(t, f, now, "p-a-3")
	held, _ := f.MirroredParts()
	qt.Assert(t, held <= second+2, qt.IsTrue, qt.Commentf("%d parts, %d of them at another engine", held, second))
}

// runOn places a prompt at an engine.
func runOn(t *testing.T, f *placement.Fleet, now time.Time, id string) {
	q := prompt(7, 1)
	for _, u := range f.Upstreams(models) {
		if u.ID != id {
			q.Tried = append(q.Tried, u.ID)
		}
	}
	c, ok := f.Pool(models).Choose(now, q)
	qt.Assert(t, ok, qt.IsTrue)
	f.Pool(models).Begin(now, c, q)
}
