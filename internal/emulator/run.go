package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/internal/roles"
	"github.com/fighollow/fighollow/internal/workshare"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	service = "models"
	// drainTime is the drain period of the deployment; an upstream that has been leaving for longer gets no new work.
	drainTime = 2 * time.Second
	// maxAttempts bounds the attempts of a request, as routes do in production.
	maxAttempts = 2
	// cacheReportInterval is the interval at which entries receive cache changes, planInterval the one at which the planner runs.
	cacheReportInterval = time.Second
	planInterval        = time.Second
	// reportLag is the age of the engine reports that the planner receives.
	reportLag = 300 * time.Millisecond
	// networkDelay is the one-way latency from an entry to an engine.
	networkDelay = 500 * time.Microsecond
)

// run is the state of one simulation.
type run struct {
	Clock
	cfg          Config
	rng          *rand.Rand
	engines      []*engine
	entries      []*placement.Fleet
	result       Result
	planner      *roles.Planner
	lastRequest  uint64              // number of the newest request
	sharers      []*workshare.Sharer // of the entries, if they share work
	falseReports uint32              // so many were sent
	messages     *rand.Rand          // draws the messages that are lost
}

// epoch is the virtual time at which every run begins. Any constant works.
var epoch = time.Unix(1_000_000, 0)

// Run simulates cfg and returns its result.
func Run(cfg Config) Result {
	r := &run{
		Clock: Clock{Now: epoch}, cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0)),
		result: Result{Policy: cfg.Policy.Name, Seed: cfg.Seed, Classes: make(map[string]*ClassResult)},
	}
	r.build()
	for _, c := range cfg.Classes {
		r.result.Classes[c.Name] = &ClassResult{}
		r.After(r.interarrival(c), func() { r.arrive(c) })
	}
	for _, f := range cfg.Faults {
		r.After(f.Start, func() { r.inject(f) })
	}
	if cfg.Policy.ShareWork {
		r.shareWork()
	}
	if cfg.Policy.WatchCaches {
		r.After(cacheReportInterval, r.reportCaches)
	}
	if cfg.Policy.ChangeRoles {
		r.planner = roles.NewPlanner(cfg.Engine.Traits)
		r.planner.SetPolicy(fighollow.Policy{RoleChangeWeight: cfg.Policy.RoleChangeWeight})
		r.After(planInterval, r.plan)
	}
	maxTimeout := time.Duration(0)
	for _, c := range cfg.Classes {
		maxTimeout = max(maxTimeout, c.Timeout)
	}
	r.RunUntil(epoch.Add(cfg.Duration + maxTimeout + time.Second))
	r.summarise()
	return r.result
}

func (r *run) build() {
	byAddress := make(map[string]*engine)
	for i := range r.cfg.Engines {
		e := &engine{
			Clock: &r.Clock, model: r.cfg.Engine, slowdown: 1,
			prefillRate: r.cfg.Engine.PrefillRate * (1 + r.cfg.Engine.RateSpread*(2*r.rng.Float64()-1)),
		}
		e.peer = func(address string) *engine { return byAddress[address] }
		e.upstream = fighollow.Upstream{
			ID: "e" + strconv.Itoa(i), Service: service, Address: fmt.Sprintf("e%d:1", i), DataCentre: r.cfg.DataCentres[i%len(r.cfg.DataCentres)],
			Role: fighollow.RoleDecode, Slots: r.cfg.Engine.Traits.Slots, StartedMs: 1,
		}
		if i < r.cfg.PrefillEngines {
			e.upstream.Role = fighollow.RolePrefill
		}
		r.engines = append(r.engines, e)
		if f := r.cfg.Engine.RateFactors; len(f) > 0 {
			e.prefillRate = r.cfg.Engine.PrefillRate * f[i/len(r.cfg.DataCentres)%len(f)]
		}
		byAddress[e.upstream.Address] = e
	}
	for i := range r.cfg.Entries {
		f := placement.New(placement.Options{DataCentre: r.cfg.DataCentres[i%len(r.cfg.DataCentres)], DrainTime: drainTime, ShareWork: r.cfg.Policy.ShareWork})
		f.Configure(&fighollow.Routing{Services: map[string]fighollow.ServiceTraits{service: {Name: service, Engine: &r.cfg.Engine.Traits}}})
		r.entries = append(r.entries, f)
	}
	for _, e := range r.engines {
		r.register(e)
	}
}

// register updates the registration of an engine at all entries.
func (r *run) register(e *engine) {
	e.upstream.AcceptedOrders++
	for _, f := range r.entries {
		f.Put(r.Now, e.upstream, e.upstream.AcceptedOrders)
	}
}

