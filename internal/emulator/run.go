package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/internal/roles"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	service = "models"
	// drain, in the deployment's bounds, after which a leaving upstream gets nothing.
	drain = 2 * time.Second
	// maxTries bounds the attempts of a request, as routes do.
	maxTries = 2
	// lookEvery is how often entries look at the engines' caches, and planEvery how often the roles' holder plans.
	lookEvery = time.Second
	planEvery = time.Second
	// reportLag is how old a report is when the planner gets it.
	reportLag = 300 * time.Millisecond
	// networkDelay is the way between an entry and an engine.
	networkDelay = 500 * time.Microsecond
)

// run is one play of a load.
type run struct {
	Clock
	cfg     Config
	rng     *rand.Rand
	engines []*engine
	entries []*placement.Fleet
	result  Result
	planner *roles.Planner
	next    uint64 // id of the next request
}

// start is the time at which runs begin; it only has to be fixed.
var start = time.Unix(1_000_000, 0)

// Run plays cfg and returns what callers got.
func Run(cfg Config) Result {
	r := &run{
		Clock: Clock{Now: start}, cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0)),
		result: Result{Policy: cfg.Policy.Name, Seed: cfg.Seed, Kinds: make(map[string]*KindResult)},
	}
	r.build()
	for _, k := range cfg.Kinds {
		r.result.Kinds[k.Name] = &KindResult{}
		r.After(r.gap(k), func() { r.arrive(k) })
	}
	for _, f := range cfg.Faults {
		r.After(f.From, func() { r.strike(f) })
	}
	if cfg.Policy.WatchCaches {
		r.After(lookEvery, r.look)
	}
	if cfg.Policy.MoveRoles {
		r.planner = roles.NewPlanner(cfg.Engine.Traits)
		r.planner.SetPolicy(fighollow.Policy{RoleChangeWeight: cfg.Policy.RoleChangeWeight})
		r.After(planEvery, r.plan)
	}
	longest := time.Duration(0)
	for _, k := range cfg.Kinds {
		longest = max(longest, k.Patience)
	}
	r.Run(start.Add(cfg.Duration + longest + time.Second))
	r.summarise()
	return r.result
}

func (r *run) build() {
	byAddress := make(map[string]*engine)
	for i := range r.cfg.Engines {
		e := &engine{
			Clock: &r.Clock, model: r.cfg.Engine, slow: 1,
			rate: r.cfg.Engine.PrefillRate * (1 + r.cfg.Engine.Spread*(2*r.rng.Float64()-1)),
		}
		e.fleet = func(address string) *engine { return byAddress[address] }
		e.up = fighollow.Upstream{
			ID: "e" + strconv.Itoa(i), Service: service, Address: fmt.Sprintf("e%d:1", i), DataCentre: r.cfg.DataCentres[i%len(r.cfg.DataCentres)],
			Role: fighollow.RoleDecode, Slots: r.cfg.Engine.Traits.Slots, Started: 1,
		}
		if i < r.cfg.Prefill {
			e.up.Role = fighollow.RolePrefill
		}
		r.engines = append(r.engines, e)
		byAddress[e.up.Address] = e
	}
	for i := range r.cfg.Entries {
		f := placement.New(placement.Options{DataCentre: r.cfg.DataCentres[i%len(r.cfg.DataCentres)], Drain: drain})
		f.Configure(&fighollow.Routing{Services: map[string]fighollow.ServiceTraits{service: {Name: service, Engine: &r.cfg.Engine.Traits}}})
		r.entries = append(r.entries, f)
	}
	for _, e := range r.engines {
		r.announce(e)
	}
}

// announce tells all entries what an engine registers.
func (r *run) announce(e *engine) {
	e.up.Orders++
	for _, f := range r.entries {
		f.Put(r.Now, e.up, e.up.Orders)
	}
}

