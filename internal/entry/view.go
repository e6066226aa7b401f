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
	// membersEvery is the time between two looks at the members, well below the 3 s within which an upstream that
	// leaves must get no new work.
	membersEvery = 250 * time.Millisecond
	// viewPause bounds how often a burst of changed objects rebuilds the view.
	viewPause = 50 * time.Millisecond
)

// view is what the catalog and the members say, decoded for the request path. It is immutable.
type view struct {
	workspaces map[string]*fighollow.Workspace // by key
	models     map[string]*fighollow.Model
	services   map[string]*fighollow.Service
	upstreams  []routing.Upstream
	version    uint64 // highest version of the objects that it was made from
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
	v.upstreams = upstreams(cat, members, region)
	return v
}

// fleetList joins the live list, the plans, the drains and the members.
type fleetList struct {
	region    string
	upstreams map[string]routing.Upstream
	left      map[string]bool // takes no new work
}

// upstreams returns the instances that may serve. The members know the own data centre better than the live list, which
// lags; of the other data centres of the region only the list and the plans are known.
func upstreams(cat *catalog.Catalog, members []membership.Member, region string) []routing.Upstream {
	f := &fleetList{region: region, upstreams: make(map[string]routing.Upstream), left: make(map[string]bool)}
	f.addInstances(cat)
	f.addPlans(cat)
	f.addMembers(members)
	for _, o := range cat.List(fighollow.KindDrain) {
		var d fighollow.Drain
		// A replaced engine's successor has the same id, so only its sidecar can tell them apart.
		if json.Unmarshal(o.Value, &d) == nil && d.Action != fighollow.ActionReplace {
			f.left[o.Name] = true
		}
	}
	out := make([]routing.Upstream, 0, len(f.upstreams))
	for id, u := range f.upstreams {
		if !f.left[id] && u.Link != "" {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b routing.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (f *fleetList) addInstances(cat *catalog.Catalog) {
	for _, o := range cat.List(fighollow.KindInstance) {
		var in fighollow.Instance
		if json.Unmarshal(o.Value, &in) != nil || in.Kind == fighollow.InstanceEntry || in.Region != f.region {
			continue
		}
		f.left[o.Name] = in.Leaving
		f.upstreams[o.Name] = routing.Upstream{
			ID: o.Name, Link: in.Link, DataCentre: in.DataCentre, Target: routing.Target{Kind: in.Kind, Name: in.Service},
		}
	}
}

// addPlans gives engines their planned model and role. Without a plan of their data centre any model may be tried.
func (f *fleetList) addPlans(cat *catalog.Catalog) {
	plans := make(map[string]map[string]fighollow.Assignment)
	for _, o := range cat.List(fighollow.KindPlan) {
		var p fighollow.Plan
		if json.Unmarshal(o.Value, &p) == nil {
			plans[o.Name] = p.Engines
		}
	}
	for id, u := range f.upstreams {
		plan, planned := plans[u.DataCentre]
		if u.Target.Kind != fighollow.UpstreamEngine || !planned {
			continue
		}
		u.Target.Name, u.Role = plan[id].Model, plan[id].Role
		f.upstreams[id] = u
		f.left[id] = f.left[id] || u.Target.Name == ""
	}
}

func (f *fleetList) addMembers(members []membership.Member) {
	for _, m := range members {
		if m.Kind == fighollow.InstanceEntry {
			continue
		}
		u := routing.Upstream{ID: m.ID, Link: m.Link, DataCentre: m.DataCentre, Role: m.Role}
		u.Target = routing.Target{Kind: m.Kind, Name: m.Service}
		announced := m.Meta > 0
		if m.Kind == fighollow.UpstreamEngine {
			u.Target.Name = m.Model
			if !announced {
				u.Target.Name, u.Role = f.upstreams[m.ID].Target.Name, f.upstreams[m.ID].Role
			}
		}
		f.upstreams[m.ID] = u
		idle := m.Kind == fighollow.UpstreamEngine && announced && m.Model == ""
		f.left[m.ID] = m.State != membership.Alive || idle
	}
}

// followView rebuilds the view when the objects or the members change, until ctx ends.
func (e *Entry) followView(ctx context.Context) {
	t := time.NewTicker(membersEvery)
	defer t.Stop()
	var members []membership.Member
	var used uint64
	for first := true; ; first = false {
		changed := e.cat.Changed()
		version, now := e.cat.Digest().Highest, usedObjects(e.cat)
		old := members
		members = e.node.Members()
		if first || now != used || !slices.Equal(members, old) {
			used = now
			e.setView(newView(e.cat, members, e.cfg.Region))
		} else {
			// Other objects, as leases, change often, and decoding a large fleet for each would cost more than 1% of a core.
			same := *e.view.Load()
			same.version = version
			e.view.Store(&same)
		}
		if !e.waitForChange(ctx, changed, t.C, members) {
			return
		}
		select {
		case <-time.After(viewPause):
		case <-ctx.Done():
			return
		}
	}
}

// usedObjects returns a hash of the versions of all objects from which a view is made.
func usedObjects(cat *catalog.Catalog) uint64 {
	var sum uint64
	var b [8]byte
	for k, version := range cat.Versions() {
		switch k.Kind {
		case fighollow.KindWorkspace, fighollow.KindModel, fighollow.KindService, fighollow.KindInstance, fighollow.KindPlan,
			fighollow.KindDrain:
			binary.LittleEndian.PutUint64(b[:], version)
			sum += xxhash.Sum64(b[:]) // versions are unique across objects, so they stand for their objects
		}
	}
	return sum
}

// waitForChange returns false when ctx ended.
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

// setView routes new requests by v.
func (e *Entry) setView(v *view) {
	rates := make(map[string]routing.Model, len(v.models))
	for name, m := range v.models {
		rates[name] = routing.Model{PrefillRate: m.PrefillTokensPerSecond}
	}
	e.balance.update(v.upstreams, rates)
	e.view.Store(v)
}