// interarrival draws the time until the next request of a class. Arrivals are a Poisson process.
func (r *run) interarrival(class RequestClass) time.Duration {
	rate := class.PerSecond
	for _, p := range r.cfg.Phases {
		if factor, ok := p.Factors[class.Name]; ok && !r.Now.Before(epoch.Add(p.Start)) {
			rate = class.PerSecond * factor
		}
	}
	if rate <= 0 {
		return time.Second
	}
	return time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
}

// arrive starts a request and schedules the next arrival of its class.
func (r *run) arrive(class RequestClass) {
	if r.Now.Sub(epoch) >= r.cfg.Duration {
		return
	}
	r.After(r.interarrival(class), func() { r.arrive(class) })
	r.lastRequest++
	prefix := r.rng.IntN(class.Prefixes)
	q := &request{
		run: r, class: class, pool: r.entries[r.rng.IntN(len(r.entries))].Pool(service), seed: r.rng.Uint64(),
		prompt: []fighollow.PromptPart{
			{ID: uint64(class.Priority)<<40 + uint64(prefix) + 1, Tokens: prefixTokens(class.PrefixTokens, prefix)},
			{ID: 1<<50 + r.lastRequest, Tokens: max(1, int(float64(class.SuffixTokens)*r.rng.ExpFloat64()))},
		},
		slo: placement.SLO{Arrived: r.Now, Target: class.Target, Deadline: r.Now.Add(class.Timeout), Priority: class.Priority},
	}
	q.result = &ClassResult{}
	if r.Now.Sub(epoch) >= r.cfg.MeasureFrom {
		q.result = r.result.Classes[class.Name]
	}
	q.result.Requests++
	r.After(class.Timeout, q.abandon)
	q.prefill()
}

// prefixTokens returns the size of a shared prefix, which is between 0.5 and 1.5 times the mean and the same in every run.
func prefixTokens(mean, prefix int) int {
	_, frac := math.Modf(float64(prefix) * math.Phi)
	return int(float64(mean) * (0.5 + frac))
}

func (r *run) inject(f Fault) {
	e := r.engines[f.Engine]
	if f.Crash {
		e.crash()
		r.After(f.Duration, func() {
			e.down = false
			e.upstream.StartedMs++
			r.register(e)
		})
		return
	}
	e.slowdown = f.Slowdown
	r.After(f.Duration, func() { e.slowdown = 1 })
}

// reportCaches passes the cache changes of all engines to all entries.
func (r *run) reportCaches() {
	r.After(cacheReportInterval, r.reportCaches)
	for _, f := range r.entries {
		for _, e := range r.engines {
			position := f.CachePosition(service, e.upstream.ID)
			changes := fighollow.CacheChanges{Epoch: strconv.FormatUint(e.cache.epoch, 10), Next: uint64(len(e.cache.changes))}
			if position < changes.Next {
				changes.Parts = e.cache.changes[position:]
			}
			f.ApplyCacheChanges(r.Now, service, e.upstream.ID, changes)
		}
	}
}

// plan lets the planner assign roles from the engines' reports, and carries out its orders.
func (r *run) plan() {
	r.After(planInterval, r.plan)
	engines := make([]roles.Engine, len(r.engines))
	for i, e := range r.engines {
		engines[i] = roles.Engine{Upstream: e.upstream, Report: e.report(), Fresh: !e.down}
	}
	r.After(reportLag, func() {
		orders, _ := r.planner.Plan(r.Now, engines)
		for _, o := range orders {
			r.result.RoleChanges++
			r.changeRole(r.byID(o.Engine.Upstream.ID), o.Role)
		}
	})
}

func (r *run) byID(id string) *engine {
	for _, e := range r.engines {
		if e.upstream.ID == id {
			return e
		}
	}
	panic("emulator: no engine " + id) // the planner orders only the engines that it was given
}

// changeRole drains an engine and switches its role, which takes Traits.RoleSwitch. The engine refuses requests meanwhile.
func (r *run) changeRole(e *engine, role fighollow.Role) {
	e.changingRole = true
	var finishChange func()
	finishChange = func() {
		if len(e.queue)+len(e.running)+len(e.waiting) > 0 {
			r.After(10*time.Millisecond, finishChange)
			return
		}
		r.After(r.cfg.Engine.Traits.RoleSwitch, func() {
			e.changingRole, e.upstream.Role = false, role
			r.register(e)
		})
	}
	finishChange()
}

func (r *run) summarise() {
	for _, e := range r.engines {
		r.result.ComputedTokens += e.computedTokens
		r.result.FetchedTokens += e.fetchedTokens
	}
}
