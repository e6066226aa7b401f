package main

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/internal/admin"
	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/gateway"
	"github.com/fighollow/fighollow/internal/logging"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/internal/roles"
	"github.com/fighollow/fighollow/internal/upstream"
	"github.com/fighollow/fighollow/platform"
)

const (
	// callerHeaderTimeout and callerIdleTimeout are above what the operator's configuration grants callers.
	callerHeaderTimeout = 10 * time.Second
	callerIdleTimeout   = 60 * time.Second
	// memoryShare is the part of the machine's memory above which garbage is collected more often.
	memoryShare = 0.7
	// stopMargin is left between the end of the last request and the platform's kill.
	stopMargin = 700 * time.Millisecond
	// acceptTime is how long a stopping process goes on accepting connections, until the balancer sends none any more.
	acceptTime = 4 * time.Second
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
			&cli.IntFlag{Name: "metrics-port", Usage: "`PORT` of the metrics server; 0: none"},
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
			sink := logging.New(os.Stdout, logging.Options{})
			defer func() { _ = sink.Close() }() // nothing can be done when the output takes no more
			log := zerolog.New(sink).Level(level).With().Timestamp().Str("process", cfg.Node).Logger()
			return runGateway(ctx, cmd.String("settings"), cfg, cmd.Int("metrics-port"), sink, log)
		},
	}
}

// gatewayProcess is the running process.
type gatewayProcess struct {
	cfg      platform.Settings
	log      zerolog.Logger
	gateway  *gateway.Gateway
	follower *gateway.Follower
	stopping atomic.Bool
	wasReady atomic.Bool
}

func runGateway(ctx context.Context, file string, cfg platform.Settings, metricsPort int, sink *logging.Sink,
	log zerolog.Logger,
) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryMB<<20)))
	}
	registry := metrics.NewRegistry()
	store := platform.NewStore(cfg.StoreAddress, cfg.Bounds.Stable)
	pool := upstream.New()
	defer pool.Close()
	dispatcher := platform.NewDispatcher(pool)
	fleet := placement.New(placement.Options{DataCentre: cfg.DataCentre, Drain: cfg.Bounds.Drain})
	g := gateway.New(gateway.Options{
		RetryRatio: cfg.Bounds.RetryRatio, RetrySlack: cfg.Bounds.RetrySlack, Registry: registry,
	}, fleet, dispatcher, log)
	p := &gatewayProcess{cfg: cfg, log: log, gateway: g}
	p.follower = gateway.NewFollower(store, gateway.Decoder{Routing: platform.DecodeRouting, Upstream: platform.DecodeUpstream}, g, fleet, log)

	callers, err := net.Listen("tcp", cfg.Ingress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	checks, err := net.Listen("tcp", cfg.Readiness)
	if err != nil {
		return fmt.Errorf("listen for readiness checks: %w", err)
	}
	ingress := platform.NewIngress(g, p.stopping.Load)
	callerServer := &http.Server{
		Handler: ingress, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout, ErrorLog: stdlog.New(log, "", 0),
	}
	checkServer := &http.Server{Handler: p.readiness(), ReadHeaderTimeout: callerHeaderTimeout}
	failed := make(chan error, 3)
	go func() { failed <- callerServer.Serve(callers) }()
	go func() { failed <- checkServer.Serve(checks) }()
	if metricsPort > 0 {
		registerGauges(registry, store, pool, sink, p)
		go func() { failed <- serveMetrics(cfg.Address, metricsPort, registry) }()
	}
	work, end := context.WithCancel(context.Background())
	defer end()
	go reloadOnHangup(work, file, g, log)
	var background sync.WaitGroup
	background.Go(func() { p.follower.Run(work) })
	planner := roles.New(roles.Options{Self: cfg.Node + "@" + cfg.Address, Lease: cfg.Bounds.Lease}, store, dispatcher,
		g.Routing, fleet.Upstreams, log)
	// A stopping entry orders nothing more; another takes the lease.
	background.Go(func() { planner.Run(ctx) })
	event.ProcessStarted.Log(&log).Str("http", cfg.Ingress).Str("readiness", cfg.Readiness).Str("store", cfg.StoreAddress).
		Str("dataCentre", cfg.DataCentre).Str("version", version).Dur("drainMs", cfg.Bounds.Drain).Dur("graceMs", cfg.Bounds.Grace).
		Dur("leaseMs", cfg.Bounds.Lease).Float64("retryRatio", cfg.Bounds.RetryRatio).Int("retrySlack", cfg.Bounds.RetrySlack).
		Bool("fencesChecked", cfg.Bounds.FencesCheck).Int("metricsPort", metricsPort).Send()
	select {
	case <-ctx.Done():
		p.stop(callerServer)
	case err = <-failed:
	}
	end()
	background.Wait()
	err = errors.Join(err, checkServer.Close())
	event.ProcessStopped.Log(&log).Send()
	return err
}

// reloadOnHangup reads the settings again at each SIGHUP. The bounds of repeats take effect at once; addresses and names
// take effect when the process starts again.
func reloadOnHangup(ctx context.Context, file string, g *gateway.Gateway, log zerolog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		cfg, err := platform.ReadSettings(file)
		if err != nil {
			event.SettingsInvalid.Log(&log).Err(err).Send()
			continue
		}
		g.SetRetries(cfg.Bounds.RetryRatio, cfg.Bounds.RetrySlack)
		event.SettingsReloaded.Log(&log).Str("file", file).Float64("retryRatio", cfg.Bounds.RetryRatio).
			Int("retrySlack", cfg.Bounds.RetrySlack).Send()
	}
}

// stop finishes the open requests within the platform's grace period. Until the balancer has noticed, new requests are
// served as before, and later those that end in time; their answers close the connection.
func (p *gatewayProcess) stop(s *http.Server) {
	began := time.Now()
	p.stopping.Store(true)
	cut := began.Add(p.cfg.Bounds.Grace - stopMargin)
	p.gateway.Stop(began, cut)
	event.ProcessStopping.Log(&p.log).Dur("graceMs", p.cfg.Bounds.Grace).Send()
	time.Sleep(min(acceptTime, p.cfg.Bounds.Grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), cut)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		event.StopCut.Log(&p.log).Err(err).Send()
		_ = s.Close() // the process ends
	}
}

// isReady reports whether the process takes new connections.
func (p *gatewayProcess) isReady() bool { return !p.stopping.Load() && p.follower.Ready() }

// readiness answers the balancer's checks.
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

// registerGauges adds what parts of the process count by themselves.
func registerGauges(r metrics.Registry, store *platform.Store, pool *upstream.Pool, sink *logging.Sink, p *gatewayProcess) {
	gauge := func(name string, value func() int64) {
		_ = r.Register(name, metrics.NewFunctionalGauge(value)) // each name is registered once
	}
	gauge("store.answered", func() int64 { done, _, _ := store.Calls(); return done })
	gauge("store.refused", func() int64 { _, refused, _ := store.Calls(); return refused })
	gauge("store.failed", func() int64 { _, _, failed := store.Calls(); return failed })
	gauge("store.silentMs", func() int64 { return p.follower.Silent(time.Now()).Milliseconds() })
	gauge("upstreams.connections", pool.Made)
	gauge("log.dropped", sink.Dropped)
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

func serveMetrics(ip string, port int, registry metrics.Registry) error {
	r := chi.NewRouter()
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		admin.WriteMetrics(w, registry)
	})
	s := &http.Server{Addr: fmt.Sprintf("%s:%d", ip, port), Handler: r, ReadHeaderTimeout: callerHeaderTimeout}
	return s.ListenAndServe()
}
