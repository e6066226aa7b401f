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
	// maxWatchedCaches is the largest service whose caches are watched: a look brings about 1 KB, and the traffic of an
	// entry beside its requests is bounded. Larger ones are known from this entry's own requests only.
	maxWatchedCaches = 64
)

// CacheWatcher keeps a fleet's picture of the engines' prefix caches, which all entries fill, as the engines have them.
type CacheWatcher struct {
	reader  fighollow.CacheReader
	routing func() *fighollow.Routing
	fleet   *placement.Fleet
	log     zerolog.Logger
	watched int // engines in the last round
}

// NewCacheWatcher returns a CacheWatcher; Run starts it. routing returns the configuration in force, nil for none.
func NewCacheWatcher(reader fighollow.CacheReader, routing func() *fighollow.Routing, fleet *placement.Fleet, log zerolog.Logger) *CacheWatcher {
	return &CacheWatcher{reader: reader, routing: routing, fleet: fleet, log: log}
}

// Run looks at the caches until ctx is done.
func (w *CacheWatcher) Run(ctx context.Context) {
	for {
		wait(ctx, cacheStep)
		if ctx.Err() != nil {
			return
		}
		if r := w.routing(); r != nil {
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
		if engines += len(ups); len(ups) > maxWatchedCaches {
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
	if w.fleet.ReportCache(time.Now(), service, u.ID, ch) {
		event.CacheForgotten.Log(&w.log).Str("upstream", u.ID).Str("epoch", ch.Epoch).Bool("lost", ch.Lost).Send()
	}
}
