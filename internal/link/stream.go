package link

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// ErrCancelled says that the peer no longer wants the answer of a stream.
var ErrCancelled = errors.New("link: stream cancelled")

// Stream is the entry's side of one attempt. Recv must be called from one goroutine at a time.
type Stream struct {
	c  *Conn
	id uint32

	mu      sync.Mutex
	queue   []Message
	ready   chan struct{} // capacity 1; signals a change of queue or failed
	failed  bool
	ended   bool // Refuse or Finish was delivered
	unacked int  // bytes of chunks received and not yet granted again
}

// Open sends a call and returns its stream. An ErrTooLarge means that nothing was sent. After any other error the
// call may have arrived.
func (c *Conn) Open(call Call) (*Stream, error) {
	s := &Stream{c: c, ready: make(chan struct{}, 1)}
	c.mu.Lock()
	if c.streams == nil {
		c.mu.Unlock()
		return nil, ErrClosed
	}
	c.nextStream++
	s.id = c.nextStream
	c.streams[s.id] = s
	c.mu.Unlock()
	call.Stream = s.id
	if err := c.send(&call); err != nil {
		c.forget(s.id)
		return nil, err
	}
	return s, nil
}

// Recv returns the next message of the stream: Accept, Refuse, Head, Chunk or Finish. Errors: ErrClosed when the link
// broke, or the context's error. Receiving a chunk grants its sender new credit.
func (s *Stream) Recv(ctx context.Context) (Message, error) {
	for {
		m, err := s.pop()
		if m != nil || err != nil {
			return m, err
		}
		select {
		case <-s.ready:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *Stream) pop() (Message, error) {
	s.mu.Lock()
	if len(s.queue) == 0 {
		defer s.mu.Unlock()
		if s.failed {
			return nil, ErrClosed
		}
		return nil, nil
	}
	m := s.queue[0]
	s.queue = s.queue[1:]
	grant := 0
	if chunk, ok := m.(*Chunk); ok {
		s.unacked += len(chunk.Data)
		// Granting in halves of the window keeps Window messages rare without stalling the sender.
		if s.unacked >= s.c.opts.Window/2 {
			grant, s.unacked = s.unacked, 0
		}
	}
	s.mu.Unlock()
	if grant > 0 {
		// A failed send closes the link, which the next Recv reports.
		_ = s.c.send(&Window{Stream: s.id, Bytes: uint32(grant)})
	}
	return m, nil
}

// Cancel tells the sidecar to stop the attempt and forgets the stream. It does nothing after the stream's end.
func (s *Stream) Cancel(reason string) {
	s.mu.Lock()
	ended := s.ended || s.failed
	s.ended = true
	s.mu.Unlock()
	s.c.forget(s.id)
	if !ended {
		_ = s.c.send(&Cancel{Stream: s.id, Reason: reason})
	}
}

// Conn returns the link that carries the stream.
func (s *Stream) Conn() *Conn { return s.c }

func (s *Stream) put(m Message, last bool) {
	s.mu.Lock()
	s.queue = append(s.queue, m)
	s.ended = s.ended || last
	s.mu.Unlock()
	s.signal()
}

func (s *Stream) fail() {
	s.mu.Lock()
	s.failed = true
	s.mu.Unlock()
	s.signal()
}

func (s *Stream) signal() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// deliver hands m to its stream. A message for a stream that is over or was given up is dropped, so that late
// answers never reach another request.
func (c *Conn) deliver(id uint32, m Message) {
	_, refused := m.(*Refuse)
	_, finished := m.(*Finish)
	last := refused || finished
	c.mu.Lock()
	s := c.streams[id]
	if last {
		delete(c.streams, id)
	}
	c.mu.Unlock()
	if s != nil {
		s.put(m, last)
	}
}

func (c *Conn) forget(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, id)
}

// ServerStream is the sidecar's side of one attempt. Its methods are safe for concurrent use.
type ServerStream struct {
	c      *Conn
	id     uint32
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	credit int
	more   chan struct{} // capacity 1; signals new credit
	ctx    context.Context
}

func (c *Conn) serve(call *Call) error {
	ctx, cancel := context.WithCancelCause(context.Background())
	s := &ServerStream{c: c, id: call.Stream, cancel: cancel, credit: c.opts.Window, more: make(chan struct{}, 1), ctx: ctx}
	c.mu.Lock()
	if c.served == nil {
		c.mu.Unlock()
		cancel(ErrClosed)
		return ErrClosed
	}
	if _, ok := c.served[call.Stream]; ok {
		c.mu.Unlock()
		cancel(ErrClosed)
		return fmt.Errorf("%w: stream %d opened twice", ErrMalformed, call.Stream)
	}
	c.served[call.Stream] = s
	c.mu.Unlock()
	go func() {
		defer s.forget()
		c.h.ServeCall(ctx, call, s)
	}()
	return nil
}

func (c *Conn) servedStream(id uint32) *ServerStream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served[id]
}

func (s *ServerStream) forget() {
	s.cancel(nil)
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	delete(s.c.served, s.id)
}

func (s *ServerStream) end(cause error) { s.cancel(cause) }

func (s *ServerStream) grant(n int) {
	s.mu.Lock()
	s.credit += n
	s.mu.Unlock()
	select {
	case s.more <- struct{}{}:
	default:
	}
}

// Peer returns the Hello of the process that opened the stream.
func (s *ServerStream) Peer() Hello { return s.c.peer }

// Accept tells the entry that the attempt was admitted.
func (s *ServerStream) Accept(load fighollow.Load) error {
	return s.c.send(&Accept{Stream: s.id, Load: load})
}

// Refuse ends the stream without running the attempt.
func (s *ServerStream) Refuse(r fighollow.Refusal, load fighollow.Load) error {
	return s.c.send(&Refuse{Stream: s.id, Refusal: r, Load: load})
}

// Head sends the status and header of a plain service's response.
func (s *ServerStream) Head(status int, header map[string][]string) error {
	return s.c.send(&Head{Stream: s.id, Status: status, Header: header})
}

// Chunk sends a piece of the answer and blocks while the entry has granted no credit. A chunk may exceed the
// remaining credit once, so that a chunk larger than the window still passes. Errors: ErrCancelled, ErrClosed.
func (s *ServerStream) Chunk(offset uint64, units uint32, data []byte) error {
	for {
		s.mu.Lock()
		ok := s.credit > 0
		if ok {
			s.credit -= len(data)
		}
		s.mu.Unlock()
		if ok {
			return s.c.send(&Chunk{Stream: s.id, Offset: offset, Units: units, Data: data})
		}
		select {
		case <-s.more:
		case <-s.ctx.Done():
			return context.Cause(s.ctx)
		}
	}
}

// Finish ends the stream after Accept.
func (s *ServerStream) Finish(f Finish) error {
	f.Stream = s.id
	return s.c.send(&f)
}
