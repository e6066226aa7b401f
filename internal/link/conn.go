package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Defaults of Options.
const (
	DefaultDialTimeout = 2 * time.Second
	DefaultPingActive  = time.Second
	DefaultPingIdle    = 10 * time.Second
	DefaultPingTimeout = 3 * time.Second
	DefaultWindow      = 256 << 10
	sendQueueBytes     = 1 << 20
)

// Errors of a Conn, to be tested with errors.Is.
var (
	// ErrClosed says that the link is closed. A message sent before may or may not have arrived.
	ErrClosed = errors.New("link: closed")
	// ErrProtocol says that the peer's Hello does not fit.
	ErrProtocol = errors.New("link: protocol mismatch")
	// ErrRemote says that the peer answered an Ask with an error.
	ErrRemote = errors.New("link: error from peer")
)

// Handler receives what peers send. Its methods are called from one goroutine for each Conn, so that they must not
// block, except ServeCall and ServeAsk, which run in goroutines of their own.
type Handler interface {
	// ServeCall serves one stream opened by the peer. It runs until it returns; ctx ends when the peer cancels the
	// stream (context.Cause is then ErrCancelled) or when the link breaks (ErrClosed).
	ServeCall(ctx context.Context, call *Call, s *ServerStream)
	// ServeAsk answers a question. body decodes the question's body; the result is encoded as the reply's body.
	ServeAsk(ctx context.Context, c *Conn, topic string, body []byte) (any, error)
	// HandleTell takes a one-way message.
	HandleTell(c *Conn, topic string, body []byte)
	// HandleOpen is called once after the exchange of Hello, HandleClose once after the link ended.
	HandleOpen(c *Conn)
	HandleClose(c *Conn, err error)
}

// Options adjust a Conn; the zero value means the defaults.
type Options struct {
	MaxFrame    int           // bytes; default DefaultMaxFrame
	DialTimeout time.Duration // of connecting and of the exchange of Hello; default 2 s
	PingActive  time.Duration // between pings while streams are open; default 1 s
	PingIdle    time.Duration // between pings otherwise; default 10 s
	PingTimeout time.Duration // silence after a ping that closes the link; default 3 s
	Window      int           // bytes of chunks that a stream may have in flight; default 256 KiB
	TLS         *TLS          // nil means plain TCP
}

func (o Options) withDefaults() Options {
	if o.MaxFrame == 0 {
		o.MaxFrame = DefaultMaxFrame
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.PingActive == 0 {
		o.PingActive = DefaultPingActive
	}
	if o.PingIdle == 0 {
		o.PingIdle = DefaultPingIdle
	}
	if o.PingTimeout == 0 {
		o.PingTimeout = DefaultPingTimeout
	}
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	return o
}

// Conn is a link to one peer. All methods are safe for concurrent use.
type Conn struct {
	nc   net.Conn
	opts Options
	self Hello
	peer Hello
	h    Handler

	out      sendQueue
	lastRecv atomic.Int64 // Unix nanoseconds
	sent     atomic.Int64 // bytes
	received atomic.Int64 // bytes
	closed   chan struct{}
	once     sync.Once
	err      error // set before closed is closed

	mu         sync.Mutex
	nextStream uint32
	nextAsk    uint32
	streams    map[uint32]*Stream       // opened here
	served     map[uint32]*ServerStream // opened by the peer
	asks       map[uint32]chan *Reply
}

// Dial connects to addr (IP:port) and exchanges Hello. h receives what the peer sends on this Conn.
func Dial(ctx context.Context, addr string, self Hello, h Handler, opts Options) (*Conn, error) {
	opts = opts.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, opts.DialTimeout)
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("link: dial %s: %w", addr, err)
	}
	if opts.TLS != nil {
		nc, err = opts.TLS.client(ctx, nc)
		if err != nil {
			return nil, fmt.Errorf("link: dial %s: %w", addr, err)
		}
	}
	c, err := handshake(nc, self, h, opts)
	if err != nil {
		return nil, fmt.Errorf("link: dial %s: %w", addr, err)
	}
	c.start()
	return c, nil
}

func handshake(nc net.Conn, self Hello, h Handler, opts Options) (*Conn, error) {
	c := &Conn{
		nc: nc, opts: opts, self: self, h: h,
		closed:  make(chan struct{}),
		streams: make(map[uint32]*Stream),
		served:  make(map[uint32]*ServerStream),
		asks:    make(map[uint32]chan *Reply),
	}
	c.out.init()
	self.Protocol = Protocol
	if err := nc.SetDeadline(time.Now().Add(opts.DialTimeout)); err != nil {
		nc.Close()
		return nil, err
	}
	if err := c.exchangeHello(self); err != nil {
		nc.Close()
		return nil, err
	}
	return c, nc.SetDeadline(time.Time{})
}

