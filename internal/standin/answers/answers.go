// Package answers sends HTTP/1 responses byte by byte as told: framed in any way and broken off at any byte. Stand-ins of
// upstreams use it where net/http would mark the end of each response correctly.
package answers

import (
	"bytes"
	"fmt"
	"net"
	"net/http"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Whole is the cut of an answer that is sent completely.
const Whole = -1

// Answer is a response to be sent.
type Answer struct {
	Proto      string // HTTP/1.1 if empty
	Status     int    // 200 if 0
	Header     http.Header
	Body       string
	Framing    fighollow.Framing // FramingLength if empty
	ChunkBytes int               // size of the chunks of FramingChunked; 0 for one chunk
}

// Head returns the status line and the header.
func (a Answer) Head() []byte {
	proto, status := a.Proto, a.Status
	if proto == "" {
		proto = "HTTP/1.1"
	}
	if status == 0 {
		status = http.StatusOK
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %d %s\r\n", proto, status, http.StatusText(status))
	_ = a.Header.Write(&b) // a bytes.Buffer does not fail
	switch a.Framing {
	case fighollow.FramingChunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case fighollow.FramingConnection:
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Encoded returns the body as it is sent.
func (a Answer) Encoded() []byte {
	if a.Framing != fighollow.FramingChunked {
		return []byte(a.Body)
	}
	size := a.ChunkBytes
	if size <= 0 {
		size = max(1, len(a.Body))
	}
	var b bytes.Buffer
	for rest := a.Body; rest != ""; {
		n := min(size, len(rest))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// Send sends the head and the first cut bytes of the encoded body, or all of it if cut is Whole. It closes the connection if
// the answer was cut or ends with its connection: with a reset if reset is set, else in an orderly way.
func (a Answer) Send(c net.Conn, cut int, reset bool) error {
	body := a.Encoded()
	whole := cut < 0 || cut >= len(body)
	if !whole {
		body = body[:cut]
	}
	if _, err := c.Write(append(a.Head(), body...)); err != nil {
		c.Close()
		return err
	}
	if whole && !reset && a.Framing != fighollow.FramingConnection {
		return nil
	}
	if tcp, ok := c.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0) // the close below then sends a reset; without it the peer sees an orderly end
	}
	return c.Close()
}
