package placement

import (
	"time"

	"github.com/fighollow/fighollow/internal/rendezvous"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// prefix is where the beginning of a prompt is, as far as this entry can tell.
type prefix struct {
	source *instance    // from which engines fetch it; nil when there is none
	tokens int          // that it holds, or is expected to hold
	homes  [2]*instance // to which entries send the prompt first; nil where there is none
	shared int          // tokens that other prompts may share
}

// findPrefix returns where the beginning of a prompt is. An engine of this data centre is its home once another engine is
// known to hold all that other prompts may share; until then, one on which all entries agree without talking.
func (p *Pool) findPrefix(now time.Time, q Query) prefix {
	var s prefix
	if q.Phase == fighollow.RequestDecode || len(q.Prompt) < 2 {
		return s
	}
	s.shared = sharedTokens(q.Prompt)
	part := q.Prompt[len(q.Prompt)-2].ID
	for _, n := range p.instances {
		if !n.goneAt.IsZero() || n.up.Draining || now.Before(n.resting) {
			continue
		}
		_, read := n.cache.match(now, q.Prompt)
		if read > s.tokens || read > 0 && read == s.tokens && p.isBetterSource(n, s.source, q.Seed) {
			s.source, s.tokens = n, read
		}
	}
	if s.tokens >= s.shared {
		s.homes = p.homesOf(now, part, p.dataCentre)
		return s
	}
	// The first to see a part sends it where all entries do, so that each data centre need not compute it.
	first := p.homesOf(now, part, "")[0]
	s.homes[0] = first
	if expected := int(homeShare * float64(s.shared)); first != nil && expected > s.tokens {
		s.source, s.tokens = first, expected
	}
	return s
}

// isBetterSource reports whether a prefix is rather fetched from n than from another engine that holds as much: copies from
// this data centre take half the time, and the load is spread.
func (p *Pool) isBetterSource(n, other *instance, seed uint64) bool {
	if near := n.up.DataCentre == p.dataCentre; near != (other.up.DataCentre == p.dataCentre) {
		return near
	}
	return rendezvous.Score(seed, n.key) > rendezvous.Score(seed, other.key)
}

// sharedTokens returns the tokens of a prompt that other prompts may share: all but its last part.
func sharedTokens(prompt []fighollow.PromptPart) int {
	n := 0
	for _, part := range prompt[:len(prompt)-1] {
		n += part.Tokens
	}
	return n
}

// homesOf returns the two prefill engines with the highest rendezvous hashes for a part, in one data centre or in any. With
// two of them, a part in demand does not fill one engine while others are idle.
func (p *Pool) homesOf(now time.Time, part uint64, dataCentre string) [2]*instance {
	var best [2]*instance
	var top [2]uint64
	for _, n := range p.instances {
		if n.up.Role != fighollow.RolePrefill || n.up.Draining || !n.goneAt.IsZero() || now.Before(n.resting) {
			continue
		}
		if dataCentre != "" && n.up.DataCentre != dataCentre {
			continue
		}
		switch h := rendezvous.Score(part, n.key); {
		case best[0] == nil || h > top[0]:
			best[1], top[1] = best[0], top[0]
			best[0], top[0] = n, h
		case best[1] == nil || h > top[1]:
			best[1], top[1] = n, h
		}
	}
	return best
}
