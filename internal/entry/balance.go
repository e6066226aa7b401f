package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fighollow/fighollow/internal/admission"
	"github.com/fighollow/fighollow/internal/routing"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// balance guards the entry's routing and admission state and gives both the current time. It is safe for concurrent use.
type balance struct {
	mu     sync.Mutex
	router *routing.Router
	limits *admission.EntryLimiter
}

func (b *balance) update(upstreams []routing.Upstream, models map[string]routing.Model) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Update(time.Now(), upstreams, models)
}

func (b *balance) admit(w *fighollow.Workspace) *fighollow.Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.Admit(time.Now(), w)
}

func (b *balance) release(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.Release(workspace)
}

func (b *balance) open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.Open()
}

func (b *balance) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.CountRequest()
}

func (b *balance) retry(failure bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.router.TakeRetry(failure)
}

func (b *balance) choose(q *routing.Request) (routing.Decision, bool) {
	q.Seed = rand.Uint64()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.router.Choose(time.Now(), q)
}

func (b *balance) sent(id string, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Sent(id, tokens)
}

func (b *balance) accepted(id string, load fighollow.Load, blocks []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Accepted(time.Now(), id, load, blocks)
}

func (b *balance) computed(id string, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.PromptComputed(id, tokens)
}

func (b *balance) refused(id string, r *fighollow.Refusal, load fighollow.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Refused(time.Now(), id, r, load)
}

func (b *balance) finished(id string, took time.Duration, load fighollow.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Finished(time.Now(), id, took, load)
}

func (b *balance) lost(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Lost(id)
}

func (b *balance) unreachable(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Unreachable(time.Now(), id)
}

func (b *balance) reached(id string, incarnation int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.router.Connected(time.Now(), id, incarnation)
}

func (b *balance) left(id string, incarnation int64, forever bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if forever {
		b.router.Leaving(time.Now(), id, incarnation)
	} else {
		b.router.Draining(time.Now(), id)
	}
}

func (b *balance) linkClosed(id string, incarnation int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.LinkClosed(time.Now(), id, incarnation)
}
