// Package upstream keeps HTTP/1.1 connections to engines and plain services and sends one request at a time on each.
//
// The standard library's transport repeats a request by itself when a reused connection breaks. Requests here must run at
// most once, so that the package manages connections itself and leaves parsing and writing to the library: a request is
// never sent twice, and an error says whether any byte of it was sent.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Errors of Do.
var (
	// ErrNotSent says that no byte of the request was sent.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrBroken says that the connection failed after the request had been sent at least in part.
	ErrBroken = errors.New("upstream: connection broke")
	// ErrForeign says that the connection carried answers to other requests only.
	ErrForeign = errors.New("upstream: answer belongs to another request")
)

const (
	// dialTimeout is short because a request waits for it; a new connection takes a few milliseconds between data centres.
	dialTimeout = 200 * time.Millisecond
	// unackedTimeout ends a connection whose peer acknowledges nothing. It covers several retransmissions on a lossy link.
	unackedTimeout = 1500 * time.Millisecond
	// defaultIdle is how long an idle connection is kept when the upstream names no timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is how long before the upstream's own timeout an idle connection is no longer used.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerAddress bounds the idle connections to one upstream; descriptors are few.
	maxIdlePerAddress = 64
	// maxForeign is how many answers to other requests are skipped while waiting for the answer to a request.
	maxForeign = 2
	// maxForeignBytes bounds such an answer; a longer one costs the connection.
	maxForeignBytes = 256 << 10
	// inlineBody is the largest body written before the answer is read. An upstream may answer before it has read a
	// larger one.
	inlineBody = 8 << 10
)

// Pool holds connections by address. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn
	made   int64 // connections
	closed bool
}

// New returns an empty Pool.
func New() *Pool {
	return &Pool{dialer: Dialer(dialTimeout), idle: make(map[string][]*conn)}
}

// Dialer returns a dialer whose connections end when the peer acknowledges nothing for some time: an instance behind a
// partition or without power sends no reset.
func Dialer(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control:         limitUnacked,
	}
}

// Made returns how many connections were made.
func (p *Pool) Made() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.made
}

// Do sends req to the address and returns its answer, whose body the caller closes. Closing the body before its end, or
// the end of ctx, closes the connection, on which the upstream abandons the request. mine reports whether an answer
// belongs to the request; others are skipped.
func (p *Pool) Do(ctx context.Context, address string, req *http.Request, mine func(*http.Response) bool) (*http.Response, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return c.exchange(ctx, req, mine)
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, cs := range p.idle {
		for _, c := range cs {
			c.nc.Close()
		}
	}
	p.idle = make(map[string][]*conn)
}

func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	now := time.Now()
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if now.Before(c.expires) && c.isQuiet() {
			return c, nil
		}
		c.nc.Close()
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.made++
	p.mu.Unlock()
	return newConn(p, address, nc), nil
}

// takeIdle returns the connection that was used last, so that the others can expire.
func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[address]
	if len(cs) == 0 {
		delete(p.idle, address)
		return nil
	}
	c := cs[len(cs)-1]
	p.idle[address] = cs[:len(cs)-1]
	return c
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[c.address]
	// The oldest come first; those that have expired are closed here so that no timer is needed for them.
	now := time.Now()
	for len(cs) > 0 && (len(cs) >= maxIdlePerAddress || now.After(cs[0].expires)) {
		cs[0].nc.Close()
		cs = cs[1:]
	}
	if p.closed {
		c.nc.Close()
		return
	}
	p.idle[c.address] = append(cs, c)
}

// idleTimeout returns how long a connection may stay idle after an answer with this header.
func idleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(s)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}
