package link

import (
	"context"
	"fmt"
	"net"
	"time"
)

// Dial connects to addr (IP:port) and exchanges Hello messages. Connecting and the exchange are each limited by
// Options.DialTimeout. h handles the messages that the peer sends on the returned Conn.
func Dial(ctx context.Context, addr string, self Hello, h Handler, opts Options) (*Conn, error) {
	opts = opts.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, opts.DialTimeout)
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("link: dial %s: %w", addr, err)
	}
	if opts.TLS != nil {
		nc, err = opts.TLS.client(ctx, nc)
		if err != nil {
			return nil, fmt.Errorf("link: dial %s: %w", addr, err)
		}
	}
	c, err := handshake(nc, self, h, opts)
	if err != nil {
		return nil, fmt.Errorf("link: dial %s: %w", addr, err)
	}
	c.start()
	return c, nil
}

func handshake(nc net.Conn, self Hello, h Handler, opts Options) (*Conn, error) {
	c := &Conn{
		nc: nc, opts: opts, self: self, h: h,
		closed:        make(chan struct{}),
		streams:       make(map[uint32]*Stream),
		serverStreams: make(map[uint32]*ServerStream),
		pendingAsks:   make(map[uint32]chan *Reply),
	}
	c.out.init()
	self.Protocol = Protocol
	if err := nc.SetDeadline(time.Now().Add(opts.DialTimeout)); err != nil {
		nc.Close()
		return nil, err
	}
	if err := c.exchangeHello(self); err != nil {
		nc.Close()
		return nil, err
	}
	return c, nc.SetDeadline(time.Time{})
}

func (c *Conn) exchangeHello(self Hello) error {
	frame, err := appendFrame(nil, &self, c.opts.MaxFrame)
	if err != nil {
		return err
	}
	if _, err := c.nc.Write(frame); err != nil {
		return err
	}
	// The connection is read without a buffer, so that exactly one frame is consumed and no bytes after Hello are lost.
	m, err := newFrameReader(c.nc, c.opts.MaxFrame).next()
	if err != nil {
		return err
	}
	hello, ok := m.(*Hello)
	if !ok {
		return fmt.Errorf("%w: first message is %T", ErrProtocol, m)
	}
	if hello.Protocol != Protocol {
		return fmt.Errorf("%w: peer uses version %d, this process uses version %d", ErrProtocol, hello.Protocol, Protocol)
	}
	c.peer = *hello
	return nil
}
