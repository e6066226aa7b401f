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
	s, err := p.pooledLink(addr)
	if err != nil {
		return nil, err
	}
	if c := s.openConn(); c != nil {
		return c, nil
	}
	select {
	case s.dialLock <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-s.dialLock }()
	if c := s.openConn(); c != nil {
		return c, nil
	}
	c, err := link.Dial(ctx, addr, p.self, p.h, p.opts)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.conn = c
	s.mu.Unlock()
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
	if s, err := p.pooledLink(addr); err == nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		s.users++
	}
}

func (p *pool) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.links[addr]; s != nil && s.users > 0 {
		s.users--
		s.lastUsed = time.Now()
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
	for addr, s := range p.links {
		if s.users > 0 || now.Sub(s.lastUsed) < maxLinkIdle {
			continue
		}
		delete(p.links, addr)
		if c := s.openConn(); c != nil {
			out = append(out, c)
		}
	}
	return out
}

func (p *pool) pooledLink(addr string) (*pooledLink, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, link.ErrClosed
	}
	s := p.links[addr]
	if s == nil {
		s = &pooledLink{dialLock: make(chan struct{}, 1)}
		p.links[addr] = s
	}
	return s, nil
}

// openConn returns the connection, or nil if there is none or it is closed.
func (s *pooledLink) openConn() *link.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return nil
	}
	select {
	case <-s.conn.Closed():
		s.conn = nil
	default:
	}
	return s.conn
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	links := p.links
	p.links = make(map[string]*pooledLink)
	p.mu.Unlock()
	for _, s := range links {
		if c := s.openConn(); c != nil {
			c.Close()
		}
	}
}
