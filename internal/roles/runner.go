package roles

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/lease"
	"github.com/fighollow/fighollow/internal/shortage"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// holderInterval is the pause between two rounds of the lease holder, each of which renews the lease and reads the
	// reports. It is a third of the shortest lease duration, so that one lost reply does not lose the lease.
	holderInterval = time.Second
	// followerInterval is the pause between two reads of the lease by an entry that does not hold it.
	followerInterval = 2 * time.Second
	// presetInterval is the pause between two reads of the preset in force. It is well below the 18 s within which a newly
	// chosen preset must apply everywhere. Only the lease holder applies it.
	presetInterval = 5 * time.Second
	// maxReportsPerRound bounds the reports that the holder reads in a round. In a larger fleet it refreshes the oldest
	// ones.
	maxReportsPerRound = 64
	// maxReportAge is the age up to which a report is used for planning.
	maxReportAge = 10 * time.Second
	// reportTimeout bounds the read of one engine's report. Engines reply within milliseconds.
	reportTimeout = 500 * time.Millisecond
	// orderTimeout bounds one order. An order may arrive until it expires, so it is well below the lease duration.
	orderTimeout = 700 * time.Millisecond
	// releaseTimeout bounds the release of the lease: the longest act, then one write.
	releaseTimeout = 2500 * time.Millisecond
	// minRoundInterval is the pause before a round that a reported shortage brings forward.
	minRoundInterval = 200 * time.Millisecond
	// unknownOutcomePause is how long no further order is sent to an engine after an order with an unknown outcome, which
	// may still be carried out.
	unknownOutcomePause = 13 * time.Second
)

// Options configures a Runner.
type Options struct {
	Self    string // name of this entry in orders
	Release bool   // release the lease when Run ends
	// Others returns when the other parts of the process that act under the lease have stopped acting, which they do when the context of
	// Run is done; nil for none. It is called only with Release.
	Others func()
	// Shortages tells for which software versions streams wait for a decode engine; nil for none.
	Shortages *shortage.Tracker
}

// Runner renews or competes for the lease on behalf of one entry and manages the engines' roles while it holds the lease.
type Runner struct {
	opts        Options
	store       fighollow.ObjectStore
	control     fighollow.EngineControl
	routing     func() *fighollow.Routing
	engines     func(service string) []fighollow.Upstream
	log         zerolog.Logger
	lease       *lease.Holder
	planners    map[string]*Planner
	pausedUntil map[string]time.Time // by engine whose last order had an unknown outcome
	ordered     map[string]lastOrder // last order sent, by engine
	reports     map[string]report    // newest report by engine

	policy       fighollow.Policy // policy of the preset in force
	preset       choice
	presetReadAt time.Time    // when the preset in force was last read
	presetsLost  atomic.Int64 // choices that the store has lost
}

// report is an engine's report with the time at which it was read.
type report struct {
	fighollow.EngineReport
	readAt time.Time
}

// lastOrder is an order to an engine.
type lastOrder struct {
	role fighollow.Role
	at   time.Time // zero if the engine refused it
}

// New returns a Runner, which alone drives the lease. routing returns the current routing, or nil before the first one is known; engines returns the
// current engines of a service in a slice that the Runner may reorder.
func New(opts Options, holder *lease.Holder, store fighollow.ObjectStore, control fighollow.EngineControl, routing func() *fighollow.Routing,
	engines func(service string) []fighollow.Upstream, log zerolog.Logger,
) *Runner {
	return &Runner{
		opts: opts, store: store, control: control, routing: routing, engines: engines, log: log,
		lease:    holder,
		planners: make(map[string]*Planner), pausedUntil: make(map[string]time.Time),
		ordered: make(map[string]lastOrder), reports: make(map[string]report),
	}
}

