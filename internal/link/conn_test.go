package link_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// testHandler serves calls with serve and replies to each Ask with its topic, or with an error on the topic "fail".
type testHandler struct {
	serve func(ctx context.Context, call *link.Call, s *link.ServerStream)
}

func (h *testHandler) ServeCall(ctx context.Context, call *link.Call, s *link.ServerStream) {
	h.serve(ctx, call, s)
}

func (h *testHandler) ServeAsk(_ context.Context, _ *link.Conn, topic string, _ []byte) (any, error) {
	if topic == "fail" {
		return nil, fmt.Errorf("no answer")
	}
	return topic, nil
}
func (h *testHandler) HandleTell(*link.Conn, string, []byte) {}
func (h *testHandler) HandleOpen(*link.Conn)                 {}
func (h *testHandler) HandleClose(*link.Conn, error)         {}

// serveEcho streams the request ID back one byte at a time.
func serveEcho(ctx context.Context, call *link.Call, s *link.ServerStream) {
	if s.Accept(fighollow.Load{}) != nil {
		return
	}
	for i := range call.Request {
		if s.Chunk(uint64(i), 1, []byte(call.Request[i:i+1])) != nil {
			return
		}
	}
	_ = s.Finish(link.Finish{Outcome: fighollow.OutcomeCompleted})
}

func listen(t *testing.T, h link.Handler, opts link.Options) *link.Listener {
	l, err := link.Listen("127.0.0.1:0", link.Hello{ID: "server"}, h, opts, nil)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(l.Close)
	return l
}

func dial(t *testing.T, addr string, opts link.Options) *link.Conn {
	c, err := link.Dial(context.Background(), addr, link.Hello{ID: "client"}, &testHandler{}, opts)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(c.Close)
	return c
}

// receive reads a stream to its end and returns the concatenated chunks and the outcome.
func receive(t *testing.T, s *link.Stream) (string, fighollow.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var got string
	for {
		m, err := s.Recv(ctx)
		qt.Assert(t, err, qt.IsNil)
		switch m := m.(type) {
		case *link.Chunk:
			qt.Assert(t, m.Offset, qt.Equals, uint64(len(got)))
			got += string(m.Data)
		case *link.Finish:
			return got, m.Outcome
		}
	}
}

// Guards against responses of concurrent streams on one link reaching the wrong request.
func TestConcurrentStreamsDoNotMix(t *testing.T) {
	l := listen(t, &testHandler{serve: serveEcho}, link.Options{Window: 8})
	c := dial(t, l.Addr(), link.Options{Window: 8})
	var streams []*link.Stream
	for i := range 50 {
		s, err := c.Open(link.Call{Request: fmt.Sprintf("request-%04d-%04d", i, i*7)})
		qt.Assert(t, err, qt.IsNil)
		streams = append(streams, s)
	}
	for i, s := range streams {
		got, outcome := receive(t, s)
		qt.Assert(t, got, qt.Equals, fmt.Sprintf("request-%04d-%04d", i, i*7))
		qt.Assert(t, outcome, qt.Equals, fighollow.OutcomeCompleted)
	}
}

// Guards against a sender that ignores flow control: if a caller reads slowly, its chunks would fill the entry's memory.
func TestChunksStopWithoutCredit(t *testing.T) {
	sent := make(chan int, 1000)
	h := &testHandler{serve: func(_ context.Context, _ *link.Call, s *link.ServerStream) {
		for i := range 100 {
			if s.Chunk(uint64(i), 1, make([]byte, 10)) != nil {
				break
			}
			sent <- i
		}
		_ = s.Finish(link.Finish{Outcome: fighollow.OutcomeCompleted})
	}}
	l := listen(t, h, link.Options{Window: 100})
	c := dial(t, l.Addr(), link.Options{Window: 100})
	s, err := c.Open(link.Call{})
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(100 * time.Millisecond)
	qt.Assert(t, len(sent), qt.Equals, 10)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for {
		m, err := s.Recv(ctx)
		qt.Assert(t, err, qt.IsNil)
		if _, ok := m.(*link.Finish); ok {
			break
		}
	}
	qt.Assert(t, len(sent), qt.Equals, 100)
}

// Guards against an engine that keeps running a request after its caller has disconnected.
func TestCancelEndsTheServersContext(t *testing.T) {
	cause := make(chan error, 1)
	h := &testHandler{serve: func(ctx context.Context, _ *link.Call, _ *link.ServerStream) {
		<-ctx.Done()
		cause <- context.Cause(ctx)
	}}
	l := listen(t, h, link.Options{})
	c := dial(t, l.Addr(), link.Options{})
	s, err := c.Open(link.Call{})
	qt.Assert(t, err, qt.IsNil)
	s.Cancel("caller left")
	qt.Assert(t, <-cause, qt.ErrorIs, link.ErrCancelled)
}

// Guards against a stream that waits indefinitely after its link broke.
func TestBrokenLinkEndsStreamsOnBothSides(t *testing.T) {
	started, cause := make(chan struct{}), make(chan error, 1)
	h := &testHandler{serve: func(ctx context.Context, _ *link.Call, _ *link.ServerStream) {
		close(started)
		<-ctx.Done()
		cause <- context.Cause(ctx)
	}}
	l := listen(t, h, link.Options{})
	c := dial(t, l.Addr(), link.Options{})
	s, err := c.Open(link.Call{})
	qt.Assert(t, err, qt.IsNil)
	<-started
	c.Close()
	_, err = s.Recv(context.Background())
	qt.Assert(t, err, qt.ErrorIs, link.ErrClosed)
	qt.Assert(t, <-cause, qt.ErrorIs, link.ErrClosed)
}

