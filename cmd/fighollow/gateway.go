package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	runtimemetrics "runtime/metrics"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/internal/admin"
	"github.com/fighollow/fighollow/internal/callerconn"
	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/fairshare"
	"github.com/fighollow/fighollow/internal/gateway"
	"github.com/fighollow/fighollow/internal/heldbytes"
	"github.com/fighollow/fighollow/internal/lease"
	"github.com/fighollow/fighollow/internal/logging"
	"github.com/fighollow/fighollow/internal/peers"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/internal/quarantine"
	"github.com/fighollow/fighollow/internal/quota"
	"github.com/fighollow/fighollow/internal/roles"
	"github.com/fighollow/fighollow/internal/roster"
	"github.com/fighollow/fighollow/internal/shortage"
	"github.com/fighollow/fighollow/internal/streams"
	"github.com/fighollow/fighollow/internal/upstream"
	"github.com/fighollow/fighollow/internal/workshare"
	"github.com/fighollow/fighollow/internal/workspace"
	"github.com/fighollow/fighollow/pkg/fighollow"
	"github.com/fighollow/fighollow/platform"
)

const (
	// callerHeaderTimeout and callerIdleTimeout apply until the operator's configuration, which sets shorter ones, is loaded.
	callerHeaderTimeout = 10 * time.Second
	callerIdleTimeout   = 60 * time.Second
	// memoryLimitRatio is the fraction of the instance's memory that is the soft memory limit of the Go runtime, near which
	// garbage is collected more often. With 0.47 the heap stays below a third of the memory: stacks and the runtime take the rest.
	memoryLimitRatio = 0.47
	// stopMargin is the time left between the deadline of the last request and the platform's SIGKILL.
	stopMargin = 700 * time.Millisecond
	// acceptTime is how long a stopping process continues to accept connections, so that the load balancer can stop sending
	// new ones first.
	acceptTime = 4 * time.Second
	// crashHops is the number of times that the store has to be followed until a crash takes effect: a report, then the quarantine.
	crashHops = 2
)

// gatewayCommand runs an entry on the users' platform until SIGTERM begins its graceful stop.
func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "serve callers on the platform, straight to its engines and services",
		Description: "The settings file is the platform's; its path is in the variable " + platform.SettingsVariable + ".\n" +
			"The process exits with 1 when the settings cannot be used or an address cannot be bound.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Sources: cli.EnvVars(platform.SettingsVariable), Required: true, Usage: "settings `FILE` of the platform"},
			&cli.StringFlag{Name: "log", Value: "info", Usage: "log `LEVEL`: debug, info, warn or error"},
			&cli.BoolFlag{Name: "share-work", Value: true, Usage: "tell the other entries which prompts are placed, and use what they tell, from 8 entries on"},
			&cli.IntFlag{Name: "metrics-port", Usage: "`PORT` of the metrics server, which also answers \"fighollow explain\"; 0: none"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			level, err := zerolog.ParseLevel(cmd.String("log"))
			if err != nil {
				return err
			}
			cfg, err := platform.ReadSettings(cmd.String("settings"))
			if err != nil {
				return err
			}
			zerolog.TimeFieldFormat = logging.TimeFormat
			sink := logging.New(os.Stdout, logging.Options{MemoryMB: cfg.MemoryMB})
			defer func() { _ = sink.Close() }() // a failure of the log's own output cannot be reported
			log := zerolog.New(sink).Level(level).With().Timestamp().Str("process", cfg.Node).Logger()
			flags := gatewayFlags{settingsFile: cmd.String("settings"), metricsPort: cmd.Int("metrics-port"), shareWork: cmd.Bool("share-work")}
			return newGatewayProcess(flags, cfg, sink, log).run(ctx)
		},
	}
}

// gatewayFlags are the flags of the command line.
type gatewayFlags struct {
	settingsFile string
	metricsPort  int  // of the metrics server; 0 for none
	shareWork    bool // see placement.Options.ShareWork
}

