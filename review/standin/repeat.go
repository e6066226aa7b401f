package main

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// repeatShare is the largest share of an engine's answers of which it sends a second copy.
const repeatShare = 0.03

// repeats decides which answers an engine sends a second time.
type repeats struct {
	on     bool
	copies int
}

// repeatConn is a connection on which a copy of an answer can be sent before the next one.
type repeatConn struct {
	net.Conn

	mu    sync.Mutex
	rec   *recorder
	mark  bool   // the next answer is to be sent again
	extra []byte // the copy
}

func (c *repeatConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.extra != nil {
		extra := c.extra
		c.extra = nil
		c.rec.add("the copy is sent to %s", c.RemoteAddr())
		if _, err := c.Conn.Write(append(extra, p...)); err != nil {
			return 0, err
		}
		return len(p), nil
	}
	if c.mark {
		c.mark, c.extra = false, append([]byte(nil), p...)
	}
	return c.Conn.Write(p)
}

// repeatListener accepts repeatConns.
type repeatListener struct {
	net.Listener
	rec *recorder
}

func (l repeatListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatConn{Conn: c, rec: l.rec}, nil
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// setRepeats begins or ends the time in which the engine sends some answers twice.
func (e *engine) setRepeats(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.repeats.on, e.answers = on, 0
	e.rec.say("engine %s sends some answers twice: %t; copies so far: %d", e.id, on, e.repeats.copies)
}

func (e *engine) countAnswer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
}

// repeatOn has the answer to r sent once more before the next answer on its connection, if the engine has not sent too many copies.
func (e *engine) repeatOn(r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
	c, ok := r.Context().Value(connKey{}).(*repeatConn)
	if !e.repeats.on || !ok || float64(e.repeats.copies+1) > repeatShare*float64(e.answers) {
		return
	}
	e.repeats.copies++
	c.mu.Lock()
	c.mark = true
	c.mu.Unlock()
	e.rec.add("engine %s will send its answer to %s %s once more, late (copy %d of %d answers)", e.id, r.Method, r.URL.Path, e.repeats.copies, e.answers)
}
