package link

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Conn is a link to one peer. All methods are safe for concurrent use.
type Conn struct {
	nc   net.Conn
	opts Options
	self Hello
	peer Hello
	h    Handler

	out      sendQueue
	lastRecv atomic.Int64 // Unix nanoseconds
	reading  atomic.Bool  // readLoop waits for data, or takes it
	sent     atomic.Int64 // bytes
	received atomic.Int64 // bytes
	closed   chan struct{}
	once     sync.Once
	err      error // set before closed is closed

	mu            sync.Mutex
	nextStream    uint32
	nextAsk       uint32
	streams       map[uint32]*Stream       // opened by this process
	serverStreams map[uint32]*ServerStream // opened by the peer
	pendingAsks   map[uint32]chan *Reply
}

func (c *Conn) start() {
	c.lastRecv.Store(time.Now().UnixNano())
	c.h.HandleOpen(c)
	go c.writeLoop()
	go c.readLoop()
	go c.pingLoop()
}

// Peer returns the Hello of the other process.
func (c *Conn) Peer() Hello { return c.peer }

// Closed returns a channel that is closed when the link is closed or broken.
func (c *Conn) Closed() <-chan struct{} { return c.closed }

// Bytes returns the bytes sent and received so far, frame headers included.
func (c *Conn) Bytes() (sent, received int64) { return c.sent.Load(), c.received.Load() }

// Close closes the link. Open streams end with ErrClosed.
func (c *Conn) Close() { c.fail(ErrClosed) }

func (c *Conn) fail(err error) {
	c.once.Do(func() {
		c.err = err
		close(c.closed)
		c.out.close()
		c.nc.Close()
		c.mu.Lock()
		streams, serverStreams := c.streams, c.serverStreams
		c.streams, c.serverStreams, c.pendingAsks = nil, nil, nil
		c.mu.Unlock()
		for _, s := range streams {
			s.fail()
		}
		for _, s := range serverStreams {
			s.end(ErrClosed)
		}
		go c.h.HandleClose(c, err)
	})
}

// send queues m and blocks while the queue is full. Errors: ErrTooLarge or an encoding error, after which the link stays
// usable, and ErrClosed.
func (c *Conn) send(m Message) error {
	frame, err := appendFrame(nil, m, c.opts.MaxFrame)
	if err != nil {
		return err
	}
	if !c.out.push(frame) {
		return ErrClosed
	}
	return nil
}

// Tell sends a one-way message on topic. It blocks while the send queue is full. A nil error means that the message was
// queued, not that the peer has received it.
func (c *Conn) Tell(topic string, body any) error {
	b, err := msgpack.Marshal(body)
	if err != nil {
		return fmt.Errorf("link: encode %s: %w", topic, err)
	}
	return c.send(&Tell{Topic: topic, Body: b})
}

func (c *Conn) writeLoop() {
	for {
		frames, ok := c.out.takeAll()
		if !ok {
			return
		}
		bufs := net.Buffers(frames)
		n, err := bufs.WriteTo(c.nc)
		c.sent.Add(n)
		if err != nil {
			c.fail(fmt.Errorf("%w: %w", ErrClosed, err))
			return
		}
	}
}

type countingReader struct {
	c *Conn
}

func (r countingReader) Read(p []byte) (int, error) {
	r.c.reading.Store(true)
	defer r.c.reading.Store(false)
	n, err := r.c.nc.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = r.c.readUnread(p)
	}
	r.c.received.Add(int64(n))
	r.c.lastRecv.Store(time.Now().UnixNano())
	return n, err
}

const readBufferBytes = 16 << 10

func (c *Conn) readLoop() {
	fr := newFrameReader(bufio.NewReaderSize(countingReader{c}, readBufferBytes), c.opts.MaxFrame)
	for {
		m, err := fr.next()
		if err != nil {
			c.fail(fmt.Errorf("link: receive: %w", err))
			return
		}
		if err := c.dispatch(m); err != nil {
			c.fail(err)
			return
		}
	}
}

func (c *Conn) dispatch(m Message) error {
	switch m := m.(type) {
	case *Call:
		return c.serve(m)
	case *Accept:
		c.deliver(m.Stream, m)
	case *Refuse:
		c.deliver(m.Stream, m)
	case *Head:
		c.deliver(m.Stream, m)
	case *Chunk:
		c.deliver(m.Stream, m)
	case *Finish:
		c.deliver(m.Stream, m)
	case *Window:
		if s := c.serverStream(m.Stream); s != nil {
			s.addCredit(int(m.Bytes))
		}
	case *Cancel:
		if s := c.serverStream(m.Stream); s != nil {
			s.end(ErrCancelled)
		}
	case *Ask:
		go c.serveAsk(m)
	case *Reply:
		c.mu.Lock()
		ch := c.pendingAsks[m.ID]
		delete(c.pendingAsks, m.ID)
		c.mu.Unlock()
		if ch != nil {
			ch <- m
		}
	case *Tell:
		c.h.HandleTell(c, m.Topic, m.Body)
	case *Ping:
		return c.send(&Pong{})
	case *Pong:
	default:
		return fmt.Errorf("%w: unexpected %T", ErrMalformed, m)
	}
	return nil
}
