package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/fighollow/fighollow/internal/rendezvous"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// MaxCandidates bounds the upstreams of one target and role to which an entry opens links.
const MaxCandidates = 16

// minSpill is how many of the candidates come from other data centres if there are any, so that an entry has somewhere
// to send requests when its own data centre is full.
const minSpill = 4

// Target is what a request is for.
type Target struct {
	Kind fighollow.UpstreamKind
	Name string // of the model or plain service
}

// Upstream is an instance that may serve requests.
type Upstream struct {
	ID         string
	Link       string
	DataCentre string
	Target     Target // with an empty name the upstream is a candidate for every target of its kind
	Role       fighollow.Role
}

// node is an upstream with what is believed of it. Nodes outlive changes of the list of upstreams, so that load and
// exclusions are kept.
type node struct {
	up      Upstream
	key     uint64
	listed  bool
	load    estimate
	away    exclusion
	match   int // leading blocks held, valid during one decision
	updated time.Time
}

// set holds the candidates of one target by role.
type set struct {
	prefill, decode, whole []*node
}

func (s *set) add(n *node) {
	switch n.up.Role {
	case fighollow.RolePrefill:
		s.prefill = append(s.prefill, n)
	case fighollow.RoleDecode:
		s.decode = append(s.decode, n)
	default:
		s.whole = append(s.whole, n)
	}
}

func (s *set) bound(self uint64, dataCentre string) {
	s.prefill = candidates(s.prefill, self, dataCentre)
	s.decode = candidates(s.decode, self, dataCentre)
	s.whole = candidates(s.whole, self, dataCentre)
}

// candidates returns at most MaxCandidates upstreams: those of the own data centre first, in the order of the rendezvous
// hash of entry and upstream, so that a change of one upstream changes at most one candidate.
func candidates(all []*node, self uint64, dataCentre string) []*node {
	slices.SortFunc(all, func(a, b *node) int {
		if c := cmp.Compare(rendezvous.Score(self, b.key), rendezvous.Score(self, a.key)); c != 0 {
			return c
		}
		return cmp.Compare(a.up.ID, b.up.ID)
	})
	var own, others []*node
	for _, n := range all {
		if n.up.DataCentre == dataCentre {
			own = append(own, n)
		} else {
			others = append(others, n)
		}
	}
	spill := min(len(others), max(minSpill, MaxCandidates-len(own)))
	own = own[:min(len(own), MaxCandidates-spill)]
	return append(own, others[:spill]...)
}
