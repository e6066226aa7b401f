package sidecar

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// CacheAge exports cacheAge to external tests.
type CacheAge struct{ c *cacheAge }

// NewCacheAge returns an estimate without events.
func NewCacheAge() CacheAge { return CacheAge{newCacheAge()} }

// Observe updates the estimate with events.
func (c CacheAge) Observe(now time.Time, events []fighollow.CacheEvent) { c.c.observe(now, events) }

// Millis returns the estimate in milliseconds, or 0 if it is unknown.
func (c CacheAge) Millis(now time.Time) int64 { return c.c.millis(now) }
