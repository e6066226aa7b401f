package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// minStoreBackoff and maxStoreBackoff bound the pause after a failed call of the store. The longest pause is well below
	// the time within which a new configuration must be in force.
	minStoreBackoff = 60 * time.Millisecond
	maxStoreBackoff = 500 * time.Millisecond
	// freshnessShare is the part of the time within which a change must take effect that a Follower may be late by on purpose. The
	// rest is for slow calls and what is on its way.
	freshnessShare = 0.25
	// upstreamsShare is the same for upstreams, of which a large fleet has changes all the time. One that leaves serves on meanwhile.
	upstreamsShare = 0.4
	// minUpstreamsPause is the pause after changes of upstreams while streams wait for one of them.
	minUpstreamsPause = 100 * time.Millisecond
)

// Freshness bounds how long a Follower pauses after a call that brought changes, so that changes in quick succession cost each entry one
// call. Zero values mean no pause.
type Freshness struct {
	Routing   time.Duration // within which a new configuration must take effect
	Upstreams time.Duration // within which an upstream that leaves must get no more work
	Crashes   time.Duration // within which what crashes upstreams must be withheld
}

// pause returns the pause after changes of a kind.
func (f *Freshness) pause(kind fighollow.Kind) time.Duration {
	switch kind {
	case fighollow.KindRouting:
		return time.Duration(freshnessShare * float64(f.Routing))
	case fighollow.KindInstance:
		return time.Duration(upstreamsShare * float64(f.Upstreams))
	case fighollow.KindQuarantine, fighollow.KindCrashReports:
		return time.Duration(freshnessShare * float64(f.Crashes))
	}
	return 0
}

// Decoder decodes the platform's objects.
type Decoder struct {
	Routing  func(fighollow.Object) (*fighollow.Routing, error)
	Upstream func(fighollow.Object) (fighollow.Upstream, error)
}

// Follower keeps a gateway's configuration and upstreams in step with the store.
type Follower struct {
	store      fighollow.ObjectStore
	decode     Decoder
	gateway    *Gateway
	fleet      *placement.Fleet
	freshness  Freshness
	outage     outage
	log        zerolog.Logger
	synced     atomic.Bool  // the upstreams were listed at least once
	lastAnswer atomic.Int64 // Unix milliseconds of the store's last answer about the upstreams

	routingVersion atomic.Uint64 // up to which the configuration was read and applied by Run
	routingListed  chan struct{} // closed when it was first read
}

// NewFollower returns a Follower. Run starts it.
func NewFollower(store fighollow.ObjectStore, decode Decoder, g *Gateway, fleet *placement.Fleet, freshness Freshness, log zerolog.Logger) *Follower {
	f := &Follower{store: store, decode: decode, gateway: g, fleet: fleet, freshness: freshness, log: log, routingListed: make(chan struct{})}
	f.lastAnswer.Store(time.Now().UnixMilli())
	return f
}

// Ready reports whether a configuration is in force and the upstreams were listed.
func (f *Follower) Ready() bool { return f.synced.Load() && f.gateway.Routing() != nil }

// SinceLastAnswer returns the time since the store's last answer about the upstreams, or since the start if there was
// none.
func (f *Follower) SinceLastAnswer(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(f.lastAnswer.Load()))
}

// Run lists and watches the store until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() {
		listed := sync.OnceFunc(func() { close(f.routingListed) })
		f.listAndWatch(ctx, fighollow.KindRouting, func(now time.Time, u update) {
			f.applyRouting(now, u)
			f.routingVersion.Store(u.version)
			listed()
		})
	})
	wg.Go(func() { f.listAndWatch(ctx, fighollow.KindInstance, f.applyUpstreams) })
	wg.Wait()
}

// Follow lists and watches another kind until ctx is done, and passes what it reads to apply. snapshot means that the objects are
// all of the kind.
func (f *Follower) Follow(ctx context.Context, kind fighollow.Kind, apply func(now time.Time, objects []fighollow.Object, snapshot bool)) {
	f.listAndWatch(ctx, kind, func(now time.Time, u update) { apply(now, u.objects, u.snapshot && !u.settling) })
}

