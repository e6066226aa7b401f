package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/fighollow/fighollow/platform/standin"
)

// keyPrefix begins each key that callers send, so that a key can be found in headers and logs.
const keyPrefix = "soakkey-"

// soakWorkspaces are the workspaces of a run with keys.
var soakWorkspaces = []string{"north", "south", "east", "west"}

// changingKeys is the number of keys that the operator adds, rotates and removes during the run.
const changingKeys = 8

// steadyKey returns the key that a workspace has in each configuration.
func steadyKey(workspace string) string { return keyPrefix + "steady-" + workspace }

func changingKey(n int) string { return fmt.Sprintf("%sturn-%d", keyPrefix, n) }

// Keys of faulty workspaces in each configuration, and one of a second workspace with the name of the first.
const (
	keyOfNoName   = keyPrefix + "no-name"
	keyOfBadName  = keyPrefix + "bad-name"
	keyOfSameName = keyPrefix + "same-name"
)

// keyring holds the changing keys of each workspace. A key can belong to two workspaces, and is then valid for neither.
type keyring map[string][]int

// change returns a copy of the keyring with one drawn change.
func (k keyring) change(r *rand.Rand) keyring {
	out := make(keyring, len(k))
	for w, keys := range k {
		out[w] = slices.Clone(keys)
	}
	from, to, n := soakWorkspaces[r.IntN(len(soakWorkspaces))], soakWorkspaces[r.IntN(len(soakWorkspaces))], r.IntN(changingKeys)
	isN := func(key int) bool { return key == n }
	switch r.IntN(4) {
	case 0: // add; the key can then belong to two workspaces
		if !slices.Contains(out[to], n) {
			out[to] = append(out[to], n)
		}
	case 1: // remove everywhere
		for w := range out {
			out[w] = slices.DeleteFunc(out[w], isN)
		}
	case 2: // rotate
		out[from] = []int{n}
	default: // move
		for w := range out {
			out[w] = slices.DeleteFunc(out[w], isN)
		}
		out[to] = append(out[to], n)
	}
	return out
}

// workspaces returns the list for the configuration.
func (k keyring) workspaces() []standin.Workspace {
	var out []standin.Workspace
	for i, w := range soakWorkspaces {
		keys := []string{steadyKey(w)}
		for _, n := range k[w] {
			keys = append(keys, changingKey(n))
		}
		workspace := standin.Workspace{Name: w, Keys: keys}
		if i < 2 {
			workspace.Priority = new(i)
		}
		out = append(out, workspace)
	}
	return append(out,
		standin.Workspace{Name: soakWorkspaces[0], Keys: []string{"", keyOfSameName}, Priority: new(3)},
		standin.Workspace{Name: "", Keys: []string{keyOfNoName}},
		standin.Workspace{Name: "line\nbreak", Keys: []string{keyOfBadName}},
	)
}

// valid returns the workspace of each valid key.
func (k keyring) valid() map[string]string {
	out := map[string]string{keyOfSameName: soakWorkspaces[0]}
	shared := make(map[string]bool)
	for _, w := range soakWorkspaces {
		out[steadyKey(w)] = w
		for _, n := range k[w] {
			key := changingKey(n)
			_, known := out[key]
			shared[key] = shared[key] || known
			out[key] = w
		}
	}
	maps.DeleteFunc(out, func(key, _ string) bool { return shared[key] })
	return out
}

// credentials are what one request says of its caller.
type credentials struct {
	key    string // empty if the request has no usable key
	form   string // how it is sent if it is not usable
	header string // lines of the request
}

// drawCredentials draws the key of a request, or the lack of one, and perhaps a workspace that the caller claims.
func drawCredentials(r *rand.Rand) credentials {
	workspace := soakWorkspaces[r.IntN(len(soakWorkspaces))]
	key, name := steadyKey(workspace), standin.HeaderKey
	if r.IntN(4) == 0 {
		name = strings.ToLower(name)
	}
	var c credentials
	switch n := r.IntN(100); {
	case n < 68:
		c.key = key
	case n < 80:
		c.key = changingKey(r.IntN(changingKeys))
	case n < 83:
		c.key = fmt.Sprintf("%snever-%d", keyPrefix, r.IntN(1000))
	case n < 86:
		c.key = []string{keyOfNoName, keyOfBadName, keyOfSameName}[r.IntN(3)]
	case n < 90:
		c.form = "missing"
	case n < 93:
		c.form, c.header = "doubled", name+": "+key+"\r\n"+standin.HeaderKey+": "+key+"\r\n"
	case n < 96:
		c.form, c.header = "list", name+": "+key+", "+steadyKey(soakWorkspaces[0])+"\r\n"
	case n < 98:
		c.form, c.header = "prefixed", name+": Bearer "+key+"\r\n"
	default:
		c.form, c.header = "empty", name+":\r\n"
	}
	if c.key != "" {
		c.header = name + ": " + c.key + "\r\n"
	}
	if r.IntN(6) == 0 {
		c.header += []string{standin.HeaderWorkspace, strings.ToLower(standin.HeaderWorkspace)}[r.IntN(2)] + ": " + soakWorkspaces[r.IntN(len(soakWorkspaces))] + "\r\n"
	}
	return c
}
