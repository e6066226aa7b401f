package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/fighollow/fighollow/internal/rendezvous"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// MaxCandidates is the maximum number of upstreams of one target and role to which an entry opens links.
const MaxCandidates = 16

// minRemote is the minimum number of candidates from other data centres, or all of them if there are fewer, so that an
// entry can send requests to another data centre when its own is full.
const minRemote = 4

// Target is the model or plain service that a request asks for.
type Target struct {
	Kind fighollow.InstanceKind
	Name string // name of the model or plain service
}

// Upstream is an instance that serves requests for a target.
type Upstream struct {
	ID         string
	Link       string
	DataCentre string
	Target     Target // with an empty name the upstream is a candidate for every target of its kind
	Role       fighollow.Role
}

// node is an upstream with its estimated load and its exclusions. Nodes are kept when the list of upstreams changes, so
// that this state is not lost.
type node struct {
	upstream      Upstream
	key           uint64
	listed        bool
	load          loadEstimate
	exclusion     exclusion
	matchedBlocks int // number of leading blocks cached; valid during one decision
	updated       time.Time
}

// candidateSet holds the candidates of one target, by role.
type candidateSet struct {
	prefill, decode, whole []*node
}

func (s *candidateSet) add(n *node) {
	switch n.upstream.Role {
	case fighollow.RolePrefill:
		s.prefill = append(s.prefill, n)
	case fighollow.RoleDecode:
		s.decode = append(s.decode, n)
	default:
		s.whole = append(s.whole, n)
	}
}

func (s *candidateSet) limit(self uint64, dataCentre string) {
	s.prefill = candidates(s.prefill, self, dataCentre)
	s.decode = candidates(s.decode, self, dataCentre)
	s.whole = candidates(s.whole, self, dataCentre)
}

// candidates returns at most MaxCandidates upstreams, those of the own data centre first. They are ordered by the
// rendezvous hash of entry and upstream, so that adding or removing one upstream changes at most one candidate.
func candidates(all []*node, self uint64, dataCentre string) []*node {
	slices.SortFunc(all, func(a, b *node) int {
		if c := cmp.Compare(rendezvous.Score(self, b.key), rendezvous.Score(self, a.key)); c != 0 {
			return c
		}
		return cmp.Compare(a.upstream.ID, b.upstream.ID)
	})
	var own, others []*node
	for _, n := range all {
		if n.upstream.DataCentre == dataCentre {
			own = append(own, n)
		} else {
			others = append(others, n)
		}
	}
	remote := min(len(others), max(minRemote, MaxCandidates-len(own)))
	own = own[:min(len(own), MaxCandidates-remote)]
	return append(own, others[:remote]...)
}