// gatewayProcess holds the parts of a gateway process.
type gatewayProcess struct {
	flags        gatewayFlags
	cfg          platform.Settings
	registry     metrics.Registry
	sink         *logging.Sink
	log          zerolog.Logger
	store        *platform.Store
	pool         *upstream.Pool // connections of attempts
	control      *upstream.Pool // connections of control calls
	gateway      *gateway.Gateway
	held         *heldbytes.Account
	follower     *gateway.Follower
	caches       *gateway.CachePoller
	roster       *roster.Roster
	lease        *lease.Holder
	planner      *roles.Runner
	usage        *usageParts   // nil if usage is not reported
	reporterDone chan struct{} // closed when the reporter has sent its last call
	quarantine   *quarantine.Writer
	streams      *streams.Journal
	peers        *peers.Link
	work         *workshare.Sharer // nil if work is not shared
	shares       *fairshare.Policy
	observing    chan bool // whether this entry observes the reports of all
	revocation   workspace.Revocation
	stopping     atomic.Bool
	wasReady     atomic.Bool // result of the last readiness check
}

// newGatewayProcess returns a process that has not opened any sockets yet.
func newGatewayProcess(flags gatewayFlags, cfg platform.Settings, sink *logging.Sink, log zerolog.Logger) *gatewayProcess {
	registry := metrics.NewRegistry()
	p := &gatewayProcess{
		flags: flags, cfg: cfg, registry: registry, sink: sink, log: log,
		pool: upstream.New(), control: upstream.New(), observing: make(chan bool, 1), reporterDone: make(chan struct{}),
	}
	p.store = platform.NewStore(platform.StoreOptions{
		Address: cfg.StoreAddress, Stable: cfg.Bounds.Stable, History: cfg.StoreHistory, Registry: registry,
		Config: routingBound(cfg.Bounds), Drain: cfg.Bounds.Drain,
	}, log)
	self := cfg.Node + "@" + cfg.Address
	divider := quota.New(self)
	fleet := placement.New(placement.Options{
		DataCentre: cfg.DataCentre, DrainTime: cfg.Bounds.Drain, Heartbeat: cfg.Heartbeat, Shares: divider,
		AdmitVersions: true, ShareWork: flags.shareWork, MemoryMB: cfg.MemoryMB,
	})
	_ = p.registry.Register("prompts.mirroredParts", metrics.NewFunctionalGauge(func() int64 { held, _ := fleet.MirroredParts(); return held }))
	dispatcher := platform.NewDispatcher(p.pool, p.control, gateway.NewAnnouncements(fleet, p.registry, log))
	crashes := quarantine.New(self, cfg.MemoryMB)
	p.quarantine = quarantine.NewWriter(crashes, p.store, log)
	p.peers = peers.New(self, log)
	if flags.shareWork {
		p.work = p.newSharer(fleet)
	}
	p.shares = fairshare.New(time.Now(), fairshare.Options{
		Self: self, DataCentre: cfg.DataCentre, Workspaces: p.workspaces,
		Services: func() []string { return p.gateway.EngineServices() }, Registry: p.registry,
	}, p.peers, log)
	p.streams = streams.New(streams.Options{
		Self: self, Started: time.Now(), Entries: func() int { return p.gateway.Entries() },
		Services: func() []string { return p.gateway.EngineServices() },
		Versions: func(now time.Time, service string) []string { return fleet.Pool(service).Versions(now) },
		Registered: func(ctx context.Context, service string) ([]string, error) {
			return p.follower.RegisteredVersions(ctx, service)
		},
		Admit: func(service string, versions []string) { fleet.Pool(service).Admit(versions) },
		Peers: p.peers,
	}, p.store, log)
	p.lease = lease.New(lease.Options{Self: self, Duration: cfg.Bounds.Lease}, p.store, log)
	shortages := p.newShortages(self)
	var recorder fighollow.UsageRecorder
	if reportsUsage(&cfg) {
		p.usage = p.newUsage(self)
		recorder = p.usage.counter
	}
	p.revocation = workspace.Revocation{Strict: cfg.Bounds.ConfirmKeys, Within: cfg.Bounds.Revoke}
	p.held = heldbytes.New(cfg.MemoryMB, p.registry, log)
	p.gateway = gateway.New(gateway.Options{
		RetryRatio: cfg.Bounds.RetryRatio, RetrySlack: cfg.Bounds.RetrySlack, Registry: p.registry, Quarantine: crashes, Streams: p.streams, Shortages: shortages,
		Revocation: p.revocation, Usage: recorder, Shares: p.shares, Held: p.held,
	}, fleet, dispatcher, log)
	decode := gateway.Decoder{Routing: platform.DecodeRouting, Upstream: platform.DecodeUpstream}
	p.follower = gateway.NewFollower(p.store, decode, p.gateway, fleet, gateway.Freshness{
		Routing: routingBound(cfg.Bounds), Upstreams: cfg.Bounds.Drain, Crashes: cfg.Bounds.Stable / crashHops,
	}, log)
	p.caches = gateway.NewCachePoller(dispatcher, p.gateway, fleet, log)
	p.roster = roster.New(roster.Options{
		Self: self, DataCentre: cfg.DataCentre, Claims: fleet.LimitClaims, Divider: divider,
		OnObserver: p.setObserving, Address: p.peers.Address, OnPeers: p.setPeers,
	}, p.store, p.gateway.SetEntries, log)
	p.planner = roles.New(roles.Options{Self: self, Release: p.usage != nil, Others: func() { <-p.reporterDone }, Shortages: shortages}, p.lease, p.store, dispatcher,
		p.gateway.Routing, fleet.Upstreams, log)
	return p
}

