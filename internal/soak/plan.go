package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// FaultKind is a kind of fault that the soak injects.
type FaultKind string

// Kinds of faults. Processes are entries and upstreams, links the proxies in front of processes.
const (
	FaultStop     FaultKind = "stop"      // SIGTERM, and a start once the process has ended
	FaultKill     FaultKind = "kill"      // SIGKILL, and a start after a pause
	FaultPause    FaultKind = "pause"     // SIGSTOP and SIGCONT
	FaultConfig   FaultKind = "config"    // a new version of the configuration with one more route
	FaultGrow     FaultKind = "grow"      // versions of the configuration with many more routes and without them, in series
	FaultHangup   FaultKind = "hangup"    // SIGHUP, in series
	FaultDelay    FaultKind = "delay"     // each piece of a link's bytes is late
	FaultTrickle  FaultKind = "trickle"   // a link passes a few bytes at a time
	FaultReset    FaultKind = "reset"     // a link's connections are reset
	FaultTruncate FaultKind = "truncate"  // a link's connections are reset after some bytes
	FaultSilence  FaultKind = "silence"   // a link's connections pass nothing any more
	FaultOneWay   FaultKind = "oneWay"    // a link's connections pass nothing towards the caller any more
	FaultLimit    FaultKind = "limit"     // an upstream names a request limit in its answers
	FaultCrash    FaultKind = "crashPart" // each engine that begins an answer on a part of a prompt crashes
	FaultKeys     FaultKind = "keys"      // configurations with keys added, rotated, moved and removed, in series
	FaultUsage    FaultKind = "usage"     // the usage API is slow, down, busy, or loses or delays its answers
	FaultStore    FaultKind = "store"     // the store is silent, down, without its history, or comes back from a copy
)

// plannedFaults are those that must cut no request.
var plannedFaults = []FaultKind{FaultStop, FaultConfig, FaultLimit}

// calmFaults are drawn where no process may be disturbed.
var calmFaults = []FaultKind{FaultLimit, FaultLimit, FaultConfig}

// disturbs reports whether a fault of this kind keeps a process or a link from working as usual.
func (k FaultKind) disturbs() bool {
	switch k {
	case FaultConfig, FaultGrow, FaultHangup, FaultLimit, FaultKeys, FaultUsage:
		return false
	}
	return true
}

var allFaults = []FaultKind{
	FaultStop, FaultKill, FaultPause, FaultConfig, FaultDelay, FaultTrickle, FaultReset, FaultTruncate, FaultSilence, FaultOneWay, FaultStore, FaultLimit,
}

// Modes of FaultStore.
var storeModes = []string{storeSilent, storeDown, storeCompact, storeReturn}

// Fault is one planned fault.
type Fault struct {
	At     time.Duration // from the start of traffic
	Kind   FaultKind
	Target string        // name of the process or link; empty for the configuration
	For    time.Duration // how long it lasts
	Bytes  int           // of FaultTruncate
	Mode   string        // of FaultStore, FaultUsage and FaultKeys
	Limit  float64       // of FaultLimit, in requests a second
}

func (f Fault) String() string {
	what := f.Mode
	if f.Kind == FaultLimit {
		what = fmt.Sprintf("%g a second", f.Limit)
	}
	return fmt.Sprintf("%6.2f s %-8s %s %s for %v", f.At.Seconds(), f.Kind, f.Target, what, f.For.Round(time.Millisecond))
}

// Topology is the size of a run.
type Topology struct {
	Entries, Engines, Services, Callers int
}

// TopologyOf returns the topology of about so many processes.
func TopologyOf(processes int) Topology {
	n := max(1, processes/12)
	return Topology{Entries: 3 * n, Engines: 4 * n, Services: 3 * n, Callers: n}
}

func (t Topology) entries() []string { return names("entry", t.Entries) }

func (t Topology) upstreams() []string {
	return append(names("engine", t.Engines), names("plain", t.Services)...)
}

func names(prefix string, n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("%s%d", prefix, i+1))
	}
	return out
}

// Plan is what happens in one run.
type Plan struct {
	Seed    uint64
	Planned bool // only planned faults, which must cut no request
	Calm    bool // only planned faults that disturb no process
	// Prefill is the number of engines that start with role prefill. The entries order others where it fits badly.
	Prefill int
	// CrashPart reports that some requests have a part that crashes engines for a time.
	CrashPart bool
	// Workspaces reports that the configuration has workspaces with keys, and that the platform wants usage reports.
	Workspaces bool
	Faults     []Fault
}

// Modes of FaultKeys.
const (
	keysQuick = "quick" // a change each quickKeyInterval
	keysSlow  = "slow"  // a change each slowKeyInterval
)

// HasWorkspaces reports whether the plan of a seed has workspaces where that is drawn.
func HasWorkspaces(seed uint64) bool { return rand.New(rand.NewPCG(seed, 3)).IntN(2) == 0 }

