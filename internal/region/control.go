// Package region runs what one entry does for its whole region while it holds the planner lease: planning, and keeping
// the epochs of the key ledger ahead of the time.
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

// ForwardTopic is the topic of a report that an entry passes on to the planner. It differs from demand.ReportTopic, so
// that two entries with different views of the lease never pass a report back and forth.
const ForwardTopic = "demand.forward"

// reportQueue bounds reports that wait to be passed on. A lost report is replaced by the next one.
const reportQueue = 256

// Options describe the process and its region.
type Options struct {
	Self       link.Hello
	Link       link.Options
	KeyHorizon time.Duration // how far ahead the ledger's last epoch reaches; default 15 min
	Members    func() []membership.Member
}

// Control plans for a region while this process holds the lease, and passes reports on to the holder otherwise.
type Control struct {
	opts       Options
	cat        *catalog.Catalog
	log        zerolog.Logger
	runner     *planner.Runner
	maintainer *ledger.Maintainer
	forward    chan []byte
}

// New returns the control of a region; Run starts it.
func New(opts Options, store fighollow.ObjectStore, cat *catalog.Catalog, log zerolog.Logger) *Control {
	return &Control{
		opts: opts, cat: cat, log: log,
		runner: planner.NewRunner(planner.Options{Holder: opts.Self.ID, Region: opts.Self.Region}, store, cat, log),
		maintainer: &ledger.Maintainer{
			Store: store, Catalog: cat, Region: opts.Self.Region, Horizon: opts.KeyHorizon, Log: log,
			Entries: func() []string { return ledger.Entries(cat, opts.Self.Region, opts.Members()) },
		},
		forward: make(chan []byte, reportQueue),
	}
}

// Run works until ctx ends.
func (c *Control) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { _ = c.runner.Run(ctx) })
	wg.Go(func() { c.maintain(ctx) })
	wg.Go(func() { c.passOn(ctx) })
	wg.Wait()
}

// HandleTell takes a report of a sidecar or one that another entry passed on. It does not block.
func (c *Control) HandleTell(_ *link.Conn, topic string, body []byte) {
	switch {
	case topic != demand.ReportTopic && topic != ForwardTopic:
	case c.runner.Holding():
		var r demand.Report
		if err := msgpack.Unmarshal(body, &r); err != nil {
			event.ReportMalformed.Log(&c.log).Err(err).Send()
			return
		}
		c.runner.HandleReport(time.Now(), r)
	case topic == demand.ReportTopic:
		select {
		case c.forward <- append([]byte(nil), body...):
		default:
		}
	}
}

const maintainEvery = time.Second

func (c *Control) maintain(ctx context.Context) {
	t := time.NewTicker(maintainEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			if !c.runner.Holding() {
				continue
			}
			if err := c.maintainer.Step(ctx, now); err != nil && ctx.Err() == nil {
				event.LedgerNotWritten.Log(&c.log).Str("region", c.opts.Self.Region).Err(err).Send()
			}
		}
	}
}

// passOn sends reports to the holder of the lease over one link, which is opened when needed.
func (c *Control) passOn(ctx context.Context) {
	var conn *link.Conn
	var addr string
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case body := <-c.forward:
			to, ok := c.planner()
			if !ok {
				continue
			}
			if conn != nil && (addr != to || isClosed(conn)) {
				conn.Close()
				conn = nil
			}
			if conn == nil {
				var err error
				if conn, err = link.Dial(ctx, to, c.opts.Self, link.NoHandler{}, c.opts.Link); err != nil {
					conn = nil
					continue
				}
				addr = to
			}
			// A failed send closes the link, which the next report notices.
			_ = conn.Tell(ForwardTopic, msgpack.RawMessage(body))
		}
	}
}

// planner returns the link address of the lease's holder when it is another process.
func (c *Control) planner() (addr string, ok bool) {
	var lease fighollow.PlannerLease
	if _, err := c.cat.Decode(fighollow.KindPlannerLease, c.opts.Self.Region, &lease); err != nil {
		return "", false
	}
	var in fighollow.Instance
	if _, err := c.cat.Decode(fighollow.KindInstance, lease.Holder, &in); err != nil {
		return "", false
	}
	return in.Link, lease.Holder != c.opts.Self.ID
}

func isClosed(c *link.Conn) bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}
