package admission

import (
	"math"
	"time"
)

// Backlog is the work ahead of a new request on one engine, and the engine's rates.
type Backlog struct {
	QueuedTokens           int     // prompt tokens still to be computed
	Running                int     // requests that hold a slot
	Queued                 int     // requests that wait for a slot
	Slots                  int     // 0: not known, no wait for a slot
	PrefillTokensPerSecond float64 // 0: not known, no wait for prompts
	// DecodeTokensPerSecond is the rate of all streams together and StreamTokensPerSecond the most that one gets; 0: not
	// known. MeanOutputTokens is the usual output of the requests that run; 0: that of the new request.
	DecodeTokensPerSecond float64
	StreamTokensPerSecond float64
	MeanOutputTokens      float64
}

// ExpectedTime returns how long a request with these token counts takes from now to its last token.
func ExpectedTime(b Backlog, promptTokens, outputTokens int) time.Duration {
	seconds := 0.0
	if b.PrefillTokensPerSecond > 0 {
		seconds = float64(b.QueuedTokens+promptTokens) / b.PrefillTokensPerSecond
	}
	if rate := b.streamRate(); rate > 0 {
		output := float64(outputTokens)
		seconds += output / rate
		if b.Slots > 0 && b.Running >= b.Slots {
			if b.MeanOutputTokens > 0 {
				output = b.MeanOutputTokens
			}
			seconds += float64(b.Queued+1) / float64(b.Slots) * output / rate
		}
	}
	return time.Duration(math.Min(seconds, 1e6) * float64(time.Second))
}

// streamRate is what one more stream gets; 0 if the rates are not known.
func (b Backlog) streamRate() float64 {
	streams := b.Running + 1
	if b.Slots > 0 {
		streams = min(streams, b.Slots)
	}
	rate := b.DecodeTokensPerSecond / float64(streams)
	if b.StreamTokensPerSecond > 0 && (rate == 0 || rate > b.StreamTokensPerSecond) {
		rate = b.StreamTokensPerSecond
	}
	return rate
}

// IsLate reports whether a request would miss its deadline on an engine with this backlog. Refusing it at once leaves
// the engine's time to requests that are still in time. A zero deadline is never missed.
func IsLate(now, deadline time.Time, b Backlog, promptTokens, outputTokens int) bool {
	return !deadline.IsZero() && now.Add(ExpectedTime(b, promptTokens, outputTokens)).After(deadline)
}

// OverflowMargin is by how much an engine of the other role must be expected to be faster for a request to overflow to
// it. Work outside its role takes an engine longer and disturbs the role's own requests: with a margin of 1 overflow
// cost the fixed split of the policy bench more of its goodput in calm times than it saved.
const OverflowMargin = 2.5

// Overflows reports whether a request should go to an engine of the other role, from the expected times on the best
// engine of each.
func Overflows(own, other time.Duration) bool {
	return time.Duration(OverflowMargin*float64(other)) < own
}