// RegisteredVersions returns the software versions of a service's upstreams that the store has now.
func (f *Follower) RegisteredVersions(ctx context.Context, service string) ([]string, error) {
	objects, _, err := f.store.List(ctx, fighollow.KindInstance)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, o := range objects {
		// Those that cannot be decoded are not used.
		if u, err := f.decode.Upstream(o); err == nil && u.Service == service && !slices.Contains(out, u.Version) {
			out = append(out, u.Version)
		}
	}
	return out, nil
}

// FollowWhile is Follow during the times in which active says so. It calls ended after each of them.
func (f *Follower) FollowWhile(ctx context.Context, kind fighollow.Kind, active <-chan bool,
	apply func(now time.Time, objects []fighollow.Object, snapshot bool), ended func(),
) {
	var wg sync.WaitGroup
	stop := func() {}
	for {
		select {
		case <-ctx.Done():
			stop()
			wg.Wait()
			return
		case on := <-active:
			stop()
			wg.Wait()
			if !on {
				ended()
				continue
			}
			var followCtx context.Context
			followCtx, stop = context.WithCancel(ctx)
			wg.Go(func() { f.Follow(followCtx, kind, apply) })
		}
	}
}

// update is the result of one List or Watch call of the store.
type update struct {
	objects  []fighollow.Object
	version  uint64
	snapshot bool // objects are all objects of the kind at version
	newEra   bool // the first list after the store came back from an older copy
	settling bool // the list may still lack objects that are written again after the store's return
}

// readStep is how a Follower reads a kind next.
type readStep int

const (
	readAll     readStep = iota // all objects
	readMissed                  // what changed since the last known version, without waiting
	readChanges                 // the same, waiting for a change
)

// stepAfter returns how to read next after a read that failed with err; version is the last known one, or 0. A call that does not wait
// follows, because a silent connection times out sooner in it than in a watch. It reads all objects only if it has to: a long object that has
// not changed would take the link away from everything else.
func (f *Follower) stepAfter(err error, version uint64) readStep {
	if _, ok := f.store.(fighollow.ChangeReader); !ok || version == 0 || errors.Is(err, fighollow.ErrWatchExpired) {
		return readAll
	}
	return readMissed
}

// read makes one call of the store. due reports that the wait for a change ended because until has come, if that is not zero.
func (f *Follower) read(ctx context.Context, kind fighollow.Kind, step readStep, after uint64, until time.Time) (u update, due bool, err error) {
	switch step {
	case readChanges:
		u.objects, u.version, due, err = f.watch(ctx, kind, after, until)
	case readMissed:
		u.objects, u.version, err = f.store.(fighollow.ChangeReader).Changes(ctx, kind, after) // as stepAfter has seen
	default:
		u.snapshot = true
		u.objects, u.version, err = f.store.List(ctx, kind)
	}
	return u, due, err
}

// listAndWatch lists the objects of a kind and then watches it until ctx is done. It passes each result to apply. Objects
// that are absent from a listing were removed, except while the store's content settles after its return from a copy.
func (f *Follower) listAndWatch(ctx context.Context, kind fighollow.Kind, apply func(time.Time, update)) {
	var version uint64
	step := readAll
	era := eraSync{trustTime: f.fleet.CopyLifetime() + eraTrustMargin}
	lastAnswer, backoff := time.Now(), minStoreBackoff
	down := false
	for ctx.Err() == nil {
		f.outage.wait(ctx)
		u, due, err := f.read(ctx, kind, step, version, era.nextList())
		if due {
			step = readAll
			continue
		}
		now := time.Now()
		if err != nil {
			isExpired := errors.Is(err, fighollow.ErrWatchExpired)
			if isExpired {
				f.outage.ended() // the store has answered
			} else {
				f.outage.failed(now)
			}
			step = f.stepAfter(err, version)
			if !down && ctx.Err() == nil {
				down = true
				event.StoreLost.Log(&f.log).Str("kind", string(kind)).Err(err).Send()
			}
			pause := backoff/2 + rand.N(backoff)
			if isExpired {
				pause = rand.N(minStoreBackoff)
			}
			if version > 0 && backoff == minStoreBackoff && fighollow.StoreEra(f.store) != fighollow.VersionEra(version) {
				pause = rand.N(eraListSpread) // all entries list again
			}
			wait(ctx, pause)
			backoff = min(2*backoff, maxStoreBackoff)
			continue
		}
		f.outage.ended()
		if down {
			down = false
			event.StoreRegained.Log(&f.log).Str("kind", string(kind)).Int64("downMs", now.Sub(lastAnswer).Milliseconds()).Send()
		}
		if u.snapshot {
			u.newEra, u.settling = era.listed(now, fighollow.VersionEra(u.version))
		}
		lastAnswer, backoff = now, minStoreBackoff
		step, version = readChanges, u.version
		apply(now, u)
		if len(u.objects) > 0 && !u.snapshot {
			f.pauseAfter(ctx, kind)
		}
	}
}

