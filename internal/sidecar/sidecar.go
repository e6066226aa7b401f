// Package sidecar implements the process that runs beside one upstream, which is an engine or a plain service. A
// sidecar makes the final admission decision, runs attempts and relays their answers, reports its load, and is the only
// process that sends orders to its engine.
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
	"github.com/fighollow/fighollow/internal/quota"
	"github.com/fighollow/fighollow/internal/service"
	"github.com/fighollow/fighollow/internal/settings"
	"github.com/fighollow/fighollow/internal/spread"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Sidecar serves calls of entries with one upstream.
type Sidecar struct {
	cfg         settings.Sidecar
	log         zerolog.Logger
	linkOpts    link.Options
	hello       link.Hello
	incarnation int64 // start time of this process, Unix milliseconds
	cat         *catalog.Catalog
	node        *spread.Node
	engine      fighollow.Engine        // nil beside a plain service
	service     fighollow.ServiceClient // nil beside an engine
	metrics     *stats
	wake        chan struct{} // capacity 1; wakes reconcileLoop
	lastInvalid atomic.Value  // string; the last logged error of an undecodable object

	mu             sync.Mutex
	queue          *admission.Queue
	named          quota.Named // the upstream's request limit
	permitTimer    *time.Timer // dispatches when the limit allows another request; nil if nothing waits for it
	machine        *order.Machine
	attempts       map[string]*attempt // by attempt id; kept until the answer can no longer be resumed
	ids            *idHistory
	costs          *costEstimator
	counts         *workCounts
	cache          *cacheAge
	conns          map[*link.Conn]struct{}
	drain          fighollow.DrainAction // "" while in service
	stopping       bool
	announced      announcement
	attemptRemoved chan struct{} // closed and replaced when an entry of attempts is deleted
}

// New returns a sidecar for validated settings. Run starts it. It returns an error if the TLS files cannot be loaded or
// the kind of upstream is unknown.
func New(cfg settings.Sidecar, store fighollow.ObjectStore, log zerolog.Logger) (*Sidecar, error) {
	now := time.Now()
	s := &Sidecar{
		cfg: cfg, log: log.With().Str("process", cfg.ID).Logger(), incarnation: now.UnixMilli(),
		linkOpts: link.Options{MaxFrame: cfg.MaxFrameBytes}, cat: catalog.New(), wake: make(chan struct{}, 1),
		queue: admission.NewQueue(cfg.QueueLength), attempts: make(map[string]*attempt), ids: newIDHistory(now),
		costs: newCostEstimator(), counts: newWorkCounts(), cache: newCacheAge(), conns: make(map[*link.Conn]struct{}),
		attemptRemoved: make(chan struct{}),
	}
	s.metrics = newStats(s)
	if cfg.TLS != nil {
		t, err := link.LoadTLS(cfg.TLS.Certificate, cfg.TLS.Key, cfg.TLS.Authority)
		if err != nil {
			return nil, fmt.Errorf("sidecar: %w", err)
		}
		s.linkOpts.TLS = t
	}
	kind := fighollow.InstanceKind(cfg.Upstream.Kind)
	switch kind {
	case fighollow.InstanceEngine:
		s.engine = engine.New(cfg.Upstream.Address, s.observeLimit)
		s.machine = order.New(order.Config{
			ChecksFence:   cfg.Upstream.ChecksFence,
			SettleTimeout: time.Duration(cfg.Upstream.OrderSettleMs) * time.Millisecond,
		}, now)
	case fighollow.InstanceService:
		s.service = service.New(cfg.Upstream.Address, s.observeLimit)
		s.queue.SetSlots(cfg.Upstream.Slots)
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

// Run serves until ctx ends, then stops gracefully: it refuses new work and returns when every accepted attempt has
// ended, however long that takes. It returns an error only if an address cannot be bound.
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
		IdleTimeout: adminIdleTimeout, DisableGeneralOptionsHandler: true,
	}
	// The background goroutines run until the last attempt has ended, thus longer than ctx.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer func() {
		cancel()
		_ = srv.Close() // does not wait for open admin requests
	}()
	wg.Go(func() { _ = srv.Serve(admin) })
	wg.Go(func() { _ = s.node.Run(background) })
	wg.Go(func() { s.reconcileLoop(background) })
	wg.Go(func() { s.reportLoop(background) })
	wg.Go(func() { s.pollCacheEvents(background) })
	event.ProcessStarted.Log(&s.log).Str("link", l.Addr()).Str("admin", s.cfg.Admin).Str("upstream", s.cfg.Upstream.Address).Send()
	<-ctx.Done()
	s.drainAndStop()
	event.ProcessStopped.Log(&s.log).Send()
	return nil
}

