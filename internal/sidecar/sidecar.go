// Package sidecar is the process beside one upstream: it decides finally about admission, relays answers, and is the
// only sender of orders to its engine.
package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/admission"
	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/engine"
	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/internal/order"
	"github.com/fighollow/fighollow/internal/service"
	"github.com/fighollow/fighollow/internal/settings"
	"github.com/fighollow/fighollow/internal/spread"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Sidecar serves one upstream.
type Sidecar struct {
	cfg         settings.Sidecar
	log         zerolog.Logger
	linkOpts    link.Options
	hello       link.Hello
	incarnation int64 // start of this process, Unix ms
	cat         *catalog.Catalog
	node        *spread.Node
	engine      fighollow.Engine        // nil beside a plain service
	service     fighollow.ServiceClient // nil beside an engine
	metrics     *gauges
	poke        chan struct{} // capacity 1; asks the order loop for a round
	invalid     atomic.Value  // string; the error of an object that was logged last

	mu        sync.Mutex
	admission *admission.Queue
	machine   *order.Machine
	held      map[string]*attempt // by attempt id, until the answer is delivered or given up
	fates     *fates
	pace      *pace
	counts    *counts
	cache     *cacheAge
	conns     map[*link.Conn]struct{}
	drain     fighollow.DrainAction // "" while in service
	leaving   bool
	announced announcement
	idle      chan struct{} // closed and replaced when an attempt leaves held
}

// New returns a sidecar for checked settings. Run starts it.
func New(cfg settings.Sidecar, store fighollow.ObjectStore, log zerolog.Logger) (*Sidecar, error) {
	now := time.Now()
	s := &Sidecar{
		cfg: cfg, log: log.With().Str("process", cfg.ID).Logger(), incarnation: now.UnixMilli(),
		linkOpts: link.Options{MaxFrame: cfg.MaxFrameBytes}, cat: catalog.New(), poke: make(chan struct{}, 1),
		admission: admission.NewQueue(cfg.QueueLength), held: make(map[string]*attempt), fates: newFates(now),
		pace: newPace(), counts: newCounts(), cache: newCacheAge(), conns: make(map[*link.Conn]struct{}), idle: make(chan struct{}),
	}
	s.metrics = newGauges(s)
	if cfg.TLS != nil {
		t, err := link.LoadTLS(cfg.TLS.Certificate, cfg.TLS.Key, cfg.TLS.Authority)
		if err != nil {
			return nil, fmt.Errorf("sidecar: %w", err)
		}
		s.linkOpts.TLS = t
	}
	kind := fighollow.UpstreamKind(cfg.Upstream.Kind)
	switch kind {
	case fighollow.UpstreamEngine:
		s.engine = engine.New(cfg.Upstream.Address)
		s.machine = order.New(order.Config{
			ChecksFence:   cfg.Upstream.ChecksFence,
			SettleTimeout: time.Duration(cfg.Upstream.OrderSettleMs) * time.Millisecond,
		}, now)
	case fighollow.UpstreamService:
		s.service = service.New(cfg.Upstream.Address)
		s.admission.SetSlots(cfg.Upstream.Slots)
	default:
		return nil, fmt.Errorf("sidecar: unknown kind of upstream %q", kind)
	}
	s.hello = link.Hello{
		ID: cfg.ID, Incarnation: s.incarnation, Kind: kind, DataCentre: cfg.DataCentre, Region: cfg.Region, Link: cfg.Link,
	}
	s.node = spread.New(spread.Options{Peers: cfg.Peers, RemotePeers: cfg.RemotePeers, Link: s.linkOpts}, membership.Member{
		ID: cfg.ID, Incarnation: uint64(s.incarnation), Kind: kind, DataCentre: cfg.DataCentre, Link: cfg.Link,
		Service: cfg.Upstream.Service,
	}, store, s.cat, s.log)
	return s, nil
}

