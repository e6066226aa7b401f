package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// conn is one connection, used for one request at a time.
type conn struct {
	pool    *Pool
	address string
	nc      net.Conn
	br      *bufio.Reader
	sent    countingWriter
	expires time.Time
}

func newConn(p *Pool, address string, nc net.Conn) *conn {
	return &conn{pool: p, address: address, nc: nc, br: bufio.NewReader(nc), sent: countingWriter{w: nc}}
}

// countingWriter tells whether anything was written.
type countingWriter struct {
	w io.Writer
	n atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.w.Write(p)
	w.n.Add(int64(n))
	return n, err
}

// isQuiet reports whether an idle connection can take a request: nothing arrived after the last answer.
func (c *conn) isQuiet() bool { return c.br.Buffered() == 0 && isOpenAndSilent(c.nc) }

// exchange sends a request and returns its answer.
func (c *conn) exchange(ctx context.Context, req *http.Request, mine func(*http.Response) bool) (*http.Response, error) {
	before := c.sent.n.Load()
	// Closing the connection unblocks reads and writes and tells the upstream that the request is cancelled.
	detach := context.AfterFunc(ctx, func() { c.nc.Close() })
	written := c.write(req)
	resp, err := c.read(req, mine)
	if err != nil {
		detach()
		c.nc.Close()
		if ctx.Err() != nil {
			err = errors.Join(err, ctx.Err())
		}
		switch {
		case errors.Is(err, ErrForeign):
		case c.sent.n.Load() == before:
			err = fmt.Errorf("%w: %w", ErrNotSent, err)
		default:
			err = fmt.Errorf("%w: %w", ErrBroken, err)
		}
		return nil, err
	}
	resp.Body = &body{c: c, rc: resp.Body, resp: resp, written: written, detach: detach}
	return resp, nil
}

// write sends the request and returns a channel with the result of doing so. Errors show when the answer is read.
func (c *conn) write(req *http.Request) <-chan error {
	result := make(chan error, 1)
	send := func() {
		w := bufio.NewWriterSize(&c.sent, inlineBody)
		err := req.Write(w)
		if err == nil {
			err = w.Flush()
		}
		result <- err
	}
	if req.ContentLength > inlineBody || req.ContentLength < 0 {
		go send()
	} else {
		send()
	}
	return result
}

// read returns the answer to the request, without interim answers and answers to other requests.
func (c *conn) read(req *http.Request, mine func(*http.Response) bool) (*http.Response, error) {
	foreign := 0
	for {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if mine(resp) {
			return resp, nil
		}
		foreign++
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes))
		if err != nil || n == maxForeignBytes || resp.Close || foreign > maxForeign {
			return nil, ErrForeign
		}
	}
}

// body is the body of an answer. Its end gives the connection back to the pool.
type body struct {
	c       *conn
	rc      io.ReadCloser
	resp    *http.Response
	written <-chan error
	detach  func() bool
	ended   bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.rc.Read(p)
	if errors.Is(err, io.EOF) {
		b.end()
	}
	return n, err
}

// Close ends the answer. Before its end it closes the connection.
func (b *body) Close() error {
	if !b.ended {
		b.ended = true
		b.detach()
		return b.c.nc.Close()
	}
	return nil
}

// end keeps the connection when it is in order: the whole request was sent, and nothing follows the answer.
func (b *body) end() {
	if b.ended {
		return
	}
	b.ended = true
	inUse := b.detach()
	var sent bool
	select {
	case err := <-b.written:
		sent = err == nil
	default: // the upstream answered early and is owed the rest of the body
	}
	idle := idleTimeout(b.resp.Header)
	if !inUse || !sent || b.resp.Close || idle <= 0 || b.c.br.Buffered() > 0 {
		b.c.nc.Close()
		return
	}
	b.c.expires = time.Now().Add(idle)
	b.c.pool.put(b.c)
}
