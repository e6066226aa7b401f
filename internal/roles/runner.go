package roles

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// holderStep is the pause between two rounds of the lease's holder: it renews the lease and reads the reports. It is
	// a third of the shortest lease, so that one lost answer does not cost the lease.
	holderStep = time.Second
	// followerStep is the pause between two looks at the lease by other entries.
	followerStep = 2 * time.Second
	// presetEvery is the pause between two looks at the preset in force, well below the 18 s within which a choice is to hold
	// everywhere: only the lease's holder uses it.
	presetEvery = 5 * time.Second
	// maxReports bounds the reports that the holder reads in a round; in a larger fleet it reads those that are oldest.
	maxReports = 64
	// maxReportAge is how old a report may be for a plan.
	maxReportAge = 10 * time.Second
	// reportTimeout bounds reading one engine's report; engines answer in milliseconds.
	reportTimeout = 500 * time.Millisecond
	// orderTimeout bounds one order. It is well below the lease, as an order may arrive until then.
	orderTimeout = 700 * time.Millisecond
	// orderPause is how long an engine whose order got no answer is left alone: the order may still be carried out.
	orderPause = 13 * time.Second
)

// Options adjust a Runner.
type Options struct {
	Self  string        // name of this machine in leases and orders
	Lease time.Duration // shortest pause between the orders of two holders
}

// Runner is an entry's part in keeping the engines' roles.
type Runner struct {
	opts     Options
	store    fighollow.ObjectStore
	control  fighollow.EngineControl
	routing  func() *fighollow.Routing
	engines  func(service string) []fighollow.Upstream
	log      zerolog.Logger
	lease    lease
	planners map[string]*Planner
	paused   map[string]time.Time      // engines whose orders are unsettled
	wanted   map[string]fighollow.Role // by the last order that was sent to an engine
	reports  map[string]report         // newest of each engine

	policy  fighollow.Policy // of the preset in force
	preset  uint64           // version of the choice; 0 for none
	checked time.Time        // when the choice was last read
}

// report is an engine's report and when it was read.
type report struct {
	fighollow.EngineReport
	at time.Time
}

// New returns a Runner. routing and engines return what is known at present.
func New(opts Options, store fighollow.ObjectStore, control fighollow.EngineControl, routing func() *fighollow.Routing,
	engines func(service string) []fighollow.Upstream, log zerolog.Logger,
) *Runner {
	return &Runner{
		opts: opts, store: store, control: control, routing: routing, engines: engines, log: log,
		lease:    lease{self: opts.Self, duration: opts.Lease},
		planners: make(map[string]*Planner), paused: make(map[string]time.Time),
		wanted: make(map[string]fighollow.Role), reports: make(map[string]report),
	}
}

// bootTime is a clock that goes on while the machine is suspended, unlike the clock of time.Since.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // the clock exists on every supported kernel
	}
	return time.Duration(ts.Nano())
}

// Run holds the lease when it can, and orders engines while it does, until ctx is done.
func (r *Runner) Run(ctx context.Context) {
	step := time.Duration(rand.Int64N(int64(holderStep / 4)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(step):
		}
		if r.routing() == nil {
			step = holderStep / 4
			continue
		}
		step = followerStep
		if r.hold(ctx) {
			step = holderStep
			r.round(ctx)
		}
	}
}

// leaseValue is the lease as it is stored.
type leaseValue struct {
	Holder string `json:"holder"`
	Round  uint64 `json:"round"` // makes each write a change
}

// hold reports whether this entry holds the lease, after it has renewed it or tried to take it.
func (r *Runner) hold(ctx context.Context) bool {
	if r.lease.term == 0 {
		if !r.look(ctx) || !r.lease.mayClaim(bootTime()) {
			return false
		}
	}
	sent := bootTime()
	value, err := json.Marshal(leaseValue{Holder: r.opts.Self, Round: uint64(sent)})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	o := fighollow.Object{Kind: fighollow.KindRoleLease, Name: fighollow.RoleLeaseName, Value: value}
	had := r.lease.term != 0
	version, err := r.store.Put(ctx, o, r.lease.version)
	switch {
	case err == nil:
		r.lease.written(sent, version)
		if !had {
			event.RoleLeaseTaken.Log(&r.log).Uint64("term", r.lease.term).Send()
		}
	case errors.Is(err, fighollow.ErrConflict), errors.Is(err, fighollow.ErrNotFound):
		r.lease.lost()
		if had {
			event.RoleLeaseLost.Log(&r.log).Err(err).Send()
		}
		return false
	case errors.Is(err, fighollow.ErrUnknownOutcome):
		// The version to expect next is not known; the next look tells it.
		r.lease.lost()
		event.RoleLeaseLost.Log(&r.log).Err(err).Send()
		return false
	default:
		// Nothing was written; the lease holds until it lapses.
		event.RoleLeaseUnread.Log(&r.log).Err(err).Send()
	}
	_, ok := r.lease.fence(bootTime())
	return ok
}

