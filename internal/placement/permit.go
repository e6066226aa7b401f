package placement

import (
	"errors"
	"time"

	"github.com/fighollow/fighollow/internal/quota"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// ErrLimited is returned when only the request limits of upstreams prevent an attempt.
var ErrLimited = errors.New("placement: the request limits of all upstreams are used up")

const (
	// maxReturnDelay bounds the time after which a caller is told to return when limits are used up.
	maxReturnDelay = 5 * time.Second
	// demandMemory is the time over which the rate of demanded requests is averaged.
	demandMemory = 5 * time.Second
)

// updateLimits applies the request limits in force to the upstreams' permits. p.mu must be held.
func (p *Pool) updateLimits(now time.Time) {
	var reports map[string]fighollow.LimitReport
	if p.shares != nil {
		reports = p.shares.Reported()
	}
	for id, inst := range p.instances {
		report, reported := reports[id]
		limit, limited := inst.named.InForceAt(now, report, reported)
		if !limited {
			inst.limited, inst.claimedDemand = false, 0
			continue
		}
		limit = max(limit, quota.ProbeRate)
		share := p.share(now, id, limit)
		if !inst.limited {
			inst.limited, inst.permits = true, quota.NewBucket(now, limit, share, inst.sent.PerSecond(now, quota.RecentTime))
		}
		inst.permits.Refill(now, share)
	}
}

// share returns this entry's share of an upstream's request limit.
func (p *Pool) share(now time.Time, id string, limit float64) fighollow.LimitShare {
	if p.shares == nil {
		return quota.Sole(limit)
	}
	return p.shares.Share(now, id, limit)
}

// hasPermit reports whether the upstream's request limit allows this entry another request.
func (inst *instance) hasPermit() bool { return !inst.limited || inst.permits.Available() }

// takePermit records that a request is placed at the chosen upstream. p.mu must be held.
func (p *Pool) takePermit(now time.Time, c *Choice) {
	c.observeDemand(now)
	inst := p.instances[c.Upstream.ID]
	c.Trial = inst.recordTrial(now)
	inst.demand.Observe(now, demandMemory)
	inst.sent.Observe(now, quota.RecentTime)
	if inst.limited {
		inst.permits.Take()
	}
}

// observeDemand records the demand for the upstreams that a request was not sent to for their limits only.
func (c *Choice) observeDemand(now time.Time) {
	for _, inst := range c.passed {
		inst.demand.Observe(now, demandMemory)
	}
}

// Withdraw reverts Place for an attempt that is not sent, or that has not reached its upstream.
func (p *Pool) Withdraw(upstreamID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	inst := p.instances[upstreamID]
	p.returnPermit(inst)
	if inst != nil {
		inst.trials = max(0, inst.trials-1)
	}
}

func (p *Pool) returnPermit(inst *instance) {
	if inst != nil && inst.limited {
		inst.permits.Return()
	}
}

// sparesPermit reports whether the engines that decode accept one request more than this entry's prompts at prefill engines
// will need. Otherwise a prompt would be computed in vain: this one, or one that is computed already. p.mu must be held.
func (p *Pool) sparesPermit(now time.Time, decode Query) bool {
	permits, prompts := 0, 0
	for _, inst := range p.instances {
		prompts += inst.exports
		if inst.open >= p.maxOpen() || !p.isEligible(now, inst, decode, true) {
			continue
		}
		if !inst.limited {
			return true
		}
		permits += inst.permits.Permits()
	}
	return permits > prompts
}

// permitWait returns the time until one of the upstreams that only their limits exclude has a permit, and how many permits a second
// they have together. p.mu must be held.
func (p *Pool) permitWait(now time.Time, q Query) (wait time.Duration, rate float64) {
	wait = maxReturnDelay
	for _, inst := range p.instances {
		if inst.limited && p.isEligible(now, inst, q, true) {
			wait, rate = min(wait, inst.permits.Wait(1)), rate+inst.permits.Share.PerSecond
		}
	}
	return wait, rate
}

// returnDelay returns when a caller may come back after all permits were used up. Callers are given different times, as many a
// second as there are permits. p.mu must be held.
func (p *Pool) returnDelay(now time.Time, q Query) time.Duration {
	wait, rate := p.permitWait(now, q)
	at := now.Add(wait)
	if rate > 0 {
		between := time.Duration(float64(time.Second) / rate)
		if wait == 0 {
			at = now.Add(between) // the permits that are left are for requests that have begun
		}
		if next := p.lastReturn.Add(between); next.After(at) {
			at = next
		}
	}
	if latest := now.Add(maxReturnDelay); at.After(latest) {
		at = latest
	}
	p.lastReturn = at
	return at.Sub(now)
}
