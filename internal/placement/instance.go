package placement

import (
	"time"

	"github.com/fighollow/fighollow/internal/rendezvous"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// failureWeight is the weight of a new outcome in an upstream's share of failures.
	failureWeight = 0.15
	// suspectFailures is the share of failures, above that of the service's median upstream, from which an upstream rests.
	suspectFailures = 0.25
	// firstRest and maxRest bound how long a failing upstream gets no work before it is tried again.
	firstRest = 500 * time.Millisecond
	maxRest   = 4 * time.Second
	// misdirectedRest is how long an engine that denied its role is not used for it; a change of role takes seconds.
	misdirectedRest = 500 * time.Millisecond
	// firstFull and maxFull bound how long an upstream that refused for lack of room is left out when there are others. An
	// engine that changes its role refuses for seconds.
	firstFull = 200 * time.Millisecond
	maxFull   = 1600 * time.Millisecond
)

// instance is one upstream with what is known of it.
type instance struct {
	up       fighollow.Upstream
	key      uint64                  // hash of its id
	goneAt   time.Time               // when its entry was removed; zero while it is listed
	open     int                     // attempts of this entry, each on a connection of its own
	running  int                     // those of them that generate or compute a plain answer
	pending  [maxUrgency + 1]float64 // prompt tokens of this entry's prefills that are not computed yet, by urgency
	prefills throughput
	answers  latency   // until a plain answer or a stream's first event
	failures float64   // moving share of failures
	resting  time.Time // gets no work before
	rest     time.Duration
	denied   time.Time // not used for its role before
	full     time.Time // refused for lack of room; avoided before
	fullFor  time.Duration
	cache    *prefixCache
}

func newInstance(u fighollow.Upstream, capacity int) *instance {
	return &instance{up: u, key: rendezvous.Key(u.ID), cache: newPrefixCache(capacity)}
}

// update takes the upstream's newest entry. A process that started anew knows nothing of what was sent before.
func (n *instance) update(u fighollow.Upstream, capacity int) {
	if u.Started != n.up.Started || u.Address != n.up.Address {
		n.cache = newPrefixCache(capacity)
		n.failures, n.rest, n.resting, n.denied = 0, 0, time.Time{}, time.Time{}
		n.prefills = throughput{}
	}
	if u.Role != n.up.Role {
		n.denied = time.Time{}
	}
	n.up = u
}

// ahead returns the prompt tokens of this entry that the engine computes before those of a new request.
func (n *instance) ahead(urgency int) float64 {
	var tokens float64
	for _, t := range n.pending[:urgency+1] {
		tokens += t
	}
	return tokens
}

// succeeded notes an answer that shows the upstream in order.
func (n *instance) succeeded() {
	n.failures -= failureWeight * n.failures
	n.fullFor = 0
	if n.failures < suspectFailures/2 {
		n.rest = 0
	}
}

// failed notes an answer or a broken connection that is the upstream's fault. median is the failure share of the
// service's median upstream.
func (n *instance) failed(now time.Time, median float64) {
	n.failures += failureWeight * (1 - n.failures)
	if n.failures > suspectFailures+median {
		n.restFrom(now)
	}
}

// unreachable notes that no connection could be made.
func (n *instance) unreachable(now time.Time) {
	n.failures += failureWeight * (1 - n.failures)
	n.restFrom(now)
}

// away returns until when the upstream gets no work, or none of its role.
func (n *instance) away() time.Time {
	until := n.resting
	for _, t := range []time.Time{n.full, n.denied} {
		if t.After(until) {
			until = t
		}
	}
	return until
}

// refused notes that the upstream has no room.
func (n *instance) refused(now time.Time) {
	if now.Before(n.full) {
		return
	}
	n.fullFor = min(max(firstFull, 2*n.fullFor), maxFull)
	n.full = now.Add(n.fullFor)
}

func (n *instance) restFrom(now time.Time) {
	if now.Before(n.resting) {
		return
	}
	n.rest = min(max(firstRest, 2*n.rest), maxRest)
	n.resting = now.Add(n.rest)
}
