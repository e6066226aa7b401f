package sidecar

import (
	"context"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	cacheEventsEvery = 2 * time.Second
	// maxCachePieces bounds the pieces whose age is followed; more are ignored, which only makes the estimate coarser.
	maxCachePieces = 4096
	cacheAgeWeight = 0.1 // of a new age in the moving average
	// cacheAgeMemory is how long the estimate counts after the last eviction: without evictions the cache has room.
	cacheAgeMemory = 5 * time.Minute
)

// cacheAge estimates how long the engine keeps a piece of a prompt in its prefix cache. Its events come late and with
// gaps, so that it is an estimate only; a wrong one costs speed.
type cacheAge struct {
	after   uint64               // number of the last event seen
	added   map[uint64]time.Time // by piece
	average time.Duration        // 0: unknown
	evicted time.Time            // when the last eviction was seen
}

func newCacheAge() *cacheAge { return &cacheAge{added: make(map[uint64]time.Time)} }

// learn takes events in their order.
func (c *cacheAge) learn(now time.Time, events []fighollow.CacheEvent) {
	for _, e := range events {
		c.after = max(c.after, e.Seq)
		at, known := c.added[e.Piece]
		switch {
		case !e.Evicted && !known && len(c.added) < maxCachePieces:
			c.added[e.Piece] = now
		case e.Evicted && known:
			delete(c.added, e.Piece)
			c.evict(now, now.Sub(at))
		}
	}
}

func (c *cacheAge) evict(now time.Time, age time.Duration) {
	c.evicted = now
	if c.average == 0 {
		c.average = age
		return
	}
	c.average += time.Duration(cacheAgeWeight * float64(age-c.average))
}

// ms returns the estimate in milliseconds, 0 when it is unknown.
func (c *cacheAge) ms(now time.Time) int64 {
	if now.Sub(c.evicted) > cacheAgeMemory {
		return 0
	}
	return c.average.Milliseconds()
}

// followCache reads the engine's cache events until ctx ends. A restart of the engine empties its cache and starts the
// numbers of its events again.
func (s *Sidecar) followCache(ctx context.Context) {
	if s.engine == nil {
		return
	}
	t := time.NewTicker(cacheEventsEvery)
	defer t.Stop()
	restarts := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s.mu.Lock()
		if n := s.machine.Restarts(); n != restarts {
			restarts, s.cache = n, newCacheAge()
		}
		after := s.cache.after
		s.mu.Unlock()
		octx, cancel := context.WithTimeout(ctx, observeTimeout)
		events, err := s.engine.CacheEvents(octx, after)
		cancel()
		if err != nil {
			continue
		}
		s.mu.Lock()
		s.cache.learn(time.Now(), events)
		s.mu.Unlock()
	}
}
