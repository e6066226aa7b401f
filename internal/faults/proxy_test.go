package faults_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// proxy forwards TCP connections and can hold back the bytes of either direction, as a cut of the network does until it
// heals.
type proxy struct {
	ln     net.Listener
	target string

	mu      sync.Mutex
	cond    *sync.Cond
	cut     [2]bool // up: towards the target; down: back
	waiting [2]int  // pieces held back
	closed  bool
	conns   []net.Conn
}

const (
	up = iota
	down
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
		go p.forward(out, in, up)
		go p.forward(in, out, down)
	}
}

func (p *proxy) forward(to, from net.Conn, dir int) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.wait(dir)
			if _, werr := to.Write(buf[:n]); werr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			if err != io.EOF { //nolint:errorlint // Read returns io.EOF itself
				from.Close()
			}
			p.wait(dir) // a closed connection is not seen across a cut either
			return
		}
	}
}

func (p *proxy) wait(dir int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[dir]++
	for p.cut[dir] && !p.closed {
		p.cond.Wait()
	}
	p.waiting[dir]--
}

// set cuts or heals the directions.
func (p *proxy) set(upCut, downCut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = [2]bool{upCut, downCut}
	p.cond.Broadcast()
}

// holds reports whether bytes of a direction are held back.
func (p *proxy) holds(dir int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[dir] && p.waiting[dir] > 0
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
