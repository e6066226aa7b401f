package emulator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/emulator"
)

// runSeeds runs a configuration with the seeds from 1 to the given number, and returns the results.
func runSeeds(cfg emulator.Config, seeds int) []emulator.Result {
	var out []emulator.Result
	for i := range seeds {
		cfg.Seed = uint64(i + 1)
		out = append(out, emulator.Run(cfg))
	}
	return out
}

func mean(rs []emulator.Result, value func(r emulator.Result) float64) float64 {
	var sum float64
	for _, r := range rs {
		sum += value(r)
	}
	return sum / float64(len(rs))
}

func worth(cfg emulator.Config) func(r emulator.Result) float64 {
	return func(r emulator.Result) float64 { return r.Worth(cfg.Classes) }
}

func TestRunsAreDeterministic(t *testing.T) {
	cfg := emulator.Default()
	cfg.Duration = 5 * time.Second
	cfg.Policy = emulator.Policies()[3]
	a, b := emulator.Run(cfg), emulator.Run(cfg)
	qt.Assert(t, a.Worth(cfg.Classes), qt.Equals, b.Worth(cfg.Classes))
	qt.Assert(t, a.ComputedTokens, qt.Equals, b.ComputedTokens)
	qt.Assert(t, a.Classes["memo"].TTFT(0.5), qt.Equals, b.Classes["memo"].TTFT(0.5))
}

// Guards against requests that are lost or counted twice when engines crash or slow down: each must end in exactly one outcome.
func TestEachRequestEndsOnce(t *testing.T) {
	cfg := emulator.Default()
	cfg.Duration = 8 * time.Second
	cfg.Faults = []emulator.Fault{
		{Start: 2 * time.Second, Duration: 2 * time.Second, Engine: 3, Crash: true},
		{Start: 3 * time.Second, Duration: 2 * time.Second, Engine: 17, Crash: true},
		{Start: 4 * time.Second, Duration: 2 * time.Second, Engine: 5, Slowdown: 8},
	}
	cfg.Policy = emulator.Policies()[3]
	for _, r := range runSeeds(cfg, 3) {
		for name, c := range r.Classes {
			qt.Assert(t, c.Served+c.Refused+c.Failed+c.Abandoned, qt.Equals, c.Requests, qt.Commentf("%s: %+v", name, c))
			qt.Assert(t, c.OnTime+c.Late >= c.Served, qt.IsTrue)
		}
	}
}

// Guards against cache changes that entries receive to no effect. With the first users' mix and four entries, watching the caches
// must reduce the prompt tokens computed, and the worth of the answers must not fall below that of entries that know only the
// requests they sent themselves.
func TestWatchedCachesSaveWork(t *testing.T) {
	cfg := emulator.Default()
	cfg.Duration = 15 * time.Second
	cfg.Policy = emulator.Policy{}
	unwatched := runSeeds(cfg, 4)
	cfg.Policy.WatchCaches = true
	watched := runSeeds(cfg, 4)
	computed := func(r emulator.Result) float64 { return float64(r.ComputedTokens) }
	qt.Assert(t, mean(watched, computed) < mean(unwatched, computed), qt.IsTrue,
		qt.Commentf("%.0f prompt tokens computed with watched caches, %.0f without", mean(watched, computed), mean(unwatched, computed)))
	qt.Assert(t, mean(watched, worth(cfg)) >= mean(unwatched, worth(cfg)), qt.IsTrue,
		qt.Commentf("worth %.3f with watched caches, %.3f without", mean(watched, worth(cfg)), mean(unwatched, worth(cfg))))
}

// Guards against engines that get too little load after a slowdown, because their latency estimates stay high. With answers of 120
// tokens, which four decode engines serve with ease, three of the four slow down one after the other. Once they have recovered,
// the worth of the answers must be above 0.9 of that without faults.
func TestSlowEnginesAreUsedAgain(t *testing.T) {
	cfg := emulator.Default()
	cfg.PrefillEngines, cfg.Duration, cfg.MeasureFrom = 14, 16*time.Second, 10*time.Second
	for i := range cfg.Classes {
		cfg.Classes[i].OutputTokens = 120
	}
	baseline := runSeeds(cfg, 3)
	for i := range 3 {
		cfg.Faults = append(cfg.Faults, emulator.Fault{Start: time.Duration(2*i+1) * time.Second, Duration: 2 * time.Second, Engine: 14 + i, Slowdown: 30})
	}
	faulty := runSeeds(cfg, 3)
	qt.Assert(t, mean(faulty, worth(cfg)) > 0.9*mean(baseline, worth(cfg)), qt.IsTrue,
		qt.Commentf("worth %.3f with faults, %.3f without", mean(faulty, worth(cfg)), mean(baseline, worth(cfg))))
}