// Guards against an error returned by the peer, as for an unknown topic, being treated as a successful reply.
func TestAskReturnsTheReplyOrTheError(t *testing.T) {
	l := listen(t, &testHandler{}, link.Options{})
	c := dial(t, l.Addr(), link.Options{})
	var got string
	qt.Assert(t, c.Ask(context.Background(), "topic", 1, &got), qt.IsNil)
	qt.Assert(t, got, qt.Equals, "topic")
	qt.Assert(t, c.Ask(context.Background(), "fail", 1, &got), qt.ErrorIs, link.ErrRemote)
}

// Guards against not detecting a link that is cut without a reset: here a proxy completes the handshake and then drops
// everything sent towards the client.
func TestSilentPeerIsNoticed(t *testing.T) {
	l := listen(t, &testHandler{}, link.Options{})
	proxy, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer proxy.Close()
	cut := make(chan struct{})
	go func() {
		in, err := proxy.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", l.Addr())
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(out, in) }()
		buf := make([]byte, 4096)
		for {
			n, err := out.Read(buf)
			if err != nil {
				return
			}
			select {
			case <-cut: // drop the data for the client
			default:
				_, _ = in.Write(buf[:n])
			}
		}
	}()
	opts := link.Options{PingIdle: 20 * time.Millisecond, PingActive: 20 * time.Millisecond, PingTimeout: 100 * time.Millisecond}
	c := dial(t, proxy.Addr().String(), opts)
	close(cut)
	select {
	case <-c.Closed():
	case <-time.After(5 * time.Second):
		t.Fatal("the link was not closed")
	}
}

// Guards against a malformed or oversized frame affecting links other than its own.
func TestBadFramesCloseOnlyTheirLink(t *testing.T) {
	l := listen(t, &testHandler{serve: serveEcho}, link.Options{MaxFrame: 1 << 16})
	good := dial(t, l.Addr(), link.Options{})
	for name, frame := range map[string][]byte{
		"too large":       binary.BigEndian.AppendUint32(nil, 1<<17),
		"not msgpack":     append(binary.BigEndian.AppendUint32(nil, 4), 0xc1, 0xc1, 0xc1, 0xc1),
		"unknown type":    append(binary.BigEndian.AppendUint32(nil, 4), 0x92, 0xcc, 0xff, 0x80),
		"trailing bytes":  append(binary.BigEndian.AppendUint32(nil, 5), 0x92, 0xcc, 13, 0x80, 0x00),
		"first not hello": append(binary.BigEndian.AppendUint32(nil, 4), 0x92, 0xcc, 13, 0x80),
	} {
		t.Run(name, func(t *testing.T) {
			nc, err := net.Dial("tcp", l.Addr())
			qt.Assert(t, err, qt.IsNil)
			defer nc.Close()
			_, err = nc.Write(frame)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, nc.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
			_, err = io.Copy(io.Discard, nc)
			qt.Assert(t, err, qt.IsNil, qt.Commentf("the link was not closed"))
		})
	}
	s, err := good.Open(link.Call{Request: "still works"})
	qt.Assert(t, err, qt.IsNil)
	got, _ := receive(t, s)
	qt.Assert(t, got, qt.Equals, "still works")
}

// Guards against a message above the frame limit breaking the link on which it would be sent.
func TestOversizedCallIsRefusedBeforeSending(t *testing.T) {
	l := listen(t, &testHandler{serve: serveEcho}, link.Options{})
	c := dial(t, l.Addr(), link.Options{MaxFrame: 1 << 10})
	_, err := c.Open(link.Call{Request: string(make([]byte, 1<<11))})
	qt.Assert(t, err, qt.ErrorIs, link.ErrTooLarge)
	s, err := c.Open(link.Call{Request: "small"})
	qt.Assert(t, err, qt.IsNil)
	got, _ := receive(t, s)
	qt.Assert(t, got, qt.Equals, "small")
}

// Guards against a late response for a cancelled stream reaching another request on the same link.
func TestLateAnswerOfACancelledStreamIsDropped(t *testing.T) {
	late := make(chan struct{})
	h := &testHandler{serve: func(ctx context.Context, call *link.Call, s *link.ServerStream) {
		if call.Request == "given up" {
			<-ctx.Done()
			_ = s.Accept(fighollow.Load{})
			_ = s.Chunk(0, 1, []byte("late"))
			_ = s.Finish(link.Finish{Outcome: fighollow.OutcomeCompleted})
			close(late)
			return
		}
		<-late
		serveEcho(ctx, call, s)
	}}
	l := listen(t, h, link.Options{})
	c := dial(t, l.Addr(), link.Options{})
	first, err := c.Open(link.Call{Request: "given up"})
	qt.Assert(t, err, qt.IsNil)
	second, err := c.Open(link.Call{Request: "wanted"})
	qt.Assert(t, err, qt.IsNil)
	first.Cancel("given up")
	got, outcome := receive(t, second)
	qt.Assert(t, got, qt.Equals, "wanted")
	qt.Assert(t, outcome, qt.Equals, fighollow.OutcomeCompleted)
}
