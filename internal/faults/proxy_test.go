package faults_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// proxy forwards TCP connections and can hold back the bytes of either direction, as a network partition does until it
// heals.
type proxy struct {
	ln     net.Listener
	target string

	mu      sync.Mutex
	cond    *sync.Cond
	isCut   [2]bool // by direction
	blocked [2]int  // by direction: reads that are held back
	closed  bool
	conns   []net.Conn
	rate    int       // bytes a second from the target, for all connections together; 0 for no bound
	freeAt  time.Time // when the bytes that were let through at this rate have passed
}

const (
	toTarget = iota
	fromTarget
)

func newProxy(t *testing.T, target string) *proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{ln: ln, target: target}
	p.cond = sync.NewCond(&p.mu)
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) accept() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			in.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		p.mu.Unlock()
		go p.forward(out, in, toTarget)
		go p.forward(in, out, fromTarget)
	}
}

func (p *proxy) forward(to, from net.Conn, dir int) {
	defer to.Close()
	buf := make([]byte, 8<<10) // takes a few milliseconds at the rate of a small link
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.waitWhileCut(dir)
			if dir == fromTarget {
				time.Sleep(p.delay(time.Now(), n))
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			if err != io.EOF { //nolint:errorlint // Read returns io.EOF itself
				from.Close()
			}
			p.waitWhileCut(dir) // the end of a connection does not pass a cut either
			return
		}
	}
}

// waitWhileCut blocks until the direction is healed or the proxy is closed.
func (p *proxy) waitWhileCut(dir int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked[dir]++
	for p.isCut[dir] && !p.closed {
		p.cond.Wait()
	}
	p.blocked[dir]--
}

// setRate bounds the bytes a second that pass from the target.
func (p *proxy) setRate(bytesPS int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = bytesPS
}

// delay returns how long n bytes from the target take to pass, behind those of other connections.
func (p *proxy) delay(now time.Time, n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate == 0 {
		return 0
	}
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(n) * time.Second / time.Duration(p.rate))
	return p.freeAt.Sub(now)
}

// reset closes the connections that are open now.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
}

// setCut cuts or heals each direction.
func (p *proxy) setCut(cutToTarget, cutFromTarget bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = [2]bool{cutToTarget, cutFromTarget}
	p.cond.Broadcast()
}

// holdsBack reports whether the bytes or the end of a connection are held back in a direction.
func (p *proxy) holdsBack(dir int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isCut[dir] && p.blocked[dir] > 0
}

func (p *proxy) close() {
	p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		c.Close()
	}
	p.cond.Broadcast()
}
