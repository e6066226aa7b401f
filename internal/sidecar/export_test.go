package sidecar

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// CacheAge gives black-box tests the estimate of the cache's age.
type CacheAge struct{ c *cacheAge }

// NewCacheAge returns an estimate that has seen nothing.
func NewCacheAge() CacheAge { return CacheAge{newCacheAge()} }

// Learn passes events on.
func (c CacheAge) Learn(now time.Time, events []fighollow.CacheEvent) { c.c.learn(now, events) }

// Ms returns the estimate.
func (c CacheAge) Ms(now time.Time) int64 { return c.c.ms(now) }
