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

// newReporter returns the reporter of usage.
func (p *gatewayProcess) newReporter() *usage.Reporter {
	return usage.NewReporter(usage.ReporterOptions{
		Self: p.cfg.Node, Window: p.cfg.Bounds.ReportWindow, CallsPerSec: p.cfg.Cloud.CallsPS, Started: time.Now(), Registry: p.registry,
	}, p.lease, p.store, platform.NewCloud(p.cfg.Cloud.Address), uncounted{}, uncounted{}, p.log)
}

// runReporter sends usage reports until ctx is done.
func (p *gatewayProcess) runReporter(ctx context.Context) {
	defer close(p.reporterDone)
	p.reporter.Run(ctx)
}

// uncounted is a Ledger without counts and a TrueTime that trusts the clock of this instance.
type uncounted struct{}

func (uncounted) Sync(context.Context, int64)   {}
func (uncounted) Counts(int64) map[string]int64 { return nil }
func (uncounted) Now(now time.Time) time.Time   { return now }

// logDuties logs the duties that the platform requires and this process does not perform. That the number of engines is one of them shows
// when a configuration has a service that asks for it.
func (p *gatewayProcess) logDuties(ctx context.Context) {
	if _, reason := p.cfg.RequiresUsage(); reason != "" {
		event.DutyUnsupported.Log(&p.log).Str("duty", "usage reports").Str("reason", reason).Send()
	}
	if !p.cfg.RequiresScaling() {
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
