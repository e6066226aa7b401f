// Package workspace decides which workspace a request belongs to and how urgent it is. Its types are immutable and its functions pure.
package workspace

import (
	"strings"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// maxNameBytes is the length of the longest name of a workspace. Names go into headers and into datagrams of at most 1,200 bytes.
const maxNameBytes = 512

// Reason is why a request that needs a key is refused.
type Reason string

// Reasons.
const (
	ReasonNone        Reason = ""            // the key belongs to a workspace
	ReasonMissing     Reason = "missing"     // the request has no key
	ReasonRepeated    Reason = "repeated"    // the header was sent several times
	ReasonEmpty       Reason = "empty"       // the header has no value
	ReasonMalformed   Reason = "malformed"   // the value is a list or has a prefix
	ReasonUnknown     Reason = "unknown"     // no workspace has the key
	ReasonUnconfirmed Reason = "unconfirmed" // the keys may be outdated
)

// Table finds the workspace of a key and the rank of a request. The zero value has no keys and leaves the priorities of routes as they are.
type Table struct {
	names []string         // of the workspaces
	keys  map[string]int32 // index in names by key; smaller values than names make a lookup read less memory
	ranks ranks
}

// New returns the table of a configuration, and what is wrong with its workspaces.
func New(r *fighollow.Routing) (*Table, []Problem) {
	workspaces, problems := merge(r.Workspaces)
	n := 0
	for _, w := range workspaces {
		n += len(w.Keys)
	}
	t := &Table{names: make([]string, len(workspaces)), keys: make(map[string]int32, n), ranks: newRanks(workspaces, r.Routes)}
	var shared map[string][]string // names of the workspaces by key
	for i, w := range workspaces {
		t.names[i] = w.Name
		for _, key := range w.Keys {
			switch owner, ok := t.keys[key]; {
			case !ok:
				t.keys[key] = int32(i) //nolint:gosec // far fewer workspaces fit into an object
			case int(owner) != i:
				if shared == nil {
					shared = make(map[string][]string)
				}
				if shared[key] == nil {
					shared[key] = []string{t.names[owner]}
				}
				if names := shared[key]; names[len(names)-1] != w.Name {
					shared[key] = append(names, w.Name)
				}
			}
		}
	}
	for key := range shared {
		delete(t.keys, key)
	}
	return t, append(problems, sharedProblems(shared)...)
}

// Find returns the workspace that the values of the header for keys belong to, or the reason why they belong to none.
func (t *Table) Find(credentials []string) (workspace string, reason Reason) {
	if len(credentials) != 1 {
		if len(credentials) == 0 {
			return "", ReasonMissing
		}
		return "", ReasonRepeated
	}
	if i, ok := t.keys[credentials[0]]; ok {
		return t.names[i], ReasonNone
	}
	switch {
	case strings.TrimSpace(credentials[0]) == "":
		return "", ReasonEmpty
	case strings.ContainsAny(credentials[0], ", \t"):
		return "", ReasonMalformed
	}
	return "", ReasonUnknown
}

// Rank returns the rank of a request of a workspace, which is empty for none, at a route of this priority. 0 is the most urgent. If no
// workspace has a priority, it is that of the route.
func (t *Table) Rank(workspace string, routePriority int) int {
	return t.ranks.of(workspace, routePriority)
}

// Keys returns the number of keys that belong to a workspace.
func (t *Table) Keys() int { return len(t.keys) }

// isSendable reports whether a value arrives unchanged when it is sent as the value of a header.
func isSendable(value string) bool {
	if value != strings.Trim(value, " \t") {
		return false // recipients remove white space around a value
	}
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
