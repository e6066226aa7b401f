// Package gateway is the entry's core where callers' requests go straight to engines and plain services: it finds the
// route, places attempts, decides what may be repeated, relays answers and refuses what cannot be served. It knows no wire
// format; a fighollow.Dispatcher sends attempts and a fighollow.Responder answers the caller.
package gateway

import (
	"context"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Options adjust a Gateway.
type Options struct {
	RetryRatio float64 // extra dispatches allowed for each request of a service, over all entries
	RetrySlack int     // extra dispatches allowed beyond that in each window, over all entries
	Registry   metrics.Registry
}

// Gateway serves the requests of callers. It is safe for concurrent use.
type Gateway struct {
	opts     Options
	fleet    *placement.Fleet
	dispatch fighollow.Dispatcher
	log      zerolog.Logger
	seed     maphash.Seed
	table    atomic.Pointer[table]
	metrics  *gatewayMetrics
	stopping atomic.Pointer[stop]

	mu      sync.Mutex
	entries int  // that share the bounds of repeats
	counted bool // entries was counted, and is not the number taken before
	budgets map[string]*budget
}

// New returns a Gateway without a configuration: it refuses every request as not ready until Apply was called.
func New(opts Options, fleet *placement.Fleet, dispatch fighollow.Dispatcher, log zerolog.Logger) *Gateway {
	return &Gateway{
		opts: opts, fleet: fleet, dispatch: dispatch, log: log, seed: maphash.MakeSeed(), metrics: newMetrics(opts.Registry),
		entries: uncountedEntries, budgets: make(map[string]*budget),
	}
}

// stop is the end of the process, once it is known.
type stop struct {
	since time.Time
	cut   time.Time // open requests are broken off then
}

// leaveTime is how long a stopping process goes on taking requests of any length: the balancer needs two missed checks, a
// second apart, to send connections elsewhere.
const leaveTime = 2500 * time.Millisecond

// Stop says that the process ends, and when it breaks off the requests that are still open. A request that arrives late and
// may take longer than that is refused.
func (g *Gateway) Stop(now, cut time.Time) { g.stopping.Store(&stop{since: now, cut: cut}) }

// mayEndInTime reports whether a request is done before the process ends, as far as its deadline tells.
func (g *Gateway) mayEndInTime(arrived, deadline time.Time) bool {
	s := g.stopping.Load()
	return s == nil || arrived.Sub(s.since) < leaveTime || deadline.Before(s.cut)
}

// Apply puts a configuration in force, unless one with the same or a higher version is. It reports whether it did.
func (g *Gateway) Apply(r *fighollow.Routing) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.table.Load(); t != nil && t.routing.Version >= r.Version {
		return false
	}
	g.fleet.Configure(r)
	g.table.Store(newTable(r))
	return true
}

// Routing returns the configuration in force; nil when there is none yet.
func (g *Gateway) Routing() *fighollow.Routing {
	if t := g.table.Load(); t != nil {
		return t.routing
	}
	return nil
}

// SetRetries changes the bounds of repeats.
func (g *Gateway) SetRetries(ratio float64, slack int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opts.RetryRatio, g.opts.RetrySlack = ratio, slack
	g.shareBudgets()
}

// SetEntries says how many entries share the bounds of repeats and the upstreams' connections, this one included.
func (g *Gateway) SetEntries(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entries = max(1, n)
	g.fleet.SetEntries(g.entries)
	if g.counted {
		g.shareBudgets()
		return
	}
	g.counted = true
	for _, b := range g.budgets {
		b.count(g.opts.RetryRatio, g.opts.RetrySlack, g.entries)
	}
}

// Entries returns how many entries serve the deployment, as far as it is known.
func (g *Gateway) Entries() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.entries
}

func (g *Gateway) shareBudgets() {
	for _, b := range g.budgets {
		b.set(g.opts.RetryRatio, g.opts.RetrySlack, g.entries)
	}
}

func (g *Gateway) budget(service string) *budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = newBudget(g.opts.RetryRatio, g.opts.RetrySlack, g.entries)
		g.budgets[service] = b
	}
	return b
}

// Serve answers a request. The end of ctx says that the caller has left.
func (g *Gateway) Serve(ctx context.Context, call *fighollow.Call, out fighollow.Responder) {
	x := &exchange{g: g, call: call, out: out}
	x.log = g.log.With().Str("request", call.ID).Logger()
	x.finish(x.serve(ctx))
}

// serve runs the request; a refusal that it returns has not been sent yet.
func (x *exchange) serve(ctx context.Context) *fighollow.Refusal {
	x.seed = maphash.String(x.g.seed, x.call.ID)
	t := x.g.table.Load()
	if t == nil {
		return x.notReady()
	}
	x.version = t.routing.Version
	if x.route = t.find(x.call.Host, x.call.Target); x.route == nil {
		return fighollow.NotRunRefusal(fighollow.CodeRouteNotFound, "no route has this host and path")
	}
	service := pickService(x.route, x.seed)
	x.pool, x.budget = x.g.fleet.Pool(service), x.g.budget(service)
	x.service, x.traits = service, t.routing.Services[service]
	x.budget.add()
	x.deadline = x.call.Deadline
	if limit := x.call.Arrived.Add(x.route.Timeout); x.route.Timeout > 0 && limit.Before(x.deadline) {
		x.deadline = limit
	}
	if !x.g.mayEndInTime(x.call.Arrived, x.deadline) {
		r := fighollow.NotRunRefusal(fighollow.CodeStopping, "the process is stopping")
		r.RetryAfterMs = (retryAfterMin / 2).Milliseconds() // other entries take the request at once
		return r
	}
	x.resumeAfter = x.call.ResumeAfter
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	if x.traits.Engine != nil {
		return x.generate(ctx)
	}
	return x.plain(ctx)
}

// finish sends the refusal, if there is one, and logs how the request ended.
func (x *exchange) finish(refusal *fighollow.Refusal) {
	line := event.RequestEnded.Log(&x.log).Uint64("version", x.version).Int("attempts", x.sent)
	if x.route != nil {
		line.Str("route", x.route.Name).Str("service", x.service)
	}
	line.Int64("tookMs", time.Since(x.call.Arrived).Milliseconds())
	switch {
	case x.left:
		x.g.metrics.outcome("left")
		line.Str("outcome", "callerLeft").Send()
		x.out.Abort() // a caller that only stopped sending must not get an empty answer
	case refusal == nil:
		x.g.metrics.answered(x)
		line.Str("outcome", "answered").Int("status", x.status).Int64("firstMs", x.firstMs()).Send()
	case x.begun:
		x.g.metrics.outcome("broken")
		line.Str("outcome", "broken").Str("code", string(refusal.Code)).Str("why", refusal.Message).Send()
		x.out.Abort()
	default:
		x.g.metrics.refusal(refusal)
		line.Str("outcome", string(refusal.Outcome)).Str("code", string(refusal.Code)).Str("why", refusal.Message).
			Int64("retryAfterMs", refusal.RetryAfterMs).Send()
		x.out.Refuse(refusal)
	}
}
