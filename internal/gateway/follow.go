package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// storeRetry and maxStoreRetry bound the pause after a call that the store did not answer. The longest is well below
	// the time within which a new configuration must be in force.
	storeRetry    = 60 * time.Millisecond
	maxStoreRetry = 500 * time.Millisecond
)

// Decoder translates the platform's objects.
type Decoder struct {
	Routing  func(fighollow.Object) (*fighollow.Routing, error)
	Upstream func(fighollow.Object) (fighollow.Upstream, error)
}

// Follower keeps a gateway's configuration and upstreams as the store has them.
type Follower struct {
	store   fighollow.ObjectStore
	decode  Decoder
	gateway *Gateway
	fleet   *placement.Fleet
	log     zerolog.Logger
	listed  atomic.Bool  // the upstreams were listed once
	heard   atomic.Int64 // Unix milliseconds of the last answer about the upstreams
}

// NewFollower returns a Follower; Run starts it.
func NewFollower(store fighollow.ObjectStore, decode Decoder, g *Gateway, fleet *placement.Fleet, log zerolog.Logger) *Follower {
	f := &Follower{store: store, decode: decode, gateway: g, fleet: fleet, log: log}
	f.heard.Store(time.Now().UnixMilli())
	return f
}

// Ready reports whether a configuration and the upstreams are known.
func (f *Follower) Ready() bool { return f.listed.Load() && f.gateway.Routing() != nil }

// Silent returns for how long the store has not answered about the upstreams.
func (f *Follower) Silent(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(f.heard.Load()))
}

// Run follows the store until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.follow(ctx, fighollow.KindRouting, f.takeRouting) })
	wg.Go(func() { f.follow(ctx, fighollow.KindInstance, f.takeUpstreams) })
	wg.Wait()
}

// batch is what one call of the store returned.
type batch struct {
	objects []fighollow.Object
	version uint64
	whole   bool // objects are all that there are at version
}

// follow lists a kind and then watches it, for ever. What a list lacks is gone; a watch that has expired lists again.
func (f *Follower) follow(ctx context.Context, kind fighollow.Kind, take func(time.Time, batch)) {
	var version uint64
	var known bool
	heard, pause := time.Now(), storeRetry
	down := false
	for ctx.Err() == nil {
		b := batch{whole: !known}
		var err error
		if known {
			b.objects, b.version, err = f.store.Watch(ctx, kind, version)
		} else {
			b.objects, b.version, err = f.store.List(ctx, kind)
		}
		now := time.Now()
		if err != nil {
			if errors.Is(err, fighollow.ErrWatchExpired) {
				known = false
			}
			if !down && ctx.Err() == nil {
				down = true
				event.StoreLost.Log(&f.log).Str("kind", string(kind)).Err(err).Send()
			}
			wait(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, maxStoreRetry)
			continue
		}
		if down {
			down = false
			event.StoreRegained.Log(&f.log).Str("kind", string(kind)).Int64("downMs", now.Sub(heard).Milliseconds()).Send()
		}
		heard, pause = now, storeRetry
		known, version = true, b.version
		take(now, b)
	}
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (f *Follower) takeRouting(_ time.Time, b batch) {
	for _, o := range b.objects {
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
				Int("services", len(r.Services)).Send()
		}
	}
}

func (f *Follower) takeUpstreams(now time.Time, b batch) {
	f.heard.Store(now.UnixMilli())
	ids := make(map[string]bool, len(b.objects))
	for _, o := range b.objects {
		if o.Deleted {
			event.UpstreamChanged.Log(&f.log).Str("upstream", o.Name).Uint64("revision", o.Version).Str("state", "removed").Send()
			f.fleet.Remove(now, o.Name, o.Version)
			continue
		}
		u, err := f.decode.Upstream(o)
		if err != nil {
			event.UpstreamInvalid.Log(&f.log).Str("upstream", o.Name).Uint64("revision", o.Version).Err(err).Send()
			f.fleet.Remove(now, o.Name, o.Version)
			continue
		}
		ids[o.Name] = true
		event.UpstreamChanged.Log(&f.log).Str("upstream", u.ID).Uint64("revision", o.Version).Str("service", u.Service).
			Bool("draining", u.Draining).Str("role", string(u.Role)).Uint64("orders", u.Orders).Int64("started", u.Started).Send()
		f.fleet.Put(now, u, o.Version)
	}
	if b.whole {
		f.fleet.Retain(now, ids, b.version)
		f.listed.Store(true)
	}
}
