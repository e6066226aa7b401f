package emulator

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Config describes a deployment, the load on it and the faults during the run.
type Config struct {
	Seed           uint64
	DataCentres    []string
	Entries        int // assigned to the data centres round-robin
	Engines        int // assigned to the data centres round-robin
	PrefillEngines int // engines that start with the prefill role; the others start with decode
	Engine         EngineModel
	Classes        []RequestClass
	Phases         []LoadPhase // in order of their start; the last one lasts until the end of the run
	Faults         []Fault
	Duration       time.Duration // during which requests arrive
	MeasureFrom    time.Duration // requests that arrive earlier are not counted
	Policy         Policy
}

// EngineModel holds the speed and the capacity of the simulated engines.
type EngineModel struct {
	Traits               fighollow.EngineTraits
	PrefillRate          float64       // prompt tokens per millisecond
	RateSpread           float64       // prefill rates are drawn uniformly from PrefillRate * (1 ± RateSpread)
	RateFactors          []float64     // factors on PrefillRate of the engines in turn; replaces RateSpread unless empty
	PrefillChunk         int           // prompt tokens computed in one chunk
	PrefillOverhead      time.Duration // added to each prefill, on top of its computation
	DecodeStep           time.Duration // base time of a decode step, which gives each running request one output token
	DecodeStepPerRequest time.Duration // added to a decode step for each running request
}

// RequestClass describes requests of the same size, latency target, priority and worth.
type RequestClass struct {
	Name         string
	PerSecond    float64 // mean arrival rate, requests per second
	PrefixTokens int     // mean tokens of a shared prompt prefix
	Prefixes     int     // distinct shared prefixes, drawn uniformly
	SuffixTokens int     // mean tokens of the part of a prompt that is unique to the request; exponentially distributed
	OutputTokens int
	Target       time.Duration // for the time to first token
	Timeout      time.Duration // callers leave when no token has arrived by then
	Priority     int
	Worth        float64 // of an answer that meets Target; a late one is worth LateWorth times as much
}

// LateWorth is the fraction of its worth that an answer keeps when it misses its target.
const LateWorth = 0.3

// LoadPhase multiplies the arrival rates of request classes from Start on. Classes without an entry in Factors keep the rate
// that they had before.
type LoadPhase struct {
	Start   time.Duration
	Factors map[string]float64
}

// Fault is a crash or a slowdown of one engine.
type Fault struct {
	Start, Duration time.Duration
	Engine          int     // index of the engine
	Slowdown        float64 // factor on the times of its steps; not used with Crash
	Crash           bool    // the engine fails all its requests and refuses new ones
}

// Policy enables optional inputs and decisions of the production code. The zero value enables none of them.
type Policy struct {
	Name        string
	WatchCaches bool // entries receive cache changes from the engines
	ChangeRoles bool // the planner changes the roles of engines as demand changes
	// RoleChangeWeight is the cost weight of role changes, as in a preset; 0 means 1.
	RoleChangeWeight float64
	// ShareWork lets the entries tell each other which prompts they place. MessageLoss is the share of their messages that is lost.
	ShareWork   bool
	MessageLoss float64
	// FalseReports lets the first entry report an hour of work at each engine ten times a second.
	FalseReports bool
}

// Policies returns the policies that the emulate command compares.
func Policies() []Policy {
	return []Policy{
		{Name: "fixedRoles"},
		{Name: "movedRoles", ChangeRoles: true},
		{Name: "watchedCaches", WatchCaches: true},
		{Name: "all", WatchCaches: true, ChangeRoles: true},
		{Name: "fewChanges", WatchCaches: true, ChangeRoles: true, RoleChangeWeight: 3},
	}
}

// Default returns a deployment of the size of the first users, with a mix of long and short prompts.
func Default() Config {
	return Config{
		Seed: 1, DataCentres: []string{"a", "b", "c"}, Entries: 4, Engines: 18, PrefillEngines: 12, Duration: 30 * time.Second,
		Engine: EngineModel{
			Traits: fighollow.EngineTraits{
				Slots: 64, KVCapacityTokens: 500_000, KVBytesPerToken: 35_000, TransferMbps: 390_000, RoleSwitch: 3 * time.Second,
			},
			PrefillRate: 50, RateSpread: 0.25, PrefillChunk: 4096, PrefillOverhead: 100 * time.Millisecond,
			DecodeStep: 6 * time.Millisecond, DecodeStepPerRequest: 200 * time.Microsecond,
		},
		Classes: []RequestClass{
			{Name: "memo", PerSecond: 30, PrefixTokens: 13_300, Prefixes: 110, SuffixTokens: 3700, OutputTokens: 20, Target: 800 * time.Millisecond, Timeout: 3200 * time.Millisecond, Priority: 2, Worth: 2.1},
			{Name: "check", PerSecond: 22, PrefixTokens: 6300, Prefixes: 120, SuffixTokens: 2900, OutputTokens: 9, Target: 1200 * time.Millisecond, Timeout: 4800 * time.Millisecond, Priority: 1, Worth: 2.3},
			{Name: "summary", PerSecond: 38, PrefixTokens: 350, Prefixes: 140, SuffixTokens: 1100, OutputTokens: 29, Target: 1500 * time.Millisecond, Timeout: 6 * time.Second, Priority: 0, Worth: 1.5},
		},
	}
}
