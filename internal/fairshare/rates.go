package fairshare

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// rateWindow is the time over which rates are measured, in buckets of bucketTime.
	rateWindow  = 2 * time.Second
	bucketTime  = 250 * time.Millisecond
	rateBuckets = int64(rateWindow / bucketTime)
	// crowdedBuckets is the same for lateness and waits: the capacity must follow the queues quickly.
	crowdedBuckets = int64(time.Second / bucketTime)
	// maxWorkMs bounds the engine time that one request counts.
	maxWorkMs = 10_000
	// maxCells bounds the pairs of a service and a workspace that are measured at once. Requests of others are admitted.
	maxCells   = 4096
	rateShards = 16
)

// bucket is the engine time, in milliseconds, of the requests that arrived in one bucketTime.
type bucket struct {
	number   int64
	offered  [maxRanks]float32 // by rank
	admitted float32
}

// cell measures the rates of one workspace at one service. It has a bucket more than the window: the last one is not complete.
type cell struct {
	buckets  [rateBuckets + 1]bucket
	computed observedRanks
}

// at returns the bucket with a number, which replaces an earlier one.
func (c *cell) at(number int64) *bucket {
	b := &c.buckets[number%int64(len(c.buckets))]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}

// rates are those of one workspace at one service, in milliseconds of engine time a second.
type rates struct {
	offered, admitted float64
	ranks             rankShares
}

// rates returns the rates over a window of some buckets at a time since the start of the measurement.
func (c *cell) rates(at time.Duration, window int64) rates {
	number := int64(at / bucketTime)
	var r rates
	for i := range c.buckets {
		b := &c.buckets[i]
		if number-b.number > window || b.number > number {
			continue
		}
		for rank, ms := range b.offered {
			r.ranks[rank] += float64(ms)
		}
		r.admitted += float64(b.admitted)
	}
	for _, ms := range r.ranks {
		r.offered += ms
	}
	seconds := (time.Duration(window)*bucketTime + at%bucketTime).Seconds()
	r.offered, r.admitted, r.ranks = r.offered/seconds, r.admitted/seconds, r.ranks.normalized()
	return r
}

// cellKey identifies a cell.
type cellKey struct{ service, workspace string }

// shard holds the cells of some workspaces.
type shard struct {
	mu    sync.Mutex
	cells map[cellKey]*cell
}

// recorder measures the rates of all workspaces. It is safe for concurrent use.
type recorder struct {
	start  time.Time
	seed   maphash.Seed
	shards [rateShards]shard
}

func newRecorder(start time.Time) *recorder {
	r := &recorder{start: start, seed: maphash.MakeSeed()}
	for i := range r.shards {
		r.shards[i].cells = make(map[cellKey]*cell)
	}
	return r
}

// shard returns the shard of a workspace.
func (r *recorder) shard(workspace string) *shard {
	return &r.shards[maphash.String(r.seed, workspace)%rateShards]
}

// cell returns the cell with a key, or nil if there are too many. s.mu must be held.
func (s *shard) cell(key cellKey) *cell {
	c := s.cells[key]
	if c == nil && len(s.cells) < maxCells/rateShards {
		c = &cell{}
		s.cells[key] = c
	}
	return c
}

// all returns the rates by service and workspace, and drops what was not used within the window and of which
// nothing is observed any more.
func (r *recorder) all(now time.Time) map[string]map[string]rates {
	at := now.Sub(r.start)
	out := make(map[string]map[string]rates)
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for key, c := range s.cells {
			measured := c.rates(at, rateBuckets)
			if measured.offered == 0 {
				if c.computed.prompts(now) < 1 {
					delete(s.cells, key)
				}
				continue
			}
			if out[key.service] == nil {
				out[key.service] = make(map[string]rates)
			}
			out[key.service][key.workspace] = measured
		}
		s.mu.Unlock()
	}
	return out
}
