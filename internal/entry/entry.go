// Package entry serves callers: it parses their requests, applies the limits of their workspaces, chooses upstreams and
// relays the answers.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/admission"
	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/internal/routing"
	"github.com/fighollow/fighollow/internal/settings"
	"github.com/fighollow/fighollow/internal/spread"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Timeouts of the HTTP servers. They bound how long a caller may take to send a request, never how long an answer takes.
const (
	headerTimeout = 10 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	// dialTimeout is short because a request waits for it; links cross at most a few milliseconds of latency.
	dialTimeout = time.Second
)

// Entry is one entry process. The Set methods must be called before Run; the others are safe for concurrent use.
type Entry struct {
	cfg         settings.Entry
	log         zerolog.Logger
	cat         *catalog.Catalog
	node        *spread.Node
	links       *pool
	view        atomic.Pointer[view]
	balance     balance
	ready       atomic.Bool
	metrics     *entryMetrics
	keys        fighollow.KeyLedger // nil: keyed requests are refused
	askLedger   AskHandler
	tellDemand  TellHandler
	incarnation int64
	linkOpts    link.Options

	callers, admin net.Listener
	peers          *link.Listener

	mu       sync.Mutex
	open     int
	stopping bool
	drained  chan struct{} // closed when the entry is stopping and no request is open
}

// New returns an entry. It opens no sockets; Run does.
func New(cfg settings.Entry, store fighollow.ObjectStore, log zerolog.Logger) (*Entry, error) {
	e := &Entry{
		cfg: cfg, log: log, cat: catalog.New(),
		incarnation: time.Now().UnixMilli(),
		linkOpts:    link.Options{MaxFrame: cfg.MaxFrameBytes, DialTimeout: dialTimeout},
		drained:     make(chan struct{}),
	}
	if cfg.TLS != nil {
		t, err := link.LoadTLS(cfg.TLS.Certificate, cfg.TLS.Key, cfg.TLS.Authority)
		if err != nil {
			return nil, fmt.Errorf("entry: %w", err)
		}
		e.linkOpts.TLS = t
	}
	self := membership.Member{
		ID: cfg.ID, Incarnation: uint64(e.incarnation), Kind: fighollow.InstanceEntry, DataCentre: cfg.DataCentre, Link: cfg.Link,
	}
	opts := spread.Options{Peers: cfg.Peers, RemotePeers: cfg.RemotePeers, Link: e.linkOpts, Region: cfg.Region}
	e.node = spread.New(opts, self, store, e.cat, log)
	e.links = newPool(e.Hello(), &peerHandler{e: e}, e.linkOpts)
	e.balance.router = routing.New(cfg.ID, cfg.DataCentre, routing.Options{})
	e.balance.limits = admission.NewEntryLimiter(cfg.MaxOpenRequests)
	e.metrics = newMetrics(e.balance.open)
	e.setView(newView(e.cat, nil, cfg.Region))
	return e, nil
}

// SetKeys sets the ledger of idempotency keys. Without one, requests with a key are refused as keyUnknown.
func (e *Entry) SetKeys(keys fighollow.KeyLedger) { e.keys = keys }

// SetLedgerHandler sets what answers questions of other entries under LedgerTopic.
func (e *Entry) SetLedgerHandler(h AskHandler) { e.askLedger = h }

// SetDemandHandler sets what takes messages under DemandTopic. It must not block.
func (e *Entry) SetDemandHandler(h TellHandler) { e.tellDemand = h }

// Catalog returns the entry's copy of the objects.
func (e *Entry) Catalog() *catalog.Catalog { return e.cat }

// Node returns the entry's part in membership and distribution.
func (e *Entry) Node() *spread.Node { return e.node }

// Routed returns the highest version of the objects by which new requests are routed.
func (e *Entry) Routed() uint64 { return e.view.Load().version }

// Hello returns how the entry identifies itself on links.
func (e *Entry) Hello() link.Hello {
	return link.Hello{
		ID: e.cfg.ID, Incarnation: e.incarnation, Kind: fighollow.InstanceEntry,
		DataCentre: e.cfg.DataCentre, Region: e.cfg.Region, Link: e.cfg.Link,
	}
}

// Listen binds the entry's addresses. Run calls it unless it was called before.
func (e *Entry) Listen() error {
	var err error
	if e.callers, err = net.Listen("tcp", e.cfg.HTTP); err != nil {
		return fmt.Errorf("entry: listen for callers: %w", err)
	}
	if e.admin, err = net.Listen("tcp", e.cfg.Admin); err != nil {
		e.callers.Close()
		return fmt.Errorf("entry: listen for admin: %w", err)
	}
	if e.peers, err = link.Listen(e.cfg.Link, e.Hello(), &peerHandler{e: e}, e.linkOpts, e.linkRefused); err != nil {
		e.callers.Close()
		e.admin.Close()
		return fmt.Errorf("entry: %w", err)
	}
	return nil
}

// Addrs returns the addresses bound by Listen: for callers, for the admin server and for links.
func (e *Entry) Addrs() (callers, admin, peers string) {
	return e.callers.Addr().String(), e.admin.Addr().String(), e.peers.Addr()
}

// Run serves until ctx is done and then stops gracefully: /readyz fails, new requests are refused as not run, and Run
// returns when the last open request has finished, without a time limit. The error is nil after a graceful stop.
func (e *Entry) Run(ctx context.Context) error {
	if e.peers == nil {
		if err := e.Listen(); err != nil {
			return err
		}
	}
	work, end := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { _ = e.node.Run(work) })
	background.Go(func() { e.followView(work) })
	background.Go(func() { e.links.closeUnused(work) })

	hs := &http.Server{Handler: e.routes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	as := &http.Server{Handler: e.adminRoutes(), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 2)
	go func() { failed <- hs.Serve(e.callers) }()
	go func() { failed <- as.Serve(e.admin) }()
	callers, admin, peers := e.Addrs()
	event.ProcessStarted.Log(&e.log).Str("http", callers).Str("link", peers).Str("admin", admin).Send()

	var err error
	select {
	case <-ctx.Done():
		e.stop()
		<-e.drained
	case err = <-failed:
		err = fmt.Errorf("entry: serve: %w", err)
	}
	err = errors.Join(err, hs.Shutdown(context.Background()))
	end()
	background.Wait()
	e.links.close()
	e.peers.Close()
	err = errors.Join(err, as.Close())
	event.ProcessStopped.Log(&e.log).Send()
	return err
}

// stop begins the graceful stop.
func (e *Entry) stop() {
	event.ProcessStopping.Log(&e.log).Send()
	e.node.Announce(func(m *membership.Member) { m.State = membership.Leaving })
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = true
	if e.open == 0 {
		close(e.drained)
	}
}

// begin counts a request as open; it reports false when the entry is stopping.
func (e *Entry) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping {
		return false
	}
	e.open++
	return true
}

func (e *Entry) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open--
	if e.stopping && e.open == 0 {
		close(e.drained)
	}
}

// isReady reports whether the preset in force is known. The catalog never goes back, so that once is for ever.
func (e *Entry) isReady() bool {
	if e.ready.Load() {
		return true
	}
	if !e.node.Ready() {
		return false
	}
	e.ready.Store(true)
	return true
}

func (e *Entry) isStopping() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopping
}
