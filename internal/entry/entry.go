// Package entry implements the HTTP front end: it parses the requests of callers, applies the limits of their workspaces,
// dispatches the requests to upstreams and relays the answers.
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
	"github.com/fighollow/fighollow/internal/callerconn"
	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/internal/routing"
	"github.com/fighollow/fighollow/internal/settings"
	"github.com/fighollow/fighollow/internal/spread"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Timeouts of the HTTP servers and of links. The server timeouts limit how long a caller may take to send a request. They
// do not limit the duration of an answer.
const (
	headerTimeout = 10 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	// dialTimeout is short because a request waits for the dial. The latency of a link is at most a few milliseconds.
	dialTimeout = time.Second
)

// Entry is one entry process. The Set methods must be called before Run. The other methods are safe for concurrent use.
type Entry struct {
	cfg           settings.Entry
	log           zerolog.Logger
	cat           *catalog.Catalog
	node          *spread.Node
	links         *pool
	view          atomic.Pointer[view]
	balancer      balancer
	ready         atomic.Bool
	metrics       *entryMetrics
	keys          fighollow.KeyLedger // if nil, requests with an idempotency key are refused
	ledgerHandler AskHandler
	demandHandler TellHandler
	incarnation   int64
	linkOpts      link.Options

	callerListener, adminListener net.Listener
	linkListener                  *link.Listener

	mu           sync.Mutex
	openRequests int
	stopping     bool
	drained      chan struct{} // closed once the entry is stopping and no request is open
}

// New returns an entry. It opens no sockets; Listen and Run do.
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
	e.balancer.router = routing.New(cfg.ID, cfg.DataCentre, routing.Options{})
	e.balancer.limiter = admission.NewEntryLimiter(cfg.MaxOpenRequests)
	e.metrics = newMetrics(e.balancer.openRequests)
	e.setView(newView(e.cat, nil, cfg.Region))
	return e, nil
}

// SetKeyLedger sets the ledger of idempotency keys. Without a ledger, requests with a key are refused with the code
// keyUnknown.
func (e *Entry) SetKeyLedger(keys fighollow.KeyLedger) { e.keys = keys }

// SetLedgerHandler sets the handler of requests from other entries whose topic starts with LedgerTopic.
func (e *Entry) SetLedgerHandler(h AskHandler) { e.ledgerHandler = h }

// SetDemandHandler sets the handler of one-way messages whose topic starts with DemandTopic. The handler must not block.
func (e *Entry) SetDemandHandler(h TellHandler) { e.demandHandler = h }

// Catalog returns the entry's local copy of the stored objects.
func (e *Entry) Catalog() *catalog.Catalog { return e.cat }

// Node returns the entry's node for membership and for the distribution of objects.
func (e *Entry) Node() *spread.Node { return e.node }

// RoutedVersion returns the highest object version that the routing of new requests includes.
func (e *Entry) RoutedVersion() uint64 { return e.view.Load().version }

// Hello returns the identity that the entry presents on links.
func (e *Entry) Hello() link.Hello {
	return link.Hello{
		ID: e.cfg.ID, Incarnation: e.incarnation, Kind: fighollow.InstanceEntry,
		DataCentre: e.cfg.DataCentre, Region: e.cfg.Region, Link: e.cfg.Link,
	}
}

// Listen binds the entry's addresses. Run calls Listen if it has not been called.
func (e *Entry) Listen() error {
	var err error
	if e.callerListener, err = net.Listen("tcp", e.cfg.HTTP); err != nil {
		return fmt.Errorf("entry: listen for callers: %w", err)
	}
	if e.adminListener, err = net.Listen("tcp", e.cfg.Admin); err != nil {
		e.callerListener.Close()
		return fmt.Errorf("entry: listen for admin: %w", err)
	}
	if e.linkListener, err = link.Listen(e.cfg.Link, e.Hello(), &peerHandler{e: e}, e.linkOpts, e.logLinkRefused); err != nil {
		e.callerListener.Close()
		e.adminListener.Close()
		return fmt.Errorf("entry: %w", err)
	}
	return nil
}

// Addrs returns the addresses that Listen bound: for callers, for the admin server and for links.
func (e *Entry) Addrs() (callers, admin, peers string) {
	return e.callerListener.Addr().String(), e.adminListener.Addr().String(), e.linkListener.Addr()
}

// Run serves until ctx is done and then stops gracefully: /readyz fails, new requests are refused with the outcome not
// run, and Run waits for all open requests to finish, without a time limit. It returns nil after a graceful stop.
func (e *Entry) Run(ctx context.Context) error {
	if e.linkListener == nil {
		if err := e.Listen(); err != nil {
			return err
		}
	}
	background, stopBackground := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = e.node.Run(background) })
	wg.Go(func() { e.refreshView(background) })
	wg.Go(func() { e.links.closeIdle(background) })

	callerServer := &http.Server{
		Handler: callerconn.ResetAborted(e.routes()), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ConnContext: callerconn.Context, DisableGeneralOptionsHandler: true,
	}
	adminServer := &http.Server{Handler: e.adminRoutes(), ReadHeaderTimeout: headerTimeout, DisableGeneralOptionsHandler: true}
	serveErrs := make(chan error, 2)
	go func() { serveErrs <- callerServer.Serve(e.callerListener) }()
	go func() { serveErrs <- adminServer.Serve(e.adminListener) }()
	callers, admin, peers := e.Addrs()
	event.ProcessStarted.Log(&e.log).Str("http", callers).Str("link", peers).Str("admin", admin).Send()

	var err error
	select {
	case <-ctx.Done():
		e.stop()
		<-e.drained
	case err = <-serveErrs:
		err = fmt.Errorf("entry: serve: %w", err)
	}
	err = errors.Join(err, callerServer.Shutdown(context.Background()))
	stopBackground()
	wg.Wait()
	e.links.close()
	e.linkListener.Close()
	err = errors.Join(err, adminServer.Close())
	event.ProcessStopped.Log(&e.log).Send()
	return err
}

// stop starts the graceful stop. Run waits for its end on e.drained.
func (e *Entry) stop() {
	event.ProcessStopping.Log(&e.log).Send()
	e.node.Announce(func(m *membership.Member) { m.State = membership.Leaving })
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = true
	if e.openRequests == 0 {
		close(e.drained)
	}
}

// beginRequest counts a request as open. It returns false, without counting, if the entry is stopping.
func (e *Entry) beginRequest() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping {
		return false
	}
	e.openRequests++
	return true
}

func (e *Entry) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.openRequests--
	if e.stopping && e.openRequests == 0 {
		close(e.drained)
	}
}

// isReady reports whether the preset in force is known. The result stays true once it is true, because the catalog never
// reverts to older versions.
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
