package emulator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/emulator"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// partFilter withholds the prompts that hold certain parts. It learns a part from a crash if it is to, and publishes it.
type partFilter struct {
	withheld        map[uint64]bool
	learns, listens bool
}

func (f *partFilter) Allow(_ time.Time, call *fighollow.Call) bool {
	return !slices.ContainsFunc(call.Prompt, func(p fighollow.PromptPart) bool { return f.withheld[p.ID] })
}

func (f *partFilter) Sent(time.Time, string, *fighollow.Call)  {}
func (f *partFilter) Began(time.Time, string, *fighollow.Call) {}

func (f *partFilter) Ended(_ time.Time, _ string, call *fighollow.Call, outcome emulator.CrashOutcome) {
	for _, p := range call.Prompt {
		if f.learns && outcome == emulator.AttemptCrashed && p.ID == emulator.CrashPartID(0) {
			f.withheld[p.ID] = true
		}
	}
}

func (f *partFilter) Publish(time.Time) []byte {
	if f.withheld[emulator.CrashPartID(0)] {
		return []byte("crashes")
	}
	return nil
}

func (f *partFilter) Observe(_ time.Time, published map[string][]byte) {
	for _, value := range published {
		if f.listens && len(value) > 0 {
			f.withheld[emulator.CrashPartID(0)] = true
		}
	}
}

// withholding returns entries that withhold these parts from the start.
func withholding(ids ...uint64) func(string) emulator.CrashDecider {
	return func(string) emulator.CrashDecider {
		f := &partFilter{withheld: make(map[uint64]bool)}
		for _, id := range ids {
			f.withheld[id] = true
		}
		return f
	}
}

// smallCrashConfig returns a run in which half of the engines are down if nothing is withheld.
func smallCrashConfig() emulator.CrashConfig {
	return emulator.CrashConfig{
		Seed: 1, Duration: 70 * time.Second, Entries: 3, Engines: 6, Slots: 64, PerSecond: 40, FirstParts: 1, MiddleParts: 5, SubjectParts: 20,
		DownTime: 4 * time.Second,
		Parts:    []emulator.CrashPart{{Crashing: emulator.Span{Start: 10 * time.Second, End: 40 * time.Second}, Place: 1, PerSecond: 6}},
	}
}

// Guards against a play that shows no failure although the entries withhold nothing.
func TestCrashRunFailsWhereNothingIsWithheld(t *testing.T) {
	got := emulator.NewCrashRun(smallCrashConfig(), emulator.AllowAll).Run()
	p := got.Parts[0]
	qt.Assert(t, p.Late > 3, qt.IsTrue, qt.Commentf("%+v", p))
	qt.Assert(t, p.SoundBefore > 0.95, qt.IsTrue, qt.Commentf("%+v", p))
	qt.Assert(t, p.SoundAfter < p.SoundBefore/2, qt.IsTrue, qt.Commentf("%+v", p))
	qt.Assert(t, got.Violations(), qt.HasLen, 2)
	qt.Assert(t, got.WronglyBlamed, qt.Equals, 0)
	cfg := smallCrashConfig()
	cfg.Parts[0].Request = true
	qt.Assert(t, emulator.NewCrashRun(cfg, emulator.AllowAll).Run().Violations(), qt.HasLen, 2)
	late, lost := 0, 0
	for seed := range uint64(20) {
		for _, p := range emulator.NewCrashRun(emulator.DrawCrashConfig(seed), emulator.AllowAll).Run().Parts {
			if p.Late > 3 {
				late++
			}
			if p.SoundAfter >= 0 && 2*p.SoundAfter < p.SoundBefore {
				lost++
			}
		}
	}
	t.Logf("parts of 20 seeds with too many requests: %d, with too few sound ones: %d", late, lost)
	qt.Assert(t, late >= 20 && lost >= 4, qt.IsTrue, qt.Commentf("%d, %d", late, lost))
}

// Guards against rules that no entry can keep: here each knows the parts that crash engines.
func TestCrashRunPassesWhereThePartsAreKnown(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			cfg := emulator.DrawCrashConfig(seed)
			decider := withholding(emulator.CrashPartID(0), emulator.CrashPartID(1), emulator.CrashPartID(2))
			got := emulator.NewCrashRun(cfg, decider).Run()
			qt.Assert(t, got.Violations(), qt.HasLen, 0)
			qt.Assert(t, got.WronglyBlamed, qt.Equals, 0)
			qt.Assert(t, got.SoundWithheld, qt.Equals, 0)
			for _, p := range got.Parts {
				qt.Assert(t, p.Arrived, qt.Equals, 0)
				qt.Assert(t, p.ServedAgain, qt.Equals, time.Duration(-1))
			}
		})
	}
}

// Guards against a part that is blamed wrongly and that the figures don't show.
func TestCrashRunCountsWronglyBlamedParts(t *testing.T) {
	const middlePart = 1 << 32 // place 1, number 0
	got := emulator.NewCrashRun(smallCrashConfig(), withholding(middlePart)).Run()
	qt.Assert(t, got.WronglyBlamed, qt.Equals, 1)
	qt.Assert(t, got.SoundWithheld > 0, qt.IsTrue)
}

// Guards against publications that do not reach the other entries.
func TestCrashRunPassesPublicationsOn(t *testing.T) {
	cfg := smallCrashConfig()
	cfg.Entries, cfg.Engines, cfg.PerSecond = 40, 30, 150
	arrived := func(listens bool) (int, int) {
		got := emulator.NewCrashRun(cfg, func(string) emulator.CrashDecider {
			return &partFilter{withheld: make(map[uint64]bool), learns: true, listens: listens}
		}).Run()
		return got.Parts[0].Arrived, got.PublishedBytes
	}
	alone, size := arrived(false)
	together, _ := arrived(true)
	t.Logf("%d requests arrived where each entry learns for itself, %d where all learn", alone, together)
	qt.Assert(t, alone >= 35 && 2*together < alone, qt.IsTrue, qt.Commentf("%d, %d", alone, together))
	qt.Assert(t, size, qt.Equals, len("crashes"))
}

// Guards against a play that gives other figures when it is run again.
func TestCrashRunIsRepeatable(t *testing.T) {
	for seed := range uint64(2) {
		cfg := emulator.DrawCrashConfig(seed)
		first := emulator.NewCrashRun(cfg, emulator.AllowAll).Run()
		qt.Assert(t, emulator.NewCrashRun(cfg, emulator.AllowAll).Run(), qt.DeepEquals, first)
	}
}
