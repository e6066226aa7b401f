package upstream_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/standin/endless"
	"github.com/fighollow/fighollow/internal/upstream"
)

const (
	endlessTimeout = 500 * time.Millisecond // of a request
	closeTime      = 700 * time.Millisecond // from the end of a request until its connection is closed
	// maxAccepted is the number of bytes that a connection may take before it is closed. Most of them are in the kernel's
	// buffers.
	maxAccepted = 16 << 20
	// maxHeapGrowth covers several times the bound of a head, and garbage.
	maxHeapGrowth = 8 << 20
)

// Guards against a request, a connection or memory that is held for as long as an upstream sends bytes that are no answer.
func TestBytesWithoutEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: {id}\r\n"
	const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	const idle = ok + "Keep-Alive: timeout=1\r\n" // kept for 0.3 s
	const foreign = "HTTP/1.1 200 OK\r\nId: other\r\n"
	const chunk = "40\r\n0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n"
	errBody := errors.New("any error of the body")
	for name, c := range map[string]struct {
		answer endless.Answer
		method string // default POST
		want   error  // nil: the answer is complete; context.DeadlineExceeded: it lasts until the deadline
	}{
		"statusLine":         {answer: endless.Answer{Begin: "HTTP/1.1 200 ", Repeat: "a"}, want: upstream.ErrBroken},
		"noStatusLine":       {answer: endless.Answer{Repeat: "a"}, want: upstream.ErrBroken},
		"blankLines":         {answer: endless.Answer{Repeat: "\r\n"}, want: upstream.ErrBroken},
		"headerName":         {answer: endless.Answer{Begin: ok, Repeat: "a"}, want: upstream.ErrBroken},
		"headerLine":         {answer: endless.Answer{Begin: ok + "A: ", Repeat: "a"}, want: upstream.ErrBroken},
		"headerLines":        {answer: endless.Answer{Begin: ok, Repeat: "A: b\r\n"}, want: upstream.ErrBroken},
		"continuationLines":  {answer: endless.Answer{Begin: ok + "A: b\r\n", Repeat: " c\r\n"}, want: upstream.ErrBroken},
		"informational":      {answer: endless.Answer{Repeat: "HTTP/1.1 102 Processing\r\n\r\n"}, want: upstream.ErrBroken},
		"foreignHeads":       {answer: endless.Answer{Repeat: foreign + "Content-Length: 0\r\n\r\n"}, want: upstream.ErrMismatched},
		"foreignBody":        {answer: endless.Answer{Begin: foreign + "\r\n", Repeat: "x"}, want: upstream.ErrMismatched},
		"foreignChunks":      {answer: endless.Answer{Begin: foreign + "Transfer-Encoding: chunked\r\n\r\n", Repeat: chunk}, want: upstream.ErrMismatched},
		"foreignThenHead":    {answer: endless.Answer{Begin: foreign + "Content-Length: 0\r\n\r\n" + ok, Repeat: "A: b\r\n"}, want: upstream.ErrBroken},
		"chunkSizeLine":      {answer: endless.Answer{Begin: chunked, Repeat: "0"}, want: errBody},
		"chunkExtension":     {answer: endless.Answer{Begin: chunked + "1;a=", Repeat: "b"}, want: errBody},
		"chunkExtensions":    {answer: endless.Answer{Begin: chunked, Repeat: "1;" + strings.Repeat("a", 1000) + "\r\nx\r\n"}, want: errBody},
		"trailerLine":        {answer: endless.Answer{Begin: chunked + chunk + "0\r\nA: ", Repeat: "b"}, want: errBody},
		"trailerLines":       {answer: endless.Answer{Begin: chunked + chunk + "0\r\n", Repeat: "A: b\r\n"}, want: errBody},
		"bodyWithLength":     {answer: endless.Answer{Begin: ok + "Content-Length: 1000000000000\r\n\r\n", Repeat: "x"}, want: context.DeadlineExceeded},
		"bodyInChunks":       {answer: endless.Answer{Begin: chunked, Repeat: chunk}, want: context.DeadlineExceeded},
		"bodyWithoutFraming": {answer: endless.Answer{Begin: ok + "\r\n", Repeat: "x"}, want: context.DeadlineExceeded},
		"afterAnswer":        {answer: endless.Answer{Begin: idle + "Content-Length: 2\r\n\r\nok", Repeat: "x"}},
		"afterChunks":        {answer: endless.Answer{Begin: idle + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n", Repeat: "x"}},
		"afterHead":          {answer: endless.Answer{Begin: idle + "Content-Length: 2\r\n\r\n", Repeat: "x"}, method: http.MethodHead},
		"afterNoContent":     {answer: endless.Answer{Begin: "HTTP/1.1 204 No Content\r\nId: {id}\r\nKeep-Alive: timeout=1\r\n\r\n", Repeat: "x"}},
		"whileIdle":          {answer: endless.Answer{Begin: idle + "Content-Length: 2\r\n\r\nok", Delay: 50 * time.Millisecond, Repeat: "x"}},
		"slowHead":           {answer: endless.Answer{Begin: ok + "A: ", Repeat: "a", Pause: 20 * time.Millisecond}, want: context.DeadlineExceeded},
		"slowHeaderLines":    {answer: endless.Answer{Begin: ok, Repeat: "A: b\r\n", Pause: 20 * time.Millisecond}, want: context.DeadlineExceeded},
		"slowInformational":  {answer: endless.Answer{Repeat: "HTTP/1.1 102 Processing\r\n\r\n", Pause: 20 * time.Millisecond}, want: context.DeadlineExceeded},
		"slowForeignBody":    {answer: endless.Answer{Begin: foreign + "\r\n", Repeat: "x", Pause: 20 * time.Millisecond}, want: context.DeadlineExceeded},
		"slowBody":           {answer: endless.Answer{Begin: ok + "\r\n", Repeat: "x", Pause: 20 * time.Millisecond}, want: context.DeadlineExceeded},
		"slowTrailer":        {answer: endless.Answer{Begin: chunked + "0\r\nA: ", Repeat: "b", Pause: 20 * time.Millisecond}, want: context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := endless.New("Id", c.answer)
			qt.Assert(t, err, qt.IsNil)
			defer s.Close()
			pool := upstream.New()
			defer pool.Close()
			method := c.method
			if method == "" {
				method = http.MethodPost
			}
			start := time.Now()
			var inBody bool
			grown := endless.HeapGrowth(func() { inBody, err = discard(pool, s.Address(), method) })
			took := time.Since(start)
			awaitClosed(s)
			untilDeadline := errors.Is(c.want, context.DeadlineExceeded)
			switch {
			case c.want == nil:
				qt.Check(t, err, qt.IsNil)
			case errors.Is(c.want, errBody), inBody && untilDeadline:
				qt.Check(t, inBody, qt.IsTrue, qt.Commentf("%v", err))
			default:
				qt.Check(t, err, qt.ErrorIs, c.want)
			}
			qt.Check(t, took >= endlessTimeout, qt.Equals, untilDeadline, qt.Commentf("the request took %v", took))
			qt.Check(t, took < 2*endlessTimeout, qt.IsTrue, qt.Commentf("the request took %v", took))
			qt.Check(t, s.Requests(), qt.Equals, int64(1))
			qt.Check(t, s.Open(), qt.Equals, int64(0), qt.Commentf("open connections"))
			qt.Check(t, untilDeadline || s.Sent() <= maxAccepted, qt.IsTrue, qt.Commentf("%d bytes accepted", s.Sent()))
			qt.Check(t, grown <= maxHeapGrowth, qt.IsTrue, qt.Commentf("the heap grew by %d bytes", grown))
			t.Logf("took %v, accepted %d, heap %d: %v", took, s.Sent(), grown, err)
		})
	}
}

// discard sends a request and reads the body of its response to the end. inBody reports whether the error is one of the body.
func discard(p *upstream.Pool, addr, method string) (inBody bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
	defer cancel()
	resp, err := p.Do(ctx, addr, request(method, "a", ""), func(r *http.Response) bool { return r.Header.Get("Id") == "a" })
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err != nil, err
}

// awaitClosed waits until the peer has closed all connections, for at most closeTime.
func awaitClosed(s *endless.Server) {
	for end := time.Now().Add(closeTime); s.Open() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		continue
	}
}

// Guards against a bound that rejects a legitimate head: one that echoes a long header, after informational responses.
func TestLongHeadIsRead(t *testing.T) {
	for _, answer := range []endless.Answer{
		{Begin: "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 0\r\nEcho: " + strings.Repeat("a", 100<<10) + "\r\n\r\n"},
		{Begin: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000) + "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"},
	} {
		s, err := endless.New("Id", answer)
		qt.Assert(t, err, qt.IsNil)
		defer s.Close()
		pool := upstream.New()
		defer pool.Close()
		_, err = discard(pool, s.Address(), http.MethodPost)
		qt.Assert(t, err, qt.IsNil)
	}
}