// look reads the lease; it reports false when the store does not answer.
func (r *Runner) look(ctx context.Context) bool {
	// An old answer only delays a claim, which is conditional on the version that it has.
	o, err := fighollow.GetStale(ctx, r.store, fighollow.KindRoleLease, fighollow.RoleLeaseName)
	now := bootTime()
	if errors.Is(err, fighollow.ErrNotFound) {
		r.lease.observed(now, 0, "")
		return true
	}
	if err != nil {
		event.RoleLeaseUnread.Log(&r.log).Err(err).Send()
		return false
	}
	var v leaseValue
	if err := json.Unmarshal(o.Value, &v); err != nil {
		event.RoleLeaseUnread.Log(&r.log).Err(err).Send()
		v.Holder = "" // it is taken over when it has not changed for long enough
	}
	r.lease.observed(now, o.Version, v.Holder)
	return true
}

// readPreset takes the policy of the preset in force. A choice that cannot be read leaves the former one; choices never go
// back.
func (r *Runner) readPreset(ctx context.Context) {
	o, err := fighollow.GetStale(ctx, r.store, fighollow.KindInForce, fighollow.InForceName)
	if errors.Is(err, fighollow.ErrNotFound) || err == nil && o.Version <= r.preset {
		return
	}
	var v fighollow.InForce
	if err == nil {
		err = json.Unmarshal(o.Value, &v)
	}
	if err != nil {
		event.PolicyUnread.Log(&r.log).Err(err).Send()
		return
	}
	r.preset, r.policy = o.Version, v.Preset.Policy
	event.PolicyApplied.Log(&r.log).Uint64("version", o.Version).Str("preset", v.Preset.Name).Str("by", v.ChosenBy).
		Float64("roleChangeWeight", r.policy.RoleChangeWeight).Send()
}

// round reads the reports of all engines and sends the orders that follow.
func (r *Runner) round(ctx context.Context) {
	if now := time.Now(); now.Sub(r.checked) >= presetEvery {
		r.checked = now
		r.readPreset(ctx)
	}
	routing := r.routing()
	for _, s := range routing.Services {
		if s.Engine == nil {
			continue
		}
		p := r.planners[s.Name]
		if p == nil {
			p = NewPlanner(*s.Engine)
			r.planners[s.Name] = p
		}
		p.SetPolicy(r.policy)
		now := time.Now()
		engines := r.read(ctx, now, r.engines(s.Name))
		orders, reason := p.Plan(now, engines)
		onPrefill, onDecode := p.pressures()
		for _, o := range orders {
			event.RoleOrdered.Log(&r.log).Str("service", s.Name).Str("upstream", o.Engine.Upstream.ID).Str("role", string(o.Role)).
				Str("reason", reason).Float64("onPrefill", onPrefill).Float64("onDecode", onDecode).
				Uint64("orders", o.Engine.Report.Orders).Send()
		}
		r.send(ctx, orders)
	}
}

// read returns the engines with their reports, of which it renews those that are oldest.
func (r *Runner) read(ctx context.Context, now time.Time, ups []fighollow.Upstream) []Engine {
	slices.SortFunc(ups, func(a, b fighollow.Upstream) int {
		if c := r.reports[a.ID].at.Compare(r.reports[b.ID].at); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	read := make([]*fighollow.EngineReport, min(len(ups), maxReports))
	var wg sync.WaitGroup
	for i, u := range ups[:len(read)] {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			rep, err := r.control.Report(ctx, u)
			if err != nil {
				event.ReportMissing.Log(&r.log).Str("upstream", u.ID).Err(err).Send()
				return
			}
			read[i] = &rep
		})
	}
	wg.Wait()
	for i, rep := range read {
		delete(r.reports, ups[i].ID)
		if rep != nil {
			r.reports[ups[i].ID] = report{*rep, now}
		}
	}
	engines := make([]Engine, len(ups))
	for i, u := range ups {
		rep, ok := r.reports[u.ID]
		engines[i] = Engine{Upstream: u, Report: rep.EngineReport, Known: ok && now.Sub(rep.at) <= maxReportAge, Wanted: r.wanted[u.ID]}
	}
	return engines
}

// send sends orders while the lease holds.
func (r *Runner) send(ctx context.Context, orders []Order) {
	type result struct {
		id  string
		err error
	}
	results := make([]result, len(orders))
	var wg sync.WaitGroup
	for i, o := range orders {
		u := o.Engine.Upstream
		if time.Now().Before(r.paused[u.ID]) {
			continue
		}
		fence, ok := r.lease.fence(bootTime() + orderTimeout)
		if !ok {
			return
		}
		r.wanted[u.ID] = o.Role
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			results[i] = result{u.ID, r.control.Order(ctx, u, fighollow.RoleOrder{
				Role: o.Role, Holder: r.opts.Self, Fence: fence, Orders: o.Engine.Report.Orders,
			})}
		})
	}
	wg.Wait()
	for _, res := range results {
		if res.id == "" {
			continue
		}
		if errors.Is(res.err, fighollow.ErrUnknownOutcome) {
			r.paused[res.id] = time.Now().Add(orderPause)
		}
		event.RoleOrderEnded.Log(&r.log).Str("upstream", res.id).Err(res.err).Send()
	}
}