// Guards against one class of requests being starved under overload. At two and three times the load that the fleet can serve, each
// class must be served at more than a quarter of the overall rate.
func TestOverloadStarvesNoClass(t *testing.T) {
	for _, factor := range []float64{2, 3} {
		cfg := emulator.Default()
		cfg.Duration = 12 * time.Second
		cfg.Policy = emulator.Policy{WatchCaches: true}
		for i := range cfg.Classes {
			cfg.Classes[i].PerSecond *= factor
		}
		for _, r := range runSeeds(cfg, 2) {
			requests, served := 0, 0
			for _, c := range r.Classes {
				requests += c.Requests
				served += c.Served
			}
			overall := float64(served) / float64(requests)
			for name, c := range r.Classes {
				share := float64(c.Served) / float64(c.Requests)
				qt.Assert(t, share > overall/4, qt.IsTrue, qt.Commentf("load %g, %s: served share %.2f, overall %.2f", factor, name, share, overall))
			}
		}
	}
}

// Guards against less urgent requests delaying urgent ones. The fleet gets as much urgent load as it can serve, and as much again of
// the same size with a lower priority. The share of urgent requests on time must be above 0.9 of that without the other load.
func TestUrgentWorkGoesFirst(t *testing.T) {
	cfg := emulator.Default()
	cfg.Duration = 12 * time.Second
	urgent := cfg.Classes[0]
	urgent.Name, urgent.PerSecond, urgent.Priority = "urgent", 60, 0
	cfg.Classes = []emulator.RequestClass{urgent}
	alone := runSeeds(cfg, 3)
	other := urgent
	other.Name, other.Priority = "other", 3
	cfg.Classes = append(cfg.Classes, other)
	mixed := runSeeds(cfg, 3)
	onTime := func(r emulator.Result) float64 {
		return float64(r.Classes["urgent"].OnTime) / float64(r.Classes["urgent"].Requests)
	}
	qt.Assert(t, mean(mixed, onTime) > 0.9*mean(alone, onTime), qt.IsTrue,
		qt.Commentf("share on time %.3f with other load, %.3f without", mean(mixed, onTime), mean(alone, onTime)))
}

// Guards against a planner that does not adapt to a changed load, or changes roles too often. The load shifts from long prompts to
// long answers, for which four decode engines are too few. Changing roles must yield more worth than the initial roles, with fewer
// changes than engines, and with fewer still when the preset raises the weight of role changes.
func TestRolesFollowAShift(t *testing.T) {
	cfg := emulator.Default()
	cfg.PrefillEngines, cfg.Duration, cfg.MeasureFrom = 14, 24*time.Second, 15*time.Second
	cfg.Classes = append(cfg.Classes, emulator.RequestClass{
		Name: "draft", PerSecond: 60, PrefixTokens: 350, Prefixes: 100, SuffixTokens: 600, OutputTokens: 500, Target: 1500 * time.Millisecond,
		Timeout: 6 * time.Second, Priority: 1, Worth: 2,
	})
	cfg.Phases = []emulator.LoadPhase{
		{Factors: map[string]float64{"draft": 0.05}},
		{Start: 4 * time.Second, Factors: map[string]float64{"memo": 0.2, "check": 0.2, "draft": 1}},
	}
	fixed := runSeeds(cfg, 2)
	cfg.Policy.ChangeRoles = true
	changed := runSeeds(cfg, 2)
	qt.Assert(t, mean(changed, worth(cfg)) > mean(fixed, worth(cfg)), qt.IsTrue,
		qt.Commentf("worth %.3f with role changes, %.3f without", mean(changed, worth(cfg)), mean(fixed, worth(cfg))))
	cfg.Policy.RoleChangeWeight = 4
	weighted := runSeeds(cfg, 2)
	roleChanges := func(r emulator.Result) float64 { return float64(r.RoleChanges) }
	qt.Assert(t, mean(weighted, roleChanges) < mean(changed, roleChanges), qt.IsTrue,
		qt.Commentf("%.1f role changes with a weight of 4, %.1f with 1", mean(weighted, roleChanges), mean(changed, roleChanges)))
	for _, r := range changed {
		qt.Assert(t, r.RoleChanges < cfg.Engines, qt.IsTrue, qt.Commentf("%d role changes", r.RoleChanges))
	}
}