func (c *Conn) exchangeHello(self Hello) error {
	frame, err := appendFrame(nil, &self, c.opts.MaxFrame)
	if err != nil {
		return err
	}
	if _, err := c.nc.Write(frame); err != nil {
		return err
	}
	// The reader takes exactly one frame from the connection: it is unbuffered, so nothing after Hello is lost.
	m, err := newFrameReader(c.nc, c.opts.MaxFrame).next()
	if err != nil {
		return err
	}
	hello, ok := m.(*Hello)
	if !ok {
		return fmt.Errorf("%w: first message is %T", ErrProtocol, m)
	}
	if hello.Protocol != Protocol {
		return fmt.Errorf("%w: peer speaks version %d, this process %d", ErrProtocol, hello.Protocol, Protocol)
	}
	c.peer = *hello
	return nil
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

// Closed returns a channel that is closed when the link has ended.
func (c *Conn) Closed() <-chan struct{} { return c.closed }

// Bytes returns the bytes sent and received so far, frame headers included.
func (c *Conn) Bytes() (sent, received int64) { return c.sent.Load(), c.received.Load() }

// Close ends the link. Open streams end with ErrClosed.
func (c *Conn) Close() { c.fail(ErrClosed) }

func (c *Conn) fail(err error) {
	c.once.Do(func() {
		c.err = err
		close(c.closed)
		c.out.close()
		c.nc.Close()
		c.mu.Lock()
		streams, served := c.streams, c.served
		c.streams, c.served, c.asks = nil, nil, nil
		c.mu.Unlock()
		for _, s := range streams {
			s.fail()
		}
		for _, s := range served {
			s.end(ErrClosed)
		}
		go c.h.HandleClose(c, err)
	})
}

// send queues m and blocks while the queue is full. After an error the link is closed or m was too large.
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

// Tell sends a one-way message.
func (c *Conn) Tell(topic string, body any) error {
	b, err := msgpack.Marshal(body)
	if err != nil {
		return fmt.Errorf("link: encode %s: %w", topic, err)
	}
	return c.send(&Tell{Topic: topic, Body: b})
}

// Ask sends a question and decodes the reply into out, which may be nil. Errors: ErrRemote with the peer's message,
// ErrClosed when the link broke (the peer may have acted), or the context's error.
func (c *Conn) Ask(ctx context.Context, topic string, in, out any) error {
	b, err := msgpack.Marshal(in)
	if err != nil {
		return fmt.Errorf("link: encode %s: %w", topic, err)
	}
	ch := make(chan *Reply, 1)
	c.mu.Lock()
	if c.asks == nil {
		c.mu.Unlock()
		return ErrClosed
	}
	c.nextAsk++
	id := c.nextAsk
	c.asks[id] = ch
	c.mu.Unlock()
	defer c.forgetAsk(id)
	if err := c.send(&Ask{ID: id, Topic: topic, Body: b}); err != nil {
		return err
	}
	select {
	case r := <-ch:
		if r.Error != "" {
			return fmt.Errorf("%w: %s", ErrRemote, r.Error)
		}
		if out == nil {
			return nil
		}
		if err := msgpack.Unmarshal(r.Body, out); err != nil {
			return fmt.Errorf("link: decode reply to %s: %w", topic, err)
		}
		return nil
	case <-c.closed:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Conn) forgetAsk(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.asks, id)
}

func (c *Conn) writeLoop() {
	for {
		frames, ok := c.out.take()
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
	n, err := r.c.nc.Read(p)
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
		if s := c.servedStream(m.Stream); s != nil {
			s.grant(int(m.Bytes))
		}
	case *Cancel:
		if s := c.servedStream(m.Stream); s != nil {
			s.end(ErrCancelled)
		}
	case *Ask:
		go c.answer(m)
	case *Reply:
		c.mu.Lock()
		ch := c.asks[m.ID]
		delete(c.asks, m.ID)
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

func (c *Conn) answer(m *Ask) {
	r := &Reply{ID: m.ID}
	out, err := c.h.ServeAsk(context.Background(), c, m.Topic, m.Body)
	if err == nil {
		r.Body, err = msgpack.Marshal(out)
	}
	if err != nil {
		r.Error, r.Body = err.Error(), nil
	}
	if r.Body == nil {
		r.Body = msgpack.RawMessage{0xc0} // msgpack nil: an empty raw message would not be valid msgpack
	}
	// A failed send closes the link, which the asker sees as ErrClosed.
	_ = c.send(r)
}

func (c *Conn) pingLoop() {
	t := time.NewTicker(c.opts.PingActive)
	defer t.Stop()
	var pinged time.Time
	for {
		select {
		case <-c.closed:
			return
		case now := <-t.C:
			silent := now.Sub(time.Unix(0, c.lastRecv.Load()))
			if !pinged.IsZero() && silent >= now.Sub(pinged) && now.Sub(pinged) >= c.opts.PingTimeout {
				c.fail(fmt.Errorf("%w: no answer to a ping for %v", ErrClosed, now.Sub(pinged)))
				return
			}
			if !pinged.IsZero() && silent < now.Sub(pinged) {
				pinged = time.Time{}
			}
			if pinged.IsZero() && silent >= c.pingAfter() {
				pinged = now
				go func() { _ = c.send(&Ping{}) }() // a full queue must not stop the check of silence
			}
		}
	}
}

// pingAfter returns the silence after which the link is checked.
func (c *Conn) pingAfter() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.streams)+len(c.served)+len(c.asks) > 0 {
		return c.opts.PingActive
	}
	return c.opts.PingIdle
}
