package emulator

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Config describes a deployment, the load on it and what happens meanwhile.
type Config struct {
	Seed        uint64
	DataCentres []string
	Entries     int // spread over the data centres in turn
	Engines     int // the same
	Prefill     int // engines that prefill at the start
	Engine      EngineModel
	Kinds       []Kind
	Phases      []Phase // of the load, in order; the last one lasts until the end
	Faults      []Fault
	Duration    time.Duration // for which requests arrive
	MeasureFrom time.Duration // requests that arrive earlier count for nothing
	Policy      Policy
}

// EngineModel says how fast engines are and what they hold.
type EngineModel struct {
	Traits      fighollow.EngineTraits
	PrefillRate float64       // prompt tokens per millisecond
	Spread      float64       // engines' rates differ by up to this share
	Chunk       int           // prompt tokens that are computed in one step
	Overhead    time.Duration // of a prefill beside its computation
	Step        time.Duration // for one output token of each running request
	StepRunning time.Duration // added to a step by each running request
}

// Kind is a kind of request.
type Kind struct {
	Name      string
	PerSecond float64
	Shared    int // mean tokens of the part that requests share
	Parts     int // different shared parts, asked for alike
	Own       int // mean tokens of a request's own part
	Output    int // tokens
	Target    time.Duration
	Patience  time.Duration // after which the caller leaves
	Priority  int
	Worth     float64 // of an answer within Target; a late one counts LateWorth of it
}

// LateWorth is the part of an answer's worth that is left when it is late.
const LateWorth = 0.3

// Phase multiplies the load of the kinds from a time on. Kinds that it does not name keep their rate.
type Phase struct {
	From time.Duration
	Load map[string]float64
}

// Fault is something that happens to engines.
type Fault struct {
	From, For time.Duration
	Engine    int     // number of the engine
	Slow      float64 // its steps take so many times as long
	Down      bool    // it breaks off its work and takes none
}

// Policy switches parts of the deciding code's inputs on. Its zero value has none of them.
type Policy struct {
	Name        string
	WatchCaches bool // entries read what the engines' caches hold
	MoveRoles   bool // roles follow demand
	// RoleChangeWeight is the preset's; 0 means 1.
	RoleChangeWeight float64
}

// Policies returns the policies that the command compares.
func Policies() []Policy {
	return []Policy{
		{Name: "fixedRoles"},
		{Name: "movedRoles", MoveRoles: true},
		{Name: "watchedCaches", WatchCaches: true},
		{Name: "all", WatchCaches: true, MoveRoles: true},
		{Name: "fewChanges", WatchCaches: true, MoveRoles: true, RoleChangeWeight: 3},
	}
}

// Default returns a deployment of the size that the first users run, with a mix of long and short prompts.
func Default() Config {
	return Config{
		Seed: 1, DataCentres: []string{"a", "b", "c"}, Entries: 4, Engines: 18, Prefill: 12, Duration: 30 * time.Second,
		Engine: EngineModel{
			Traits: fighollow.EngineTraits{
				Slots: 64, KVCapacityTokens: 500_000, KVBytesPerToken: 35_000, TransferMbps: 390_000, RoleSwitch: 3 * time.Second,
			},
			PrefillRate: 50, Spread: 0.25, Chunk: 4096, Overhead: 100 * time.Millisecond,
			Step: 6 * time.Millisecond, StepRunning: 200 * time.Microsecond,
		},
		Kinds: []Kind{
			{Name: "memo", PerSecond: 30, Shared: 13_300, Parts: 110, Own: 3700, Output: 20, Target: 800 * time.Millisecond, Patience: 3200 * time.Millisecond, Priority: 2, Worth: 2.1},
			{Name: "check", PerSecond: 22, Shared: 6300, Parts: 120, Own: 2900, Output: 9, Target: 1200 * time.Millisecond, Patience: 4800 * time.Millisecond, Priority: 1, Worth: 2.3},
			{Name: "summary", PerSecond: 38, Shared: 350, Parts: 140, Own: 1100, Output: 29, Target: 1500 * time.Millisecond, Patience: 6 * time.Second, Priority: 0, Worth: 1.5},
		},
	}
}
