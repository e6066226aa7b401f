// Package planner decides which engine serves which model in which role, and writes the decisions as plans.
//
// Planner is pure: it reads no clock and no network. Runner feeds it from the catalog and writes what it decides.
package planner

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fighollow/fighollow/internal/demand"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Reason says why an assignment changed.
type Reason string

// Reasons of changes.
const (
	ReasonPlace   Reason = "place"   // the engine had no assignment
	ReasonPreset  Reason = "preset"  // the preset in force asks for something else
	ReasonMinimum Reason = "minimum" // a model has fewer engines in service than the preset's minimum
	ReasonRole    Reason = "role"    // another role of the same model is worth more
	ReasonModel   Reason = "model"   // another model is worth more
	ReasonRemove  Reason = "remove"  // the engine was withdrawn or is gone
)

// Engine is what is known of one engine.
type Engine struct {
	ID         string
	DataCentre string
	Leaving    bool             // the platform says that the instance leaves
	Drain      *fighollow.Drain // nil without an operator's request
	// State is the engine's last report of itself and ReportedAt when it came; nil and zero without a report.
	State      *fighollow.EngineState
	ReportedAt time.Time
}

// Input is everything that a decision depends on, apart from what the Planner has seen before.
type Input struct {
	Preset        fighollow.Preset
	PresetVersion uint64
	Models        map[string]fighollow.Model // by name; a missing one has default rates
	Engines       []Engine                   // of the region
	Plans         map[string]fighollow.Plan  // plans in force by data centre
	Demand        map[string]demand.Estimate // by model; a missing one is unknown
}

// Change is one changed assignment.
type Change struct {
	Engine     string
	DataCentre string
	From, To   fighollow.Assignment
	Reason     Reason
	// Gain and Cost are in engine-seconds of useful work, Cost with the preset's weight; set for ReasonRole and
	// ReasonModel.
	Gain, Cost float64
}

// Decision is the result of one planning step.
type Decision struct {
	// Plans holds the new plan of each data centre whose plan changes, without a write id.
	Plans   map[string]fighollow.Plan
	Changes []Change
	// Blocked names the models whose last engine in service is needed for a change of the preset.
	Blocked []string
}

// Planner decides plans for one region. It remembers when assignments changed, as seen in Input.Plans, so that it
// should see each plan even while another process plans. It is not safe for concurrent use.
type Planner struct {
	opts    Policy
	engines map[string]*history
	moves   map[string]move // by model
}

// NewPlanner returns a Planner that has seen nothing. Engines count as changed at their first sight, so that a new planner
// respects the dwell time of changes that it did not see.
func NewPlanner(opts Policy) *Planner {
	return &Planner{opts: opts.withDefaults(), engines: make(map[string]*history), moves: make(map[string]move)}
}

// Decide returns the changes to make at now. It only returns what it wants; a change counts once Input.Plans shows it.
func (p *Planner) Decide(now time.Time, in Input) Decision {
	f := p.view(now, in)
	f.remove()
	f.place()
	f.rollOut()
	f.fillMinimum()
	f.improve()
	return f.decision()
}

// decision numbers the changed assignments: the fence of a changed one is the new revision of its plan.
func (f *fleet) decision() Decision {
	d := Decision{Plans: make(map[string]fighollow.Plan), Changes: f.changes, Blocked: f.blocked}
	changed := make(map[string]map[string]bool)
	for _, c := range f.changes {
		if changed[c.DataCentre] == nil {
			changed[c.DataCentre] = make(map[string]bool)
		}
		changed[c.DataCentre][c.Engine] = true
	}
	for _, dc := range f.dataCentres() {
		old, exists := f.in.Plans[dc]
		if exists && len(changed[dc]) == 0 && old.Preset == f.in.Preset.Name && old.PresetVersion == f.in.PresetVersion {
			continue
		}
		d.Plans[dc] = f.plan(dc, old, changed[dc])
	}
	for i, c := range d.Changes {
		d.Changes[i].To.Fence = d.Plans[c.DataCentre].Engines[c.Engine].Fence
	}
	return d
}

func (f *fleet) plan(dc string, old fighollow.Plan, changed map[string]bool) fighollow.Plan {
	next := fighollow.Plan{
		Revision:      max(old.Revision, f.highestFence(dc)) + 1,
		Preset:        f.in.Preset.Name,
		PresetVersion: f.in.PresetVersion,
		Engines:       maps.Clone(old.Engines),
	}
	if next.Engines == nil {
		next.Engines = make(map[string]fighollow.Assignment)
	}
	for id := range changed {
		delete(next.Engines, id)
	}
	for _, n := range f.nodes {
		if n.DataCentre == dc && changed[n.ID] && n.assigned {
			a := n.work
			a.Fence = next.Revision
			next.Engines[n.ID] = a
		}
	}
	return next
}

// highestFence returns the highest fence that an engine of dc reports. It is above the plan's revision only when the
// plan object was deleted; fences must grow even then.
func (f *fleet) highestFence(dc string) uint64 {
	var highest uint64
	for _, n := range f.nodes {
		if n.DataCentre == dc && n.State != nil {
			highest = max(highest, n.State.HighestFence, n.State.Assignment.Fence)
		}
	}
	return highest
}

func (f *fleet) dataCentres() []string {
	seen := make(map[string]bool)
	for dc := range f.in.Plans {
		seen[dc] = true
	}
	for _, n := range f.nodes {
		seen[n.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

func byID(a, b *node) int { return strings.Compare(a.ID, b.ID) }
