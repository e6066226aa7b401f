package gateway

import (
	"cmp"
	"slices"
	"strings"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// table finds the route of a request.
type table struct {
	routing *fighollow.Routing
	hosts   map[string][]*fighollow.Route // longest prefix first
}

func newTable(r *fighollow.Routing) *table {
	t := &table{routing: r, hosts: make(map[string][]*fighollow.Route)}
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

// find returns the route with the longest prefix of the path among those of the host; nil when there is none.
func (t *table) find(host, target string) *fighollow.Route {
	path, _, _ := strings.Cut(target, "?")
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// pickService returns the service for a request of a route by the weights of its shares.
func pickService(r *fighollow.Route, seed uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	at := int(seed % uint64(total))
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}
