package placement

import (
	"time"

	"github.com/fighollow/fighollow/internal/quota"
	"github.com/fighollow/fighollow/internal/rendezvous"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// failureWeight is the weight of a new outcome in the moving average of an upstream's failure rate.
	failureWeight = 0.15
	// ejectionFailureRate is by how much an upstream's failure rate must exceed the median of its service for the upstream
	// to be ejected.
	ejectionFailureRate = 0.25
	// minEjection and maxEjection bound how long a failing upstream gets no work before it is tried again.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// misdirectedBackoff is how long an engine that rejected an attempt for its role is not used; a role change takes
	// seconds.
	misdirectedBackoff = 500 * time.Millisecond
	// minFullBackoff and maxFullBackoff bound how long an upstream that refused for lack of capacity is avoided while there
	// are others. An engine that changes its role refuses for seconds.
	minFullBackoff = 200 * time.Millisecond
	maxFullBackoff = 1600 * time.Millisecond
)

// instance is one upstream with its in-flight attempts, its measurements and the mirror of its prefix cache.
type instance struct {
	upstream         fighollow.Upstream
	hash             uint64        // hash of its id for rendezvous hashing
	removedAt        time.Time     // when it was removed from the store; zero while it is listed
	open             int           // attempts of this entry in flight, each on its own connection
	running          int           // those of them that generate or compute a plain answer
	pending          workByUrgency // work of this entry's unfinished prompts
	backlog          backlog       // while the entries share what they place
	prefills         int           // unfinished prompts of this entry
	exports          int           // those of them whose answers are generated elsewhere
	speed            engineSpeed
	pace             pace          // while the entries share what they place
	latency          latency       // until a plain answer or the first event of a stream
	failureRate      float64       // moving average, from 0 to 1
	ejectedUntil     time.Time     // gets no work before, unless there is no other
	ejection         time.Duration // duration of the last ejection; 0 once the upstream has recovered
	misdirectedUntil time.Time     // rejected its role; not used before
	fullUntil        time.Time     // refused for lack of capacity; avoided before
	fullBackoff      time.Duration // duration of the last backoff after such a refusal; 0 after a success
	announced        announced
	trials           int // attempts in flight that were placed after a pause
	cache            *prefixCache
	named            quota.Named // request limit in its answers
	limited          bool        // a request limit is in force; permits holds what this entry may send
	permits          quota.Bucket
	sent             quota.Rate // attempts that were placed here
	demand           quota.Rate // attempts that would be placed here if there were no request limits
	claimedDemand    float64    // demand that was last claimed, in requests a second
}

func newInstance(u fighollow.Upstream, capacity int, b *partBudget, known announced) *instance {
	return &instance{upstream: u, hash: rendezvous.Key(u.ID), cache: newPrefixCache(capacity, b), announced: known}
}

// update applies the upstream's newest object. After a restart or a change of address, the cache mirror and the failure
// state are reset, as they describe another process; known is what the upstream as it is in u has announced.
func (inst *instance) update(u fighollow.Upstream, known announced) {
	if u.StartedMs != inst.upstream.StartedMs || u.Address != inst.upstream.Address {
		inst.cache.forget()
		inst.failureRate, inst.ejection, inst.ejectedUntil, inst.misdirectedUntil = 0, 0, time.Time{}, time.Time{}
		inst.speed, inst.pace, inst.backlog = engineSpeed{}, pace{}, backlog{}
		inst.named, inst.limited = quota.Named{}, false
		inst.announced, inst.trials = known, 0
	}
	if u.Role != inst.upstream.Role {
		inst.misdirectedUntil = time.Time{}
		inst.speed, inst.pace = engineSpeed{}, pace{} // measured with the other role
	}
	inst.upstream = u
}

// recordSuccess records an answer that shows the upstream to be healthy.
func (inst *instance) recordSuccess() {
	inst.failureRate -= failureWeight * inst.failureRate
	inst.fullBackoff = 0
	if inst.failureRate < ejectionFailureRate/2 {
		inst.ejection = 0
	}
}

// recordFailure records a failure that the upstream is responsible for. median is the median failure rate of the service's
// upstreams.
func (inst *instance) recordFailure(now time.Time, median float64) {
	inst.failureRate += failureWeight * (1 - inst.failureRate)
	if inst.failureRate > ejectionFailureRate+median {
		inst.eject(now)
	}
}

// recordUnreachable records that no connection could be made, which ejects the upstream at once.
func (inst *instance) recordUnreachable(now time.Time) {
	inst.failureRate += failureWeight * (1 - inst.failureRate)
	inst.eject(now)
}

// unavailableUntil returns the end of the latest ejection or backoff of the upstream.
func (inst *instance) unavailableUntil() time.Time {
	until := inst.ejectedUntil
	for _, t := range []time.Time{inst.fullUntil, inst.misdirectedUntil} {
		if t.After(until) {
			until = t
		}
	}
	return until
}

// recordRefusal records that the upstream refused for lack of capacity. Each further refusal doubles the backoff, up to
// maxFullBackoff.
func (inst *instance) recordRefusal(now time.Time) {
	if now.Before(inst.fullUntil) {
		return
	}
	inst.fullBackoff = min(max(minFullBackoff, 2*inst.fullBackoff), maxFullBackoff)
	inst.fullUntil = now.Add(inst.fullBackoff)
}

// eject takes the upstream out of use for a while. Each ejection lasts twice as long as the one before, up to maxEjection.
func (inst *instance) eject(now time.Time) {
	if now.Before(inst.ejectedUntil) {
		return
	}
	inst.ejection = min(max(minEjection, 2*inst.ejection), maxEjection)
	inst.ejectedUntil = now.Add(inst.ejection)
}
