package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fighollow/fighollow/internal/quota"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// claimLifetime is how long a limit is claimed, without demand, after the upstream last named it to this entry.
	claimLifetime = 30 * time.Second
	// minDemand is the least demand in requests a second that is claimed, so that an occasional request finds a permit.
	minDemand = 0.1
	// minDemandStep is the factor by which demand differs from a claim at least before the claim changes, and demandSigmas the
	// number of standard deviations of random arrivals.
	minDemandStep = 2
	demandSigmas  = 3
	// minClaims is the least number of upstreams of a service that an entry can claim, and claimants the least number of entries
	// that can claim each.
	minClaims = 8
	claimants = 4
	// liftLifetime is how long this entry publishes that a limit was taken back, so that entries learn of it that get no answer
	// from the upstream.
	liftLifetime = 10 * time.Second
)

// LimitChange is a change of the request limit that an upstream named.
type LimitChange struct {
	InForce   bool
	PerSecond float64 // of the new limit, or of the one that was taken back
}

// ObserveLimit applies what the answer to an attempt says of its upstream's request limit. It returns false if that is known
// already.
func (p *Pool) ObserveLimit(now time.Time, a *Attempt, r fighollow.RequestLimit) (LimitChange, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	inst := p.current(a.incarnation)
	if inst == nil {
		return LimitChange{}, false
	}
	before := inst.named
	inst.named.Observe(now, a.SentAt, r)
	return limitChange(before, inst.named)
}

// ObserveControlLimit is ObserveLimit for an answer of the control API of a service's upstream.
func (f *Fleet) ObserveControlLimit(now, sent time.Time, service, id string, r fighollow.RequestLimit) (LimitChange, bool) {
	p := f.Pool(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	inst := p.instances[id]
	if inst == nil {
		return LimitChange{}, false
	}
	before := inst.named
	inst.named.ObserveControl(now, sent, r)
	return limitChange(before, inst.named)
}

// limitChange returns the change between two states, and whether there is one.
func limitChange(before, after quota.Named) (LimitChange, bool) {
	c := LimitChange{InForce: after.InForce, PerSecond: after.PerSecond}
	return c, before.InForce != after.InForce || after.InForce && before.PerSecond != after.PerSecond
}

// LimitClaims returns this entry's claims to the request limits in force, by upstream; nil if there are none.
func (f *Fleet) LimitClaims(now time.Time) map[string]fighollow.LimitClaim {
	f.mu.Lock()
	defer f.mu.Unlock()
	var claims map[string]fighollow.LimitClaim
	for _, p := range f.pools {
		for _, c := range p.limitClaims(now) {
			if claims == nil {
				claims = make(map[string]fighollow.LimitClaim)
			}
			claims[c.upstream] = c.LimitClaim
		}
	}
	return claims
}

// upstreamClaim is a claim to one upstream's request limit.
type upstreamClaim struct {
	fighollow.LimitClaim
	upstream string
	weight   float64
}

// limitClaims returns the claims to the pool's upstreams. Where many name a limit, it claims some of them only, and reports that
// of some only that their limits ended: each claim is read by all entries.
func (p *Pool) limitClaims(now time.Time) []upstreamClaim {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateLimits(now)
	var demands, lifts []upstreamClaim
	for id, inst := range p.instances {
		c, ok := inst.claim(now)
		switch {
		case !ok:
		case c.Demand == 0:
			lifts = append(lifts, upstreamClaim{c, id, 0})
		case c.Holds:
			demands = append(demands, upstreamClaim{c, id, quota.HolderWeight * c.Demand})
		default:
			demands = append(demands, upstreamClaim{c, id, c.Demand})
		}
	}
	most := max(minClaims, claimants*len(p.instances)/p.entries)
	return append(largest(demands, most), largest(lifts, most)...)
}

// largest returns the n claims with the largest weights.
func largest(claims []upstreamClaim, n int) []upstreamClaim {
	slices.SortFunc(claims, func(a, b upstreamClaim) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.upstream, b.upstream))
	})
	return claims[:min(n, len(claims))]
}

// claim returns this entry's claim to the upstream's limit. It returns false if there is none, and none was taken back lately,
// or if this entry neither has demand nor has lately been told of the limit.
func (inst *instance) claim(now time.Time) (fighollow.LimitClaim, bool) {
	age := now.Sub(inst.named.AnsweredAt)
	c := fighollow.LimitClaim{AgeMs: age.Truncate(time.Second).Milliseconds()}
	switch {
	case !inst.removedAt.IsZero():
		return c, false
	case !inst.limited:
		c.Told = true
		return c, !inst.named.InForce && now.Sub(inst.named.LiftedAt) < liftLifetime
	}
	c.Told = inst.named.InForce && age < claimLifetime
	if c.Told {
		c.PerSecond = max(inst.named.PerSecond, quota.ProbeRate)
	} else {
		c.AgeMs = 0
	}
	inst.updateClaimedDemand(now)
	c.Demand, c.Holds = inst.claimedDemand, inst.permits.Share.PerSecond > 0
	return c, c.Told || inst.demand.PerSecond(now, demandMemory) >= minDemand
}

// updateClaimedDemand follows the demand. Changes as random arrivals bring about change no claim, because a share that moves
// between entries is unused meanwhile.
func (inst *instance) updateClaimedDemand(now time.Time) {
	demand := max(minDemand, inst.demand.PerSecond(now, demandMemory))
	expected := inst.claimedDemand * demandMemory.Seconds()
	step := max(minDemandStep, 1+demandSigmas/math.Sqrt(2*expected))
	if inst.claimedDemand == 0 || demand > inst.claimedDemand*step || demand < inst.claimedDemand/step {
		inst.claimedDemand = math.Ceil(10*demand) / 10 // a short text in the registration
	}
}