// pauseAfter waits after a call that brought changes. While streams wait for an engine it is short.
func (f *Follower) pauseAfter(ctx context.Context, kind fighollow.Kind) {
	pause := f.freshness.pause(kind)
	if kind != fighollow.KindInstance {
		wait(ctx, pause)
		return
	}
	least := min(pause, minUpstreamsPause)
	wait(ctx, least)
	ctx, cancel := context.WithTimeout(ctx, pause-least)
	defer cancel()
	f.gateway.holding.await(ctx)
}

// watch calls the store's Watch until the next list is due, unless until is zero. due reports that it is.
func (f *Follower) watch(ctx context.Context, kind fighollow.Kind, after uint64, until time.Time) (
	objects []fighollow.Object, version uint64, due bool, err error,
) {
	watchCtx, cancel := ctx, context.CancelFunc(func() {})
	if !until.IsZero() {
		watchCtx, cancel = context.WithDeadline(ctx, until)
	}
	defer cancel()
	objects, version, err = f.store.Watch(watchCtx, kind, after)
	due = err != nil && watchCtx.Err() != nil && ctx.Err() == nil
	return objects, version, due, err
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (f *Follower) applyRouting(_ time.Time, up update) {
	for _, o := range up.objects {
		if o.Name != fighollow.RoutingName || o.Deleted {
			continue
		}
		r, err := f.decode.Routing(o)
		if err != nil {
			event.RoutingInvalid.Log(&f.log).Uint64("revision", o.Version).Err(err).Send()
			continue
		}
		if f.gateway.Apply(r) {
			event.RoutingApplied.Log(&f.log).Uint64("version", r.Version).Uint64("revision", o.Version).Int("routes", len(r.Routes)).
				Int("services", len(r.Services)).Bool("keysRequired", r.KeysRequired).Int("workspaces", len(r.Workspaces)).Send()
		}
	}
}

func (f *Follower) applyUpstreams(now time.Time, up update) {
	f.lastAnswer.Store(now.UnixMilli())
	if up.newEra {
		f.fleet.BeginEra(now)
	}
	ids := make(map[string]bool, len(up.objects))
	for _, o := range up.objects {
		if o.Deleted {
			event.UpstreamChanged.Log(&f.log).Str("upstream", o.Name).Uint64("revision", o.Version).Str("state", "removed").Send()
			f.fleet.Remove(now, o.Name, o.Version)
			continue
		}
		u, err := f.decode.Upstream(o)
		if err != nil {
			event.UpstreamInvalid.Log(&f.log).Str("upstream", o.Name).Uint64("revision", o.Version).Err(err).Send()
			if !up.settling { // else it can be older than what is known
				f.fleet.Remove(now, o.Name, o.Version)
			}
			continue
		}
		ids[o.Name] = true
		event.UpstreamChanged.Log(&f.log).Str("upstream", u.ID).Uint64("revision", o.Version).Str("service", u.Service).
			Bool("draining", u.Draining).Str("role", string(u.Role)).Uint64("orders", u.AcceptedOrders).Int64("started", u.StartedMs).Send()
		f.fleet.Put(now, u, o.Version)
	}
	if !up.snapshot {
		return
	}
	f.synced.Store(true)
	if up.settling {
		return
	}
	removed := f.fleet.Retain(now, ids, up.version)
	if era := fighollow.VersionEra(up.version); era > 0 && removed > 0 {
		event.UpstreamsSettled.Log(&f.log).Uint64("era", era).Uint64("revision", fighollow.VersionRevision(up.version)).
			Int("removed", removed).Send()
	}
}
