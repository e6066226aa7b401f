package sidecar_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/sidecar"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against an entry that routes by a prefix which the engine has long evicted. The reported age must follow the
// evictions although events are lost, and must be unknown while nothing is evicted.
func TestCacheAgeFollowsEvictions(t *testing.T) {
	c := sidecar.NewCacheAge()
	now := time.UnixMilli(1_800_000_000_000)
	qt.Assert(t, c.Millis(now), qt.Equals, int64(0))
	for i := range uint64(200) {
		now = now.Add(time.Second)
		events := []fighollow.CacheEvent{{Seq: 2 * i, BlockHash: i}}
		if i >= 30 {
			events = append(events, fighollow.CacheEvent{Seq: 2*i + 1, BlockHash: i - 30, Evicted: true})
		}
		if i%7 == 3 {
			events = nil // lost
		}
		c.Observe(now, events)
	}
	qt.Assert(t, c.Millis(now), qt.Equals, int64(30_000))
	qt.Assert(t, c.Millis(now.Add(time.Hour)), qt.Equals, int64(0))
}
