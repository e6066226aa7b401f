package link

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// ErrCancelled is the cause with which a stream's context ends when the peer cancels the stream.
var ErrCancelled = errors.New("link: stream cancelled")

// Stream is the client side of a Call: the entry's end of one attempt. Recv must be called from one goroutine at a time.
type Stream struct {
	c  *Conn
	id uint32

	mu        sync.Mutex
	queue     []Message
	ready     chan struct{} // capacity 1; signalled when queue or failed changes
	failed    bool
	ended     bool // Refuse or Finish was delivered
	ungranted int  // bytes of dequeued chunks for which no new credit was granted yet
}

// Open sends a call under a new stream ID and returns its stream. ErrTooLarge means that nothing was sent. After any
// other error the peer may have received the call.
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
		c.removeStream(s.id)
		return nil, err
	}
	return s, nil
}

// Recv waits for the next message of the stream: Accept, Refuse, Head, Chunk or Finish. Errors: ErrClosed if the link
// broke, or the context's error. Receiving chunks grants the sender new credit.
func (s *Stream) Recv(ctx context.Context) (Message, error) {
	for {
		m, err := s.dequeue()
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

func (s *Stream) dequeue() (Message, error) {
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
		s.ungranted += len(chunk.Data)
		// Granting credit half a window at a time keeps Window messages rare without stalling the sender.
		if s.ungranted >= s.c.opts.Window/2 {
			grant, s.ungranted = s.ungranted, 0
		}
	}
	s.mu.Unlock()
	if grant > 0 {
		// A failed send closes the link; the next Recv reports it.
		_ = s.c.send(&Window{Stream: s.id, Bytes: uint32(grant)})
	}
	return m, nil
}

// Cancel asks the sidecar to stop the attempt and removes the stream from the link. It sends nothing if the stream has
// already ended.
func (s *Stream) Cancel(reason string) {
	s.mu.Lock()
	ended := s.ended || s.failed
	s.ended = true
	s.mu.Unlock()
	s.c.removeStream(s.id)
	if !ended {
		_ = s.c.send(&Cancel{Stream: s.id, Reason: reason})
	}
}

// Conn returns the link that carries the stream.
func (s *Stream) Conn() *Conn { return s.c }

func (s *Stream) enqueue(m Message, last bool) {
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

// deliver passes m to its stream. A message for a stream that has ended or was cancelled is dropped, so that late
// responses never reach another request.
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
		s.enqueue(m, last)
	}
}

func (c *Conn) removeStream(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, id)
}

// ServerStream is the server side of a Call: the sidecar's end of one attempt. Its methods are safe for concurrent use.
type ServerStream struct {
	c      *Conn
	id     uint32
	cancel context.CancelCauseFunc

	mu          sync.Mutex
	credit      int
	creditAdded chan struct{} // capacity 1; signalled when credit is added
	ctx         context.Context
}

func (c *Conn) serve(call *Call) error {
	ctx, cancel := context.WithCancelCause(context.Background())
	s := &ServerStream{c: c, id: call.Stream, cancel: cancel, credit: c.opts.Window, creditAdded: make(chan struct{}, 1), ctx: ctx}
	c.mu.Lock()
	if c.serverStreams == nil {
		c.mu.Unlock()
		cancel(ErrClosed)
		return ErrClosed
	}
	if _, ok := c.serverStreams[call.Stream]; ok {
		c.mu.Unlock()
		cancel(ErrClosed)
		return fmt.Errorf("%w: stream %d opened twice", ErrMalformed, call.Stream)
	}
	c.serverStreams[call.Stream] = s
	c.mu.Unlock()
	go func() {
		defer s.remove()
		c.h.ServeCall(ctx, call, s)
	}()
	return nil
}

func (c *Conn) serverStream(id uint32) *ServerStream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serverStreams[id]
}

func (s *ServerStream) remove() {
	s.cancel(nil)
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	delete(s.c.serverStreams, s.id)
}

func (s *ServerStream) end(cause error) { s.cancel(cause) }

func (s *ServerStream) addCredit(n int) {
	s.mu.Lock()
	s.credit += n
	s.mu.Unlock()
	select {
	case s.creditAdded <- struct{}{}:
	default:
	}
}

// Peer returns the Hello of the process that opened the stream.
func (s *ServerStream) Peer() Hello { return s.c.peer }

// Accept reports to the entry that the attempt was admitted.
func (s *ServerStream) Accept(load fighollow.Load) error {
	return s.c.send(&Accept{Stream: s.id, Load: load})
}

// Refuse ends the stream without running the attempt.
func (s *ServerStream) Refuse(r fighollow.Refusal, load fighollow.Load) error {
	return s.c.send(&Refuse{Stream: s.id, Refusal: r, Load: load})
}

// Head sends the status and header of a plain HTTP service's response.
func (s *ServerStream) Head(status int, header map[string][]string) error {
	return s.c.send(&Head{Stream: s.id, Status: status, Header: header})
}

// Chunk sends a part of the response and blocks while the stream has no flow-control credit. A chunk may exceed the
// remaining credit, so that a chunk larger than the window can be sent; the next one then waits. offset and units count
// tokens or bytes. Errors: ErrTooLarge, ErrCancelled or ErrClosed.
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
		case <-s.creditAdded:
		case <-s.ctx.Done():
			return context.Cause(s.ctx)
		}
	}
}

// Finish ends an accepted stream. f.Stream is filled in.
func (s *ServerStream) Finish(f Finish) error {
	f.Stream = s.id
	return s.c.send(&f)
}
