package emulator

import (
	"slices"
	"time"
)

// Result is what callers got in a run, and what it took.
type Result struct {
	Policy   string
	Seed     uint64
	Kinds    map[string]*KindResult
	Computed int // prompt tokens
	Fetched  int // prompt tokens
	Orders   int // changes of role
}

// KindResult is what callers of one kind of request got.
type KindResult struct {
	Asked   int
	OnTime  int // the first event came within the target
	Late    int
	Served  int // the whole answer came
	Refused int // at once, as it would have been too late
	Failed  int
	Left    int // callers that left before the first event

	firsts []time.Duration
	worth  float64
}

// first notes the time until the first event of an answer.
func (k *KindResult) first(d time.Duration, kind Kind) {
	k.firsts = append(k.firsts, d)
	if d <= kind.Target {
		k.OnTime++
		k.worth += kind.Worth
		return
	}
	k.Late++
	k.worth += LateWorth * kind.Worth
}

// First returns the time until the first event at a quantile of the answers that began; 0 when none did.
func (k *KindResult) First(quantile float64) time.Duration {
	if len(k.firsts) == 0 {
		return 0
	}
	sorted := slices.Clone(k.firsts)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(quantile*float64(len(sorted))))]
}

// Worth returns the worth of all answers as a share of what answers on time to all requests would have been worth.
func (r *Result) Worth(kinds []Kind) float64 {
	var got, owed float64
	for _, k := range kinds {
		got += r.Kinds[k.Name].worth
		owed += k.Worth * float64(r.Kinds[k.Name].Asked)
	}
	if owed == 0 {
		return 0
	}
	return got / owed
}
