package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Draw returns a deployment that is drawn from a seed: its engines, its mix of requests, and a load that shifts between the
// classes. Policies are compared on such deployments because none of them was known when the policies were written.
func Draw(seed uint64) Config {
	rng := rand.New(rand.NewPCG(seed, 1))
	between := func(low, high float64) float64 { return low * math.Pow(high/low, rng.Float64()) } // uniform in the logarithm
	engines := int(between(6, 24))
	speed := between(0.5, 12) // relative to Default
	cfg := Default()
	cfg.Seed, cfg.Engines, cfg.PrefillEngines = seed, engines, max(1, engines/3)
	cfg.DataCentres = cfg.DataCentres[:1+rng.IntN(len(cfg.DataCentres))]
	cfg.Entries = int(between(2, 6))
	cfg.Duration, cfg.MeasureFrom = 16*time.Second, 2*time.Second
	scaled := func(d time.Duration) time.Duration { return time.Duration(float64(d) / speed) }
	cfg.Engine = EngineModel{
		Traits: fighollow.EngineTraits{
			Slots: int(between(8, 128)), KVCapacityTokens: int(between(200_000, 1_500_000)), KVBytesPerToken: 35_000,
			TransferMbps: 390_000 * speed, RoleSwitch: time.Duration(between(1, 5) * float64(time.Second)),
		},
		PrefillRate: 50 * speed, RateSpread: 0.3 * rng.Float64(), PrefillChunk: 4096,
		PrefillOverhead: scaled(time.Duration(between(10, 150) * float64(time.Millisecond))),
		DecodeStep:      scaled(6 * time.Millisecond), DecodeStepPerRequest: scaled(time.Duration(between(20, 200) * float64(time.Microsecond))),
	}
	cfg.Classes = drawClasses(rng, &cfg, between)
	cfg.Phases = drawPhases(rng, &cfg)
	return cfg
}

// drawClasses draws two to four classes whose work fills 0.5 to 1.2 of the fleet.
func drawClasses(rng *rand.Rand, cfg *Config, between func(low, high float64) float64) []RequestClass {
	e := cfg.Engine
	load := between(0.5, 1.2) * float64(cfg.Engines)
	classes := make([]RequestClass, 2+rng.IntN(3))
	for i := range classes {
		c := RequestClass{
			Name: fmt.Sprintf("class-%d", i), PrefixTokens: int(between(100, 14_000)), Prefixes: int(between(10, 800)), SuffixTokens: int(between(150, 4000)),
			OutputTokens: int(between(2, 300)), Priority: rng.IntN(3), Worth: between(1, 16),
		}
		prefillMs := float64(c.PrefixTokens/2+c.SuffixTokens) / e.PrefillRate
		// Decode is meant to run at half of its slots.
		batch := float64(max(1, e.Traits.Slots/2))
		decodeMs := float64(c.OutputTokens) * milliseconds(e.DecodeStep+time.Duration(batch)*e.DecodeStepPerRequest) / batch
		c.PerSecond = load / float64(len(classes)) * 1000 / (prefillMs + decodeMs)
		alone := float64(c.PrefixTokens+c.SuffixTokens)/e.PrefillRate + milliseconds(e.PrefillOverhead+2*e.DecodeStep)
		c.Target = time.Duration(between(2, 8) * alone * float64(time.Millisecond))
		c.Timeout = time.Duration(between(4, 15) * float64(c.Target))
		classes[i] = c
	}
	return classes
}

// drawPhases draws a shift of the mix every few seconds: one class is asked for up to three times as often, the others less.
func drawPhases(rng *rand.Rand, cfg *Config) []LoadPhase {
	var phases []LoadPhase
	for at := time.Duration(0); at < cfg.Duration; at += 3*time.Second + time.Duration(rng.Int64N(int64(5*time.Second))) {
		factors := make(map[string]float64)
		favoured := rng.IntN(len(cfg.Classes))
		for i, c := range cfg.Classes {
			factors[c.Name] = 0.3 + 0.7*rng.Float64()
			if i == favoured {
				factors[c.Name] = 1 + 2*rng.Float64()
			}
		}
		phases = append(phases, LoadPhase{Start: at, Factors: factors})
	}
	return phases
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fixedSplits is how many fixed splits of the roles BestFixedSplit tries.
const fixedSplits = 5

// BestFixedSplit returns the worth of the best fixed split of the engines' roles in hindsight, which no policy can know in
// advance, without any change of role.
func BestFixedSplit(cfg Config) float64 {
	cfg.Policy.ChangeRoles = false
	best := 0.0
	for i := range fixedSplits {
		cfg.PrefillEngines = min(max(1, cfg.Engines*(i+1)/(fixedSplits+1)), cfg.Engines-1)
		r := Run(cfg)
		best = max(best, r.Worth(cfg.Classes))
	}
	return best
}
