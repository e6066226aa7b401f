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
		return x.relay(l)
	}
	if kv != nil && !x.mayRun {
		x.release(kv)
	}
	return err
}

// prefill has the prompt computed. It returns no cache when a decode engine is to compute it: there is no prefill engine,
// or the stream is being resumed, where a second prefill would count as one more attempt.
func (x *exchange) prefill(ctx context.Context) (*fighollow.KVCache, error) {
	for !x.freed {
		l, err := x.send(ctx, fighollow.RequestPrefill, nil)
		switch {
		case errors.Is(err, errNoPlace) && x.rejected == 0:
			return nil, nil
		case err == nil && l.reply.KV != nil:
			l.end(placement.Answered, nil)
			x.freed = true
			x.unclaim()
			return l.reply.KV, nil
		case err == nil:
			l.reply.Body.Close()
			err = fmt.Errorf("%w: prefill answered with status %d", fighollow.ErrNotRun, l.reply.Status)
			x.tried = append(x.tried, l.up.ID)
			l.end(placement.Failed, err)
		}
		if !x.again(ctx, err) {
			return nil, err
		}
	}
	return nil, nil
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
func (x *exchange) relay(l *leg) error {
	defer l.reply.Body.Close()
	if l.reply.Status != http.StatusOK {
		return x.relayFailure(l)
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
		x.mayRun = true
		x.tried = append(x.tried, l.up.ID)
		l.end(placement.Failed, err)
		return fmt.Errorf("%w: %w", fighollow.ErrUnknownOutcome, err)
	}
	x.last = time.Since(x.call.Arrived)
	l.end(placement.Answered, nil)
	return nil
}

// relayFailure passes an engine's own failure on, or has another engine asked.
func (x *exchange) relayFailure(l *leg) error {
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
	done, err := x.passPlain(l)
	if done {
		return nil
	}
	return err
}
