package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/fighollow/fighollow/internal/link"
)

// peers caches links to other holders.
type peers struct {
	self link.Hello
	opts link.Options

	mu     sync.Mutex
	conns  map[string]*link.Conn // by address
	closed bool
}

// conn returns an open link to an address, and dials one when there is none.
func (p *peers) conn(ctx context.Context, addr string) (*link.Conn, error) {
	p.mu.Lock()
	c := p.conns[addr]
	p.mu.Unlock()
	if c != nil {
		select {
		case <-c.Closed():
		default:
			return c, nil
		}
	}
	c, err := link.Dial(ctx, addr, p.self, link.NoHandler{}, p.opts)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return nil, link.ErrClosed
	}
	if old := p.conns[addr]; old != nil {
		select {
		case <-old.Closed():
		default: // another goroutine dialled concurrently
			c.Close()
			return old, nil
		}
	}
	p.conns[addr] = c
	return c, nil
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		c.Close()
	}
}

// errNotSent means that a request did not leave this process.
var errNotSent = errors.New("ledger: not sent")

// ask sends a request and waits for the reply. When the link breaks, it repeats the request once on a new link, which
// is safe because the ledger's requests are idempotent.
func (p *peers) ask(ctx context.Context, addr, topic string, in, out any) error {
	var err error
	for try := range 2 {
		c, dialErr := p.conn(ctx, addr)
		if dialErr != nil && try == 0 {
			return fmt.Errorf("%w: %w", errNotSent, dialErr)
		}
		if dialErr != nil {
			return dialErr
		}
		err = c.Ask(ctx, topic, in, out)
		if !errors.Is(err, link.ErrClosed) {
			return err
		}
	}
	return err
}
