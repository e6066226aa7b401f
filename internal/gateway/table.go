package gateway

import (
	"cmp"
	"slices"
	"strings"

	"github.com/fighollow/fighollow/internal/workspace"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// routeTable looks up the routes and the keys of a configuration.
type routeTable struct {
	routing  *fighollow.Routing
	hosts    map[string][]*fighollow.Route // routes by host, longest path prefix first
	keys     *workspace.Table              // used if keys are required
	problems []workspace.Problem
}

func newRouteTable(r *fighollow.Routing) *routeTable {
	t := &routeTable{routing: r, hosts: make(map[string][]*fighollow.Route), keys: &workspace.Table{}}
	if r.KeysRequired {
		t.keys, t.problems = workspace.New(r)
	}
	for i := range r.Routes {
		route := &r.Routes[i]
		t.hosts[route.Host] = append(t.hosts[route.Host], route)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *fighollow.Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return t
}

// find returns the host's route with the longest path prefix that matches target, ignoring its query; nil if there is none.
func (t *routeTable) find(host, target string) *fighollow.Route {
	path, _, _ := strings.Cut(target, "?")
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// pickService chooses one of the route's services in proportion to their weights. It returns an empty string if the weights
// sum to 0.
func pickService(r *fighollow.Route, seed uint64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	point := int(seed % uint64(total))
	for _, s := range r.Services {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return ""
}
