package peers_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fighollow/fighollow/internal/peers"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const service = "models"

// memory is what an entry was told.
type memory struct {
	mu      sync.Mutex
	streams map[uint64]string
}

func (m *memory) Remember(_ time.Time, o fighollow.StreamOrigin) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streams[o.Stream] = o.Version
}

func (m *memory) Recall(_ string, stream uint64) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.streams[stream]
	return v, ok
}

// entry is an entry's Link that runs.
type entry struct {
	*peers.Link
	*memory
	stop func() // ends it
}

// newEntries starts entries that know each other.
func newEntries(t *testing.T, n int) []*entry {
	out := make([]*entry, n)
	addresses := make(map[string]fighollow.Peer)
	for i := range out {
		name := fmt.Sprint("entry-", i)
		e := &entry{Link: peers.New(name, zerolog.Nop()), memory: &memory{streams: make(map[uint64]string)}}
		qt.Assert(t, e.Listen("127.0.0.1", 0, 0), qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { e.Run(ctx, e.memory) })
		e.stop = sync.OnceFunc(func() {
			cancel()
			wg.Wait()
		})
		t.Cleanup(e.stop)
		out[i], addresses[name] = e, fighollow.Peer{Address: e.Address(), DataCentre: fmt.Sprint("dc-", i%2)}
	}
	for _, e := range out {
		e.SetPeers(addresses)
	}
	return out
}

// Guards against a stream that nobody knows once its entry has ended, and against copies at all entries of a large deployment.
func TestStreamsOfAnEntryThatEndsAreKnown(t *testing.T) {
	const streams = 200
	entries := newEntries(t, 12)
	for s := range uint64(streams) {
		entries[0].Tell(fighollow.StreamOrigin{Service: service, Stream: s, Version: fmt.Sprint("v", s%2)})
	}
	copies := func() (n int) {
		for _, e := range entries {
			e.mu.Lock()
			n += len(e.streams)
			e.mu.Unlock()
		}
		return n
	}
	for end := time.Now().Add(5 * time.Second); copies() < 2*streams && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, copies(), qt.Equals, 2*streams)
	entries[0].stop()
	for s := range uint64(streams) {
		version, ok := entries[1+s%11].Ask(context.Background(), service, s)
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("stream %d", s))
		qt.Assert(t, version, qt.Equals, fmt.Sprint("v", s%2))
	}
	_, ok := entries[1].Ask(context.Background(), service, streams)
	qt.Assert(t, ok, qt.IsFalse)
}

// Guards against an entry that waits for peers that have ended, or for none.
func TestAskEnds(t *testing.T) {
	entries := newEntries(t, 3)
	entries[1].stop()
	entries[2].stop()
	start := time.Now()
	_, ok := entries[0].Ask(context.Background(), service, 1)
	qt.Assert(t, ok, qt.IsFalse)
	entries[0].SetPeers(map[string]fighollow.Peer{
		"entry-0": {Address: entries[0].Address()}, "bad": {Address: "10.1.0.38"}, "odd": {Address: "10.1.0.38:70000"}, "none": {Address: "127.0.0.1:0"},
	})
	_, ok = entries[0].Ask(context.Background(), service, 1)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, time.Since(start) < time.Second, qt.IsTrue)
}

// message is a datagram as peers write it.
type message struct {
	kind, question uint64
	service        string
	stream         uint64
	version        string
}

func (m message) encode() []byte {
	data, err := msgpack.Marshal([]any{m.kind, m.question, m.service, m.stream, m.version})
	if err != nil {
		panic(err)
	}
	return data
}

func decode(data []byte) (m message) {
	var fields []any
	if err := msgpack.Unmarshal(data, &fields); err != nil || len(fields) != 5 {
		panic(fmt.Sprint(fields, err))
	}
	number := func(v any) (n uint64) {
		if _, err := fmt.Sscan(fmt.Sprint(v), &n); err != nil {
			panic(err)
		}
		return n
	}
	return message{number(fields[0]), number(fields[1]), fields[2].(string), number(fields[3]), fields[4].(string)}
}

const (
	kindAsk   = 2
	kindKnown = 3
)