// AddWorkspaces adds workspaces with keys, series of changes of the keys, also during faults of the store, and faults of the usage
// API. They are drawn apart from the other faults, which stay the same. The usage API has no faults in calm runs, in which each
// report is judged.
func (p *Plan) AddWorkspaces(duration time.Duration) {
	r := rand.New(rand.NewPCG(p.Seed, 4))
	p.Workspaces = true
	var added []Fault
	draw := func(kind FaultKind, target string, modes ...string) {
		added = append(added, Fault{
			At: time.Duration(r.Int64N(int64(duration * 3 / 4))), Kind: kind, Target: target, Mode: modes[r.IntN(len(modes))],
			For: time.Duration(r.Int64N(int64(duration/4))) + 50*time.Millisecond,
		})
	}
	for range 2 + r.IntN(3) {
		draw(FaultKeys, "", keysQuick, keysSlow)
	}
	for _, f := range p.Faults {
		if f.Kind == FaultStore {
			added = append(added, Fault{At: f.At, Kind: FaultKeys, Mode: keysQuick, For: f.For})
		}
	}
	reports := 1 + r.IntN(3)
	if p.Planned {
		reports = r.IntN(2)
	}
	for range reports {
		if !p.Calm {
			draw(FaultUsage, usageName, usageModes...)
		}
	}
	p.Faults = append(p.Faults, added...)
	sort.SliceStable(p.Faults, func(i, j int) bool { return p.Faults[i].At < p.Faults[j].At })
}

// AddCrashPart adds a fault of a part of prompts that crashes engines, drawn apart from the others, which stay the same except
// for request limits in runs of planned work: they would keep sound requests from being served. The fault outlasts the others, as
// it is judged from twice the stable window after the fifth crash on.
func (p *Plan) AddCrashPart() {
	r := rand.New(rand.NewPCG(p.Seed, 2))
	p.CrashPart = true
	if p.Planned {
		p.Faults = slices.DeleteFunc(p.Faults, func(f Fault) bool { return f.Kind == FaultLimit })
	}
	p.Faults = append(p.Faults, Fault{
		At: 3*time.Second + time.Duration(r.Int64N(int64(time.Second))), Kind: FaultCrash, Target: crashPart,
		For: 16*time.Second + time.Duration(r.Int64N(int64(4*time.Second))),
	})
	sort.SliceStable(p.Faults, func(i, j int) bool { return p.Faults[i].At < p.Faults[j].At })
}

// DrawPlan draws the faults of a run, which all end before its duration. Every fourth seed has planned faults only, and every
// fourth other one only those of them that disturb no process.
func DrawPlan(seed uint64, t Topology, duration time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := Plan{Seed: seed, Planned: seed%4 == 0 || seed%4 == 2, Calm: seed%4 == 2, Prefill: r.IntN(t.Engines + 1)}
	kinds, n := allFaults, 4+r.IntN(4*t.Entries)
	if p.Planned {
		kinds, n = plannedFaults, 2+r.IntN(3)
	}
	if p.Calm {
		kinds, n = calmFaults, 2+r.IntN(2*t.Engines)
	}
	for i := range n {
		f := Fault{At: time.Duration(r.Int64N(int64(duration * 3 / 4))), Kind: kinds[r.IntN(len(kinds))]}
		f.For = time.Duration(r.Int64N(int64(duration/4))) + 50*time.Millisecond
		if p.Planned && !p.Calm && i == 0 {
			f.Kind = FaultStop // a run of planned work has one stop at least
		}
		processes := append(t.entries(), t.upstreams()...)
		switch f.Kind {
		case FaultConfig:
		case FaultLimit:
			f.At, f.For = f.At/4, f.For+duration/2 // longer than a window
			f.Target, f.Limit = t.upstreams()[r.IntN(len(t.upstreams()))], float64(1+r.IntN(12))/2
		case FaultStore:
			f.Target, f.Mode = "store", storeModes[r.IntN(len(storeModes))]
		case FaultStop, FaultKill, FaultPause:
			f.Target = processes[r.IntN(len(processes))]
			if p.Planned {
				f.Target = t.entries()[r.IntN(t.Entries)]
			}
		default:
			f.Target, f.Bytes = append(processes, "store")[r.IntN(len(processes)+1)], r.IntN(30_000)
		}
		p.Faults = append(p.Faults, f)
	}
	if !p.Planned && r.IntN(6) == 0 { // all entries at once
		at := time.Duration(r.Int64N(int64(duration / 2)))
		for _, e := range t.entries() {
			p.Faults = append(p.Faults, Fault{At: at, Kind: FaultKill, Target: e, For: 100 * time.Millisecond})
		}
	}
	p.Faults = append(p.Faults, drawReloads(seed, t, duration, p.Planned)...)
	sort.SliceStable(p.Faults, func(i, j int) bool { return p.Faults[i].At < p.Faults[j].At })
	return p
}

// drawReloads draws a series of large changes of the configuration, with hangups of some entries and, in runs with unplanned
// faults, short pauses beside it. It has a generator of its own, so that the other faults of a seed stay what they were.
func drawReloads(seed uint64, t Topology, duration time.Duration, planned bool) []Fault {
	r := rand.New(rand.NewPCG(seed, 2))
	at, length := time.Duration(r.Int64N(int64(duration/4))), duration/4+time.Duration(r.Int64N(int64(duration/4)))
	out := []Fault{{At: at, Kind: FaultGrow, For: length}}
	entry := func() string { return t.entries()[r.IntN(t.Entries)] }
	for range 1 + r.IntN(t.Entries) {
		out = append(out, Fault{At: at + time.Duration(r.Int64N(int64(length/2))), Kind: FaultHangup, Target: entry(), For: length / 2})
	}
	if planned {
		return out
	}
	for range r.IntN(3) {
		f := Fault{At: at + time.Duration(r.Int64N(int64(length))), Kind: FaultPause, Target: entry()}
		f.For = 50*time.Millisecond + time.Duration(r.Int64N(int64(800*time.Millisecond)))
		out = append(out, f)
	}
	return out
}
