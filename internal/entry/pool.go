package entry

import (
	"context"
	"sync"
	"time"

	"github.com/fighollow/fighollow/internal/link"
)

// unusedAfter is how long a link is kept without an attempt.
const unusedAfter = 5 * time.Minute

// pool keeps one link to each upstream address that is in use. It is safe for concurrent use.
type pool struct {
	self link.Hello
	h    link.Handler
	opts link.Options

	mu     sync.Mutex
	slots  map[string]*slot
	closed bool
}

// slot holds the link to one address. Its lock is held while dialling, so that concurrent requests share one dial.
type slot struct {
	dial chan struct{} // capacity 1; a lock that can be waited for with a context
	mu   sync.Mutex
	conn *link.Conn

	held int       // attempts that use the link; guarded by pool.mu
	used time.Time // end of the last one; guarded by pool.mu
}

func newPool(self link.Hello, h link.Handler, opts link.Options) *pool {
	return &pool{self: self, h: h, opts: opts, slots: make(map[string]*slot)}
}

// get returns the open link to addr and dials when there is none. After an error nothing was sent.
func (p *pool) get(ctx context.Context, addr string) (*link.Conn, error) {
	s, err := p.slot(addr)
	if err != nil {
		return nil, err
	}
	if c := s.current(); c != nil {
		return c, nil
	}
	select {
	case s.dial <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-s.dial }()
	if c := s.current(); c != nil {
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

// hold keeps the link to addr from being closed as unused. Each hold is followed by one release.
func (p *pool) hold(addr string) {
	if s, err := p.slot(addr); err == nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		s.held++
	}
}

func (p *pool) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.slots[addr]; s != nil && s.held > 0 {
		s.held--
		s.used = time.Now()
	}
}

// closeUnused closes links that no attempt has used for unusedAfter, until ctx ends. Candidates change over time, and
// without this an entry would end with a link to every engine.
func (p *pool) closeUnused(ctx context.Context) {
	t := time.NewTicker(unusedAfter / 4)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for _, c := range p.unused(now) {
				c.Close()
			}
		}
	}
}

func (p *pool) unused(now time.Time) []*link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*link.Conn
	for addr, s := range p.slots {
		if s.held > 0 || now.Sub(s.used) < unusedAfter {
			continue
		}
		delete(p.slots, addr)
		if c := s.current(); c != nil {
			out = append(out, c)
		}
	}
	return out
}

func (p *pool) slot(addr string) (*slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, link.ErrClosed
	}
	s := p.slots[addr]
	if s == nil {
		s = &slot{dial: make(chan struct{}, 1)}
		p.slots[addr] = s
	}
	return s, nil
}

func (s *slot) current() *link.Conn {
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
	slots := p.slots
	p.slots = make(map[string]*slot)
	p.mu.Unlock()
	for _, s := range slots {
		if c := s.current(); c != nil {
			c.Close()
		}
	}
}
