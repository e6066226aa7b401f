package planner

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/demand"
	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Options adjust a Runner; the zero value of a field means its default, except for Holder and Region.
type Options struct {
	Holder string // process id
	Region string
	// Every is the time between two planning steps; default 1 s.
	Every time.Duration
	// RenewEvery is the time between two renewals of the lease; default 5 s. LeaseAfter is how long a lease must stand
	// unchanged before another process takes it; default 13 s. A renewal spreads to every process of the region's data
	// centres, so a shorter time costs control traffic.
	RenewEvery, LeaseAfter time.Duration
	// NewID makes write ids; default random UUIDs.
	NewID  func() string
	Policy Policy
	Demand demand.Options
}

// reportLife is how long an engine's report of itself counts; sidecars send one every demand.ReportEveryMs.
const reportLife = 4 * demand.ReportEveryMs * time.Millisecond

// Runner plans for a region while it holds the region's lease. HandleReport and Holding are safe for concurrent use.
type Runner struct {
	opts    Options
	cat     *catalog.Catalog
	log     zerolog.Logger
	planner *Planner
	lease   *lease
	writer  *writer
	// unsettled holds the decisions behind plan writes with an unknown outcome, by data centre.
	unsettled map[string]Decision
	blocked   string // models last logged as blocked

	mu      sync.Mutex
	demand  *demand.Estimator
	reports map[string]received // by engine
	holding bool
}

type received struct {
	state fighollow.EngineState
	at    time.Time
}

// New returns a Runner; Run starts it.
func New(opts Options, store fighollow.ObjectStore, cat *catalog.Catalog, log zerolog.Logger) *Runner {
	setDefault(&opts.Every, time.Second)
	setDefault(&opts.RenewEvery, 5*time.Second)
	setDefault(&opts.LeaseAfter, 13*time.Second)
	if opts.NewID == nil {
		opts.NewID = uuid.NewString
	}
	return &Runner{
		opts:    opts,
		cat:     cat,
		log:     log,
		planner: NewPlanner(opts.Policy),
		lease:   &lease{holder: opts.Holder, region: opts.Region, renewEvery: opts.RenewEvery, after: opts.LeaseAfter},
		writer:  newWriter(store, cat, opts.NewID),
		demand:  demand.NewEstimator(opts.Demand),
		reports: make(map[string]received),

		unsettled: make(map[string]Decision),
	}
}

// Run plans every Options.Every until ctx ends, and returns its error.
func (r *Runner) Run(ctx context.Context) error {
	tick := time.NewTicker(r.opts.Every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			r.Step(ctx, now)
		}
	}
}

// Holding reports whether this process held the lease at its last step.
func (r *Runner) Holding() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holding
}

// HandleReport takes a sidecar's report. A process that does not hold the lease takes reports too, so that it can plan
// as soon as it gets it.
func (r *Runner) HandleReport(now time.Time, rep demand.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demand.HandleReport(now, rep)
	r.reports[rep.Engine] = received{state: rep.State, at: now}
}

// Step makes one planning step. The planner sees the plans also without the lease, to know when engines changed.
func (r *Runner) Step(ctx context.Context, now time.Time) {
	held := r.lease.step(ctx, now, r.writer)
	r.mu.Lock()
	if held != r.holding {
		event.LeaseChanged.Log(&r.log).Str("region", r.opts.Region).Bool("held", held).Send()
	}
	r.holding = held
	r.mu.Unlock()
	if !r.settlePlans(ctx) {
		return
	}
	in, versions, err := r.input(now)
	if err != nil {
		return
	}
	d := r.planner.Decide(now, in)
	if !held {
		return
	}
	if blocked := strings.Join(d.Blocked, " "); blocked != r.blocked {
		r.blocked = blocked
		event.PresetBlocked.Log(&r.log).Str("models", blocked).Send()
	}
	for _, dc := range slices.Sorted(maps.Keys(d.Plans)) {
		r.write(ctx, dc, versions[dc], d)
	}
}

