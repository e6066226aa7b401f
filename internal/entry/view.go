package entry

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/internal/settings"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// membersEvery is the time between two looks at the members, well below the 3 s within which an upstream that
	// leaves must get no new work.
	membersEvery = 250 * time.Millisecond
	// viewPause bounds how often a burst of changed objects rebuilds the view.
	viewPause = 50 * time.Millisecond
)

// upstream is an instance that may serve requests.
type upstream struct {
	id         string
	link       string
	dataCentre string
	kind       fighollow.UpstreamKind
	service    string
	model      string // empty: not known, any model may be tried
	role       fighollow.Role
}

// view is what the catalog and the members say, decoded for the request path. It is immutable.
type view struct {
	workspaces map[string]*fighollow.Workspace // by key
	models     map[string]*fighollow.Model
	services   map[string]*fighollow.Service
	upstreams  []upstream
	version    uint64 // highest version of the objects that it was made from
}

func newView(cat *catalog.Catalog, members []membership.Member, self settings.Process) *view {
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
	v.upstreams = upstreams(cat, members, self)
	return v
}

// upstreams joins the live list, the plans, the drains and the members. The members know the own data centre better
// than the live list, which lags; of the other data centres of the region only the list and the plans are known.
func upstreams(cat *catalog.Catalog, members []membership.Member, self settings.Process) []upstream {
	byID := make(map[string]upstream)
	left := make(map[string]bool)
	for _, o := range cat.List(fighollow.KindInstance) {
		var in fighollow.Instance
		if json.Unmarshal(o.Value, &in) != nil || in.Kind == fighollow.InstanceEntry || in.Region != self.Region {
			continue
		}
		left[o.Name] = in.Leaving
		byID[o.Name] = upstream{id: o.Name, link: in.Link, dataCentre: in.DataCentre, kind: in.Kind, service: in.Service}
	}
	plans := plannedEngines(cat)
	for id, u := range byID {
		plan, planned := plans[u.dataCentre]
		if u.kind != fighollow.UpstreamEngine || !planned {
			continue
		}
		u.model, u.role = plan[id].Model, plan[id].Role
		byID[id] = u
		left[id] = left[id] || u.model == ""
	}
	for _, m := range members {
		if m.Kind == fighollow.InstanceEntry {
			continue
		}
		u := upstream{id: m.ID, link: m.Link, dataCentre: m.DataCentre, kind: m.Kind, service: m.Service, model: m.Model, role: m.Role}
		if m.Model == "" && m.Meta == 0 {
			u.model, u.role = byID[m.ID].model, byID[m.ID].role
		}
		byID[m.ID] = u
		idle := m.Kind == fighollow.UpstreamEngine && m.Model == "" && m.Meta > 0
		left[m.ID] = m.State != membership.Alive || idle
	}
	for _, o := range cat.List(fighollow.KindDrain) {
		var d fighollow.Drain
		// A replaced engine's successor has the same id, so only its sidecar can tell them apart.
		if json.Unmarshal(o.Value, &d) == nil && d.Action != fighollow.ActionReplace {
			left[o.Name] = true
		}
	}
	out := make([]upstream, 0, len(byID))
	for id, u := range byID {
		if !left[id] && u.link != "" {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b upstream) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return out
}

// plannedEngines returns the assignments by data centre.
func plannedEngines(cat *catalog.Catalog) map[string]map[string]fighollow.Assignment {
	plans := make(map[string]map[string]fighollow.Assignment)
	for _, o := range cat.List(fighollow.KindPlan) {
		var p fighollow.Plan
		if json.Unmarshal(o.Value, &p) == nil {
			plans[o.Name] = p.Engines
		}
	}
	return plans
}

// followView rebuilds the view when the objects or the members change, until ctx ends.
func (e *Entry) followView(ctx context.Context) {
	t := time.NewTicker(membersEvery)
	defer t.Stop()
	var members []membership.Member
	for {
		changed := e.cat.Changed()
		members = e.node.Members()
		e.view.Store(newView(e.cat, members, e.cfg.Process))
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
