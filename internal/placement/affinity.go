package placement

import (
	"time"

	"github.com/fighollow/fighollow/internal/rendezvous"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// prefixLocation describes where the shared beginning of a prompt is cached, as far as this entry can tell.
type prefixLocation struct {
	source    *instance    // engine to fetch it from; nil if there is none
	tokens    int          // tokens that source holds or is expected to hold
	preferred [2]*instance // engines to try first, best first; nil if there is none
	shared    int          // prompt tokens that other prompts may share
}

// locatePrefix returns where the beginning of a prompt is cached. Once an engine is known to hold all tokens that other
// prompts may share, engines of this data centre are preferred. Until then, the preferred engine is the one with the highest
// rendezvous hash of all data centres, which every entry computes alike without coordination.
func (p *Pool) locatePrefix(now time.Time, q Query) prefixLocation {
	var loc prefixLocation
	if q.Phase == fighollow.RequestDecode || len(q.Prompt) < 2 {
		return loc
	}
	loc.shared = sharedTokens(q.Prompt)
	sharedEnd := q.Prompt[len(q.Prompt)-2].ID
	for _, inst := range p.instances {
		if !inst.removedAt.IsZero() || inst.isLeaving() || now.Before(inst.ejectedUntil) {
			continue
		}
		_, computed := inst.cache.match(now, q.Prompt)
		if computed > loc.tokens || computed > 0 && computed == loc.tokens && p.isBetterSource(inst, loc.source, q.Seed) {
			loc.source, loc.tokens = inst, computed
		}
	}
	if loc.tokens >= loc.shared {
		loc.preferred = p.preferredEngines(now, sharedEnd, p.dataCentre)
		return loc
	}
	// Until the part is cached anywhere, all entries send it to the same engine, so that it is computed once rather than
	// once per data centre.
	owner := p.preferredEngines(now, sharedEnd, "")[0]
	loc.preferred[0] = owner
	if expected := int(expectedPrefixShare * float64(loc.shared)); owner != nil && expected > loc.tokens {
		loc.source, loc.tokens = owner, expected
	}
	return loc
}

// isBetterSource reports whether to fetch a prefix from inst rather than from another engine that holds as much of it. Copies
// within the data centre take half the time; among equals, the seed spreads the load.
func (p *Pool) isBetterSource(inst, other *instance, seed uint64) bool {
	if local := inst.upstream.DataCentre == p.dataCentre; local != (other.upstream.DataCentre == p.dataCentre) {
		return local
	}
	return rendezvous.Score(seed, inst.hash) > rendezvous.Score(seed, other.hash)
}

// sharedTokens returns the number of prompt tokens that other prompts may share: those of all parts but the last.
func sharedTokens(prompt []fighollow.PromptPart) int {
	n := 0
	for _, part := range prompt[:len(prompt)-1] {
		n += part.Tokens
	}
	return n
}

// preferredEngines returns the two prefill engines with the highest rendezvous hashes for a part, in one data centre, or in
// all of them if dataCentre is empty. With two engines, a part in high demand does not saturate one while others are idle.
func (p *Pool) preferredEngines(now time.Time, part uint64, dataCentre string) [2]*instance {
	var best [2]*instance
	var scores [2]uint64
	for _, inst := range p.instances {
		if inst.upstream.Role != fighollow.RolePrefill || inst.isLeaving() || !inst.removedAt.IsZero() || now.Before(inst.ejectedUntil) || inst.isPaused(now) {
			continue
		}
		if dataCentre != "" && inst.upstream.DataCentre != dataCentre {
			continue
		}
		switch h := rendezvous.Score(part, inst.hash); {
		case best[0] == nil || h > scores[0]:
			best[1], scores[1] = best[0], scores[0]
			best[0], scores[0] = inst, h
		case best[1] == nil || h > scores[1]:
			best[1], scores[1] = inst, h
		}
	}
	return best
}
