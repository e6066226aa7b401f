package gateway

import (
	"errors"
	"time"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Reasons for which an attempt is not sent.
var (
	errAttemptsExhausted = errors.New("gateway: the route allows no further attempt")
	errBudgetExhausted   = errors.New("gateway: the budget of repeats is used up")
)

// query returns the placement query for the next attempt.
func (x *exchange) query(phase fighollow.RequestPhase) placement.Query {
	return placement.Query{
		Phase: phase, Prompt: x.call.Prompt, PromptTokens: x.call.PromptTokens, Bytes: len(x.call.Body), Tried: x.tried,
		Version: x.software,
		NoRetry: x.route.MaxAttempts <= max(1, x.arrivals.counted+1), Seed: x.seed + uint64(x.attemptsSent),
	}
}

// slo returns the request's latency target, deadline and rank.
func (x *exchange) slo() placement.SLO {
	return placement.SLO{
		Arrived: x.call.Arrived, Target: x.route.TargetLatency, Deadline: x.deadline, Priority: x.rank, Begun: x.headerSent,
	}
}

// path returns the phase of the next attempt at a whole answer.
func (x *exchange) path(now time.Time) fighollow.RequestPhase {
	return x.pool.Path(now, x.query(fighollow.RequestPrefill), x.slo())
}

// place chooses the upstream for the next attempt.
func (x *exchange) place(now time.Time, phase fighollow.RequestPhase) (placement.Choice, placement.Query, error) {
	q := x.query(phase)
	c, delay, err := x.pool.Place(now, &q, x.slo())
	x.overTarget, x.limitedFor = 0, 0
	switch {
	case errors.Is(err, placement.ErrTooLate):
		x.overTarget = delay
	case errors.Is(err, placement.ErrLimited):
		x.limitedFor = delay
		x.g.metrics.count("limits.exhausted")
	case errors.Is(err, placement.ErrPaused):
		x.limitedFor = delay
		x.g.metrics.count("pauses.exhausted")
	}
	return c, q, err
}