// settlePlans finishes plan writes whose answer was lost and reports whether none is left. Until then nothing is
// planned, as the limits of changes could not be judged.
func (r *Runner) settlePlans(ctx context.Context) bool {
	for _, dc := range slices.Sorted(maps.Keys(r.unsettled)) {
		err := r.writer.settle(ctx, fighollow.KindPlan, dc)
		if errors.Is(err, errPending) {
			return false
		}
		r.report(dc, r.unsettled[dc], err)
		delete(r.unsettled, dc)
	}
	return true
}

// input collects what a decision depends on, and the versions of the plans that it replaces.
func (r *Runner) input(now time.Time) (Input, map[string]uint64, error) {
	force, version, err := r.cat.InForce()
	if err != nil {
		return Input{}, nil, err
	}
	in := Input{
		Preset:        force.Preset,
		PresetVersion: version,
		Models:        make(map[string]fighollow.Model),
		Plans:         make(map[string]fighollow.Plan),
	}
	for _, o := range r.cat.List(fighollow.KindModel) {
		var m fighollow.Model
		if json.Unmarshal(o.Value, &m) == nil {
			in.Models[o.Name] = m
		}
	}
	in.Demand = r.estimates(now, in.Models)
	versions := make(map[string]uint64)
	in.Engines = r.engines(now)
	for _, e := range in.Engines {
		r.addPlan(in, versions, e.DataCentre)
	}
	return in, versions, nil
}

func (r *Runner) estimates(now time.Time, models map[string]fighollow.Model) map[string]demand.Estimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.demand.Estimates(now, func(model string) time.Duration { return r.planner.ChangeTime(models[model]) })
}

func (r *Runner) addPlan(in Input, versions map[string]uint64, dc string) {
	if _, done := versions[dc]; done {
		return
	}
	var plan fighollow.Plan
	version, err := r.cat.Decode(fighollow.KindPlan, dc, &plan)
	versions[dc] = version
	if err == nil {
		in.Plans[dc] = plan
	}
}

func (r *Runner) engines(now time.Time) []Engine {
	drains := make(map[string]*fighollow.Drain)
	for _, o := range r.cat.List(fighollow.KindDrain) {
		var d fighollow.Drain
		if json.Unmarshal(o.Value, &d) == nil {
			drains[o.Name] = &d
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.reports, func(_ string, rep received) bool { return now.Sub(rep.at) >= reportLife })
	var out []Engine
	for _, o := range r.cat.List(fighollow.KindInstance) {
		var inst fighollow.Instance
		if json.Unmarshal(o.Value, &inst) != nil || inst.Kind != fighollow.UpstreamEngine || inst.Region != r.opts.Region {
			continue
		}
		e := Engine{ID: o.Name, DataCentre: inst.DataCentre, Leaving: inst.Leaving, Drain: drains[o.Name]}
		if rep, ok := r.reports[o.Name]; ok {
			state := rep.state
			e.State, e.ReportedAt = &state, rep.at
		}
		out = append(out, e)
	}
	return out
}

func (r *Runner) write(ctx context.Context, dc string, version uint64, d Decision) {
	plan := d.Plans[dc]
	plan.WriteID = r.opts.NewID()
	err := r.writer.put(ctx, fighollow.KindPlan, dc, version, plan.WriteID, plan)
	if errors.Is(err, errPending) {
		r.unsettled[dc] = d
		return
	}
	r.report(dc, d, err)
}

// report logs the outcome of a plan write.
func (r *Runner) report(dc string, d Decision, err error) {
	plan := d.Plans[dc]
	if err != nil {
		event.PlanNotWritten.Log(&r.log).Str("dataCentre", dc).Uint64("revision", plan.Revision).Err(err).Send()
		return
	}
	event.PlanWritten.Log(&r.log).Str("dataCentre", dc).Uint64("revision", plan.Revision).Str("preset", plan.Preset).Send()
	for _, c := range d.Changes {
		if c.DataCentre != dc {
			continue
		}
		event.EnginePlaced.Log(&r.log).Str("engine", c.Engine).Str("reason", string(c.Reason)).
			Str("fromRole", string(c.From.Role)).Str("fromModel", c.From.Model).
			Str("role", string(c.To.Role)).Str("model", c.To.Model).Str("modelVersion", c.To.ModelVersion).
			Uint64("fence", c.To.Fence).Float64("gain", c.Gain).Float64("cost", c.Cost).Send()
	}
}
