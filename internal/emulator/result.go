package emulator

import (
	"slices"
	"time"
)

// Result holds the figures of one run.
type Result struct {
	Policy         string
	Seed           uint64
	Classes        map[string]*ClassResult
	ComputedTokens int // prompt tokens that engines computed
	FetchedTokens  int // prompt tokens that prefill engines fetched from the caches of others
	RoleChanges    int // role changes that the planner ordered
	Messages       int // that entries sent to a data centre, of prompts that they placed
	Datagrams      int // of these, one for each entry that received one
	MessageBytes   int // of the datagrams
}

// ClassResult counts the requests of one class by their outcome.
type ClassResult struct {
	Requests  int
	OnTime    int // first token within the target
	Late      int // first token after the target
	Served    int // complete answers
	Refused   int // by placement, as the deadline could not be met
	Failed    int
	Abandoned int // callers that left before the first token

	ttfts []time.Duration
	worth float64
}

// recordFirst records the time to first token of an answer, and the worth of the answer.
func (c *ClassResult) recordFirst(d time.Duration, class RequestClass) {
	c.ttfts = append(c.ttfts, d)
	if d <= class.Target {
		c.OnTime++
		c.worth += class.Worth
		return
	}
	c.Late++
	c.worth += LateWorth * class.Worth
}

// TTFT returns a quantile of the time to first token over the answers that began; 0 when none did.
func (c *ClassResult) TTFT(quantile float64) time.Duration {
	if len(c.ttfts) == 0 {
		return 0
	}
	sorted := slices.Clone(c.ttfts)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(quantile*float64(len(sorted))))]
}

// Worth returns the worth of all answers as a fraction of what they would be worth if every request were answered on time.
func (r *Result) Worth(classes []RequestClass) float64 {
	var earned, possible float64
	for _, c := range classes {
		earned += r.Classes[c.Name].worth
		possible += c.Worth * float64(r.Classes[c.Name].Requests)
	}
	if possible == 0 {
		return 0
	}
	return earned / possible
}