// Run acquires and renews the lease, and sends orders to engines while it holds the lease, until ctx is done. Then it releases the
// lease, if that is enabled.
func (r *Runner) Run(ctx context.Context) {
	r.run(ctx)
	if !r.opts.Release {
		return
	}
	if r.opts.Others != nil {
		r.opts.Others()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	r.lease.Release(ctx, &r.preset)
}

func (r *Runner) run(ctx context.Context) {
	interval := time.Duration(rand.Int64N(int64(holderInterval / 4)))
	for {
		if !r.pause(ctx, interval) {
			return
		}
		if r.routing() == nil {
			interval = holderInterval / 4
			continue
		}
		interval = followerInterval
		// A renewal that the stop of the process cancels would have an unknown outcome, so that the lease could not be released.
		if r.acquireOrRenew(context.WithoutCancel(ctx)) {
			interval = holderInterval
			r.round(ctx)
		}
	}
}

// pause waits for the interval between two rounds, or until entries report a shortage. It returns false when ctx is done.
func (r *Runner) pause(ctx context.Context, interval time.Duration) bool {
	var reported <-chan struct{}
	if r.opts.Shortages != nil {
		reported = r.opts.Shortages.Wake()
	}
	least := min(interval, minRoundInterval)
	select {
	case <-ctx.Done():
		return false
	case <-time.After(least):
	}
	select {
	case <-ctx.Done():
		return false
	case <-reported:
	case <-time.After(interval - least):
	}
	return true
}

// acquireOrRenew renews the lease, or tries to acquire it if this entry does not hold it. It reports whether this
// entry may now send orders.
func (r *Runner) acquireOrRenew(ctx context.Context) bool { return r.lease.Step(ctx, &r.preset) }

// readPreset applies the policy of the preset in force. It keeps the current policy if the object cannot be read, its version is
// not newer, or the store came back with an older choice.
func (r *Runner) readPreset(ctx context.Context) {
	o, err := fighollow.GetStale(ctx, r.store, fighollow.KindInForce, fighollow.InForceName)
	if errors.Is(err, fighollow.ErrNotFound) {
		o.Version, err = fighollow.NewVersion(fighollow.StoreEra(r.store), 0), nil
	}
	if err == nil && o.Version <= r.preset.version {
		return
	}
	var v fighollow.InForce
	if err == nil && o.Value != nil {
		err = json.Unmarshal(o.Value, &v)
	}
	if err != nil {
		event.PolicyUnread.Log(&r.log).Err(err).Send()
		return
	}
	switch verdict := r.preset.read(o.Version, v.ChosenMs); {
	case verdict == choiceLost:
		r.presetsLost.Add(1)
		event.PresetLost.Log(&r.log).Uint64("version", o.Version).Str("preset", v.Preset.Name).Int64("chosenMs", v.ChosenMs).
			Int64("knownChosenMs", r.preset.chosenMs).Send()
	case verdict == choiceTaken && o.Value != nil:
		r.policy = v.Preset.Policy
		event.PolicyApplied.Log(&r.log).Uint64("version", o.Version).Str("preset", v.Preset.Name).Str("by", v.ChosenBy).
			Float64("roleChangeWeight", r.policy.RoleChangeWeight).Send()
	}
}

// PresetsLost returns the number of operators' choices that were lost by the store and have not been seen again.
func (r *Runner) PresetsLost() int64 { return r.presetsLost.Load() }

// round reads the engines' reports, runs the planner of each service and sends its orders.
func (r *Runner) round(ctx context.Context) {
	if now := time.Now(); now.Sub(r.presetReadAt) >= presetInterval {
		r.presetReadAt = now
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
		var short []string
		if r.opts.Shortages != nil {
			short = r.opts.Shortages.Reported(now, s.Name)
		}
		p.SetShort(short)
		engines := r.readReports(ctx, now, r.engines(s.Name), short)
		orders, reason := p.Plan(now, engines)
		onPrefill, onDecode := p.utilisation()
		for _, o := range orders {
			event.RoleOrdered.Log(&r.log).Str("service", s.Name).Str("upstream", o.Engine.Upstream.ID).Str("role", string(o.Role)).
				Str("reason", reason).Float64("onPrefill", onPrefill).Float64("onDecode", onDecode).
				Uint64("orders", o.Engine.Report.AcceptedOrders).Send()
		}
		r.sendOrders(ctx, orders)
		r.answerShortages(s, short, engines)
	}
}

// answerShortages tells the entries that report a shortage when a decode engine of the version will be ready. engines are as they were before
// the last orders.
func (r *Runner) answerShortages(s fighollow.ServiceTraits, versions []string, engines []Engine) {
	if len(versions) == 0 {
		return
	}
	now := time.Now()
	for i := range engines {
		r.addOrder(now, &engines[i])
	}
	for _, version := range versions {
		f := forecast(now, version, engines, s.Engine.RoleSwitch)
		event.ShortageSeen.Log(&r.log).Str("service", s.Name).Str("software", version).Stringer("state", f.State).
			Int64("readyInMs", max(0, f.ReadyAt.Sub(now).Milliseconds())).Send()
		r.opts.Shortages.Answer(now, shortage.Key{Service: s.Name, Version: version}, f)
	}
}

// readReports returns the engines with their newest reports, after it has refreshed maxReportsPerRound of them: those of the decode engines of
// the versions in short, and then the oldest.
func (r *Runner) readReports(ctx context.Context, now time.Time, ups []fighollow.Upstream, short []string) []Engine {
	isUrgent := func(u *fighollow.Upstream) bool {
		return u.Role == fighollow.RoleDecode && slices.Contains(short, u.Version)
	}
	slices.SortFunc(ups, func(a, b fighollow.Upstream) int {
		if urgentA, urgentB := isUrgent(&a), isUrgent(&b); urgentA != urgentB {
			if urgentA {
				return -1
			}
			return 1
		}
		if c := r.reports[a.ID].readAt.Compare(r.reports[b.ID].readAt); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	fetched := make([]*fighollow.EngineReport, min(len(ups), maxReportsPerRound))
	var wg sync.WaitGroup
	for i, u := range ups[:len(fetched)] {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			rep, err := r.control.Report(ctx, u)
			if err != nil {
				event.ReportMissing.Log(&r.log).Str("upstream", u.ID).Err(err).Send()
				return
			}
			fetched[i] = &rep
		})
	}
	wg.Wait()
	for i, rep := range fetched {
		delete(r.reports, ups[i].ID)
		if rep != nil {
			r.reports[ups[i].ID] = report{*rep, now}
		}
	}
	engines := make([]Engine, len(ups))
	for i, u := range ups {
		rep, ok := r.reports[u.ID]
		engines[i] = Engine{Upstream: u, Report: rep.EngineReport, Fresh: ok && now.Sub(rep.readAt) <= maxReportAge}
		r.addOrder(now, &engines[i])
	}
	return engines
}

// addOrder adds what is known of the last order to an engine.
func (r *Runner) addOrder(now time.Time, e *Engine) {
	id := e.Upstream.ID
	order := r.ordered[id]
	if rep, ok := r.reports[id]; ok && order.at.After(rep.readAt) {
		e.Report.Changing = true // the report is older than the order
	}
	e.Ordered, e.OrderedAt, e.Paused = order.role, order.at, now.Before(r.pausedUntil[id])
}

// sendOrders sends the orders in parallel, except to engines that are paused. It stops when the lease's validity
// time is too short for another order.
func (r *Runner) sendOrders(ctx context.Context, orders []Order) {
	type result struct {
		id  string
		err error
	}
	results := make([]result, len(orders))
	var wg sync.WaitGroup
	for i, o := range orders {
		u := o.Engine.Upstream
		if time.Now().Before(r.pausedUntil[u.ID]) {
			continue
		}
		fence, ok := r.lease.Fence(orderTimeout)
		if !ok {
			return
		}
		r.ordered[u.ID] = lastOrder{o.Role, time.Now()}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			results[i] = result{u.ID, r.control.Order(ctx, u, fighollow.RoleOrder{
				Role: o.Role, Holder: r.opts.Self, Fence: fence, ExpectedOrders: o.Engine.Report.AcceptedOrders,
			})}
		})
	}
	wg.Wait()
	for _, res := range results {
		if res.id == "" {
			continue
		}
		switch {
		case errors.Is(res.err, fighollow.ErrUnknownOutcome):
			r.pausedUntil[res.id] = time.Now().Add(unknownOutcomePause)
		case res.err != nil:
			r.ordered[res.id] = lastOrder{role: r.ordered[res.id].role}
		}
		event.RoleOrderEnded.Log(&r.log).Str("upstream", res.id).Err(res.err).Send()
	}
}