// newSharer returns what tells the other entries which prompts this one has placed, and adds what they tell to the backlogs of fleet.
func (p *gatewayProcess) newSharer(fleet *placement.Fleet) *workshare.Sharer {
	s := workshare.New(workshare.Options{
		MaxData: peers.MaxData, Registry: p.registry, Send: func(data []byte) { p.peers.SendAll(peers.TopicWork, data) },
	}, fleet, p.log)
	fleet.OnWork(s.Add)
	p.peers.Subscribe(peers.TopicWork, func(from string, data []byte) { s.Receive(time.Now(), from, data) })
	return s
}

// newShortages returns what reports versions without a decode engine to the holder of the role lease.
func (p *gatewayProcess) newShortages(self string) *shortage.Tracker {
	t := shortage.New(shortage.Options{
		Self: self, Holder: p.lease.HolderName,
		Send:    func(data []byte, names ...string) { p.peers.Send(peers.TopicShortage, data, names...) },
		SendAll: func(data []byte) { p.peers.SendAll(peers.TopicShortage, data) },
	}, p.log)
	p.peers.Subscribe(peers.TopicShortage, func(from string, data []byte) { t.Receive(time.Now(), from, data) })
	return t
}

// setPeers passes the known entries on to those that send messages to them. The roster alone calls it.
func (p *gatewayProcess) setPeers(known map[string]fighollow.Peer) {
	p.peers.SetPeers(known)
}

// workspaces returns the names of the workspaces of the configuration in force; nil if it requires no keys.
func (p *gatewayProcess) workspaces() []string {
	r := p.gateway.Routing()
	if r == nil || !r.KeysRequired {
		return nil
	}
	out := make([]string, 0, len(r.Workspaces))
	for i := range r.Workspaces {
		out = append(out, r.Workspaces[i].Name)
	}
	return out
}

// routingBound returns the time within which a new configuration must take effect, also if it removes a key.
func routingBound(b platform.Bounds) time.Duration {
	if b.Revoke > 0 {
		return min(b.Config, b.Revoke)
	}
	return b.Config
}

// setObserving replaces what was not followed yet. The roster alone calls it.
func (p *gatewayProcess) setObserving(isObserver bool) {
	select {
	case <-p.observing:
	default:
	}
	p.observing <- isObserver
}

