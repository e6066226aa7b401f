// Package region runs the tasks of the entry that holds a region's planner lease: planning, and adding epochs to the key
// ledger ahead of time.
package region

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/demand"
	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/ledger"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/internal/planner"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// ForwardTopic is the topic of a batch of reports that an entry forwards to the planner. It differs from
// demand.ReportTopic, so that two entries with different views of the lease never forward reports back and forth.
const ForwardTopic = "demand.forward"

// ForwardInterval is the default time between two batches. The planner uses a report for four reporting intervals of the
// sidecar (20 s), so one lost batch does no harm.
const ForwardInterval = 10 * time.Second

// Options configures a Controller.
type Options struct {
	Self            link.Hello
	Link            link.Options
	KeyHorizon      time.Duration // how far ahead the ledger's last epoch reaches; default 15 min
	ForwardInterval time.Duration // between two batches of reports to the planner; default is the constant ForwardInterval
	Members         func() []membership.Member
}

// Controller plans for a region while this process holds the planner lease, and otherwise forwards the reports of sidecars
// to the leaseholder.
type Controller struct {
	opts       Options
	cat        *catalog.Catalog
	log        zerolog.Logger
	runner     *planner.Runner
	maintainer *ledger.Maintainer
	batch      batch
}

// New returns the Controller of the region of opts.Self; Run starts it.
func New(opts Options, store fighollow.ObjectStore, cat *catalog.Catalog, log zerolog.Logger) *Controller {
	if opts.ForwardInterval == 0 {
		opts.ForwardInterval = ForwardInterval
	}
	return &Controller{
		opts: opts, cat: cat, log: log,
		runner: planner.New(planner.Options{Holder: opts.Self.ID, Region: opts.Self.Region}, store, cat, log),
		maintainer: &ledger.Maintainer{
			Store: store, Catalog: cat, Region: opts.Self.Region, Horizon: opts.KeyHorizon, Log: log,
			Entries: func() []string { return ledger.Entries(cat, opts.Self.Region, opts.Members()) },
		},
	}
}

// Run plans, maintains the key ledger and forwards reports until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { _ = c.runner.Run(ctx) })
	wg.Go(func() { c.maintain(ctx) })
	wg.Go(func() { c.forwardReports(ctx) })
	wg.Wait()
}

// HandleTell handles a report of a sidecar or a batch of reports that another entry forwards. It does not block and is
// safe for concurrent use.
func (c *Controller) HandleTell(_ *link.Conn, topic string, body []byte) {
	var reports []demand.Report
	var err error
	switch topic {
	case demand.ReportTopic:
		reports = make([]demand.Report, 1)
		err = msgpack.Unmarshal(body, &reports[0])
	case ForwardTopic:
		var packed []byte
		if err = msgpack.Unmarshal(body, &packed); err == nil {
			reports, err = DecodeReports(packed)
		}
	}
	if err != nil {
		event.ReportMalformed.Log(&c.log).Err(err).Send()
		return
	}
	for _, r := range reports {
		if c.runner.HoldsLease() {
			c.runner.HandleReport(time.Now(), r)
		} else if topic == demand.ReportTopic {
			c.batch.add(r)
		}
	}
}

const maintainInterval = time.Second

func (c *Controller) maintain(ctx context.Context) {
	t := time.NewTicker(maintainInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			if !c.runner.HoldsLease() {
				continue
			}
			if err := c.maintainer.Step(ctx, now); err != nil && ctx.Err() == nil {
				event.LedgerNotWritten.Log(&c.log).Str("region", c.opts.Self.Region).Err(err).Send()
			}
		}
	}
}

// forwardReports sends the reports of sidecars to the leaseholder every Options.ForwardInterval until ctx ends.
func (c *Controller) forwardReports(ctx context.Context) {
	out := link.Outgoing{Self: c.opts.Self, Opts: c.opts.Link}
	defer out.Close()
	t := time.NewTicker(c.opts.ForwardInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.sendBatch(ctx, &out)
		}
	}
}

// sendBatch sends the collected reports to the leaseholder. If it cannot be reached, the batch is dropped, because the next
// reports replace it.
func (c *Controller) sendBatch(ctx context.Context, out *link.Outgoing) {
	reports := c.batch.drain()
	addr, ok := c.plannerAddr()
	if len(reports) == 0 || !ok {
		return
	}
	packed, err := EncodeReports(reports)
	if err != nil {
		event.ReportMalformed.Log(&c.log).Err(err).Send()
		return
	}
	conn, err := out.Connect(ctx, addr)
	if err != nil {
		return
	}
	// A failed send closes the link, and the next batch opens a new one.
	_ = conn.Tell(ForwardTopic, packed)
}

// plannerAddr returns the link address of the leaseholder; ok is false if it is unknown or this process.
func (c *Controller) plannerAddr() (addr string, ok bool) {
	var lease fighollow.PlannerLease
	if _, err := c.cat.Decode(fighollow.KindPlannerLease, c.opts.Self.Region, &lease); err != nil {
		return "", false
	}
	var inst fighollow.Instance
	if _, err := c.cat.Decode(fighollow.KindInstance, lease.Holder, &inst); err != nil {
		return "", false
	}
	return inst.Link, lease.Holder != c.opts.Self.ID
}
