package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/logging"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// generate serves a request for a model. A prefill engine computes the prompt; a decode engine imports its KV cache and
// generates the answer. If no prefill engine accepts the prompt, a decode engine does both.
func (x *exchange) generate(ctx context.Context) *fighollow.Refusal {
	if !x.awaitAnnounced(ctx) {
		return x.refusal(ctx, placement.ErrNoUpstream)
	}
	for {
		err := x.generateOnce(ctx)
		if err == nil || x.callerLeft {
			return nil
		}
		if x.headerSent && (errors.Is(err, placement.ErrLimited) || errors.Is(err, placement.ErrPaused)) && x.awaitPermit(ctx) {
			continue
		}
		if !x.awaitDecode(ctx, err) && !x.shouldRetry(ctx, err) {
			if x.kv != nil {
				x.releaseKV(x.kv)
			}
			return x.refusal(ctx, err)
		}
		if x.headerSent {
			event.StreamResumed.Log(&x.log).Str("after", logging.Short(x.resumeAfter)).Err(err).Send()
		}
	}
}

const (
	// maxPermitWait is how long a stream that broke off waits, in all, for a permit to go on. Callers give up after 2 s without
	// an event.
	maxPermitWait = 1500 * time.Millisecond
	// minPermitWait keeps a stream that loses a permit to another request from asking again at once.
	minPermitWait = 20 * time.Millisecond
)

// awaitPermit waits until the request limits allow the stream to go on. It returns false if that is too long.
func (x *exchange) awaitPermit(ctx context.Context) bool {
	pause := max(x.limitedFor, minPermitWait)
	if x.permitWait += pause; x.permitWait > maxPermitWait {
		return false
	}
	event.StreamWaits.Log(&x.log).Int64("waitMs", pause.Milliseconds()).Str("after", logging.Short(x.resumeAfter)).Send()
	wait(ctx, pause)
	return ctx.Err() == nil
}

// generateOnce makes one attempt at the whole answer, or at its remainder if part of it was sent.
func (x *exchange) generateOnce(ctx context.Context) error {
	kv := x.kv
	x.kv = nil
	if kv == nil {
		var err error
		if kv, err = x.prefill(ctx); err != nil {
			return err
		}
		x.kvRefused = 0
	}
	phase := fighollow.RequestWhole
	if kv != nil {
		phase = fighollow.RequestDecode
	}
	a, err := x.send(ctx, phase, kv)
	if err == nil {
		return x.relay(ctx, a)
	}
	switch {
	case kv == nil || x.mayHaveRun:
	case x.canReuseKV(err):
		x.kv = kv
	default:
		x.releaseKV(kv)
	}
	return err
}

// maxKVRefused is the number of decode engines that may refuse a KV cache before it is computed again: one may be full, but two also
// refuse a cache that they cannot fetch.
const maxKVRefused = 2

// canReuseKV reports whether another decode engine can take the KV cache after an attempt that ended with err.
func (x *exchange) canReuseKV(err error) bool {
	return errors.Is(err, fighollow.ErrNotRun) && x.kvRefused < maxKVRefused
}

// prefill has a prefill engine compute the prompt. It returns nil without an error if a decode engine is to compute the
// prompt, because no prefill engine takes it or the route allows no further call. The first call that an engine accepts does
// not count as an attempt.
func (x *exchange) prefill(ctx context.Context) (*fighollow.KVCache, error) {
	if x.headerSent || x.path(time.Now()) == fighollow.RequestWhole {
		return nil, nil // a resumed stream's prompt is fetched from an engine that has it cached
	}
	for x.arrivals.allowPrefill(x.route.MaxAttempts) {
		a, err := x.send(ctx, fighollow.RequestPrefill, nil)
		switch {
		case x.skipsPrefill(err):
			return nil, nil
		case err == nil && a.reply.KV != nil:
			x.recordComputed(a)
			a.end(placement.Answered, nil)
			x.arrivals.prefillAccepted(a.charge)
			return a.reply.KV, nil
		case err == nil:
			a.reply.Body.Close()
			err = fmt.Errorf("%w: prefill answered with status %d", fighollow.ErrNotRun, a.reply.Status)
			x.tried = append(x.tried, a.upstream.ID)
			a.end(placement.Failed, err)
		case errors.Is(err, fighollow.ErrUnknownOutcome) && ctx.Err() == nil:
			x.arrivals.prefillLost()
		}
		if !x.shouldRetry(ctx, err) {
			return nil, err
		}
	}
	return nil, nil
}

// skipsPrefill reports whether a decode engine is to compute the prompt after a prefill that failed with err.
func (x *exchange) skipsPrefill(err error) bool {
	return errors.Is(err, placement.ErrPaused) || x.refused == 0 && (errors.Is(err, placement.ErrNoUpstream) || errors.Is(err, placement.ErrLimited))
}

// releaseTimeout bounds the call that releases a KV cache. The engine releases it by itself after some seconds.
const releaseTimeout = time.Second

// releaseKV releases, in the background, a KV cache that no engine will import.
func (x *exchange) releaseKV(kv *fighollow.KVCache) {
	u, ok := x.pool.ByAddress(kv.Address)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		err := x.g.dispatch.Release(ctx, u, kv)
		event.CacheReleased.Log(&x.log).Str("upstream", u.ID).Err(err).Send()
	}()
}

// relay relays an engine's answer to the caller.
func (x *exchange) relay(ctx context.Context, a *attempt) error {
	defer a.reply.Body.Close()
	if a.reply.Status != http.StatusOK || !a.hasEvents() {
		return x.relayUnstreamed(ctx, a)
	}
	err := x.relayEvents(a)
	if err == nil {
		x.recordUsage(a.placed.SentAt) // a complete stream without events; others are recorded
	}
	if err == nil && !x.headerSent {
		err = x.beginEvents(a) // a complete stream without events
	}
	switch {
	case x.callerLeft:
		a.end(placement.Abandoned, err)
		return nil
	case err != nil:
		return x.recordInterruption(ctx, a, err)
	}
	x.total = time.Since(x.call.Arrived)
	x.recordAnswer(a)
	a.end(placement.Answered, nil)
	return nil
}

// relayUnstreamed relays an engine's failure, or another answer without events, to the caller. It returns an error if another
// engine is to be tried.
func (x *exchange) relayUnstreamed(ctx context.Context, a *attempt) error {
	x.recordUsage(a.placed.SentAt)
	if x.headerSent {
		x.mayHaveRun = true
		x.tried = append(x.tried, a.upstream.ID)
		err := fmt.Errorf("%w: status %d", fighollow.ErrUnknownOutcome, a.reply.Status)
		a.end(placement.Failed, err)
		return err
	}
	if x.mayRepeat() && a.reply.Status >= http.StatusInternalServerError && x.shouldRetryFailure(a) {
		err := fmt.Errorf("%w: status %d", fighollow.ErrUnknownOutcome, a.reply.Status)
		a.end(placement.Failed, err)
		return err
	}
	if done, err := x.relayPlain(ctx, a); !done {
		return err
	}
	return nil
}
