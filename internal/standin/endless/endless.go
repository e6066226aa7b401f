// Package endless is a stand-in for an upstream in trouble: a TCP server that sends bytes without end after a request.
package endless

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync/atomic"
	"time"
)

// IDPlaceholder is replaced in the parts of an Answer by the id of the request.
const IDPlaceholder = "{id}"

const (
	// writeBytes is the size of one write of an answer without pauses.
	writeBytes = 16 << 10
	// maxBytes is when a connection falls silent, so that a reader without a bound does not exhaust the machine's memory.
	maxBytes = 256 << 20
)

// Answer describes the bytes that follow a request.
type Answer struct {
	Begin  string        // sent once
	Delay  time.Duration // after Begin
	Repeat string        // sent until the peer closes the connection
	Pause  time.Duration // after each Repeat; 0 sends as fast as the peer reads
}

// Server sends an Answer on each connection. It is safe for concurrent use.
type Server struct {
	l        net.Listener
	idHeader string
	answer   Answer
	requests atomic.Int64
	open     atomic.Int64
	sent     atomic.Int64
}

// New starts a server that takes the id of a request from the header idHeader.
func New(idHeader string, a Answer) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{l: l, idHeader: idHeader, answer: a}
	go s.accept()
	return s, nil
}

// Address returns the server's IP:port.
func (s *Server) Address() string { return s.l.Addr().String() }

// Requests returns the number of requests read.
func (s *Server) Requests() int64 { return s.requests.Load() }

// Open returns the number of connections that the peer has not closed.
func (s *Server) Open() int64 { return s.open.Load() }

// Sent returns the number of bytes that were written, which includes those in the buffers of the kernel.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Close stops the server. Open connections end when their peers close them.
func (s *Server) Close() { s.l.Close() }

func (s *Server) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.open.Add(1)
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer s.open.Add(-1)
	defer c.Close()
	r := bufio.NewReader(c)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	s.requests.Add(1)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, r) // returns when the peer closes the connection
		c.Close()
	}()
	s.answer.send(c, req.Header.Get(s.idHeader), closed, &s.sent)
	<-closed
}

// send sends the bytes until the peer closes the connection, and adds their number to sent.
func (a Answer) send(c net.Conn, id string, closed <-chan struct{}, sent *atomic.Int64) {
	repeat := []byte(strings.ReplaceAll(a.Repeat, IDPlaceholder, id))
	if n := len(repeat); n > 0 && a.Pause == 0 {
		repeat = bytes.Repeat(repeat, (writeBytes+n-1)/n)
	}
	var total int64
	write := func(p []byte) bool {
		n, err := c.Write(p)
		total += int64(n)
		sent.Add(int64(n))
		return err == nil && total < maxBytes
	}
	if !write([]byte(strings.ReplaceAll(a.Begin, IDPlaceholder, id))) || !pause(a.Delay, closed) {
		return
	}
	for len(repeat) > 0 && write(repeat) && pause(a.Pause, closed) {
		continue
	}
}

// Call connects to a server and sends a instead of a request. It returns what the server sent, and the number of bytes written,
// when the server has closed the connection or the time is up.
func Call(address string, a Answer, within time.Duration) (response string, sent int64) {
	c, err := net.DialTimeout("tcp", address, within)
	if err != nil {
		return "", 0
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(within)) // the read fails if the connection is closed
	closed, ended := make(chan struct{}), make(chan struct{})
	var n atomic.Int64
	go func() {
		defer close(ended)
		a.send(c, "", closed, &n)
	}()
	data, _ := io.ReadAll(c) // a reset ends the response too
	close(closed)
	c.Close()
	<-ended
	return string(data), n.Load()
}

// pause waits for d and reports whether the connection is still open.
func pause(d time.Duration, closed <-chan struct{}) bool {
	if d == 0 {
		return true
	}
	select {
	case <-closed:
		return false
	case <-time.After(d):
		return true
	}
}

// HeapGrowth runs f and returns by how many bytes the heap's objects grew above their size before it.
func HeapGrowth(f func()) int64 {
	runtime.GC()
	before := heapBytes()
	done, peak := make(chan struct{}), make(chan int64)
	go func() {
		highest := before
		for {
			highest = max(highest, heapBytes())
			select {
			case <-done:
				peak <- highest
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	f()
	close(done)
	return <-peak - before
}

func heapBytes() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
