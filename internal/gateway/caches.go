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
	// cachePollInterval is the pause between two polls of an engine's prefix cache. Each poll is billed, and a part is used
	// again only seconds after it was computed.
	cachePollInterval = time.Second
	// cachePollTimeout bounds one poll; engines answer within milliseconds.
	cachePollTimeout = 500 * time.Millisecond
	// maxPollsPerRound bounds the polls of all entries at all engines of a service per interval. Polls are billed and grow
	// with both numbers. Beyond the bound they cost more than they save, and the entry relies on its own requests to predict
	// what engines hold.
	maxPollsPerRound = 150
)

// CachePoller polls the engines' prefix caches, which the requests of all entries fill, and applies the changes to a fleet.
type CachePoller struct {
	reader  fighollow.CacheReader
	gateway *Gateway
	fleet   *placement.Fleet
	log     zerolog.Logger
	watched int // engines polled in the last round
}

// NewCachePoller returns a CachePoller. Run starts it.
func NewCachePoller(reader fighollow.CacheReader, g *Gateway, fleet *placement.Fleet, log zerolog.Logger) *CachePoller {
	return &CachePoller{reader: reader, gateway: g, fleet: fleet, log: log}
}

// Run polls the caches until ctx is done.
func (p *CachePoller) Run(ctx context.Context) {
	for {
		wait(ctx, cachePollInterval)
		if ctx.Err() != nil {
			return
		}
		if r := p.gateway.Routing(); r != nil {
			p.poll(ctx, r)
		}
	}
}

// poll reads the changes of all caches concurrently.
func (p *CachePoller) poll(ctx context.Context, r *fighollow.Routing) {
	ctx, cancel := context.WithTimeout(ctx, cachePollTimeout)
	defer cancel()
	var wg sync.WaitGroup
	engines, watched := 0, 0
	for _, s := range r.Services {
		if s.Engine == nil {
			continue
		}
		ups := p.fleet.Upstreams(s.Name)
		if engines += len(ups); len(ups)*p.gateway.Entries() > maxPollsPerRound {
			continue
		}
		watched += len(ups)
		for _, u := range ups {
			wg.Go(func() { p.pollEngine(ctx, s.Name, u) })
		}
	}
	wg.Wait()
	if watched != p.watched {
		p.watched = watched
		event.CachesWatched.Log(&p.log).Int("watched", watched).Int("engines", engines).Send()
	}
}

func (p *CachePoller) pollEngine(ctx context.Context, service string, u fighollow.Upstream) {
	ch, err := p.reader.CacheChanges(ctx, u, p.fleet.CachePosition(service, u.ID))
	if err != nil {
		event.CacheUnread.Log(&p.log).Str("upstream", u.ID).Err(err).Send()
		return
	}
	if p.fleet.ApplyCacheChanges(time.Now(), service, u.ID, ch) {
		event.CacheForgotten.Log(&p.log).Str("upstream", u.ID).Str("epoch", ch.Epoch).Bool("lost", ch.Lost).Send()
	}
}