// runAttempt waits until an accepted attempt has a slot and runs it.
func (s *Sidecar) runAttempt(a *attempt) {
	defer close(a.done)
	defer s.release(a)
	select {
	case <-a.start:
	case <-a.ctx.Done():
	}
	if a.ctx.Err() != nil {
		a.end(link.Finish{Outcome: fighollow.OutcomeNotRun, Refusal: notRun(fighollow.CodeCancelled, "given up before it ran")})
		return
	}
	if s.engine != nil {
		s.generate(a)
	} else {
		s.proxy(a)
	}
}

// release frees the slot or queue position of an attempt and dispatches queued ones.
func (s *Sidecar) release(a *attempt) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Remove(a.call.Attempt)
	s.dispatch(now)
	s.metrics.addEnded(a.outcome())
	if s.queue.InFlight() == 0 {
		s.wakeReconcile()
	}
}

// dispatch starts queued attempts for which there is a slot, and drops those that would miss their deadline. s.mu must
// be held.
func (s *Sidecar) dispatch(now time.Time) {
	start, removed := s.queue.Dispatch(now)
	for _, t := range start {
		close(s.attempts[t.ID].start)
	}
	for _, r := range removed {
		s.dropQueued(r)
	}
	s.awaitPermit(now)
}

// dispatchQueue runs in each round of reconcileLoop: it drops queued attempts that would now miss their deadline and
// uses slots that were added.
func (s *Sidecar) dispatchQueue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch(time.Now())
}

// dropQueued ends a queued attempt as not run. s.mu must be held.
func (s *Sidecar) dropQueued(r admission.Removed) {
	a := s.attempts[r.Ticket.ID]
	s.counts.addRefused(&a.call)
	s.metrics.addRefused(r.Refusal.Code)
	a.end(link.Finish{Outcome: fighollow.OutcomeNotRun, Refusal: &r.Refusal})
	a.cancel(errDropped)
}

// remove waits for the end of an attempt, deletes it with its answer, and keeps the state of its id.
func (s *Sidecar) remove(a *attempt) {
	<-a.done
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts[a.call.Attempt] != a {
		return
	}
	delete(s.attempts, a.call.Attempt)
	state := mayHaveRun
	if a.outcome() == fighollow.OutcomeNotRun {
		state = blocked
	}
	s.ids.set(time.Now(), a.call.Attempt, state)
	close(s.attemptRemoved)
	s.attemptRemoved = make(chan struct{})
}

func (s *Sidecar) load() fighollow.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	l := s.queue.Load(now)
	l.CacheAgeMs = s.cache.millis(now)
	return l
}

// maxClockSkew is how far the clock of an entry may be ahead of the local one.
const maxClockSkew = 2 * time.Second

// mayPredateProcess reports whether a resumed attempt may have been sent to an earlier process of this sidecar. If the
// call has no incarnation, only an id with a creation time, which is a UUIDv7, can rule that out.
func (s *Sidecar) mayPredateProcess(call *link.Call) bool {
	if call.Incarnation != 0 {
		return call.Incarnation != s.incarnation
	}
	id, err := uuid.Parse(call.Attempt)
	if err != nil || id.Version() != 7 {
		return true
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec).UnixMilli() < s.incarnation+maxClockSkew.Milliseconds()
}
