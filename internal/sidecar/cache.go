package sidecar

import (
	"context"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	cacheEventsInterval = 2 * time.Second
	// maxTrackedBlocks bounds the cache blocks whose age is tracked. Further ones are ignored, which only makes the
	// estimate coarser.
	maxTrackedBlocks     = 4096
	cacheAgeSampleWeight = 0.1 // weight of a new age in the moving average
	// cacheAgeTTL is how long the estimate is valid after the last eviction: a cache without evictions has free space.
	cacheAgeTTL = 5 * time.Minute
)

// cacheAge estimates how long a block stays in the engine's prefix cache. Cache events arrive late and with gaps, so it
// is only an estimate; a wrong one costs speed, not correctness.
type cacheAge struct {
	lastSeq      uint64               // sequence number of the last event
	cachedSince  map[uint64]time.Time // by block hash
	average      time.Duration        // 0 if unknown
	lastEviction time.Time            // when the last eviction was observed
}

func newCacheAge() *cacheAge { return &cacheAge{cachedSince: make(map[uint64]time.Time)} }

// observe updates the estimate with events, which must be in order.
func (c *cacheAge) observe(now time.Time, events []fighollow.CacheEvent) {
	for _, e := range events {
		c.lastSeq = max(c.lastSeq, e.Seq)
		since, known := c.cachedSince[e.BlockHash]
		switch {
		case !e.Evicted && !known && len(c.cachedSince) < maxTrackedBlocks:
			c.cachedSince[e.BlockHash] = now
		case e.Evicted && known:
			delete(c.cachedSince, e.BlockHash)
			c.addSample(now, now.Sub(since))
		}
	}
}

func (c *cacheAge) addSample(now time.Time, age time.Duration) {
	c.lastEviction = now
	if c.average == 0 {
		c.average = age
		return
	}
	c.average += time.Duration(cacheAgeSampleWeight * float64(age-c.average))
}

// millis returns the estimate in milliseconds, or 0 if it is unknown.
func (c *cacheAge) millis(now time.Time) int64 {
	if now.Sub(c.lastEviction) > cacheAgeTTL {
		return 0
	}
	return c.average.Milliseconds()
}

// pollCacheEvents reads the engine's cache events every cacheEventsInterval until ctx ends. After a restart of the
// engine it starts with a new estimate, because the cache is empty then and the sequence numbers start over.
func (s *Sidecar) pollCacheEvents(ctx context.Context) {
	if s.engine == nil {
		return
	}
	t := time.NewTicker(cacheEventsInterval)
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
		after := s.cache.lastSeq
		s.mu.Unlock()
		eventsCtx, cancel := context.WithTimeout(ctx, engineTimeout)
		events, err := s.engine.CacheEvents(eventsCtx, after)
		cancel()
		if err != nil {
			continue
		}
		s.mu.Lock()
		s.cache.observe(time.Now(), events)
		s.mu.Unlock()
	}
}
