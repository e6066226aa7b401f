// Package membership decides which processes of a data centre are alive and who watches whom.
package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// State is what is known of a member.
type State string

// States of a member.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Dead    State = "dead"
	Leaving State = "leaving" // takes no new work and stops when its work in flight is done
)

// Member is one process of the data centre.
type Member struct {
	ID          string                 `msgpack:"id"`
	Incarnation uint64                 `msgpack:"incarnation"` // start time in Unix ms, raised by a refutation
	Kind        fighollow.UpstreamKind `msgpack:"kind"`
	DataCentre  string                 `msgpack:"dataCentre"`
	Link        string                 `msgpack:"link"`
	State       State                  `msgpack:"state"`
	// Service is the plain service's name; empty for other kinds.
	Service string `msgpack:"service,omitempty"`
	// Role and Model are what an engine serves now, as observed by its sidecar; empty while it serves nothing.
	Role         fighollow.Role `msgpack:"role,omitempty"`
	Model        string         `msgpack:"model,omitempty"`
	ModelVersion string         `msgpack:"modelVersion,omitempty"`
	// Blind says that the member has tried for long to reach the object API and failed, so that others should watch it.
	Blind bool `msgpack:"blind,omitempty"`
	// Meta grows with each change of the fields that the member itself announces.
	Meta uint64 `msgpack:"meta,omitempty"`
}

// rank orders states of one incarnation: each state overrides those before it, and only the member itself can go back,
// with a higher incarnation.
func rank(s State) int {
	switch s {
	case Leaving:
		return 1
	case Suspect:
		return 2
	case Dead:
		return 3
	}
	return 0
}

// Newer reports whether a is later word about a member than b.
func Newer(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.State != b.State {
		return rank(a.State) > rank(b.State)
	}
	return a.Meta > b.Meta
}

// Sum returns a hash of the member's id, state and versions.
func (m Member) Sum() uint64 {
	b := make([]byte, 0, len(m.ID)+17)
	b = append(b, m.ID...)
	b = append(b, byte(rank(m.State)))
	b = binary.BigEndian.AppendUint64(b, m.Incarnation)
	b = binary.BigEndian.AppendUint64(b, m.Meta)
	return xxhash.Sum64(b)
}
