// Package planner assigns models and roles to engines and stores the assignments as plans.
//
// Planner does no I/O and reads no clock. Runner collects its input from the catalog and writes the plans that it
// returns.
package planner

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fighollow/fighollow/internal/demand"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Reason is the cause of a changed assignment.
type Reason string

// Values of Reason.
const (
	ReasonPlace   Reason = "place"   // the engine had no assignment
	ReasonPreset  Reason = "preset"  // the preset in force requires a different assignment
	ReasonMinimum Reason = "minimum" // a model has fewer engines in service than the preset's minimum
	ReasonRole    Reason = "role"    // another role of the same model has a higher goodput
	ReasonModel   Reason = "model"   // another model has a higher goodput
	ReasonRemove  Reason = "remove"  // the engine was withdrawn or its instance is no longer listed
)

// Engine is the observed state of one engine.
type Engine struct {
	ID         string
	DataCentre string
	Leaving    bool             // the platform is stopping the instance
	Drain      *fighollow.Drain // nil without an operator's request
	// State is the engine's last reported state and ReportedAt the time at which the report arrived; nil and zero
	// without a report.
	State      *fighollow.EngineState
	ReportedAt time.Time
}

// Input is everything that a decision depends on, apart from the history that Planner keeps.
type Input struct {
	Preset        fighollow.Preset
	PresetVersion uint64
	Models        map[string]fighollow.Model // by name; a missing model has default rates
	Engines       []Engine                   // all engines of the region
	Plans         map[string]fighollow.Plan  // plans in force by data centre
	Demand        map[string]demand.Estimate // by model; the demand for a missing model is unknown
}

// Change is one changed assignment.
type Change struct {
	Engine     string
	DataCentre string
	From, To   fighollow.Assignment
	Reason     Reason
	// Gain and Cost are in engine-seconds of useful work, Cost multiplied by the preset's RoleChangeWeight; set for
	// ReasonRole and ReasonModel.
	Gain, Cost float64
}

// Decision is the result of one planning step.
type Decision struct {
	// Plans holds the new plan of each data centre whose plan changes. WriteID is not set.
	Plans   map[string]fighollow.Plan
	Changes []Change
	// Blocked names the models that cannot follow the preset because the change would take their last serving engine.
	Blocked []string
}

// Planner computes plans for one region. It records when assignments change in Input.Plans, so Decide must be called
// for each plan even while another process holds the lease. It is not safe for concurrent use.
type Planner struct {
	opts        Policy
	engines     map[string]*engineHistory
	roleChanges map[string]roleChange // by model
}

// NewPlanner returns a Planner without history. It counts each engine as changed at the first Decide that lists it, so
// that a new planner respects the dwell time of changes that it did not observe.
func NewPlanner(opts Policy) *Planner {
	return &Planner{opts: opts.withDefaults(), engines: make(map[string]*engineHistory), roleChanges: make(map[string]roleChange)}
}

// Decide returns the changes to make at now. It records none of them: a change takes effect once Input.Plans contains it.
func (p *Planner) Decide(now time.Time, in Input) Decision {
	f := p.newFleet(now, in)
	f.remove()
	f.place()
	f.rollOut()
	f.fillMinimum()
	f.improve()
	return f.decision()
}

// decision builds the new plans and sets the fence of each changed assignment to the new revision of its plan.
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
			a := n.assignment
			a.Fence = next.Revision
			next.Engines[n.ID] = a
		}
	}
	return next
}

// highestFence returns the highest fence that an engine of dc reports. It exceeds the plan's revision only after the
// plan object was deleted; fences must increase in that case too.
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
