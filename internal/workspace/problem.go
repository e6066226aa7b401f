package workspace

import (
	"cmp"
	"slices"
	"strings"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// ProblemKind is what is wrong with a workspace of a configuration.
type ProblemKind string

// Kinds of problems.
const (
	ProblemSharedKey      ProblemKind = "sharedKey"      // a key of several workspaces, which belongs to none of them
	ProblemEmptyKey       ProblemKind = "emptyKey"       // the key is ignored
	ProblemUnsendableKey  ProblemKind = "unsendableKey"  // the key is ignored, as no header can hold it
	ProblemDuplicateName  ProblemKind = "duplicateName"  // the keys are merged, and the first priority is used
	ProblemEmptyName      ProblemKind = "emptyName"      // the workspace is ignored
	ProblemUnsendableName ProblemKind = "unsendableName" // the workspace is ignored, as its name cannot be sent
)

// Problem is a mistake in the workspaces of a configuration, of which the rest applies. It does not hold the key.
type Problem struct {
	Kind       ProblemKind
	Index      int      // of the workspace in the list; -1 for ProblemSharedKey
	Workspaces []string // names; empty for ProblemEmptyName
	Key        int      // index of the key among those of the workspace, or -1
}

// merge returns the usable workspaces in the order of the list, each name once, with their usable keys.
func merge(list []fighollow.KeyedWorkspace) ([]fighollow.KeyedWorkspace, []Problem) {
	var problems []Problem
	out := make([]fighollow.KeyedWorkspace, 0, len(list))
	indices := make(map[string]int, len(list)) // in out, by name
	for i, w := range list {
		if kind := checkName(w.Name); kind != "" {
			p := Problem{Kind: kind, Index: i, Key: -1}
			if w.Name != "" {
				p.Workspaces = []string{w.Name}
			}
			problems = append(problems, p)
			continue
		}
		keys := make([]string, 0, len(w.Keys))
		for n, key := range w.Keys {
			switch {
			case key == "":
				problems = append(problems, Problem{ProblemEmptyKey, i, []string{w.Name}, n})
			case !isSendable(key):
				problems = append(problems, Problem{ProblemUnsendableKey, i, []string{w.Name}, n})
			default:
				keys = append(keys, key)
			}
		}
		at, ok := indices[w.Name]
		if !ok {
			indices[w.Name] = len(out)
			out = append(out, fighollow.KeyedWorkspace{Name: w.Name, Keys: keys, Priority: w.Priority})
			continue
		}
		problems = append(problems, Problem{ProblemDuplicateName, i, []string{w.Name}, -1})
		out[at].Keys = append(out[at].Keys, keys...)
		if out[at].Priority == nil {
			out[at].Priority = w.Priority
		}
	}
	return out, problems
}

// checkName returns what is wrong with a name, or an empty kind.
func checkName(name string) ProblemKind {
	switch {
	case name == "":
		return ProblemEmptyName
	case len(name) > maxNameBytes || !isSendable(name):
		return ProblemUnsendableName
	}
	return ""
}

// sharedProblems returns a problem for each key that several workspaces have, in the order of their names.
func sharedProblems(shared map[string][]string) []Problem {
	out := make([]Problem, 0, len(shared))
	for _, names := range shared {
		out = append(out, Problem{Kind: ProblemSharedKey, Index: -1, Workspaces: names, Key: -1})
	}
	slices.SortFunc(out, func(a, b Problem) int {
		return cmp.Compare(strings.Join(a.Workspaces, "\x00"), strings.Join(b.Workspaces, "\x00"))
	})
	return out
}
