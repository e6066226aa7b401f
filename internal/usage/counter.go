// Package usage counts, over all entries, the requests of each workspace that upstreams began to run in each window of true time.
//
// Counts are grow-only counters of each process, which entries send to a few collectors and to the holder of the lease. Nothing of a
// message is confirmed: receivers merge by maximum, so messages may be lost, repeated and reordered. docs/design/usage.md has the design.
package usage

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// counterShards is the number of independently locked parts of a Counter.
	counterShards = 16
	// maxShardCounters bounds the counters of a shard. The target size needs 13 windows x 270 workspaces in all shards together.
	maxShardCounters = 4096
	// maxWorkspaceBytes bounds a workspace's name, which must fit into a datagram.
	maxWorkspaceBytes = 1000
)

// windowContaining returns the number of the window of a length that contains t.
func windowContaining(t time.Time, length time.Duration) int64 {
	n := t.UnixNano()
	w := n / int64(length)
	if n%int64(length) < 0 {
		w-- // before 1970
	}
	return w
}

// ownCounter counts the requests of a workspace in a window at this process.
type ownCounter struct {
	window    int64
	workspace string
	n         int64
	changed   bool // since the last take
}

// counterKey identifies an ownCounter.
type counterKey struct {
	window    int64
	workspace string
}

// counterShard holds the counters of some of the workspaces.
type counterShard struct {
	mu       sync.Mutex
	counters map[counterKey]*ownCounter
	changed  []*ownCounter
	first    int64 // earlier windows were dropped
	lost     int64 // requests that could not be counted
	_        [64]byte
}

// Counter counts the requests of this process. It is safe for concurrent use.
type Counter struct {
	clock  *Clock
	length time.Duration // of a window
	seed   maphash.Seed
	shards [counterShards]counterShard
}

var _ fighollow.UsageRecorder = (*Counter)(nil)

// NewCounter returns a Counter for windows of a length.
func NewCounter(length time.Duration, clock *Clock) *Counter {
	c := &Counter{clock: clock, length: length, seed: maphash.MakeSeed()}
	for i := range c.shards {
		c.shards[i].counters = make(map[counterKey]*ownCounter)
	}
	return c
}

// Begun implements fighollow.UsageRecorder. A request without a workspace is not counted.
func (c *Counter) Begun(at time.Time, workspace string) {
	if workspace == "" {
		return
	}
	k := counterKey{windowContaining(c.clock.Now(at), c.length), workspace}
	s := &c.shards[maphash.String(c.seed, workspace)%counterShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.counters[k]
	if o == nil {
		if k.window < s.first || len(s.counters) >= maxShardCounters || len(workspace) > maxWorkspaceBytes {
			s.lost++
			return
		}
		o = &ownCounter{window: k.window, workspace: workspace}
		s.counters[k] = o
	}
	o.n++
	if !o.changed {
		o.changed = true
		s.changed = append(s.changed, o)
	}
}

// take returns the counters that changed since the last take, with their whole counts, and how many requests could not be counted since
// then.
func (c *Counter) take() (changed []ownCounter, lost int64) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for _, o := range s.changed {
			o.changed = false
			changed = append(changed, *o)
		}
		s.changed = s.changed[:0]
		lost += s.lost
		s.lost = 0
		s.mu.Unlock()
	}
	return changed, lost
}

// drop forgets the windows before first.
func (c *Counter) drop(first int64) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		if first > s.first {
			s.first = first
			for k := range s.counters {
				if k.window < first {
					delete(s.counters, k)
				}
			}
		}
		s.mu.Unlock()
	}
}
