package callerconn

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fighollow/fighollow/internal/heldbytes"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// rejectTime bounds the writing of the answer to a rejected header, and the reading of what its caller still sends: the answer may be
	// lost if the connection is closed with bytes that were not read.
	rejectTime = 500 * time.Millisecond
	// rejectBytes bounds what is read after a rejected header.
	rejectBytes = 256 << 10
	// headerRetryAfter is the delay that is sent with a rejection for lack of memory.
	headerRetryAfter = 500 * time.Millisecond
)

// checkHeader returns why the header in progress is rejected, or nil. c.mu must be held.
func (c *Conn) checkHeader(now time.Time) *fighollow.Refusal {
	if limit := c.l.opts.Limits().HeaderBytes; limit > 0 && c.header.size > limit+headerSlack {
		return fighollow.NotRunRefusal(fighollow.CodeHeaderTooLarge, "the header is above the limit")
	}
	n := c.header.memory()
	if c.l.opts.Held == nil || c.held == nil && n <= heldbytes.UncountedHeader {
		return nil
	}
	if c.held == nil {
		c.held = c.l.opts.Held.Open(heldbytes.Header)
	}
	if err := c.held.Hold(now, n); err != nil {
		r := fighollow.NotRunRefusal(fighollow.CodeOverloaded, "too many long headers are held")
		r.RetryAfterMs = headerRetryAfter.Milliseconds()
		return r
	}
	return nil
}

// release frees what is held of a header. c.mu must be held.
func (c *Conn) release() {
	if c.held != nil {
		c.held.Close()
		c.held = nil
	}
}

// answerRejected answers a request whose header was rejected, and ends the connection. The server has read a part of the header at most, and
// writes nothing on this connection any more.
func (c *Conn) answerRejected(r *fighollow.Refusal) {
	status := http.StatusServiceUnavailable
	if r.Code == fighollow.CodeOverloaded {
		c.closeOthersStalled(time.Now()) // so that there are bytes for those that come back
	}
	if r.Code == fighollow.CodeHeaderTooLarge {
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	retryAfter := ""
	if r.RetryAfterMs > 0 {
		retryAfter = "Retry-After: " + strconv.FormatFloat(float64(r.RetryAfterMs)/1000, 'f', 3, 64) + "\r\n"
	}
	body := string(r.Code) + ": " + r.Message + "\n"
	_ = c.SetDeadline(time.Now().Add(rejectTime)) // fails only if the connection has ended
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), retryAfter, len(body), body)
	if err == nil && c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.TCPConn, rejectBytes) // ends early if the caller closes the connection
	}
}
