package planner

import (
	"slices"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// history is what the planner remembers of one engine.
type history struct {
	work      fighollow.Assignment
	since     time.Time // when work was first seen
	confirmed bool      // the engine was seen to serve work
	changed   bool      // work replaced other work, as far as was seen
	goneSince time.Time // zero while the instance is listed
}

// move is the last change of role that was seen within a model.
type move struct {
	to fighollow.Role
	at time.Time
}

// node is one engine within a decision.
type node struct {
	Engine
	assigned bool
	work     fighollow.Assignment
	since    time.Time
	changing bool // an earlier change is not complete
	silent   bool // sends no reports while other engines do
	inUse    bool // listed, not leaving and not drained
	gone     bool // no longer listed for longer than Policy.ForgetAfter
	changed  bool // by this decision
}

// serves reports whether n can take work of its assignment as far as is known.
func (n *node) serves() bool {
	return n.assigned && n.inUse && !n.changing && !n.changed && !n.silent && !n.down()
}

// down reports whether the last report shows an engine that does not serve its assignment.
func (n *node) down() bool {
	return n.State != nil && (n.State.Phase != fighollow.PhaseReady || !n.State.Assignment.SameWork(n.work))
}

// fleet is the working state of one decision.
type fleet struct {
	now     time.Time
	in      Input
	opts    Policy
	nodes   []*node
	changes []Change
	blocked []string
	tallies map[slot]tally
	dcs     int // data centres
	moves   map[string]move
	// moving counts changes that are not complete, by data centre and by model (those that leave and those that come).
	movingIn, movingModel map[string]int
}

func (p *Planner) view(now time.Time, in Input) *fleet {
	f := &fleet{now: now, in: in, opts: p.opts, moves: p.moves, movingIn: make(map[string]int), movingModel: make(map[string]int)}
	listed := make(map[string]bool, len(in.Engines))
	for _, e := range in.Engines {
		listed[e.ID] = true
		work, ok := in.Plans[e.DataCentre].Engines[e.ID]
		f.nodes = append(f.nodes, p.node(now, in, e, work, ok))
	}
	for dc, plan := range in.Plans {
		for id, work := range plan.Engines {
			if !listed[id] {
				listed[id] = true
				f.nodes = append(f.nodes, p.absent(now, Engine{ID: id, DataCentre: dc}, work))
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
			f.movingIn[n.DataCentre]++
			f.movingModel[n.work.Model]++
		}
	}
	f.countAll()
	return f
}

func (p *Planner) node(now time.Time, in Input, e Engine, work fighollow.Assignment, assigned bool) *node {
	n := &node{Engine: e, assigned: assigned, work: work, inUse: inUse(e)}
	if !assigned {
		delete(p.engines, e.ID)
		return n
	}
	h := p.observe(now, e.ID, work)
	h.goneSince = time.Time{}
	n.since = h.since
	h.confirmed = h.confirmed || p.confirmed(now, in, e, h)
	n.changing = n.inUse && !h.confirmed && now.Sub(h.since) < p.opts.StuckAfter
	return n
}

func (p *Planner) absent(now time.Time, e Engine, work fighollow.Assignment) *node {
	h := p.observe(now, e.ID, work)
	if h.goneSince.IsZero() {
		h.goneSince = now
	}
	return &node{Engine: e, assigned: true, work: work, since: h.since, gone: now.Sub(h.goneSince) >= p.opts.ForgetAfter}
}

func (p *Planner) observe(now time.Time, id string, work fighollow.Assignment) *history {
	h := p.engines[id]
	if h == nil || h.work.Fence != work.Fence || !h.work.SameWork(work) {
		if h != nil && h.work.Model == work.Model && h.work.Role != work.Role {
			p.moves[work.Model] = move{to: work.Role, at: now}
		}
		h = &history{work: work, since: now, changed: h != nil}
		p.engines[id] = h
	}
	return h
}

// confirmed reports whether a change is complete. A report from before the change can show the same work by chance, so
// it counts only with the fence of the change or when it is newer than the lag of reports. Without any report a first
// placement counts as complete after the usual time, and a change only where no engine reports.
func (p *Planner) confirmed(now time.Time, in Input, e Engine, h *history) bool {
	if e.State == nil {
		return (!h.changed || !in.reporting()) && now.Sub(h.since) >= p.opts.DrainTime+2*loadTime(in.Models[h.work.Model])
	}
	if e.State.Phase != fighollow.PhaseReady || !e.State.Assignment.SameWork(h.work) {
		return false
	}
	return e.State.Assignment.Fence >= h.work.Fence || e.ReportedAt.Sub(h.since) > p.opts.ReportLag
}

// reporting reports whether any engine reports.
func (in Input) reporting() bool {
	return slices.ContainsFunc(in.Engines, func(e Engine) bool { return e.State != nil })
}

// inUse applies the operator's request. A replaced engine is in service again once it reports a later start.
func inUse(e Engine) bool {
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
		return defaultLoad
	}
	return time.Duration(m.LoadMs) * time.Millisecond
}

// change assigns work to n and records it.
func (f *fleet) change(n *node, work fighollow.Assignment, c Change) {
	c.Engine, c.DataCentre, c.From, c.To = n.ID, n.DataCentre, n.work, work
	if n.assigned {
		f.movingIn[n.DataCentre]++
		f.movingModel[n.work.Model]++
		if work.Model != n.work.Model {
			f.movingModel[work.Model]++
		}
	}
	f.add(n, -1)
	n.assigned, n.work, n.changed = true, work, true
	f.add(n, 1)
	f.changes = append(f.changes, c)
}

// remove takes withdrawn and vanished engines out of the plan.
func (f *fleet) remove() {
	for _, n := range f.nodes {
		withdrawn := n.Drain != nil && n.Drain.Action == fighollow.ActionWithdraw
		if n.assigned && (withdrawn || n.gone) {
			f.changes = append(f.changes, Change{Engine: n.ID, DataCentre: n.DataCentre, From: n.work, Reason: ReasonRemove})
			f.add(n, -1)
			n.assigned, n.changed, n.changing = false, true, false
		}
	}
}

// mayChange reports whether the limits allow one more change of n, which leaves its model for another or stays in it.
func (f *fleet) mayChange(n *node, to string) bool {
	if !n.inUse || n.changing || n.changed {
		return false
	}
	perModel := orDefault(f.in.Preset.Policy.MaxChangesPerModel, 1)
	return f.movingIn[n.DataCentre] < orDefault(f.in.Preset.Policy.MaxChangesPerDataCentre, 1) &&
		f.movingModel[n.work.Model] < perModel && f.movingModel[to] < perModel
}

func orDefault(v, def int) int {
	if v <= 0 {
		return def
	}
	return v
}
