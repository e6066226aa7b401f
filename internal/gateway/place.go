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
	errOverShare         = errors.New("gateway: the workspace asks for more than its share of the engines")
)

// query returns the placement query for the next attempt.
func (x *exchange) query(phase fighollow.RequestPhase) placement.Query {
	return placement.Query{
		Phase: phase, Prompt: x.call.Prompt, PromptTokens: x.call.PromptTokens, Bytes: x.bytes, Tried: x.tried,
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
	if (err == nil || errors.Is(err, placement.ErrTooLate)) && !x.withinShare(now, &c, err != nil) {
		x.pool.Withdraw(c.Upstream.ID)
		return c, q, errOverShare
	}
	return c, q, err
}

// withinShare reports whether the request is within its workspace's share of the service's engines. That is decided when the request is
// placed for the first time; refused reports that placement refused it then as too late. Streams that callers take up have been decided on.
func (x *exchange) withinShare(now time.Time, c *placement.Choice, refused bool) bool {
	if x.shareDecided || x.g.opts.Shares == nil || !x.identity.Checked || x.identity.Workspace == "" || x.traits.Engine == nil || x.call.ResumeAfter != "" {
		return true
	}
	x.shareDecided = true
	target := x.route.TargetLatency
	r := fighollow.ShareRequest{
		Service: x.service, Workspace: x.identity.Workspace, ID: x.call.ID, Rank: x.rank,
		Work: time.Duration(c.WorkMs * float64(time.Millisecond)), Late: refused || c.OverTarget > target, Refused: refused,
	}
	if target > 0 {
		r.Wait = max(0, c.WaitMs*float64(time.Millisecond)/float64(target))
	}
	d := x.g.opts.Shares.Decide(now, r)
	x.share, x.shareDelay = r, d.RetryAfter
	return d.Admitted
}

// recordComputed records that an engine has computed the prompt, if that is the attempt for which the share was decided.
func (x *exchange) recordComputed(a *attempt) {
	if !x.shareDecided || x.attemptsSent != 1 || a.phase == fighollow.RequestDecode {
		return
	}
	now := time.Now()
	x.g.opts.Shares.Computed(now, x.share, now.Sub(a.placed.SentAt))
}
