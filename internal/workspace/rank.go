package workspace

import (
	"slices"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Ranks is the number of ranks: engines order requests by a value of 0 to 9, of which each rank has one for requests that are in time and
// one for those that are late.
const Ranks = 5

// ranks orders requests by the priority of their workspace and then by that of their route. The zero value keeps the latter.
type ranks struct {
	workspaces map[string]int // position of the workspace's priority among those that occur, by name
	least      int            // position of requests without a workspace
	routes     map[int]int    // position of a route's priority among those that occur
	table      [][]int        // rank by both positions; nil if no workspace has a priority
}

func newRanks(workspaces []fighollow.KeyedWorkspace, routes []fighollow.Route) ranks {
	var priorities, routePriorities []int
	for _, w := range workspaces {
		if w.Priority != nil {
			priorities = append(priorities, *w.Priority)
		}
	}
	if len(priorities) == 0 {
		return ranks{}
	}
	for i := range routes {
		routePriorities = append(routePriorities, routes[i].Priority)
	}
	priorities, routePriorities = distinct(priorities), distinct(routePriorities)
	r := ranks{
		workspaces: make(map[string]int, len(workspaces)), least: len(priorities) - 1, routes: make(map[int]int, len(routePriorities)),
		table: rankTable(len(priorities), len(routePriorities)),
	}
	for _, w := range workspaces {
		r.workspaces[w.Name] = r.least
		if w.Priority != nil {
			r.workspaces[w.Name], _ = slices.BinarySearch(priorities, *w.Priority)
		}
	}
	for i, p := range routePriorities {
		r.routes[p] = i
	}
	return r
}

// distinct returns the different values of a list in order.
func distinct(values []int) []int {
	slices.Sort(values)
	return slices.Compact(values)
}

// rankTable returns the ranks of pairs of a workspace's and a route's priority, by their positions. If there are more pairs than ranks,
// priorities of workspaces are kept apart as far as there are ranks, and those of routes share the ranks of each.
func rankTable(workspaces, routes int) [][]int {
	table := make([][]int, workspaces)
	for w := range table {
		// The ranks of one priority of workspaces are first to first+size-1. The remainder of the division goes to the most urgent ones.
		size, remainder := Ranks/workspaces, Ranks%workspaces
		first := w*size + min(w, remainder)
		if w < remainder {
			size++
		}
		switch {
		case workspaces*routes <= Ranks:
			first, size = w*routes, routes
		case workspaces > Ranks:
			first, size = w*Ranks/workspaces, 1
		}
		table[w] = make([]int, routes)
		for r := range table[w] {
			table[w][r] = first + r*size/routes
		}
	}
	return table
}

func (r *ranks) of(workspace string, routePriority int) int {
	if r.table == nil {
		return routePriority
	}
	w, ok := r.workspaces[workspace]
	if !ok {
		w = r.least
	}
	return r.table[w][r.routes[routePriority]]
}
