package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// cacheStep is the pause between two looks at an engine's prefix cache. Each look is paid for, and a part that was read
	// is used again after seconds.
	cacheStep = time.Second
	// cacheTimeout bounds one look; engines answer in milliseconds.
	cacheTimeout = 500 * time.Millisecond
	// maxLooks bounds the looks of all entries at all engines of a service in each step. Looks are paid for and grow with both
	// numbers; beyond it they cost more than they save, and an entry's own requests tell what engines hold.
	maxLooks = 150
)

// CacheWatcher keeps a fleet's picture of the engines' prefix caches, which all entries fill, as the engines have them.
type CacheWatcher struct {
	reader  fighollow.CacheReader
	gateway *Gateway
	fleet   *placement.Fleet
	log     zerolog.Logger
	watched int // engines in the last round
}

// NewCacheWatcher returns a CacheWatcher; Run starts it.
func NewCacheWatcher(reader fighollow.CacheReader, g *Gateway, fleet *placement.Fleet, log zerolog.Logger) *CacheWatcher {
	return &CacheWatcher{reader: reader, gateway: g, fleet: fleet, log: log}
}

// Run looks at the caches until ctx is done.
func (w *CacheWatcher) Run(ctx context.Context) {
	for {
		wait(ctx, cacheStep)
		if ctx.Err() != nil {
			return
		}
		if r := w.gateway.Routing(); r != nil {
			w.look(ctx, r)
		}
	}
}

// look reads the changes of all caches.
func (w *CacheWatcher) look(ctx context.Context, r *fighollow.Routing) {
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	var wg sync.WaitGroup
	engines, watched := 0, 0
	for _, s := range r.Services {
		if s.Engine == nil {
			continue
		}
		ups := w.fleet.Upstreams(s.Name)
		if engines += len(ups); len(ups)*w.gateway.Entries() > maxLooks {
			continue
		}
		watched += len(ups)
		for _, u := range ups {
			wg.Go(func() { w.read(ctx, s.Name, u) })
		}
	}
	wg.Wait()
	if watched != w.watched {
		w.watched = watched
		event.CachesWatched.Log(&w.log).Int("watched", watched).Int("engines", engines).Send()
	}
}

func (w *CacheWatcher) read(ctx context.Context, service string, u fighollow.Upstream) {
	ch, err := w.reader.CacheChanges(ctx, u, w.fleet.CachePosition(service, u.ID))
	if err != nil {
		event.CacheUnread.Log(&w.log).Str("upstream", u.ID).Err(err).Send()
		return
	}
	if w.fleet.ApplyCacheChanges(time.Now(), service, u.ID, ch) {
		event.CacheForgotten.Log(&w.log).Str("upstream", u.ID).Str("epoch", ch.Epoch).Bool("lost", ch.Lost).Send()
	}
}
