package admission

import (
	"math"
	"time"
)

// Backlog is the work ahead of a new request on one engine, together with the engine's throughput.
type Backlog struct {
	QueuedTokens           int     // prompt tokens not yet computed
	Running                int     // requests that hold a slot
	Queued                 int     // requests that wait for a slot
	Slots                  int     // 0 if unknown: the wait for a slot is left out
	PrefillTokensPerSecond float64 // 0 if unknown: the prefill time is left out
	// DecodeTokensPerSecond is the rate of all streams together, StreamTokensPerSecond the maximum rate of one stream; 0 if
	// unknown. MeanOutputTokens is the mean output of the running requests; 0 means that of the new request.
	DecodeTokensPerSecond float64
	StreamTokensPerSecond float64
	MeanOutputTokens      float64
}

// ExpectedTime returns the time that a new request with these token counts takes until its last token. It leaves out
// the terms whose rates are unknown.
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

// streamRate returns the tokens per second that one more stream would get, or 0 if the rates are unknown.
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

// MissesDeadline reports whether a request would miss its deadline on an engine with this backlog. Refusing such a
// request at once keeps engine time for requests that can still be answered in time. A zero deadline is never missed.
func MissesDeadline(now, deadline time.Time, b Backlog, promptTokens, outputTokens int) bool {
	return !deadline.IsZero() && now.Add(ExpectedTime(b, promptTokens, outputTokens)).After(deadline)
}

// OverflowMargin is the factor by which an engine of the other role must be expected to be faster before a request
// overflows to it. Work outside its role takes an engine longer and delays the role's own requests: with a margin of 1,
// overflow at low load cost the fixed split in the policy benchmark more goodput than it saved.
const OverflowMargin = 2.5

// ShouldOverflow reports whether a request should go to an engine of the other role, given the expected times on the
// best engine of its own role and on the best one of the other role.
func ShouldOverflow(own, other time.Duration) bool {
	return time.Duration(OverflowMargin*float64(other)) < own
}
