package main

import (
	"bytes"
	"io"
	"net"
	"sync"
)

// proxy forwards connections to an address. It can silence open ones: nothing more is forwarded on them, and nobody is told.
type proxy struct {
	to string

	mu    sync.Mutex
	conns map[*proxied]bool
}

// proxied is a connection through a proxy.
type proxied struct {
	mu     sync.Mutex
	last   string // request line that was last seen
	silent bool
}

func newProxy(ip, to string) (p *proxy, address string) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		unable("listen: %v", err)
	}
	p = &proxy{to: to, conns: make(map[*proxied]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, l.Addr().String()
}

func (p *proxy) forward(c net.Conn) {
	defer c.Close()
	up, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer up.Close()
	x := &proxied{}
	p.mu.Lock()
	p.conns[x] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, x)
	}()
	go func() {
		x.copy(c, up, false)
		c.Close()
	}()
	x.copy(up, c, true)
}

// copy forwards bytes until one side ends. Of a silent connection it drops them.
func (x *proxied) copy(to io.Writer, from io.Reader, isRequest bool) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		x.mu.Lock()
		silent := x.silent
		if line, _, ok := bytes.Cut(buf[:n], []byte("\r\n")); isRequest && ok && bytes.HasSuffix(line, []byte("HTTP/1.1")) {
			x.last = string(line)
		}
		x.mu.Unlock()
		if silent {
			if err != nil && isRequest {
				return // the caller has closed
			}
			if err != nil {
				select {} // the caller is not told
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// silence silences the open connections whose last request is matched, and returns these requests.
func (p *proxy) silence(matches func(requestLine string) bool) (silenced []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.conns {
		x.mu.Lock()
		if matches(x.last) {
			x.silent = true
			silenced = append(silenced, x.last)
		}
		x.mu.Unlock()
	}
	return silenced
}
