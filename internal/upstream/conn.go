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

	"github.com/fighollow/fighollow/internal/answer"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// maxStatus is the largest status that HTTP allows.
	maxStatus = 599
	// writeWait is how long after the end of an answer its request may be found to have been written.
	writeWait = 100 * time.Millisecond
)

// errInvalidStatus is the reason why a response is not used.
var errInvalidStatus = errors.New("upstream: response with an invalid status")

// conn is a connection that carries one request at a time.
type conn struct {
	pool    *Pool
	address string
	nc      net.Conn
	hr      headReader
	br      *bufio.Reader // reads hr
	cw      countingWriter
	expires time.Time   // when it may no longer be reused; a process that was stopped notices by it before the timer runs
	expiry  *time.Timer // closes it then if it is idle; nil before it was idle
}

func newConn(p *Pool, address string, nc net.Conn) *conn {
	c := &conn{pool: p, address: address, nc: nc, hr: headReader{r: nc}, cw: countingWriter{w: nc}}
	c.br = bufio.NewReader(&c.hr)
	return c
}

// headReader reads r and bounds the head of a response.
type headReader struct {
	r      io.Reader
	inHead bool
	left   int       // bytes that the head may still take
	readAt time.Time // when bytes were last taken from the connection
}

func (h *headReader) Read(p []byte) (n int, err error) {
	switch {
	case !h.inHead:
		n, err = h.r.Read(p)
	case h.left <= 0:
		return 0, errHeadTooLong
	default:
		n, err = h.r.Read(p[:min(len(p), h.left)])
		h.left -= n
	}
	if n > 0 {
		h.readAt = time.Now()
	}
	return n, err
}

// countingWriter counts the bytes written to w.
type countingWriter struct {
	w io.Writer
	n atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.w.Write(p)
	w.n.Add(int64(n))
	return n, err
}

// isReusable reports whether an idle connection can carry another request: it is open and nothing arrived after the
// last response.
func (c *conn) isReusable() bool { return c.br.Buffered() == 0 && isOpenAndSilent(c.nc) }

// roundTrip sends a request and returns its response. On an error it closes the connection.
func (c *conn) roundTrip(ctx context.Context, req *http.Request, matches func(*http.Response) bool) (*http.Response, error) {
	sentBefore := c.cw.n.Load()
	// Closing the connection unblocks reads and writes, and signals the cancellation to the upstream.
	stop := context.AfterFunc(ctx, func() { c.nc.Close() })
	writeResult := c.write(req)
	resp, err := c.read(req, matches)
	if err != nil {
		stop()
		c.nc.Close()
		if ctx.Err() != nil {
			err = errors.Join(err, ctx.Err())
		}
		switch {
		case errors.Is(err, ErrMismatched):
		case c.cw.n.Load() == sentBefore:
			err = fmt.Errorf("%w: %w", ErrNotSent, err)
		default:
			err = fmt.Errorf("%w: %w", ErrBroken, err)
		}
		return nil, err
	}
	resp.Body = &body{c: c, rc: resp.Body, resp: resp, writeResult: writeResult, stop: stop}
	return resp, nil
}

// write sends the request and returns a channel that receives the result. Large bodies and bodies of unknown length
// are sent in the background. A write error also shows when the response is read.
func (c *conn) write(req *http.Request) <-chan error {
	result := make(chan error, 1)
	send := func() {
		w := bufio.NewWriterSize(&c.cw, maxInlineBody)
		err := req.Write(w)
		if err == nil {
			err = w.Flush()
		}
		result <- err
	}
	if req.ContentLength > maxInlineBody || req.ContentLength < 0 {
		go send()
	} else {
		send()
	}
	return result
}

// read returns the response to the request. It skips responses to other requests.
func (c *conn) read(req *http.Request, matches func(*http.Response) bool) (*http.Response, error) {
	skipped := 0
	for {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
			// net/http cannot write a status below 100, no request asks for another protocol, and HTTP defines no class above.
			return nil, fmt.Errorf("%w %d", errInvalidStatus, resp.StatusCode)
		}
		if matches(resp) {
			return resp, nil
		}
		skipped++
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes))
		if err != nil || n == maxForeignBytes || resp.Close || skipped > maxForeignResponses {
			return nil, ErrMismatched
		}
	}
}

// readHead reads the head of a response and the informational responses before it, which share the bound of its size.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.hr.inHead, c.hr.left = true, maxHeadBytes
	defer func() { c.hr.inHead = false }()
	for {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 100 || resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// body is the body of a response. When it has been read to its end, the connection returns to the pool.
type body struct {
	c           *conn
	rc          io.ReadCloser
	resp        *http.Response
	writeResult <-chan error
	stop        func() bool
	ended       bool
	truncated   bool
}

func (b *body) Read(p []byte) (int, error) {
	if b.truncated {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := b.rc.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// The error of a reset is reported once. If a write has taken it, the read sees the regular end of a connection.
	if answer.FramingOf(b.resp) == fighollow.FramingConnection && !b.ended && !b.isRequestWritten() {
		b.truncated = true
		_ = b.Close() // the answer is lost anyway
		return n, io.ErrUnexpectedEOF
	}
	b.release()
	return n, err
}

// isRequestWritten reports whether the request was written to its end.
func (b *body) isRequestWritten() bool {
	timer := time.NewTimer(writeWait)
	defer timer.Stop()
	select {
	case err := <-b.writeResult:
		return err == nil
	case <-timer.C:
		return false
	}
}

// Close closes the connection if the body was not read to its end.
func (b *body) Close() error {
	if !b.ended {
		b.ended = true
		b.stop()
		return b.c.nc.Close()
	}
	return nil
}

// release returns the connection to the pool if it is reusable: the whole request was sent and no bytes follow the
// response. Otherwise it closes the connection.
func (b *body) release() {
	if b.ended {
		return
	}
	b.ended = true
	stopped := b.stop()
	var sent bool
	select {
	case err := <-b.writeResult:
		sent = err == nil
	default: // the upstream responded early; the rest of the request body is still being sent
	}
	// The caller may read what has arrived much later.
	idle := idleTimeout(b.resp.Header) - time.Since(b.c.hr.readAt)
	if !stopped || !sent || b.resp.Close || idle <= 0 || b.c.br.Buffered() > 0 {
		b.c.nc.Close()
		return
	}
	b.c.pool.put(b.c, idle)
}
