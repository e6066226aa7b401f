package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/gateway"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// countingReader is a CacheReader that counts how often each engine's cache was read.
type countingReader struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *countingReader) CacheChanges(_ context.Context, u fighollow.Upstream, after uint64) (fighollow.CacheChanges, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[u.ID]++
	return fighollow.CacheChanges{Epoch: "1", Next: after + 1}, nil
}

// Guards against billed polls that grow with entries times engines: a small deployment polls its caches each second, a large
// one does not.
func TestCachePollsAreBounded(t *testing.T) {
	for _, c := range []struct {
		entries, engines, polls int
	}{{4, 18, 10}, {24, 44, 0}, {350, 500, 0}, {1, 150, 10}} {
		t.Run(fmt.Sprintf("%d entries, %d engines", c.entries, c.engines), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := placement.New(placement.Options{DataCentre: "a", DrainTime: time.Second})
				g := gateway.New(gateway.Options{}, fleet, nil, zerolog.Nop())
				g.Apply(&fighollow.Routing{Version: 1, Services: map[string]fighollow.ServiceTraits{
					"models": {Name: "models", Engine: &fighollow.EngineTraits{KVCapacityTokens: 1000}}, "plain": {Name: "plain"},
				}})
				for i := range c.engines {
					fleet.Put(time.Now(), fighollow.Upstream{ID: fmt.Sprint("e", i), Service: "models", Address: "a", DataCentre: "a"}, 1)
				}
				fleet.Put(time.Now(), fighollow.Upstream{ID: "s", Service: "plain", Address: "b", DataCentre: "a"}, 1)
				g.SetEntries(c.entries)
				reader := &countingReader{counts: make(map[string]int)}
				ctx, cancel := context.WithTimeout(context.Background(), 10500*time.Millisecond)
				defer cancel()
				gateway.NewCachePoller(reader, g, fleet, zerolog.Nop()).Run(ctx)
				qt.Assert(t, reader.counts["e0"], qt.Equals, c.polls)
				qt.Assert(t, reader.counts["s"], qt.Equals, 0)
				if c.polls > 0 {
					qt.Assert(t, fleet.CachePosition("models", "e0"), qt.Equals, uint64(c.polls))
				}
			})
		})
	}
}
