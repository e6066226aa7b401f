// Package upstream pools HTTP/1.1 connections to engines and plain services and sends one request at a time on each.
//
// The standard library's transport may retry a request when a reused connection breaks. Requests here must run at most
// once, so the package manages connections itself and uses the library only to parse and write messages: a request is
// never sent twice, and an error tells whether any byte of it was sent.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Errors of Do.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrBroken means that the connection failed after at least a part of the request was sent.
	ErrBroken = errors.New("upstream: connection broke")
	// ErrMismatched means that the connection carried only responses to other requests.
	ErrMismatched = errors.New("upstream: answer belongs to another request")
)

// errHeadTooLong is the reason of an ErrBroken: the head of a response exceeds maxHeadBytes.
var errHeadTooLong = errors.New("upstream: response head too long")

const (
	// dialTimeout is short because a request waits for the dial, which takes a few milliseconds between data centres.
	dialTimeout = 200 * time.Millisecond
	// userTimeout is the TCP user timeout: a connection is closed when sent data stays unacknowledged for this long. It
	// covers several retransmissions on a lossy link.
	userTimeout = 1500 * time.Millisecond
	// defaultIdle is how long an idle connection is kept if the upstream sends no keep-alive timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is how long before the upstream's keep-alive timeout an idle connection is no longer reused.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerAddress bounds the idle connections to one upstream, because file descriptors are limited.
	maxIdlePerAddress = 64
	// maxForeignResponses is how many responses to other requests are skipped while waiting for the response to a request.
	maxForeignResponses = 2
	// maxForeignBytes bounds the body of a skipped response. The connection is closed if the body is not shorter.
	maxForeignBytes = 256 << 10
	// maxHeadBytes bounds the head of a response, with the informational responses before it. An upstream may echo the fields
	// of its request, 64 KB of which callers may send by default, and adds a few of its own.
	maxHeadBytes = 128 << 10
	// receiveBytes bounds what the kernel buffers of an answer whose caller does not read; it reserves twice as much, for its own data. By
	// default it buffers megabytes, which count as memory of the instance.
	receiveBytes = 8 << 10
	// maxInlineBody is the size of the largest body that is written before the response is read. An upstream may respond
	// before it has read a larger one.
	maxInlineBody = 8 << 10
)

// Pool is a pool of connections by address. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn
	dials  int64 // connections dialled
	closed bool
}

// New returns an empty Pool.
func New() *Pool {
	d := Dialer(dialTimeout)
	d.Control = setAttemptOptions
	return &Pool{dialer: d, idle: make(map[string][]*conn)}
}

// Dialer returns a dialer with the given connect timeout. Its connections are closed when the peer stops
// acknowledging data or keep-alive probes, because an instance behind a partition or without power sends no reset.
func Dialer(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control:         setUserTimeout,
	}
}

// Dials returns the number of connections dialled since the pool was created.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Do sends req to the address and returns its response, whose body the caller must close. Closing the body before its
// end, or cancelling ctx, closes the connection, whereupon the upstream abandons the request. matches reports whether
// a response belongs to the request; others are skipped. Every error matches ErrNotSent, ErrBroken or ErrMismatched.
func (p *Pool) Do(ctx context.Context, address string, req *http.Request, matches func(*http.Response) bool) (*http.Response, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return c.roundTrip(ctx, req, matches)
}

// Close closes the idle connections. Connections in use are closed when their response ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, cs := range p.idle {
		for _, c := range cs {
			c.expiry.Stop()
			c.nc.Close()
		}
	}
	p.idle = make(map[string][]*conn)
}

// get returns an idle connection to the address, or dials a new one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	now := time.Now()
	for {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if now.Before(c.expires) && c.isReusable() {
			return c, nil
		}
		c.nc.Close()
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	return newConn(p, address, nc), nil
}

// popIdle removes and returns the most recently used idle connection, or nil if there is none. The others can then
// expire.
func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[address]
	if len(cs) == 0 {
		delete(p.idle, address)
		return nil
	}
	c := cs[len(cs)-1]
	c.expiry.Stop()
	p.idle[address] = cs[:len(cs)-1]
	return c
}

// put returns a connection to the pool, which closes it after it has been idle for this time, or when newer ones exceed the
// bound.
func (p *Pool) put(c *conn, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.nc.Close()
		return
	}
	cs := p.idle[c.address]
	if len(cs) >= maxIdlePerAddress {
		cs[0].expiry.Stop()
		cs[0].nc.Close() // the oldest
		cs = cs[1:]
	}
	p.idle[c.address] = append(cs, c)
	c.expires = time.Now().Add(idle)
	c.expiry = time.AfterFunc(idle, func() { p.expire(c) })
}

// expire closes a connection if it is idle. Nothing reads an idle connection, so that its peer could hold it open.
func (p *Pool) expire(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[c.address]
	i := slices.Index(cs, c)
	if i < 0 {
		return
	}
	c.nc.Close()
	if p.idle[c.address] = slices.Delete(cs, i, i+1); len(cs) == 1 {
		delete(p.idle, c.address)
	}
}

// idleTimeout returns how long a connection may stay idle after a response with the header h.
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
