package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// refusal returns the refusal for a request that gets no further attempt.
func (x *exchange) refusal(ctx context.Context, err error) *fighollow.Refusal {
	if ctx.Err() != nil {
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			x.callerLeft = true
		}
		if x.mayHaveRun {
			return fighollow.UnknownRefusal(fighollow.CodeDeadline, "the deadline passed before the answer was complete")
		}
		return fighollow.NotRunRefusal(fighollow.CodeTooLate, "the deadline passed before an upstream took the request")
	}
	if x.mayHaveRun {
		return fighollow.UnknownRefusal(fighollow.CodeUpstreamFailed, err.Error())
	}
	if errors.Is(err, errQuarantined) {
		r := fighollow.NotRunRefusal(fighollow.CodeQuarantined, err.Error())
		r.RetryAfterMs = (x.withheldFor + time.Duration(x.seed%uint64(retryAfterSpread))).Milliseconds()
		return r
	}
	r := fighollow.NotRunRefusal(fighollow.CodeOverloaded, err.Error())
	if errors.Is(err, placement.ErrNoUpstream) {
		r.Code = fighollow.CodeNoUpstream
	}
	if errors.Is(err, placement.ErrTooLate) {
		r.Code = fighollow.CodeTooLate
	}
	r.RetryAfterMs = (x.retryAfter() + x.roleSwitchWait(err)).Milliseconds()
	if errors.Is(err, errOverShare) {
		r.RetryAfterMs = x.shareDelay.Milliseconds()
	}
	return r
}

// roleSwitchWait returns how long the caller of a stream that may only go on at one software version waits for an engine of it to become a
// decode engine, which the holder of the role lease orders when the version has too few; 0 if that is not the reason for the refusal.
func (x *exchange) roleSwitchWait(err error) time.Duration {
	if x.software == "" || !errors.Is(err, placement.ErrNoUpstream) || x.traits.Engine == nil || !x.pool.CanServe(x.software) {
		return 0
	}
	return x.traits.Engine.RoleSwitch / 2
}

const (
	// retryAfterMin and retryAfterSpread bound the retry delay sent with a refusal. The spread keeps callers that were
	// refused together from returning together.
	retryAfterMin    = 200 * time.Millisecond
	retryAfterSpread = 600 * time.Millisecond
	// notReadyRetryMin and notReadyRetrySpread are the same for a process without a configuration: the store is unavailable,
	// and its outages last for seconds.
	notReadyRetryMin    = 2 * time.Second
	notReadyRetrySpread = time.Second
)

// retryAfter returns the delay after which a retry may succeed: when the work queued before the request is expected to be
// done, as far as it is known, or when an upstream's request limit allows another request.
func (x *exchange) retryAfter() time.Duration {
	return retryAfterMin + max(0, x.overTarget)/2 + x.limitedFor + time.Duration(x.seed%uint64(retryAfterSpread))
}

// notReadyRefusal returns the refusal for a request that arrives before the first configuration, or while its key cannot be trusted.
func (x *exchange) notReadyRefusal(message string) *fighollow.Refusal {
	r := fighollow.NotRunRefusal(fighollow.CodeNotReady, message)
	r.RetryAfterMs = (notReadyRetryMin + time.Duration(x.seed%uint64(notReadyRetrySpread))).Milliseconds()
	return r
}