// run serves until SIGTERM or SIGINT begins the graceful stop, or a server fails.
func (p *gatewayProcess) run(ctx context.Context) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if p.cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(p.cfg.MemoryMB<<20)))
	}
	defer p.pool.Close()
	defer p.control.Close()
	callerServer, callers, err := p.listenForCallers()
	if err != nil {
		return err
	}
	readinessServer, probes, err := p.listenForProbes(p.cfg.Readiness, p.readiness())
	if err != nil {
		return fmt.Errorf("listen for readiness checks: %w", err)
	}
	if err := p.peers.Listen(p.cfg.Address, p.cfg.PeerPorts[0], p.cfg.PeerPorts[1]); err != nil {
		return fmt.Errorf("listen for other entries: %w", err)
	}
	serverErrs := make(chan error, 3)
	go func() { serverErrs <- callerServer.Serve(callers) }()
	go func() { serverErrs <- readinessServer.Serve(probes) }()
	if p.flags.metricsPort > 0 {
		go func() { serverErrs <- p.serveMetrics(callers) }()
	}
	bgCtx, cancelBg := context.WithCancel(context.Background())
	defer cancelBg()
	var background sync.WaitGroup
	background.Go(func() { p.follower.Run(bgCtx) })
	background.Go(func() { p.follower.ConfirmRouting(bgCtx, p.revocation) })
	background.Go(func() { p.caches.Run(bgCtx) })
	background.Go(func() { p.roster.Run(bgCtx) })
	background.Go(func() { p.quarantine.Run(bgCtx) })
	background.Go(func() { p.streams.Run(bgCtx) })
	background.Go(func() { p.peers.Run(bgCtx, p.streams) })
	if p.work != nil {
		background.Go(func() { p.work.Run(bgCtx) })
	}
	background.Go(func() { p.shares.Run(bgCtx) })
	background.Go(func() { p.follower.Follow(bgCtx, fighollow.KindQuarantine, p.quarantine.Apply) })
	background.Go(func() {
		p.follower.FollowWhile(bgCtx, fighollow.KindCrashReports, p.observing, p.quarantine.ApplyReports, p.quarantine.StopObserving)
	})
	background.Go(func() { p.reloadOnHangup(bgCtx, hangups) })
	// ctx ends at the start of the stop: a stopping entry sends no more orders and reports, and another entry takes over the lease.
	background.Go(func() { p.planner.Run(ctx) })
	if p.usage != nil {
		background.Go(func() { p.runReporter(ctx) })
	}
	background.Go(func() { p.logDuties(bgCtx) })
	stopCollector := p.startCollector()
	p.logStart()
	select {
	case <-ctx.Done():
		p.stop(callerServer, callers)
	case err = <-serverErrs:
		cancel()
	}
	stopCollector()
	cancelBg()
	background.Wait()
	err = errors.Join(err, readinessServer.Close())
	event.ProcessStopped.Log(&p.log).Err(err).Send()
	return err
}

// logStart logs the settings in effect.
func (p *gatewayProcess) logStart() {
	cfg, b := &p.cfg, &p.cfg.Bounds
	line := event.ProcessStarted.Log(&p.log)
	if p.usage != nil {
		line.Str("usageAPI", cfg.UsageAPI.Address).Dur("usageWindowMs", b.ReportWindow).Float64("usageCallsPerSec", cfg.UsageAPI.CallsPS)
	}
	line.Str("http", cfg.Ingress).Str("readiness", cfg.Readiness).Str("store", cfg.StoreAddress).
		Str("dataCentre", cfg.DataCentre).Str("version", version).Dur("drainMs", b.Drain).Dur("graceMs", b.Grace).
		Dur("leaseMs", b.Lease).Dur("stableMs", b.Stable).Dur("configMs", b.Config).Dur("heartbeatMs", cfg.Heartbeat).Float64("retryRatio", b.RetryRatio).Int("retrySlack", b.RetrySlack).
		Bool("fencesChecked", b.RequireFencing).Bool("keysConfirmed", b.ConfirmKeys).Dur("revocationMs", b.Revoke).Int("metricsPort", p.flags.metricsPort).Send()
}

// reloadOnHangup reads the settings again on each SIGHUP. The retry limits take effect at once; all other settings take
// effect when the process restarts.
func (p *gatewayProcess) reloadOnHangup(ctx context.Context, hangups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		cfg, err := platform.ReadSettings(p.flags.settingsFile)
		if err != nil {
			event.SettingsInvalid.Log(&p.log).Err(err).Send()
			continue
		}
		p.gateway.SetRetries(cfg.Bounds.RetryRatio, cfg.Bounds.RetrySlack)
		event.SettingsReloaded.Log(&p.log).Str("file", p.flags.settingsFile).Float64("retryRatio", cfg.Bounds.RetryRatio).
			Int("retrySlack", cfg.Bounds.RetrySlack).Send()
	}
}