// Run serves until ctx ends, then stops gracefully: it refuses new work, and returns when every accepted attempt has
// ended. No time limit interrupts one. It returns an error only when an address cannot be bound.
func (s *Sidecar) Run(ctx context.Context) error {
	l, err := link.Listen(s.cfg.Link, s.hello, s, s.linkOpts, s.linkRefused)
	if err != nil {
		return fmt.Errorf("sidecar: %w", err)
	}
	defer l.Close()
	admin, err := net.Listen("tcp", s.cfg.Admin)
	if err != nil {
		return fmt.Errorf("sidecar: admin address: %w", err)
	}
	srv := &http.Server{
		Handler: s.adminHandler(), ReadHeaderTimeout: adminTimeout, ReadTimeout: adminTimeout, WriteTimeout: adminTimeout,
		IdleTimeout: adminIdleTimeout,
	}
	// The background work goes on until the last attempt has ended.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer func() {
		cancel()
		_ = srv.Close() // open admin requests are not worth waiting for
	}()
	wg.Go(func() { _ = srv.Serve(admin) })
	wg.Go(func() { _ = s.node.Run(background) })
	wg.Go(func() { s.follow(background) })
	wg.Go(func() { s.report(background) })
	wg.Go(func() { s.followCache(background) })
	event.ProcessStarted.Log(&s.log).Str("link", l.Addr()).Str("admin", s.cfg.Admin).Str("upstream", s.cfg.Upstream.Address).Send()
	<-ctx.Done()
	s.stop()
	event.ProcessStopped.Log(&s.log).Send()
	return nil
}

// work runs an accepted attempt once it has a slot.
func (s *Sidecar) work(a *attempt) {
	defer close(a.done)
	defer s.release(a)
	select {
	case <-a.start:
	case <-a.ctx.Done():
	}
	if a.ctx.Err() != nil {
		a.end(link.Finish{Outcome: fighollow.NotRun, Refusal: notRun(fighollow.CodeCancelled, "given up before it ran")})
		return
	}
	if s.engine != nil {
		s.generate(a)
	} else {
		s.proxy(a)
	}
}

// release frees the place of an attempt and starts those that waited for it.
func (s *Sidecar) release(a *attempt) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.Remove(a.call.Attempt)
	s.next(now)
	s.metrics.ended(a.outcome())
	if s.admission.InFlight() == 0 {
		s.wakeOrders()
	}
}

// next starts queued attempts for which there is a slot, and gives up those that would be late. s.mu is held.
func (s *Sidecar) next(now time.Time) {
	start, removed := s.admission.Dispatch(now)
	for _, t := range start {
		close(s.held[t.ID].start)
	}
	for _, r := range removed {
		s.giveUp(r)
	}
}

// serveQueue gives up attempts that became late while they waited, and follows a change of the number of slots.
func (s *Sidecar) serveQueue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next(time.Now())
}

// giveUp ends a queued attempt that did not run. s.mu is held.
func (s *Sidecar) giveUp(r admission.Removed) {
	a := s.held[r.Ticket.ID]
	s.counts.refused(&a.call)
	s.metrics.refused(r.Refusal.Code)
	a.end(link.Finish{Outcome: fighollow.NotRun, Refusal: &r.Refusal})
	a.abort(errGivenUp)
}

// forget drops an attempt whose answer is no longer wanted, once its work is over.
func (s *Sidecar) forget(a *attempt) {
	<-a.done
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[a.call.Attempt] != a {
		return
	}
	delete(s.held, a.call.Attempt)
	what := ran
	if a.outcome() == fighollow.NotRun {
		what = barred
	}
	s.fates.set(time.Now(), a.call.Attempt, what)
	close(s.idle)
	s.idle = make(chan struct{})
}

func (s *Sidecar) load() fighollow.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	l := s.admission.Load(now)
	l.CacheAgeMs = s.cache.ms(now)
	return l
}

// clockTolerance is how far the clock of an entry may be ahead of the one here.
const clockTolerance = 2 * time.Second

// predates reports whether a resumed attempt may have been sent to an earlier process in this slot. Without an
// incarnation in the call only an id that names its time of creation can show that it was not.
func (s *Sidecar) predates(call *link.Call) bool {
	if call.Incarnation != 0 {
		return call.Incarnation != s.incarnation
	}
	id, err := uuid.Parse(call.Attempt)
	if err != nil || id.Version() != 7 {
		return true
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec).UnixMilli() < s.incarnation+clockTolerance.Milliseconds()
}
