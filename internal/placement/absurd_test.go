package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against a request that states a part beyond an engine's memory, after which nothing that the engine holds is known any more.
func TestAbsurdPartDisplacesNothing(t *testing.T) {
	f := newFleet("p-a-1")
	reportTokens(f, start, "p-a-1", 10_000)
	q := prompt(8, 9)
	q.Prompt[0].Tokens = 10_000_000
	runPrefill(f, start, q, 100*time.Millisecond)
	qt.Assert(t, place(t, f, start.Add(time.Second), 7).Cached, qt.Equals, 10_000)
}

// Guards against a few prompts whose number of tokens is overstated, or whose results come absurdly fast, that change what is expected of all
// others.
func TestAbsurdPromptsHardlyChangeTheFit(t *testing.T) {
	f := newFleet("p-a-1")
	now := start
	run := func(stated, tokens int) float64 {
		now = now.Add(20 * time.Second) // nothing is cached
		q := prompt(uint64(now.Unix()), uint64(now.UnixNano()))
		q.PromptTokens, q.Prompt = stated, []fighollow.PromptPart{{ID: q.Seed, Tokens: stated}}
		return runPrefill(f, now, q, time.Duration(tokens)*time.Second/50_000).WorkMs
	}
	for i := range 64 {
		run(1500+i%8*2000, 1500+i%8*2000)
	}
	for range 4 {
		run(400_000, 4000)
		run(17_000, 1)
	}
	long, short := run(17_000, 17_000), run(1500, 1500)
	qt.Assert(t, long > 170 && long < 680, qt.IsTrue, qt.Commentf("%v ms", long)) // 340 in fact
	qt.Assert(t, short > 15 && short < 90, qt.IsTrue, qt.Commentf("%v ms", short))
}