// Guards against an answer to another question that is taken for this one's: an earlier process asked it under the same number. Guards
// against a question that is lost with one datagram too.
func TestAnswersToOtherQuestionsAreIgnored(t *testing.T) {
	e := newEntries(t, 1)[0]
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	stranger, err := net.ListenPacket("udp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = stranger.Close() })
	e.SetPeers(map[string]fighollow.Peer{"other": {Address: conn.LocalAddr().String()}})
	go func() {
		buf := make([]byte, 2000)
		for i := range 2 {
			n, from, err := conn.ReadFrom(buf)
			if err != nil {
				return
			}
			if i == 0 {
				continue // lost
			}
			q := decode(buf[:n])
			for _, a := range []message{
				{kindKnown, q.question, q.service, q.stream + 1, "of another stream"},
				{kindKnown, q.question, "others", q.stream, "of another service"},
				{kindKnown, q.question + 1, q.service, q.stream, "of another question"},
			} {
				_, _ = conn.WriteTo(a.encode(), from)
			}
			_, _ = stranger.WriteTo(message{kindKnown, q.question, q.service, q.stream, "of another sender"}.encode(), from)
			time.Sleep(10 * time.Millisecond)
			_, _ = conn.WriteTo(message{kindKnown, q.question, q.service, q.stream, "v1"}.encode(), from)
		}
	}()
	version, ok := e.Ask(context.Background(), service, 7)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, version, qt.Equals, "v1")
}

// Guards against a process that ends, or no longer listens, because of a message that it cannot use.
func TestUnusableMessages(t *testing.T) {
	entries := newEntries(t, 2)
	conn, err := net.Dial("udp", entries[1].Address())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	for _, data := range [][]byte{
		{}, {0xc1}, []byte("GET / HTTP/1.1\r\n\r\n"), {0x95, 1, 2}, {0xdd, 0xff, 0xff, 0xff, 0xff}, {0x95, 0xdb, 0xff, 0xff, 0xff, 0xff},
		[]byte(strings.Repeat("\x91", 1500)), message{kind: 1, version: strings.Repeat("v", 3000)}.encode(), message{kind: 250}.encode(),
		message{kind: kindKnown}.encode(),
	} {
		_, err := conn.Write(data)
		qt.Assert(t, err, qt.IsNil)
	}
	entries[0].Tell(fighollow.StreamOrigin{Service: service, Stream: 1, Version: strings.Repeat("v", 3000)}) // is not sent
	entries[0].Tell(fighollow.StreamOrigin{Service: service, Stream: 2, Version: "v2"})
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, ok := entries[1].Recall(service, 2); ok {
			break
		}
	}
	_, err = conn.Write(message{kind: kindAsk, question: 9, service: service, stream: 2}.encode())
	qt.Assert(t, err, qt.IsNil)
	buf := make([]byte, 2000)
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	n, err := conn.Read(buf)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, decode(buf[:n]), qt.Equals, message{kindKnown, 9, service, 2, "v2"})
	_, ok := entries[1].Recall(service, 1)
	qt.Assert(t, ok, qt.IsFalse)
}

// Guards against an entry that does not start because another process has one of its ports, and against one that seems to listen.
func TestListenTriesAllPorts(t *testing.T) {
	busy, err := net.ListenPacket("udp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = busy.Close() })
	port := uint16(busy.LocalAddr().(*net.UDPAddr).Port)
	l := peers.New("a", zerolog.Nop())
	qt.Assert(t, l.Address(), qt.Equals, "")
	qt.Assert(t, l.Listen("127.0.0.1", port, port), qt.IsNotNil)
	qt.Assert(t, l.Listen("nowhere", port, port), qt.IsNotNil)
	qt.Assert(t, l.Listen("127.0.0.1", port, port+20), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Run(ctx, nil)
}

// Guards against data that reaches other peers than those it was sent to, or that strangers make entries accept.
func TestDataReachesItsPeers(t *testing.T) {
	type received struct{ to, from, data string }
	got := make(chan received, 16)
	entries := make([]*peers.Link, 4)
	known := make(map[string]fighollow.Peer)
	for i := range entries {
		name := fmt.Sprint("entry-", i)
		entries[i] = peers.New(name, zerolog.Nop())
		entries[i].Subscribe(peers.TopicWork, func(from string, data []byte) { got <- received{name, from, string(data)} })
		qt.Assert(t, entries[i].Listen("127.0.0.1", 0, 0), qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { entries[i].Run(ctx, &memory{streams: make(map[uint64]string)}) })
		t.Cleanup(func() {
			cancel()
			wg.Wait()
		})
		if i < 3 {
			known[name] = fighollow.Peer{Address: entries[i].Address(), DataCentre: fmt.Sprint("dc-", i%2)}
		}
	}
	for _, e := range entries {
		e.SetPeers(known)
	}
	entries[3].Send(peers.TopicWork, []byte("stranger"), "entry-0")
	entries[0].Send(peers.TopicUsage, []byte("no subscriber"), "entry-1")
	entries[1].SendAll(peers.TopicWork, []byte("all"))
	seen := make(map[received]bool)
	for range 2 {
		seen[<-got] = true
	}
	entries[0].Send(peers.TopicWork, []byte("one"), "entry-1", "unknown")
	seen[<-got] = true
	qt.Assert(t, seen, qt.DeepEquals, map[received]bool{
		{"entry-0", "entry-1", "all"}: true, {"entry-2", "entry-1", "all"}: true, {"entry-1", "entry-0", "one"}: true,
	})
}
