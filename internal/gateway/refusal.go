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
	r.RetryAfterMs = x.retryAfter().Milliseconds()
	if x.engineDelay > 0 {
		r.RetryAfterMs = x.engineRetryAfter(time.Until(x.deadline)).Milliseconds()
	}
	if errors.Is(err, errOverShare) {
		r.RetryAfterMs = x.shareDelay.Milliseconds()
	}
	return r
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

// returnShare is the part of the time left within which callers come back.
const returnShare = 1.0 / 3

// engineRetryAfter returns the delay after which the caller of a stream that waits for an engine can come back, given the time until its
// deadline. The spread does not make it longer than callers wait.
func (x *exchange) engineRetryAfter(left time.Duration) time.Duration {
	most := time.Duration(returnShare * float64(left))
	spread := time.Duration(x.seed % uint64(retryAfterSpread))
	if most > x.engineDelay {
		spread = min(spread, most-x.engineDelay)
	}
	return x.engineDelay + spread
}

// notReadyRefusal returns the refusal for a request that arrives before the first configuration, or while its key cannot be trusted.
func (x *exchange) notReadyRefusal(message string) *fighollow.Refusal {
	r := fighollow.NotRunRefusal(fighollow.CodeNotReady, message)
	r.RetryAfterMs = (notReadyRetryMin + time.Duration(x.seed%uint64(notReadyRetrySpread))).Milliseconds()
	return r
}
