package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// generate serves a request of model engines: the prompt is computed by a prefill engine, and a decode engine imports its
// KV cache and generates the answer. Where no prefill engine takes the prompt, a decode engine does both.
func (x *exchange) generate(ctx context.Context) *fighollow.Refusal {
	for {
		err := x.attemptGenerate(ctx)
		if err == nil || x.left {
			return nil
		}
		if !x.again(ctx, err) {
			return x.giveUp(ctx, err)
		}
		if x.begun {
			event.StreamResumed.Log(&x.log).Str("after", x.resumeAfter).Err(err).Send()
		}
	}
}

// attemptGenerate makes one attempt at the whole answer, or at its rest.
func (x *exchange) attemptGenerate(ctx context.Context) error {
	kv, err := x.prefill(ctx)
	if err != nil {
		return err
	}
	phase := fighollow.RequestWhole
	if kv != nil {
		phase = fighollow.RequestDecode
	}
	l, err := x.send(ctx, phase, kv)
	if err == nil {
		return x.relay(ctx, l)
	}
	if kv != nil && !x.mayRun {
		x.release(kv)
	}
	return err
}

// prefill has the prompt computed. It returns no cache when a decode engine is to compute it: there is no prefill engine,
// or the route allows no further call. The first call that an engine accepts does not count as an attempt.
func (x *exchange) prefill(ctx context.Context) (*fighollow.KVCache, error) {
	if x.begun {
		return nil, nil // a resumed stream's prompt is fetched where it is cached
	}
	for x.kvAllowed() {
		l, err := x.send(ctx, fighollow.RequestPrefill, nil)
		switch {
		case errors.Is(err, placement.ErrNoUpstream) && x.rejected == 0:
			return nil, nil
		case err == nil && l.reply.KV != nil:
			l.end(placement.Answered, nil)
			x.free()
			return l.reply.KV, nil
		case err == nil:
			l.reply.Body.Close()
			err = fmt.Errorf("%w: prefill answered with status %d", fighollow.ErrNotRun, l.reply.Status)
			x.tried = append(x.tried, l.up.ID)
			l.end(placement.Failed, err)
		case errors.Is(err, fighollow.ErrUnknownOutcome) && ctx.Err() == nil:
			// The call arrived and its answer was lost; the budget is charged, as the engine may have refused it.
			if x.freed || !x.budget.take() {
				break
			}
			x.free()
		}
		if !x.again(ctx, err) {
			return nil, err
		}
	}
	return nil, nil
}

// kvAllowed reports whether the route allows a prefill and the decode that follows it.
func (x *exchange) kvAllowed() bool {
	calls := 1
	if x.freed {
		calls = 2
	}
	return x.counted+calls <= x.route.MaxAttempts || x.sent == 0
}

// free takes the one prefill that an engine accepted out of the attempts that count.
func (x *exchange) free() {
	if !x.freed {
		x.freed = true
		x.unclaim()
	}
}

// releaseTimeout bounds the call that frees a KV cache; the engine frees it by itself after some seconds.
const releaseTimeout = time.Second

// release frees a KV cache that nobody will import, without waiting for it.
func (x *exchange) release(kv *fighollow.KVCache) {
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

// relay passes an engine's answer on.
func (x *exchange) relay(ctx context.Context, l *leg) error {
	defer l.reply.Body.Close()
	if l.reply.Status != http.StatusOK {
		return x.relayFailure(ctx, l)
	}
	if !x.begun {
		if err := x.begin(l.reply, -1); err != nil {
			x.left = true
			l.end(placement.Abandoned, err)
			return nil
		}
	}
	err := x.relayEvents(l)
	switch {
	case x.left:
		l.end(placement.Abandoned, err)
		return nil
	case err != nil:
		return x.brokeOff(ctx, l, err)
	}
	x.last = time.Since(x.call.Arrived)
	l.end(placement.Answered, nil)
	return nil
}

// relayFailure passes an engine's own failure on, or has another engine asked.
func (x *exchange) relayFailure(ctx context.Context, l *leg) error {
	if x.begun {
		x.mayRun = true
		x.tried = append(x.tried, l.up.ID)
		err := fmt.Errorf("%w: status %d", fighollow.ErrUnknownOutcome, l.reply.Status)
		l.end(placement.Failed, err)
		return err
	}
	if x.mayRepeat() && l.reply.Status >= http.StatusInternalServerError && x.retryFailure(l) {
		err := fmt.Errorf("%w: status %d", fighollow.ErrUnknownOutcome, l.reply.Status)
		l.end(placement.Failed, err)
		return err
	}
	done, err := x.passPlain(ctx, l)
	if done {
		return nil
	}
	return err
}
