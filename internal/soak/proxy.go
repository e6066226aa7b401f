package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Proxy passes connections on to a target and injects faults into them. It is safe for concurrent use.
type Proxy struct {
	l      net.Listener
	target string

	mu    sync.Mutex
	fault Fault // in force; of no kind for none
	pairs map[*pair]struct{}
}

// pair is one connection through a proxy.
type pair struct {
	client, server net.Conn
	mu             sync.Mutex
	deaf           bool // nothing passes towards the server any more
	mute           bool // nothing passes towards the client any more
}

// NewProxy listens on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{l: l, target: target, pairs: make(map[*pair]struct{})}
	go p.accept()
	return p, nil
}

// Address returns the address to connect to.
func (p *Proxy) Address() string { return p.l.Addr().String() }

// Inject puts a fault in force, in place of the one before; one of no kind ends it. Connections that were silenced stay so.
func (p *Proxy) Inject(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	for c := range p.pairs {
		switch f.Kind {
		case FaultReset:
			c.reset()
		case FaultSilence, FaultOneWay:
			c.silence(f.Kind)
		}
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.l.Close()
	p.Inject(Fault{Kind: FaultReset})
}

func (p *Proxy) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(client)
		return
	}
	c := &pair{client: client, server: server}
	p.mu.Lock()
	p.pairs[c] = struct{}{}
	f := p.fault
	p.mu.Unlock()
	if f.Kind == FaultSilence || f.Kind == FaultOneWay {
		c.silence(f.Kind)
	}
	done := make(chan struct{})
	go func() {
		p.pass(c, client, server, false)
		close(done)
	}()
	p.pass(c, server, client, true)
	<-done
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
	client.Close()
	server.Close()
}

// pass copies bytes until one end closes. An orderly end is passed on as one, a reset as a reset.
func (p *Proxy) pass(c *pair, from, to net.Conn, toClient bool) {
	buf := make([]byte, 16<<10)
	passed := 0
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		f := p.fault
		p.mu.Unlock()
		switch {
		case n == 0 || c.isSilent(toClient):
		case f.Kind == FaultTruncate && toClient && passed+n > f.Bytes:
			_, _ = to.Write(buf[:max(0, f.Bytes-passed)])
			c.reset()
			return
		default:
			passed += n
			if !send(to, buf[:n], f) {
				c.reset()
				return
			}
		}
		if err == nil {
			continue
		}
		if isEOF(err) && !c.isSilent(toClient) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the other direction ends on its own
			}
			return
		}
		if !c.isSilent(toClient) {
			c.reset()
		}
		return
	}
}

// send writes p as the fault wants. It returns false if the connection is gone.
func send(to net.Conn, p []byte, f Fault) bool {
	switch f.Kind {
	case FaultDelay:
		time.Sleep(min(f.For/8, 150*time.Millisecond))
	case FaultTrickle:
		for len(p) > 0 {
			n := min(len(p), 1+len(p)/8)
			if _, err := to.Write(p[:n]); err != nil {
				return false
			}
			p = p[n:]
			time.Sleep(3 * time.Millisecond)
		}
		return true
	}
	_, err := to.Write(p)
	return err == nil
}

func (c *pair) silence(kind FaultKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mute = true
	c.deaf = c.deaf || kind == FaultSilence
}

func (c *pair) isSilent(toClient bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return toClient && c.mute || !toClient && c.deaf
}

func (c *pair) reset() {
	reset(c.client)
	reset(c.server)
}

// reset ends a connection by a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
	c.Close()
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) }
