package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/upstream"
)

// peer is an upstream that runs a script for each connection.
type peer struct {
	addr   string
	conns  atomic.Int64
	served atomic.Int64 // requests read completely
}

func newPeer(t *testing.T, script func(p *peer, n int64, c net.Conn, r *bufio.Reader)) *peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	p := &peer{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := p.conns.Add(1)
			go func() {
				defer c.Close()
				script(p, n, c, bufio.NewReader(c))
			}()
		}
	}()
	return p
}

// read reads one complete request and returns its id. It returns "" at the end of the connection or on an error.
func (p *peer) read(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return ""
	}
	p.served.Add(1)
	return req.Header.Get("Id")
}

func response(id, body, extra string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), extra, body)
}

func request(method, id, body string) *http.Request {
	req := &http.Request{
		Method: method, URL: &url.URL{Scheme: "http", Host: "h", Opaque: "/x"}, Host: "h", Header: http.Header{"Id": {id}},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(body)),
	}
	if body != "" {
		req.Body = io.NopCloser(strings.NewReader(body))
	}
	return req
}

// do sends a request and returns the body of its response.
func do(p *upstream.Pool, addr, method, id, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, addr, request(method, id, body), func(r *http.Response) bool { return r.Header.Get("Id") == id })
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

func TestConnectionIsReused(t *testing.T) {
	peer := newPeer(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
		for id := p.read(r); id != ""; id = p.read(r) {
			_, _ = io.WriteString(c, response(id, "body of "+id, ""))
		}
	})
	pool := upstream.New()
	defer pool.Close()
	for _, id := range []string{"a", "b", "c"} {
		got, err := do(pool, peer.addr, "POST", id, "x")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, "body of "+id)
	}
	qt.Assert(t, peer.conns.Load(), qt.Equals, int64(1))
}

// Guards against a request that is retried because a reused connection broke, although the upstream may have run it.
func TestBrokenConnectionIsNotRepeated(t *testing.T) {
	for _, method := range []string{"POST", "GET"} {
		t.Run(method, func(t *testing.T) {
			peer := newPeer(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
				id := p.read(r)
				_, _ = io.WriteString(c, response(id, "ok", ""))
				p.read(r) // reads the second request, then the connection is closed
			})
			pool := upstream.New()
			defer pool.Close()
			_, err := do(pool, peer.addr, method, "a", "")
			qt.Assert(t, err, qt.IsNil)
			_, err = do(pool, peer.addr, method, "b", "")
			qt.Assert(t, err, qt.ErrorIs, upstream.ErrBroken)
			qt.Assert(t, peer.served.Load(), qt.Equals, int64(2))
		})
	}
}

// Guards against sending a request on a connection that the upstream closed while it was idle.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	peerClosed := make(chan struct{})
	peer := newPeer(t, func(p *peer, n int64, c net.Conn, r *bufio.Reader) {
		id := p.read(r)
		_, _ = io.WriteString(c, response(id, "ok", ""))
		if n == 1 {
			c.Close()
			close(peerClosed)
			return
		}
		p.read(r)
	})
	pool := upstream.New()
	defer pool.Close()
	_, err := do(pool, peer.addr, "POST", "a", "x")
	qt.Assert(t, err, qt.IsNil)
	<-peerClosed
	time.Sleep(20 * time.Millisecond) // lets the FIN arrive
	_, err = do(pool, peer.addr, "POST", "b", "x")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, peer.conns.Load(), qt.Equals, int64(2))
}

// Guards against bytes that follow a complete response being read as the response to the next request.
func TestExtraBytesCloseTheConnection(t *testing.T) {
	peer := newPeer(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
		for id := p.read(r); id != ""; id = p.read(r) {
			_, _ = io.WriteString(c, response(id, "ok", "")+response(id, "again", ""))
		}
	})
	pool := upstream.New()
	defer pool.Close()
	for _, id := range []string{"a", "b"} {
		got, err := do(pool, peer.addr, "POST", id, "x")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, "ok")
	}
	qt.Assert(t, peer.conns.Load(), qt.Equals, int64(2))
}

// Guards against a late response to an earlier request being returned for the next one.
func TestForeignAnswerIsSkipped(t *testing.T) {
	peer := newPeer(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, response(p.read(r), "first", ""))
		id := p.read(r)
		_, _ = io.WriteString(c, response("a", "late", "")+response(id, "second", ""))
	})
	pool := upstream.New()
	defer pool.Close()
	_, err := do(pool, peer.addr, "POST", "a", "x")
	qt.Assert(t, err, qt.IsNil)
	got, err := do(pool, peer.addr, "POST", "b", "x")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, "second")
}

func TestOnlyForeignAnswers(t *testing.T) {
	peer := newPeer(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
		p.read(r)
		for range 5 {
			_, _ = io.WriteString(c, response("other", "late", ""))
		}
	})
	pool := upstream.New()
	defer pool.Close()
	_, err := do(pool, peer.addr, "POST", "a", "x")
	qt.Assert(t, err, qt.ErrorIs, upstream.ErrMismatched)
}

func TestUnreachableIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	addr := l.Addr().String()
	l.Close()
	pool := upstream.New()
	defer pool.Close()
	_, err = do(pool, addr, "POST", "a", "x")
	qt.Assert(t, err, qt.ErrorIs, upstream.ErrNotSent)
}

