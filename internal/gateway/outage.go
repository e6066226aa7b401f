package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// outage lets the followers of several kinds share the calls by which they find out that the store answers again: while it does not, they
// call in turn. The zero value is a store that answers. It is safe for concurrent use.
type outage struct {
	mu      sync.Mutex
	over    chan struct{} // closed when the store answers again; nil if it does
	nextAt  time.Time     // of the next call
	backoff time.Duration
}

// failed records a call that the store did not answer as asked.
func (o *outage) failed(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.over == nil {
		o.over, o.backoff = make(chan struct{}), minStoreBackoff
	}
	o.nextAt = now.Add(o.backoff/2 + rand.N(o.backoff))
	o.backoff = min(2*o.backoff, maxStoreBackoff)
}

// ended records an answer.
func (o *outage) ended() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.over != nil {
		close(o.over)
		o.over = nil
	}
}

// wait returns when the caller may call the store: at once if it answers, and otherwise when the next call is due, which is then the
// caller's.
func (o *outage) wait(ctx context.Context) {
	for {
		over, pause := o.claim(time.Now())
		if over == nil || pause <= 0 {
			return
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-over:
		case <-t.C:
		}
		t.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// claim returns how long to wait for the next call, and a channel that is closed when the store answers again. If the call is due, it is
// the caller's, and that of another one is due later.
func (o *outage) claim(now time.Time) (over <-chan struct{}, pause time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.over == nil {
		return nil, 0
	}
	if pause = o.nextAt.Sub(now); pause <= 0 {
		o.nextAt = now.Add(maxStoreBackoff)
	}
	return o.over, pause
}