// gap returns the time until the next request of a kind.
func (r *run) gap(k Kind) time.Duration {
	rate := k.PerSecond
	for _, p := range r.cfg.Phases {
		if factor, ok := p.Load[k.Name]; ok && !r.Now.Before(start.Add(p.From)) {
			rate = k.PerSecond * factor
		}
	}
	if rate <= 0 {
		return time.Second
	}
	return time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
}

// arrive begins a request and plans the next one of its kind.
func (r *run) arrive(k Kind) {
	if r.Now.Sub(start) >= r.cfg.Duration {
		return
	}
	r.After(r.gap(k), func() { r.arrive(k) })
	r.next++
	part := r.rng.IntN(k.Parts)
	q := &request{
		run: r, kind: k, pool: r.entries[r.rng.IntN(len(r.entries))].Pool(service), seed: r.rng.Uint64(),
		prompt: []fighollow.PromptPart{
			{ID: uint64(k.Priority)<<40 + uint64(part) + 1, Tokens: around(k.Shared, part)},
			{ID: 1<<50 + r.next, Tokens: max(1, int(float64(k.Own)*r.rng.ExpFloat64()))},
		},
		slo: placement.SLO{Arrived: r.Now, Target: k.Target, Deadline: r.Now.Add(k.Patience), Priority: k.Priority},
	}
	q.result = &KindResult{}
	if r.Now.Sub(start) >= r.cfg.MeasureFrom {
		q.result = r.result.Kinds[k.Name]
	}
	q.result.Asked++
	r.After(k.Patience, q.leave)
	q.prefill()
}

// around spreads the sizes of shared parts between a half and one and a half of the mean.
func around(mean, part int) int {
	_, frac := math.Modf(float64(part) * math.Phi)
	return int(float64(mean) * (0.5 + frac))
}

func (r *run) strike(f Fault) {
	e := r.engines[f.Engine]
	if f.Down {
		e.crash()
		r.After(f.For, func() {
			e.down = false
			e.up.Started++
			r.announce(e)
		})
		return
	}
	e.slow = f.Slow
	r.After(f.For, func() { e.slow = 1 })
}

// look tells all entries what the engines' caches hold.
func (r *run) look() {
	r.After(lookEvery, r.look)
	for _, f := range r.entries {
		for _, e := range r.engines {
			at := f.CachePosition(service, e.up.ID)
			ch := fighollow.CacheChanges{Epoch: strconv.FormatUint(e.cache.epoch, 10), Next: uint64(len(e.cache.changes))}
			if at < ch.Next {
				ch.Parts = e.cache.changes[at:]
			}
			f.ApplyCacheChanges(r.Now, service, e.up.ID, ch)
		}
	}
}

// plan has the planner set the roles by the engines' reports.
func (r *run) plan() {
	r.After(planEvery, r.plan)
	engines := make([]roles.Engine, len(r.engines))
	for i, e := range r.engines {
		engines[i] = roles.Engine{Upstream: e.up, Report: e.report(), Known: !e.down}
	}
	r.After(reportLag, func() {
		orders, _ := r.planner.Plan(r.Now, engines)
		for _, o := range orders {
			r.result.Orders++
			r.change(r.byID(o.Engine.Upstream.ID), o.Role)
		}
	})
}

func (r *run) byID(id string) *engine {
	for _, e := range r.engines {
		if e.up.ID == id {
			return e
		}
	}
	panic("emulator: no engine " + id) // the planner only knows those that it was given
}

// change has an engine take another role: it finishes its work and is away for a while.
func (r *run) change(e *engine, role fighollow.Role) {
	e.changing = true
	var settle func()
	settle = func() {
		if len(e.queue)+len(e.running)+len(e.waiting) > 0 {
			r.After(10*time.Millisecond, settle)
			return
		}
		r.After(r.cfg.Engine.Traits.RoleSwitch, func() {
			e.changing, e.up.Role = false, role
			r.announce(e)
		})
	}
	settle()
}

func (r *run) summarise() {
	for _, e := range r.engines {
		r.result.Computed += e.computed
		r.result.Fetched += e.fetched
	}
}
