package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
)

// Listener accepts links from peers. Its methods are safe for concurrent use.
type Listener struct {
	nl   net.Listener
	self Hello
	h    Handler
	opts Options
	// onRefused is called for each connection whose handshake failed; it may be nil.
	onRefused func(addr string, err error)

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	closed bool
}

// Listen binds addr (IP:port) exclusively and accepts links. onRefused, which may be nil, is called for each connection
// whose TLS handshake or Hello exchange failed; calls can be concurrent.
func Listen(addr string, self Hello, h Handler, opts Options, onRefused func(addr string, err error)) (*Listener, error) {
	nl, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("link: listen: %w", err)
	}
	l := &Listener{nl: nl, self: self, h: h, opts: opts.withDefaults(), onRefused: onRefused, conns: make(map[*Conn]struct{})}
	go l.acceptLoop()
	return l, nil
}

// Addr returns the bound address.
func (l *Listener) Addr() string { return l.nl.Addr().String() }

// Close stops accepting links and closes the accepted ones.
func (l *Listener) Close() {
	l.nl.Close()
	l.mu.Lock()
	l.closed = true
	conns := l.conns
	l.conns = make(map[*Conn]struct{})
	l.mu.Unlock()
	for c := range conns {
		c.Close()
	}
}

func (l *Listener) acceptLoop() {
	for {
		nc, err := l.nl.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // for example too many open files; the peer retries
		}
		go l.accept(nc)
	}
}

func (l *Listener) accept(nc net.Conn) {
	addr := nc.RemoteAddr().String()
	c, err := l.serverHandshake(nc)
	if err != nil {
		if l.onRefused != nil {
			l.onRefused(addr, err)
		}
		return
	}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		nc.Close()
		return
	}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	c.start()
	<-c.Closed()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

func (l *Listener) serverHandshake(nc net.Conn) (*Conn, error) {
	if l.opts.TLS != nil {
		ctx, cancel := context.WithTimeout(context.Background(), l.opts.DialTimeout)
		defer cancel()
		var err error
		nc, err = l.opts.TLS.server(ctx, nc)
		if err != nil {
			return nil, err
		}
	}
	return handshake(nc, l.self, l.h, l.opts)
}