// stop finishes the open requests within the platform's grace period. New requests are served as before until the load
// balancer sees the failing readiness check; after that, only those that end in time. Responses close their connections. callers
// is the listener of s.
func (p *gatewayProcess) stop(s *http.Server, callers *callerconn.Listener) {
	start := time.Now()
	p.stopping.Store(true)
	deadline := start.Add(p.cfg.Bounds.Grace - stopMargin)
	p.gateway.Stop(start, deadline)
	event.ProcessStopping.Log(&p.log).Dur("graceMs", p.cfg.Bounds.Grace).Send()
	time.Sleep(min(acceptTime, p.cfg.Bounds.Grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	_ = callers.Drain(ctx) // Shutdown reports the end of ctx if connections are left
	if err := s.Shutdown(ctx); err != nil {
		event.StopCut.Log(&p.log).Err(err).Send()
		_ = s.Close() // the process ends
	}
}

// callerLimits returns the operator's limits of callers' connections; until the configuration is loaded, there are no timeouts.
func (p *gatewayProcess) callerLimits() callerconn.Limits {
	if r := p.gateway.Routing(); r != nil {
		return callerconn.Limits{Header: r.Limits.HeaderTimeout, Idle: r.Limits.IdleTimeout, HeaderBytes: platform.MaxHeaderBytes(r)}
	}
	return callerconn.Limits{HeaderBytes: platform.MaxHeaderBytes(nil)}
}

// isReady reports whether the process accepts new connections.
func (p *gatewayProcess) isReady() bool { return !p.stopping.Load() && p.follower.Ready() }

// readiness returns the handler of the load balancer's readiness checks; it logs each change of the result.
func (p *gatewayProcess) readiness() http.Handler {
	r := chi.NewRouter()
	r.Get(platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		ready := p.isReady()
		if p.wasReady.Swap(ready) != ready {
			event.ReadinessChanged.Log(&p.log).Bool("ready", ready).Bool("stopping", p.stopping.Load()).Send()
		}
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// registerGauges registers the values that parts of the process maintain themselves.
func (p *gatewayProcess) registerGauges(callers *callerconn.Listener) {
	gauge := func(name string, value func() int64) {
		_ = p.registry.Register(name, metrics.NewFunctionalGauge(value)) // each name is registered once
	}
	gauge("store.answered", func() int64 { answered, _, _ := p.store.Calls(); return answered })
	gauge("store.refused", func() int64 { _, refused, _ := p.store.Calls(); return refused })
	gauge("store.failed", func() int64 { _, _, failed := p.store.Calls(); return failed })
	gauge("store.eras", p.store.Eras)
	gauge("presets.lost", p.planner.PresetsLost)
	gauge("store.silentMs", func() int64 {
		now := time.Now()
		return min(p.follower.SinceLastAnswer(now), now.Sub(p.store.LastAnswer())).Milliseconds()
	})
	if p.usage != nil {
		gauge("usage.oldestMs", p.usage.reporter.OldestMs)
	}
	gauge("upstreams.connections", func() int64 { return p.pool.Dials() + p.control.Dials() })
	gauge("callers.connections", func() int64 { return int64(callers.Stats().Open) })
	gauge("callers.evicted", func() int64 { return callers.Stats().Evicted })
	gauge("callers.turnedAway", func() int64 { return callers.Stats().Refused })
	gauge("log.dropped", p.sink.Dropped)
	gauge("process.heapBytes", heapBytes)
	gauge("routing.version", func() int64 {
		if routing := p.gateway.Routing(); routing != nil {
			return int64(routing.Version)
		}
		return 0
	})
	gauge("ready", func() int64 {
		if p.isReady() {
			return 1
		}
		return 0
	})
}

// heapBytes returns the bytes of the heap that objects take, those included that are not yet collected.
func heapBytes() int64 {
	sample := []runtimemetrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	runtimemetrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

func (p *gatewayProcess) serveMetrics(callers *callerconn.Listener) error {
	p.registerGauges(callers)
	r := chi.NewRouter()
	r.Get("/metrics", admin.MetricsHandler(p.registry))
	r.Get(explainPath, p.gateway.ExplainHandler(explainDecoder()))
	s, l, err := p.listenForProbes(net.JoinHostPort(p.cfg.Address, strconv.Itoa(p.flags.metricsPort)), r)
	if err == nil {
		err = s.Serve(l)
	}
	return fmt.Errorf("serve metrics: %w", err)
}
