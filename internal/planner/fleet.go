package planner

import (
	"slices"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// engineHistory records the current assignment of one engine and when it took effect.
type engineHistory struct {
	assignment    fighollow.Assignment
	assignedSince time.Time // when assignment was first observed
	confirmed     bool      // the engine was observed to serve assignment
	replaced      bool      // assignment replaced another one that this planner observed
	absentSince   time.Time // zero while the instance is listed
}

// roleChange is the last observed change of an engine's role within a model.
type roleChange struct {
	to fighollow.Role
	at time.Time
}

// node is the working state of one engine during a decision.
type node struct {
	Engine
	assigned      bool
	assignment    fighollow.Assignment
	assignedSince time.Time
	changing      bool // an earlier change is not complete
	silent        bool // sends no reports while other engines do
	schedulable   bool // listed, not leaving and not drained
	expired       bool // no longer listed for longer than Policy.RemoveAfter
	changed       bool // by this decision
}

// serves reports whether n, by the latest information, serves requests for its assignment.
func (n *node) serves() bool {
	return n.assigned && n.schedulable && !n.changing && !n.changed && !n.silent && !n.down()
}

// down reports whether the last report shows that n does not serve its assignment.
func (n *node) down() bool {
	return n.State != nil && (n.State.Phase != fighollow.PhaseReady || !n.State.Assignment.EqualIgnoringFence(n.assignment))
}

// fleet is the working state of one decision.
type fleet struct {
	now         time.Time
	in          Input
	opts        Policy
	nodes       []*node
	changes     []Change
	blocked     []string
	tallies     map[tallyKey]tally
	dcCount     int // data centres
	roleChanges map[string]roleChange
	// changingInDC and changingInModel count incomplete changes by data centre and by model. A change between two models
	// made by this decision counts for both.
	changingInDC, changingInModel map[string]int
}

func (p *Planner) newFleet(now time.Time, in Input) *fleet {
	f := &fleet{now: now, in: in, opts: p.opts, roleChanges: p.roleChanges, changingInDC: make(map[string]int), changingInModel: make(map[string]int)}
	listed := make(map[string]bool, len(in.Engines))
	for _, e := range in.Engines {
		listed[e.ID] = true
		a, ok := in.Plans[e.DataCentre].Engines[e.ID]
		f.nodes = append(f.nodes, p.listedNode(now, in, e, a, ok))
	}
	for dc, plan := range in.Plans {
		for id, a := range plan.Engines {
			if !listed[id] {
				listed[id] = true
				f.nodes = append(f.nodes, p.absentNode(now, Engine{ID: id, DataCentre: dc}, a))
			}
		}
	}
	for id := range p.engines {
		if !listed[id] {
			delete(p.engines, id)
		}
	}
	slices.SortFunc(f.nodes, byID)
	reporting := in.reporting()
	for _, n := range f.nodes {
		n.silent = reporting && n.State == nil
		if n.changing {
			f.changingInDC[n.DataCentre]++
			f.changingInModel[n.assignment.Model]++
		}
	}
	f.tallyAll()
	return f
}

func (p *Planner) listedNode(now time.Time, in Input, e Engine, a fighollow.Assignment, assigned bool) *node {
	n := &node{Engine: e, assigned: assigned, assignment: a, schedulable: schedulable(e)}
	if !assigned {
		delete(p.engines, e.ID)
		return n
	}
	h := p.observe(now, e.ID, a)
	h.absentSince = time.Time{}
	n.assignedSince = h.assignedSince
	h.confirmed = h.confirmed || p.confirmed(now, in, e, h)
	n.changing = n.schedulable && !h.confirmed && now.Sub(h.assignedSince) < p.opts.ChangeTimeout
	return n
}

func (p *Planner) absentNode(now time.Time, e Engine, a fighollow.Assignment) *node {
	h := p.observe(now, e.ID, a)
	if h.absentSince.IsZero() {
		h.absentSince = now
	}
	return &node{Engine: e, assigned: true, assignment: a, assignedSince: h.assignedSince, expired: now.Sub(h.absentSince) >= p.opts.RemoveAfter}
}

func (p *Planner) observe(now time.Time, id string, a fighollow.Assignment) *engineHistory {
	h := p.engines[id]
	if h == nil || h.assignment.Fence != a.Fence || !h.assignment.EqualIgnoringFence(a) {
		if h != nil && h.assignment.Model == a.Model && h.assignment.Role != a.Role {
			p.roleChanges[a.Model] = roleChange{to: a.Role, at: now}
		}
		h = &engineHistory{assignment: a, assignedSince: now, replaced: h != nil}
		p.engines[id] = h
	}
	return h
}

// confirmed reports whether a change is complete. A report from before the change can show the same assignment by
// chance, so a report counts only if it has the fence of the change or arrived more than ReportLag after it. For an
// engine without a report, a first placement counts as complete after DrainTime and twice the load time; a replaced
// assignment does so only if no engine reports.
func (p *Planner) confirmed(now time.Time, in Input, e Engine, h *engineHistory) bool {
	if e.State == nil {
		return (!h.replaced || !in.reporting()) && now.Sub(h.assignedSince) >= p.opts.DrainTime+2*loadTime(in.Models[h.assignment.Model])
	}
	if e.State.Phase != fighollow.PhaseReady || !e.State.Assignment.EqualIgnoringFence(h.assignment) {
		return false
	}
	return e.State.Assignment.Fence >= h.assignment.Fence || e.ReportedAt.Sub(h.assignedSince) > p.opts.ReportLag
}

// reporting reports whether any engine has sent a report.
func (in Input) reporting() bool {
	return slices.ContainsFunc(in.Engines, func(e Engine) bool { return e.State != nil })
}

// schedulable reports whether e is neither leaving nor drained by an operator. An engine that an operator replaces is
// schedulable again once its report shows a start after Drain.Incarnation.
func schedulable(e Engine) bool {
	if e.Leaving {
		return false
	}
	if e.Drain == nil {
		return true
	}
	return e.Drain.Action == fighollow.ActionReplace && e.Drain.Incarnation > 0 &&
		e.State != nil && e.State.StartedMs > e.Drain.Incarnation
}

func loadTime(m fighollow.Model) time.Duration {
	if m.LoadMs <= 0 {
		return defaultLoadTime
	}
	return time.Duration(m.LoadMs) * time.Millisecond
}

// assign sets the assignment of n and appends the change to the decision.
func (f *fleet) assign(n *node, a fighollow.Assignment, c Change) {
	c.Engine, c.DataCentre, c.From, c.To = n.ID, n.DataCentre, n.assignment, a
	if n.assigned {
		f.changingInDC[n.DataCentre]++
		f.changingInModel[n.assignment.Model]++
		if a.Model != n.assignment.Model {
			f.changingInModel[a.Model]++
		}
	}
	f.tally(n, -1)
	n.assigned, n.assignment, n.changed = true, a, true
	f.tally(n, 1)
	f.changes = append(f.changes, c)
}

// remove takes withdrawn and expired engines out of the plan.
func (f *fleet) remove() {
	for _, n := range f.nodes {
		withdrawn := n.Drain != nil && n.Drain.Action == fighollow.ActionWithdraw
		if n.assigned && (withdrawn || n.expired) {
			f.changes = append(f.changes, Change{Engine: n.ID, DataCentre: n.DataCentre, From: n.assignment, Reason: ReasonRemove})
			f.tally(n, -1)
			n.assigned, n.changed, n.changing = false, true, false
		}
	}
}

// mayChange reports whether the limits allow one more change, of n from its model to the model to, which may be the same.
func (f *fleet) mayChange(n *node, to string) bool {
	if !n.schedulable || n.changing || n.changed {
		return false
	}
	perModel := orDefault(f.in.Preset.Policy.MaxChangesPerModel, 1)
	return f.changingInDC[n.DataCentre] < orDefault(f.in.Preset.Policy.MaxChangesPerDataCentre, 1) &&
		f.changingInModel[n.assignment.Model] < perModel && f.changingInModel[to] < perModel
}

func orDefault(v, def int) int {
	if v <= 0 {
		return def
	}
	return v
}
