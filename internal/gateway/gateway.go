// Package gateway is the core of an entry that dispatches requests directly to engines and plain services. It matches the
// route, places attempts, decides on retries, relays answers and refuses requests that cannot be served. It is independent
// of the wire format: a fighollow.Dispatcher sends attempts and a fighollow.Responder answers the caller.
package gateway

import (
	"context"
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/heldbytes"
	"github.com/fighollow/fighollow/internal/logging"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/internal/quarantine"
	"github.com/fighollow/fighollow/internal/shortage"
	"github.com/fighollow/fighollow/internal/streams"
	"github.com/fighollow/fighollow/internal/workspace"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Options configures a Gateway.
type Options struct {
	RetryRatio float64 // extra dispatches allowed per request of a service, over all entries
	RetrySlack int     // extra dispatches allowed beyond that in each window, over all entries
	Registry   metrics.Registry
	Shortages  *shortage.Tracker       // versions without a decode engine; nil if streams don't wait for one
	Streams    *streams.Journal        // which versions began streams; nil if only the gateway's own answers go on
	Quarantine *quarantine.Tracker     // requests and parts of prompts that crash engines; nil for one that knows only this gateway's
	Usage      fighollow.UsageRecorder // counts the requests that upstreams began to run; nil for none
	Shares     fighollow.SharePolicy   // divides scarce engine time among workspaces; nil for none
	Revocation workspace.Revocation
	Held       *heldbytes.Account // counts what answers hold; nil for one of this gateway's own, for an instance of unknown size
}

// Gateway serves the requests of callers. It is safe for concurrent use.
type Gateway struct {
	opts     Options
	fleet    *placement.Fleet
	dispatch fighollow.Dispatcher
	log      zerolog.Logger
	seed     maphash.Seed
	table    atomic.Pointer[routeTable]
	metrics  *gatewayMetrics
	shutdown atomic.Pointer[shutdown]

	fingerprints *workspace.Fingerprinter
	confirmed    atomic.Pointer[time.Time] // when the store last confirmed the configuration

	mu             sync.Mutex
	entries        int  // number of entries that share the retry budgets
	entriesCounted bool // entries is a count, not assumedEntries
	budgets        map[string]*retryBudget

	holding    holding       // streams that wait for a decode engine
	explaining chan struct{} // has an element for each request that is being explained
}

// New returns a Gateway without a configuration. It refuses every request as not ready until Apply is called.
func New(opts Options, fleet *placement.Fleet, dispatch fighollow.Dispatcher, log zerolog.Logger) *Gateway {
	if opts.Quarantine == nil {
		opts.Quarantine = quarantine.New("", 0)
	}
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	if opts.Held == nil {
		opts.Held = heldbytes.New(0, opts.Registry, log)
	}
	return &Gateway{
		opts: opts, fleet: fleet, dispatch: dispatch, log: log, seed: maphash.MakeSeed(), metrics: newMetrics(opts.Registry),
		fingerprints: workspace.NewFingerprinter(), entries: assumedEntries, budgets: make(map[string]*retryBudget),
		explaining: make(chan struct{}, maxExplaining),
	}
}

// shutdown holds the times of a graceful shutdown.
type shutdown struct {
	start    time.Time
	deadline time.Time // when requests that are still open are aborted
}

// deregistrationDelay is how long a stopping process accepts requests of any length that may be repeated. The load balancer needs two missed
// health checks, a second apart, to send connections elsewhere.
const deregistrationDelay = 2500 * time.Millisecond

// Stop begins a graceful shutdown at now. Requests that are still open at end are aborted. A request whose deadline is not before end is refused
// if it may not be repeated, or arrives deregistrationDelay after now or later.
func (g *Gateway) Stop(now, end time.Time) { g.shutdown.Store(&shutdown{start: now, deadline: end}) }

// canFinish reports whether to accept a request: no shutdown has begun, the deadline of the request is before the process ends, or the load
// balancer may not have noticed it yet and the request may be repeated if it is aborted.
func (g *Gateway) canFinish(arrived, deadline time.Time, repeat fighollow.Repeat) bool {
	s := g.shutdown.Load()
	return s == nil || deadline.Before(s.deadline) || repeat != fighollow.RepeatNever && arrived.Sub(s.start) < deregistrationDelay
}

// Apply puts a configuration in force, unless one with the same or a higher version is. It reports whether it did.
func (g *Gateway) Apply(r *fighollow.Routing) bool {
	if !g.isNewer(r) {
		return false
	}
	t := newRouteTable(r) // takes milliseconds, during which requests are served
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isNewer(r) {
		return false
	}
	g.fleet.Configure(r)
	g.table.Store(t)
	t.logProblems(&g.log)
	return true
}

// isNewer reports whether r has a higher version than the configuration in force.
func (g *Gateway) isNewer(r *fighollow.Routing) bool {
	t := g.table.Load()
	return t == nil || t.routing.Version < r.Version
}

// Routing returns the configuration in force; nil when there is none yet.
func (g *Gateway) Routing() *fighollow.Routing {
	if t := g.table.Load(); t != nil {
		return t.routing
	}
	return nil
}

// EngineServices returns the services of the configuration in force that have model engines, in order.
func (g *Gateway) EngineServices() []string {
	r := g.Routing()
	if r == nil {
		return nil
	}
	var out []string
	for name, traits := range r.Services {
		if traits.Engine != nil {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// SetRetries changes the bounds of the retry budgets; see Options.
func (g *Gateway) SetRetries(ratio float64, slack int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opts.RetryRatio, g.opts.RetrySlack = ratio, slack
	g.updateBudgets()
}

// SetEntries sets how many entries share the retry budgets and the upstreams' connections, this one included. Values below 1
// count as 1.
func (g *Gateway) SetEntries(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entries = max(1, n)
	shared := g.fleet.SharesWork()
	g.fleet.SetEntries(g.entries)
	if shares := g.fleet.SharesWork(); shares != shared {
		event.WorkShared.Log(&g.log).Bool("shared", shares).Int("entries", g.entries).Send()
	}
	g.opts.Quarantine.SetEntries(g.entries)
	if g.entriesCounted {
		g.updateBudgets()
		return
	}
	g.entriesCounted = true
	for _, b := range g.budgets {
		b.setCountedBounds(g.opts.RetryRatio, g.opts.RetrySlack, g.entries)
	}
}

// Entries returns the number of entries of the deployment that was last set, or an assumed number before that.
func (g *Gateway) Entries() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.entries
}

func (g *Gateway) updateBudgets() {
	for _, b := range g.budgets {
		b.setBounds(g.opts.RetryRatio, g.opts.RetrySlack, g.entries)
	}
}

func (g *Gateway) budget(service string) *retryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = newRetryBudget(g.opts.RetryRatio, g.opts.RetrySlack, g.entries)
		g.budgets[service] = b
	}
	return b
}

// Serve answers a request. ctx is done when the caller has left.
func (g *Gateway) Serve(ctx context.Context, call *fighollow.Call, out fighollow.Responder) {
	x := g.newExchange(call, out)
	x.held = g.opts.Held.Open(heldbytes.Answer)
	defer x.held.Close()
	x.finish(x.serve(ctx))
}

func (g *Gateway) newExchange(call *fighollow.Call, out fighollow.Responder) *exchange {
	x := &exchange{g: g, call: call, out: out, seed: maphash.String(g.seed, call.ID), bytes: len(call.Body)}
	x.log = g.log.With().Str("request", logging.Short(call.ID)).Logger()
	return x
}

// serve runs the request. The caller must send the refusal that it returns, if any.
func (x *exchange) serve(ctx context.Context) *fighollow.Refusal {
	t := x.g.table.Load()
	if refusal := x.identify(t, time.Now()); refusal != nil {
		return refusal
	}
	x.applyRoute(t)
	x.pool, x.budget = x.g.fleet.Pool(x.service), x.g.budget(x.service)
	x.arrivals = arrivals{budget: x.budget}
	x.budget.deposit(x.call.Arrived)
	if refusal := x.stopRefusal(); refusal != nil {
		return refusal
	}
	x.resumeAfter = x.call.ResumeAfter
	x.subject = quarantine.NewRequest(x.service, x.call)
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	if x.traits.Engine == nil {
		return x.plain(ctx)
	}
	if err := x.findVersion(ctx); err != nil {
		return x.refusal(ctx, err)
	}
	return x.generate(ctx)
}

// applyRoute sets what follows from the route and the workspace.
func (x *exchange) applyRoute(t *routeTable) {
	x.rank = t.keys.Rank(x.identity.Workspace, x.route.Priority)
	x.service = pickService(x.route, x.seed)
	x.traits = t.routing.Services[x.service]
	x.deadline = x.call.Deadline
	if limit := x.call.Arrived.Add(x.route.Timeout); x.route.Timeout > 0 && limit.Before(x.deadline) {
		x.deadline = limit
	}
}

// stopRefusal returns the refusal for a request that cannot end before the process does; nil if it can.
func (x *exchange) stopRefusal() *fighollow.Refusal {
	if x.g.canFinish(x.call.Arrived, x.deadline, x.route.Repeat) {
		return nil
	}
	r := fighollow.NotRunRefusal(fighollow.CodeStopping, "the process is stopping")
	r.RetryAfterMs = (retryAfterMin / 2).Milliseconds() // other entries accept the request at once
	return r
}

// finish sends the refusal, if there is one, and logs the outcome of the request.
func (x *exchange) finish(refusal *fighollow.Refusal) {
	x.recordEnd(refusal == nil && !x.callerLeft)
	line := event.RequestEnded.Log(&x.log).Uint64("version", x.version).Int("attempts", x.attemptsSent)
	if x.route != nil {
		line.Str("route", x.route.Name).Str("service", x.service)
	}
	x.logKey(line)
	line.Int64("tookMs", time.Since(x.call.Arrived).Milliseconds())
	switch {
	case x.callerLeft:
		outcome := "callerLeft"
		if x.unread {
			outcome = "unread"
			x.g.metrics.countOutcome("unread")
		} else {
			x.g.metrics.countOutcome("left")
		}
		line.Str("outcome", outcome).Str("caller", x.call.Caller).Send()
		x.out.Abort() // a caller that only closed its sending side must not get an empty answer
	case refusal == nil:
		x.g.metrics.recordAnswer(x)
		line.Str("outcome", "answered").Int("status", x.status).Int64("firstMs", x.firstByteMs()).Send()
	case x.headerSent:
		x.g.metrics.countOutcome("broken")
		line.Str("outcome", "broken").Str("code", string(refusal.Code)).Str("why", refusal.Message).Send()
		x.out.Abort()
	default:
		x.g.metrics.countRefusal(refusal)
		line.Str("outcome", string(refusal.Outcome)).Str("code", string(refusal.Code)).Str("why", refusal.Message).
			Int64("retryAfterMs", refusal.RetryAfterMs).Send()
		x.out.Refuse(refusal)
	}
}
