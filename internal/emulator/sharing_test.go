package emulator_test

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/emulator"
)

// manyEntries returns a deployment of engines of 0.7 and 1.7 of the mean speed, and a load of prompts of 1,500 and 17,000 tokens that keeps
// about two thirds of the prefill engines busy at load 1.
func manyEntries(entries int, load float64, p emulator.Policy) emulator.Config {
	cfg := emulator.Default()
	cfg.Entries, cfg.Engines, cfg.PrefillEngines = entries, 30, 18
	cfg.Duration, cfg.MeasureFrom, cfg.Policy = 20*time.Second, 6*time.Second, p
	cfg.Engine.PrefillRate, cfg.Engine.RateFactors, cfg.Engine.PrefillOverhead = 57, []float64{0.7, 1.7, 0.7, 1.7, 0.7, 0.7}, 10*time.Millisecond
	cfg.Classes = []emulator.RequestClass{
		{
			Name: "long", PerSecond: 55 * load, PrefixTokens: 8000, Prefixes: 60, SuffixTokens: 9000, OutputTokens: 40,
			Target: 1200 * time.Millisecond, Timeout: 6 * time.Second, Priority: 1, Worth: 1,
		},
		{
			Name: "short", PerSecond: 176 * load, PrefixTokens: 700, Prefixes: 60, SuffixTokens: 800, OutputTokens: 40,
			Target: 300 * time.Millisecond, Timeout: 3 * time.Second, Worth: 1,
		},
	}
	return cfg
}

// Guards against entries that place long prompts on top of each other because each knows only its own, and against a mechanism that
// depends on each message or on the honesty of each entry: nineteen of twenty long prompts must be on time with shared work, and fewer of
// them late than without by a quarter, and hardly less with a tenth of the messages lost or one entry reporting an hour of work
// everywhere. Short, urgent ones must stay on time.
func TestSharedWorkKeepsLongPromptsOnTime(t *testing.T) {
	onTime := func(class string) func(r emulator.Result) float64 {
		return func(r emulator.Result) float64 {
			return float64(r.Classes[class].OnTime) / float64(r.Classes[class].Requests)
		}
	}
	policies := []emulator.Policy{
		{Name: "own"}, {Name: "shared", ShareWork: true}, {Name: "lossy", ShareWork: true, MessageLoss: 0.1},
		{Name: "false", ShareWork: true, FalseReports: true},
	}
	for _, entries := range []int{24, 31} {
		results := make([][]emulator.Result, len(policies))
		var runs sync.WaitGroup
		for i, p := range policies {
			runs.Go(func() { results[i] = runSeeds(manyEntries(entries, 1, p), 2) })
		}
		runs.Wait()
		long := make(map[string]float64)
		for i, p := range policies {
			rs := results[i]
			long[p.Name] = mean(rs, onTime("long"))
			short := mean(rs, onTime("short"))
			wait := mean(rs, func(r emulator.Result) float64 { return r.Classes["long"].TTFT(0.99).Seconds() * 1000 })
			t.Logf("%d entries, %s: %.3f of long prompts on time, 99th percentile %.0f ms; %.3f of short ones on time", entries, p.Name,
				long[p.Name], wait, short)
			qt.Check(t, short > 0.99, qt.IsTrue, qt.Commentf("%d entries, %s: %.3f of short prompts on time", entries, p.Name, short))
		}
		qt.Check(t, long["shared"] > 0.95, qt.IsTrue)
		qt.Check(t, 1-long["shared"] < 0.75*(1-long["own"]), qt.IsTrue)
		qt.Check(t, long["lossy"] > 0.95, qt.IsTrue)
		qt.Check(t, long["false"] > 0.95, qt.IsTrue)
	}
}
