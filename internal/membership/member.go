// Package membership implements failure detection among the processes of a data centre: heartbeats between neighbours
// on a ring, suspicions, and refutations by incarnation. It also selects the members that watch the object API.
package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// State is the state of a member in the view of a process.
type State string

// States of a member.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Dead    State = "dead"
	Leaving State = "leaving" // accepts no new work and stops when its work in flight is done
)

// Member is one process of the data centre.
type Member struct {
	ID          string                 `msgpack:"id"`
	Incarnation uint64                 `msgpack:"incarnation"` // start time in Unix ms, raised by a refutation
	Kind        fighollow.InstanceKind `msgpack:"kind"`
	DataCentre  string                 `msgpack:"dataCentre"`
	Link        string                 `msgpack:"link"`
	State       State                  `msgpack:"state"`
	// Service is the name of a plain HTTP service; empty for other kinds.
	Service string `msgpack:"service,omitempty"`
	// Role, Model and ModelVersion are what an engine currently serves, as observed by its sidecar; empty while it serves
	// nothing.
	Role         fighollow.Role `msgpack:"role,omitempty"`
	Model        string         `msgpack:"model,omitempty"`
	ModelVersion string         `msgpack:"modelVersion,omitempty"`
	// StoreUnreachable means that the member has failed for a long time to reach the object API, so that other members
	// should watch the object API instead.
	StoreUnreachable bool `msgpack:"blind,omitempty"`
	// MetaVersion is the version of the fields that the member itself announces; it grows with each change of them.
	MetaVersion uint64 `msgpack:"meta,omitempty"`
}

// precedence orders the states of one incarnation: each state overrides those of lower precedence. Only the member
// itself can return to a lower one, with a higher incarnation.
func precedence(s State) int {
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

// Newer reports whether a supersedes b, another description of the same member.
func Newer(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.State != b.State {
		return precedence(a.State) > precedence(b.State)
	}
	return a.MetaVersion > b.MetaVersion
}

// Sum returns a hash of the member's ID, State, Incarnation and MetaVersion.
func (m Member) Sum() uint64 {
	b := make([]byte, 0, len(m.ID)+17)
	b = append(b, m.ID...)
	b = append(b, byte(precedence(m.State)))
	b = binary.BigEndian.AppendUint64(b, m.Incarnation)
	b = binary.BigEndian.AppendUint64(b, m.MetaVersion)
	return xxhash.Sum64(b)
}
