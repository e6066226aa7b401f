package entry

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/internal/routing"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// membersInterval is how often the members are polled. It is well below the 3 s after which an upstream that leaves must
	// get no new work.
	membersInterval = 250 * time.Millisecond
	// minViewInterval limits how often a burst of changed objects rebuilds the view.
	minViewInterval = 50 * time.Millisecond
)

// view is an immutable snapshot of the catalog and the members, decoded for the request path.
type view struct {
	workspaces map[string]*fighollow.Workspace // by key
	models     map[string]*fighollow.Model
	services   map[string]*fighollow.Service
	upstreams  []routing.Upstream
	version    uint64 // highest object version in the catalog when the view was built
}

func newView(cat *catalog.Catalog, members []membership.Member, region string) *view {
	v := &view{
		version:    cat.Digest().Highest,
		workspaces: make(map[string]*fighollow.Workspace),
		models:     make(map[string]*fighollow.Model),
		services:   make(map[string]*fighollow.Service),
	}
	for _, o := range cat.List(fighollow.KindWorkspace) {
		w := new(fighollow.Workspace)
		if json.Unmarshal(o.Value, w) == nil && w.Key != "" {
			w.Name = o.Name
			v.workspaces[w.Key] = w
		}
	}
	for _, o := range cat.List(fighollow.KindModel) {
		m := new(fighollow.Model)
		if json.Unmarshal(o.Value, m) == nil {
			m.Name = o.Name
			v.models[o.Name] = m
		}
	}
	for _, o := range cat.List(fighollow.KindService) {
		s := new(fighollow.Service)
		if json.Unmarshal(o.Value, s) == nil {
			s.Name = o.Name
			v.services[o.Name] = s
		}
	}
	v.upstreams = listUpstreams(cat, members, region)
	return v
}

// upstreamBuilder merges the platform's list of instances, the plans, the drains and the members into a list of upstreams.
type upstreamBuilder struct {
	region    string
	upstreams map[string]routing.Upstream
	excluded  map[string]bool // gets no new attempts
}

// listUpstreams returns the instances of the region that may serve requests, sorted by id. In the entry's own data centre,
// the members take precedence over the platform's list, which lags behind them. For the other data centres, only that list
// and the plans are available.
func listUpstreams(cat *catalog.Catalog, members []membership.Member, region string) []routing.Upstream {
	b := &upstreamBuilder{region: region, upstreams: make(map[string]routing.Upstream), excluded: make(map[string]bool)}
	b.addInstances(cat)
	b.addPlans(cat)
	b.addMembers(members)
	for _, o := range cat.List(fighollow.KindDrain) {
		var d fighollow.Drain
		// The successor of a replaced engine has the same id, so only its sidecar can distinguish them.
		if json.Unmarshal(o.Value, &d) == nil && d.Action != fighollow.ActionReplace {
			b.excluded[o.Name] = true
		}
	}
	out := make([]routing.Upstream, 0, len(b.upstreams))
	for id, u := range b.upstreams {
		if !b.excluded[id] && u.Link != "" {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b routing.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (b *upstreamBuilder) addInstances(cat *catalog.Catalog) {
	for _, o := range cat.List(fighollow.KindInstance) {
		var in fighollow.Instance
		if json.Unmarshal(o.Value, &in) != nil || in.Kind == fighollow.InstanceEntry || in.Region != b.region {
			continue
		}
		b.excluded[o.Name] = in.Leaving
		b.upstreams[o.Name] = routing.Upstream{
			ID: o.Name, Link: in.Link, DataCentre: in.DataCentre, Target: routing.Target{Kind: in.Kind, Name: in.Service},
		}
	}
}

// addPlans sets the planned models and roles of engines. If their data centre has no plan, they may be tried for any model.
func (b *upstreamBuilder) addPlans(cat *catalog.Catalog) {
	plans := make(map[string]map[string]fighollow.Assignment)
	for _, o := range cat.List(fighollow.KindPlan) {
		var p fighollow.Plan
		if json.Unmarshal(o.Value, &p) == nil {
			plans[o.Name] = p.Engines
		}
	}
	for id, u := range b.upstreams {
		plan, planned := plans[u.DataCentre]
		if u.Target.Kind != fighollow.InstanceEngine || !planned {
			continue
		}
		u.Target.Name, u.Role = plan[id].Model, plan[id].Role
		b.upstreams[id] = u
		b.excluded[id] = b.excluded[id] || u.Target.Name == ""
	}
}

func (b *upstreamBuilder) addMembers(members []membership.Member) {
	for _, m := range members {
		if m.Kind == fighollow.InstanceEntry {
			continue
		}
		u := routing.Upstream{ID: m.ID, Link: m.Link, DataCentre: m.DataCentre, Role: m.Role}
		u.Target = routing.Target{Kind: m.Kind, Name: m.Service}
		announced := m.MetaVersion > 0
		if m.Kind == fighollow.InstanceEngine {
			u.Target.Name = m.Model
			if !announced {
				u.Target.Name, u.Role = b.upstreams[m.ID].Target.Name, b.upstreams[m.ID].Role
			}
		}
		b.upstreams[m.ID] = u
		unassigned := m.Kind == fighollow.InstanceEngine && announced && m.Model == ""
		b.excluded[m.ID] = m.State != membership.Alive || unassigned
	}
}

// refreshView rebuilds the view when the objects or the members change, until ctx is done.
func (e *Entry) refreshView(ctx context.Context) {
	t := time.NewTicker(membersInterval)
	defer t.Stop()
	var members []membership.Member
	var hash uint64
	for first := true; ; first = false {
		changed := e.cat.Changed()
		version, newHash := e.cat.Digest().Highest, inputHash(e.cat)
		oldMembers := members
		members = e.node.Members()
		if first || newHash != hash || !slices.Equal(members, oldMembers) {
			hash = newHash
			e.setView(newView(e.cat, members, e.cfg.Region))
		} else {
			// Other objects, such as leases, change often, and a rebuild for each would cost more than 1% of a core in a large
			// fleet.
			updated := *e.view.Load()
			updated.version = version
			e.view.Store(&updated)
		}
		if !e.waitForChange(ctx, changed, t.C, members) {
			return
		}
		select {
		case <-time.After(minViewInterval):
		case <-ctx.Done():
			return
		}
	}
}

// inputHash returns a hash over the versions of all objects from which a view is built.
func inputHash(cat *catalog.Catalog) uint64 {
	var sum uint64
	var b [8]byte
	for k, version := range cat.Versions() {
		switch k.Kind {
		case fighollow.KindWorkspace, fighollow.KindModel, fighollow.KindService, fighollow.KindInstance, fighollow.KindPlan,
			fighollow.KindDrain:
			binary.LittleEndian.PutUint64(b[:], version)
			sum += xxhash.Sum64(b[:]) // versions are unique across objects, so they identify them
		}
	}
	return sum
}

// waitForChange waits until changed is closed or the members differ from old. It returns false if ctx is done.
func (e *Entry) waitForChange(ctx context.Context, changed <-chan struct{}, tick <-chan time.Time, old []membership.Member) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
			return true
		case <-tick:
			if !slices.Equal(e.node.Members(), old) {
				return true
			}
		}
	}
}

// setView applies v to the routing of new requests.
func (e *Entry) setView(v *view) {
	models := make(map[string]routing.Model, len(v.models))
	for name, m := range v.models {
		models[name] = routing.Model{PrefillRate: m.PrefillTokensPerSecond}
	}
	e.balancer.update(v.upstreams, models)
	e.view.Store(v)
}
