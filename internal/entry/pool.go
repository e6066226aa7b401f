package entry

import (
	"context"
	"sync"

	"github.com/fighollow/fighollow/internal/link"
)

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