// Guards against a reset connection being taken for the regular end of a body without Content-Length.
func TestResetDuringBodyIsAnError(t *testing.T) {
	peer := newPeer(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
		id := p.read(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\npart")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	pool := upstream.New()
	defer pool.Close()
	got, err := do(pool, peer.addr, "POST", "a", "x")
	qt.Assert(t, err, qt.IsNotNil, qt.Commentf("body %q", got))
}

// Guards against a part of an answer being taken for the whole where a write has taken the error of the reset: the read then sees an orderly end.
func TestResetWhileTheRequestIsWrittenIsAnError(t *testing.T) {
	for name, prefix := range map[string]string{"plain": "", "afterContinue": "HTTP/1.1 100 Continue\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			peer := newPeer(t, func(_ *peer, _ int64, c net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, prefix+"HTTP/1.1 200 OK\r\nId: "+req.Header.Get("Id")+"\r\n\r\npart")
				_ = c.(*net.TCPConn).SetLinger(0)
			})
			pool := upstream.New()
			defer pool.Close()
			for range 20 {
				got, err := do(pool, peer.addr, "POST", "a", strings.Repeat("x", 3<<20))
				qt.Assert(t, err, qt.IsNotNil, qt.Commentf("body %q", got))
			}
		})
	}
}

// Guards against whole answers being rejected because the end of a long request is written while they arrive.
func TestBodyOfALongRequestEndsWithConnection(t *testing.T) {
	peer := newPeer(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+p.read(r)+"\r\n\r\nwhole")
	})
	pool := upstream.New()
	defer pool.Close()
	for range 20 {
		got, err := do(pool, peer.addr, "POST", "a", strings.Repeat("x", 3<<20))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, "whole")
	}
}

func TestBodyEndsWithConnection(t *testing.T) {
	peer := newPeer(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+p.read(r)+"\r\n\r\nwhole")
	})
	pool := upstream.New()
	defer pool.Close()
	got, err := do(pool, peer.addr, "POST", "a", "x")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, "whole")
}

// Guards against an answer with a status that HTTP does not define being passed on.
func TestInvalidStatusIsBroken(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999", "0200", "2OO", "-01", "+20"} {
		t.Run(status, func(t *testing.T) {
			peer := newPeer(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" x\r\nId: "+p.read(r)+"\r\nContent-Length: 0\r\n\r\n")
			})
			pool := upstream.New()
			defer pool.Close()
			_, err := do(pool, peer.addr, "POST", "a", "x")
			qt.Assert(t, err, qt.ErrorIs, upstream.ErrBroken)
		})
	}
}

// Guards against the rest of a long request body being parsed as a new request by an upstream that responded early.
func TestEarlyResponseClosesTheConnection(t *testing.T) {
	peer := newPeer(t, func(p *peer, n int64, c net.Conn, r *bufio.Reader) {
		if n > 1 {
			_, _ = io.WriteString(c, response(p.read(r), "ok", ""))
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, response(req.Header.Get("Id"), "early", ""))
		time.Sleep(200 * time.Millisecond) // the rest of the body stays unread
	})
	pool := upstream.New()
	defer pool.Close()
	got, err := do(pool, peer.addr, "POST", "a", strings.Repeat("x", 16<<20))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, "early")
	got, err = do(pool, peer.addr, "POST", "b", "x")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, "ok")
	qt.Assert(t, peer.conns.Load(), qt.Equals, int64(2))
}

// Guards against an upstream that keeps working for a caller that has left.
func TestEndOfContextClosesConnection(t *testing.T) {
	readErr := make(chan error, 1)
	peer := newPeer(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
		p.read(r)
		_, err := r.ReadByte()
		readErr <- err
	})
	pool := upstream.New()
	defer pool.Close()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := pool.Do(ctx, peer.addr, request("POST", "a", "x"), func(*http.Response) bool { return true }) //nolint:bodyclose // there is no response
	qt.Assert(t, err, qt.ErrorIs, context.Canceled)
	select {
	case err := <-readErr:
		qt.Assert(t, err, qt.IsNotNil)
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the connection to the upstream is still open")
	}
}

func TestIdleTimeoutOfThePeer(t *testing.T) {
	peer := newPeer(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
		for id := p.read(r); id != ""; id = p.read(r) {
			_, _ = io.WriteString(c, response(id, "ok", "Keep-Alive: timeout=0\r\n"))
		}
	})
	pool := upstream.New()
	defer pool.Close()
	for _, id := range []string{"a", "b"} {
		_, err := do(pool, peer.addr, "POST", id, "x")
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, peer.conns.Load(), qt.Equals, int64(2))
}

func TestMalformedResponseIsBroken(t *testing.T) {
	peer := newPeer(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
		p.read(r)
		_, _ = io.WriteString(c, "no answer at all\r\n\r\n")
	})
	pool := upstream.New()
	defer pool.Close()
	_, err := do(pool, peer.addr, "POST", "a", "x")
	qt.Assert(t, errors.Is(err, upstream.ErrBroken), qt.IsTrue)
}

// Guards against an idle time that is counted from when the process reads the end of a response instead of from when the upstream
// sent it: a slow process or caller would use up the margin before the upstream's keep-alive timeout, and the next request would
// meet the upstream's close.
func TestIdleTimeCountsFromTheArrivalOfTheResponse(t *testing.T) {
	peer := newPeer(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
		for id := p.read(r); id != ""; id = p.read(r) {
			_, _ = io.WriteString(c, response(id, "ok", "Keep-Alive: timeout=1\r\n"))
		}
	})
	pool := upstream.New()
	defer pool.Close()
	resp, err := pool.Do(t.Context(), peer.addr, request("POST", "a", "x"), func(*http.Response) bool { return true })
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(900 * time.Millisecond) // the whole response has arrived
	_, err = io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	resp.Body.Close()
	time.Sleep(60 * time.Millisecond) // 40 ms before the peer's timeout
	_, err = do(pool, peer.addr, "POST", "b", "x")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, peer.conns.Load(), qt.Equals, int64(2))
}
