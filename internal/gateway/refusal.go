package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// giveUp returns the refusal for a request that gets no further attempt.
func (x *exchange) giveUp(ctx context.Context, err error) *fighollow.Refusal {
	if ctx.Err() != nil {
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			x.left = true
		}
		if x.mayRun {
			return fighollow.UnknownRefusal(fighollow.CodeDeadline, "the deadline passed before the answer was complete")
		}
		return fighollow.NotRunRefusal(fighollow.CodeTooLate, "the deadline passed before an upstream took the request")
	}
	if x.mayRun {
		return fighollow.UnknownRefusal(fighollow.CodeUpstreamFailed, err.Error())
	}
	r := fighollow.NotRunRefusal(fighollow.CodeOverloaded, err.Error())
	if errors.Is(err, placement.ErrNoUpstream) {
		r.Code = fighollow.CodeNoUpstream
	}
	if errors.Is(err, placement.ErrTooLate) {
		r.Code = fighollow.CodeTooLate
	}
	r.RetryAfterMs = x.retryAfter().Milliseconds()
	return r
}

const (
	// retryAfterMin and retryAfterSpread bound when a refused caller is told to come back; the spread keeps callers that
	// were refused together from returning together.
	retryAfterMin    = 200 * time.Millisecond
	retryAfterSpread = 600 * time.Millisecond
	// startAfterMin and startAfterSpread are the same for a process that knows no configuration yet: the store is away, and
	// its outages last for seconds.
	startAfterMin    = 2 * time.Second
	startAfterSpread = time.Second
)

// retryAfter returns when asking again can help: when what is ahead of the request will be done, as far as it is known.
func (x *exchange) retryAfter() time.Duration {
	return retryAfterMin + max(0, x.excess)/2 + time.Duration(x.seed%uint64(retryAfterSpread))
}

// notReady refuses a request because no configuration is known.
func (x *exchange) notReady() *fighollow.Refusal {
	r := fighollow.NotRunRefusal(fighollow.CodeNotReady, "no configuration is known yet")
	r.RetryAfterMs = (startAfterMin + time.Duration(x.seed%uint64(startAfterSpread))).Milliseconds()
	return r
}
