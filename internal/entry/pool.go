package entry

import (
	"context"
	"sync"
	"time"

	"github.com/fighollow/fighollow/internal/link"
)

// maxLinkIdle is how long a link that no attempt uses is kept open.
const maxLinkIdle = 5 * time.Minute

// pool keeps one link per upstream address in use. It is safe for concurrent use.
type pool struct {
	self link.Hello
	h    link.Handler
	opts link.Options

	mu     sync.Mutex
	links  map[string]*pooledLink
	closed bool
}

// pooledLink holds the link to one address. dialLock is held during a dial, so that concurrent requests share one dial.
type pooledLink struct {
	dialLock chan struct{} // a lock (capacity 1) whose acquisition can be cancelled by a context
	mu       sync.Mutex
	conn     *link.Conn

	users    int       // attempts that use the link; guarded by pool.mu
	lastUsed time.Time // time of the last release; guarded by pool.mu
}

func newPool(self link.Hello, h link.Handler, opts link.Options) *pool {
	return &pool{self: self, h: h, opts: opts, links: make(map[string]*pooledLink)}
}

// get returns the open link to addr, or dials if there is none. If it returns an error, nothing has been sent.
func (p *pool) get(ctx context.Context, addr string) (*link.Conn, error) {
	p.mu.Lock()
	pl, err := p.pooledLink(addr)
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if c := pl.openConn(); c != nil {
		return c, nil
	}
	select {
	case pl.dialLock <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-pl.dialLock }()
	if c := pl.openConn(); c != nil {
		return c, nil
	}
	c, err := link.Dial(ctx, addr, p.self, p.h, p.opts)
	if err != nil {
		return nil, err
	}
	pl.mu.Lock()
	pl.conn = c
	pl.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return nil, link.ErrClosed
	}
	return c, nil
}

// acquire prevents the link to addr from being closed as idle. Each acquire must be followed by one release.
func (p *pool) acquire(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl, err := p.pooledLink(addr); err == nil {
		pl.users++
	}
}

func (p *pool) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl := p.links[addr]; pl != nil && pl.users > 0 {
		pl.users--
		pl.lastUsed = time.Now()
	}
}

// closeIdle closes links that no attempt has used for maxLinkIdle, until ctx is done. The candidates of requests change
// over time, so without this an entry would eventually have a link to every engine.
func (p *pool) closeIdle(ctx context.Context) {
	t := time.NewTicker(maxLinkIdle / 4)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for _, c := range p.removeIdle(now) {
				c.Close()
			}
		}
	}
}

// removeIdle removes the links that are idle at now from the pool and returns those that are open.
func (p *pool) removeIdle(now time.Time) []*link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*link.Conn
	for addr, pl := range p.links {
		if pl.users > 0 || now.Sub(pl.lastUsed) < maxLinkIdle {
			continue
		}
		delete(p.links, addr)
		if c := pl.openConn(); c != nil {
			out = append(out, c)
		}
	}
	return out
}

// pooledLink returns the entry of addr. p.mu must be held.
func (p *pool) pooledLink(addr string) (*pooledLink, error) {
	if p.closed {
		return nil, link.ErrClosed
	}
	pl := p.links[addr]
	if pl == nil {
		pl = &pooledLink{dialLock: make(chan struct{}, 1)}
		p.links[addr] = pl
	}
	return pl, nil
}

// openConn returns the connection, or nil if there is none or it is closed.
func (pl *pooledLink) openConn() *link.Conn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.conn == nil {
		return nil
	}
	select {
	case <-pl.conn.Closed():
		pl.conn = nil
	default:
	}
	return pl.conn
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	links := p.links
	p.links = make(map[string]*pooledLink)
	p.mu.Unlock()
	for _, pl := range links {
		if c := pl.openConn(); c != nil {
			c.Close()
		}
	}
}
