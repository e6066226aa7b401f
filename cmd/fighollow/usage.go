package main

import (
	"context"
	"time"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/usage"
	"github.com/fighollow/fighollow/platform"
)

// scalingCheckInterval is the pause between two checks of the configuration for services that ask for a number of engines.
const scalingCheckInterval = time.Second

// reportsUsage reports whether this process sends usage reports while it holds the lease.
func reportsUsage(cfg *platform.Settings) bool {
	required, reason := cfg.RequiresUsage()
	return required && reason == ""
}

// usageParts count the requests of workspaces and report them.
type usageParts struct {
	counter   *usage.Counter
	collector *usage.Collector
	reporter  *usage.Reporter
}

// newUsage returns the parts that count and report usage. self is the name of this entry among its peers.
func (p *gatewayProcess) newUsage(self string) *usageParts {
	clock := usage.NewClock(usage.ReadClocks)
	u := &usageParts{counter: usage.NewCounter(p.cfg.Bounds.ReportWindow, clock)}
	u.collector = usage.NewCollector(usage.CollectorOptions{
		Self: self, DataCentre: p.cfg.DataCentre, Window: p.cfg.Bounds.ReportWindow, Holder: p.lease.HolderName, Registry: p.registry,
	}, clock, u.counter, p.peers, p.log)
	u.reporter = usage.NewReporter(usage.ReporterOptions{
		Self: p.cfg.Node, Window: p.cfg.Bounds.ReportWindow, CallsPerSec: p.cfg.UsageAPI.CallsPS, Started: time.Now(), Registry: p.registry,
	}, p.lease, p.store, platform.NewUsageAPI(p.cfg.UsageAPI.Address), u.collector, clock, p.log)
	return u
}

// runReporter sends usage reports until ctx is done.
func (p *gatewayProcess) runReporter(ctx context.Context) {
	defer close(p.reporterDone)
	p.usage.reporter.Run(ctx)
}

// startCollector starts to exchange counts with the other entries. The function that it returns sends what is left and ends the exchange;
// it must be called before the link to the peers is closed.
func (p *gatewayProcess) startCollector() (stop func()) {
	if p.usage == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.usage.collector.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// logDuties logs the duties that the platform requires and this process does not perform. That the number of engines is one of them shows
// when a configuration has a service that asks for it.
func (p *gatewayProcess) logDuties(ctx context.Context) {
	if _, reason := p.cfg.RequiresUsage(); reason != "" {
		event.DutyUnsupported.Log(&p.log).Str("duty", "usage reports").Str("reason", reason).Send()
	}
	if !p.cfg.Scaling {
		return
	}
	for {
		if r := p.gateway.Routing(); r != nil {
			for name := range r.Services {
				if r.Services[name].Scales {
					event.DutyUnsupported.Log(&p.log).Str("duty", "number of engines").Str("service", name).
						Str("reason", "the service asks for a number of engines that follows the load, which is not supported").Send()
					return
				}
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(scalingCheckInterval):
		}
	}
}
