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

// Options configures a Runner. Holder and Region are required; a zero value of another field selects its default.
type Options struct {
	Holder string // process id
	Region string
	// Interval is the time between two planning steps; default 1 s.
	Interval time.Duration
	// RenewInterval is the time between two renewals of the lease; default 5 s. LeaseDuration is how long a lease must
	// stay unchanged before another process acquires it; default 13 s. Each renewal is sent to every process of the
	// region's data centres, so a shorter interval costs control traffic.
	RenewInterval, LeaseDuration time.Duration
	// NewID generates write ids; default random UUIDs.
	NewID  func() string
	Policy Policy
	Demand demand.Options
}

// reportTTL is how long an engine's reported state is valid; sidecars send a report every demand.ReportIntervalMs.
const reportTTL = 4 * demand.ReportIntervalMs * time.Millisecond

// Runner plans for a region while this process holds the region's planner lease. HandleReport and HoldsLease are safe
// for concurrent use.
type Runner struct {
	opts    Options
	cat     *catalog.Catalog
	log     zerolog.Logger
	planner *Planner
	lease   *lease
	writer  *writer
	// unresolved holds the decisions whose plan write has an unknown outcome, by data centre.
	unresolved    map[string]Decision
	loggedBlocked string // models last logged as blocked

	mu         sync.Mutex
	demand     *demand.Estimator
	reports    map[string]stateReport // by engine
	holdsLease bool
}

type stateReport struct {
	state fighollow.EngineState
	at    time.Time
}

// New returns a Runner; Run starts it.
func New(opts Options, store fighollow.ObjectStore, cat *catalog.Catalog, log zerolog.Logger) *Runner {
	setDefaultDuration(&opts.Interval, time.Second)
	setDefaultDuration(&opts.RenewInterval, 5*time.Second)
	setDefaultDuration(&opts.LeaseDuration, 13*time.Second)
	if opts.NewID == nil {
		opts.NewID = uuid.NewString
	}
	return &Runner{
		opts:    opts,
		cat:     cat,
		log:     log,
		planner: NewPlanner(opts.Policy),
		lease:   &lease{holder: opts.Holder, region: opts.Region, renewInterval: opts.RenewInterval, duration: opts.LeaseDuration},
		writer:  newWriter(store, cat, opts.NewID),
		demand:  demand.NewEstimator(opts.Demand),
		reports: make(map[string]stateReport),

		unresolved: make(map[string]Decision),
	}
}

// Run calls Step every Options.Interval until ctx ends, and returns the error of ctx.
func (r *Runner) Run(ctx context.Context) error {
	tick := time.NewTicker(r.opts.Interval)
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

// HoldsLease reports whether this process held the lease at its last step.
func (r *Runner) HoldsLease() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holdsLease
}

// HandleReport records a sidecar's report, received at now. Reports are recorded without the lease too, so that this
// process can plan as soon as it acquires the lease.
func (r *Runner) HandleReport(now time.Time, rep demand.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demand.HandleReport(now, rep)
	r.reports[rep.Engine] = stateReport{state: rep.State, at: now}
}

// Step renews or acquires the lease and makes one planning step. Without the lease the planner still processes the
// current plans, to track when assignments change, but nothing is written.
func (r *Runner) Step(ctx context.Context, now time.Time) {
	held := r.lease.step(ctx, now, r.writer)
	r.mu.Lock()
	if held != r.holdsLease {
		event.LeaseChanged.Log(&r.log).Str("region", r.opts.Region).Bool("held", held).Send()
	}
	r.holdsLease = held
	r.mu.Unlock()
	if !r.resolvePlans(ctx) {
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
	if blocked := strings.Join(d.Blocked, " "); blocked != r.loggedBlocked {
		r.loggedBlocked = blocked
		event.PresetBlocked.Log(&r.log).Str("models", blocked).Send()
	}
	for _, dc := range slices.Sorted(maps.Keys(d.Plans)) {
		r.write(ctx, dc, versions[dc], d)
	}
}

// resolvePlans resolves plan writes whose response was lost and reports whether none is left. Until then nothing is
// planned, because the number of changes in progress is unknown and the limits cannot be applied.
func (r *Runner) resolvePlans(ctx context.Context) bool {
	for _, dc := range slices.Sorted(maps.Keys(r.unresolved)) {
		err := r.writer.resolve(ctx, fighollow.KindPlan, dc)
		if errors.Is(err, errPending) {
			return false
		}
		r.logOutcome(dc, r.unresolved[dc], err)
		delete(r.unresolved, dc)
	}
	return true
}

// input collects the input of a decision and the object versions of the plans that it would replace.
func (r *Runner) input(now time.Time) (Input, map[string]uint64, error) {
	inForce, version, err := r.cat.InForce()
	if err != nil {
		return Input{}, nil, err
	}
	in := Input{
		Preset:        inForce.Preset,
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
	maps.DeleteFunc(r.reports, func(_ string, rep stateReport) bool { return now.Sub(rep.at) >= reportTTL })
	var out []Engine
	for _, o := range r.cat.List(fighollow.KindInstance) {
		var inst fighollow.Instance
		if json.Unmarshal(o.Value, &inst) != nil || inst.Kind != fighollow.InstanceEngine || inst.Region != r.opts.Region {
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
		r.unresolved[dc] = d
		return
	}
	r.logOutcome(dc, d, err)
}

// logOutcome logs the outcome of a plan write.
func (r *Runner) logOutcome(dc string, d Decision, err error) {
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
