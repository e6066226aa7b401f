package routing

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// loadMaxAge is the time over which the weight of a load report falls to 0. An upstream that has not reported for this
	// long is assumed to serve only this entry's requests.
	loadMaxAge = 4 * time.Second
	// defaultSlots is the assumed number of slots of an upstream that has not reported its load yet.
	defaultSlots = 8
	// defaultServiceMs is the assumed duration of a request until one has finished.
	defaultServiceMs = 1000
	serviceWeight    = 0.1 // weight of a new duration in the exponential moving average
)

// loadEstimate estimates the load of an upstream from its replies and from the requests of this entry.
type loadEstimate struct {
	load          fighollow.Load
	reportedAt    time.Time // time of load; zero if never reported
	otherRequests float64   // requests of other entries when load was reported
	ownRequests   int       // open requests of this entry
	pendingTokens int       // prompt tokens sent by this entry and not yet computed
	serviceMs     float64   // moving average of request durations; 0 before the first
}

func (e *loadEstimate) report(now time.Time, l fighollow.Load) {
	if l.Slots <= 0 {
		return
	}
	e.load, e.reportedAt = l, now
	e.otherRequests = max(0, float64(l.Running+l.Queued-e.ownRequests))
}

// hasEvicted reports whether, by its last report, the upstream has evicted a block that it last received at the given
// time in Unix nanoseconds.
func (e *loadEstimate) hasEvicted(now time.Time, at int64) bool {
	age := e.load.CacheAgeMs * int64(time.Millisecond)
	return age > 0 && now.UnixNano()-at > age
}

// freshness returns the weight of the last report, which falls from 1 to 0 over loadMaxAge.
func (e *loadEstimate) freshness(now time.Time) float64 {
	if e.reportedAt.IsZero() {
		return 0
	}
	return max(0, min(1, 1-float64(now.Sub(e.reportedAt))/float64(loadMaxAge)))
}

// wait returns the expected time in milliseconds until a new request gets a slot, and the number of requests per slot.
func (e *loadEstimate) wait(now time.Time) (ms, utilisation float64) {
	freshness := e.freshness(now)
	slots := float64(e.load.Slots)
	if slots == 0 {
		slots = defaultSlots
	}
	total := e.otherRequests*freshness + float64(e.ownRequests)
	utilisation = total / slots
	if total >= slots {
		service := e.serviceMs
		if service == 0 {
			service = defaultServiceMs
		}
		ms = (total - slots + 1) / slots * service
	}
	return max(ms, float64(e.load.WaitMs)*freshness), utilisation
}

// prefillTokens returns the estimated number of prompt tokens that are not yet computed.
func (e *loadEstimate) prefillTokens(now time.Time) float64 {
	return max(float64(e.load.QueuedTokens)*e.freshness(now), float64(e.pendingTokens))
}

func (e *loadEstimate) finished(took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	if e.serviceMs == 0 {
		e.serviceMs = ms
		return
	}
	e.serviceMs += serviceWeight * (ms - e.serviceMs)
}
