package emulator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/emulator"
)

// Guards against a draw that depends on anything but its seed: a worth that cannot be played again cannot be traced.
func TestDrawsAreDeterministic(t *testing.T) {
	a, b := emulator.Draw(3), emulator.Draw(3)
	qt.Assert(t, a, qt.DeepEquals, b)
	qt.Assert(t, emulator.Draw(4).Classes, qt.Not(qt.DeepEquals), a.Classes)
}

// Guards against decisions that fit the first users' engines only: on deployments drawn from seeds, the policy must reach four
// fifths of the best fixed split in hindsight on average, and each request must end once.
func TestDrawnDeployments(t *testing.T) {
	var sum float64
	const draws = 3
	for seed := range uint64(draws) {
		cfg := emulator.Draw(seed + 1)
		cfg.Duration = 6 * time.Second
		cfg.Policy = emulator.Policies()[3]
		best := emulator.BestFixedSplit(cfg)
		r := emulator.Run(cfg)
		sum += r.Worth(cfg.Classes) / best
		for name, c := range r.Classes {
			qt.Assert(t, c.Served+c.Refused+c.Failed+c.Abandoned, qt.Equals, c.Requests, qt.Commentf("seed %d, %s", seed+1, name))
		}
	}
	qt.Assert(t, sum/draws > 0.8, qt.IsTrue, qt.Commentf("%.3f of the best fixed split", sum/draws))
}
