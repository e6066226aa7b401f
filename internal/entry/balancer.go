package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fighollow/fighollow/internal/admission"
	"github.com/fighollow/fighollow/internal/routing"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// balancer combines the entry's router and its limiter under one lock and passes them the current time. It is safe for
// concurrent use.
type balancer struct {
	mu      sync.Mutex
	router  *routing.Router
	limiter *admission.EntryLimiter
}

func (b *balancer) update(upstreams []routing.Upstream, models map[string]routing.Model) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Update(time.Now(), upstreams, models)
}

func (b *balancer) admit(w *fighollow.Workspace) *fighollow.Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limiter.Admit(time.Now(), w)
}

func (b *balancer) release(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limiter.Release(workspace)
}

func (b *balancer) openRequests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limiter.Open()
}

func (b *balancer) countRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.CountRequest()
}

func (b *balancer) takeRetry(failure bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.router.TakeRetry(failure)
}

func (b *balancer) choose(q *routing.Request) (routing.Decision, bool) {
	q.Seed = rand.Uint64()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.router.Choose(time.Now(), q)
}

func (b *balancer) attemptSent(id string, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Sent(id, tokens)
}

func (b *balancer) attemptAccepted(id string, load fighollow.Load, blocks []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Accepted(time.Now(), id, load, blocks)
}

func (b *balancer) promptComputed(id string, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.PromptComputed(id, tokens)
}

func (b *balancer) attemptRefused(id string, r *fighollow.Refusal, load fighollow.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Refused(time.Now(), id, r, load)
}

func (b *balancer) attemptFinished(id string, took time.Duration, load fighollow.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Finished(time.Now(), id, took, load)
}

func (b *balancer) attemptLost(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Lost(id)
}

func (b *balancer) unreachable(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Unreachable(time.Now(), id)
}

func (b *balancer) connected(id string, incarnation int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.router.Connected(time.Now(), id, incarnation)
}

// leaving stops new attempts on an upstream. With permanent set, this incarnation of its sidecar never gets any again;
// otherwise it is draining and can be restored.
func (b *balancer) leaving(id string, incarnation int64, permanent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if permanent {
		b.router.Leaving(time.Now(), id, incarnation)
	} else {
		b.router.Draining(time.Now(), id)
	}
}

func (b *balancer) linkClosed(id string, incarnation int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.LinkClosed(time.Now(), id, incarnation)
}
