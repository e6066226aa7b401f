package quota

import (
	"math"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// RecentTime is the time over which the rate of recent requests is averaged that NewBucket wants.
	RecentTime = time.Second
	// maxWait bounds the result of Wait.
	maxWait = time.Minute
	// countedTime is the span in which upstreams count requests. They tolerate countedFactor times what their limit allows in it
	// and countedExtra requests, from stableTime after they named it on. The first spans include requests from before the naming.
	countedTime   = 4 * time.Second
	countedFactor = 1.5
	countedExtra  = 5
	stableTime    = 3 * time.Second
	// demandSigmas is the number of standard deviations by which the requests before the naming may exceed their average.
	demandSigmas = 3
)

// Bucket is a token bucket of the requests that one process may send to an upstream with a request limit.
type Bucket struct {
	tokens   float64
	Share    fighollow.LimitShare
	refilled time.Time
	knownAt  time.Time
	limit    float64       // of all entries, when it became known
	recent   float64       // requests a second that this entry sent before the limit was known
	hold     time.Duration // until permits are issued at all
}

// NewBucket returns the bucket of an entry that learns of a limit and has been sending recent requests a second. Until the entries'
// former rate is known, an entry that used more than half of its share pauses, because the first spans that the upstream counts
// also hold what was sent before. One that used less has a full bucket minus these requests.
func NewBucket(now time.Time, limit float64, share fighollow.LimitShare, recent float64) Bucket {
	b := Bucket{Share: share, refilled: now, knownAt: now, limit: limit, recent: recent}
	if recent <= share.PerSecond/2 {
		b.tokens = max(0, share.Burst-recent)
	}
	return b
}

// pause returns how long all entries must send nothing after they learn of a limit that they exceeded by sending demand requests a
// second, so that the upstream counts no more than it tolerates in the span that ends stableTime later. Where the requests from
// before the naming are more than that, it lasts until few enough of them count.
func pause(limit, demand float64) time.Duration {
	counted := demand * (countedTime - stableTime).Seconds()
	tolerated := max(0, countedFactor*countedTime.Seconds()*limit+countedExtra-demandSigmas*math.Sqrt(counted))
	if counted > tolerated {
		return stableTime + time.Duration((1-tolerated/counted)*float64(countedTime-stableTime))
	}
	return stableTime - time.Duration(min((tolerated-counted)/limit, stableTime.Seconds())*float64(time.Second))
}

// heldUntil returns when the first permits may be issued.
func (b *Bucket) heldUntil() time.Time {
	if !b.Share.DemandKnown && b.recent > b.Share.PerSecond/2 {
		return b.knownAt.Add(stableTime)
	}
	return b.knownAt.Add(pause(b.limit, max(b.recent, b.Share.Demand)))
}

// Refill adds the permits since the last refill. Without a share, saved permits are void: they belong to other entries.
func (b *Bucket) Refill(now time.Time, share fighollow.LimitShare) {
	b.Share = share
	until := b.heldUntil()
	if b.hold = until.Sub(now); b.hold > 0 {
		b.tokens = min(b.tokens, 0)
		return
	}
	if until.After(b.refilled) {
		b.refilled = until
	}
	b.tokens = min(share.Burst, b.tokens+share.PerSecond*max(0, now.Sub(b.refilled).Seconds()))
	b.refilled = now
}

// permitEpsilon absorbs rounding errors of sums of fractions.
const permitEpsilon = 1e-9

// Take withdraws a permit. The bucket is in debt if there is none.
func (b *Bucket) Take() { b.tokens-- }

// Return adds a permit that was not used.
func (b *Bucket) Return() { b.tokens = min(b.Share.Burst, b.tokens+1) }

// Permits returns how many permits there are.
func (b *Bucket) Permits() int { return int(max(0, b.tokens) + permitEpsilon) }

// Available reports whether there is a permit.
func (b *Bucket) Available() bool { return b.tokens >= 1-permitEpsilon }

// Wait returns the time until n permits are available, maxWait at most.
func (b *Bucket) Wait(n int) time.Duration {
	if b.Share.PerSecond == 0 {
		return maxWait
	}
	return min(maxWait, max(0, b.hold)+time.Duration(max(0, float64(n)-b.tokens)/b.Share.PerSecond*float64(time.Second)))
}

// Sole returns the share of a process that sends all requests to an upstream.
func Sole(limit float64) fighollow.LimitShare {
	return fighollow.LimitShare{PerSecond: limit, Burst: 1 + baseBurst + limit*burstTime.Seconds(), DemandKnown: true}
}
