// Package peers lets entries tell each other, without the object store, which software version began a stream, so that it can be taken up
// at another entry although its own has ended or is cut off from the store.
//
// Messages are datagrams of msgpack. Each stream is told to a few entries that rendezvous hashing chooses, and asked for at those and some
// more, which covers that entries know different peers for a while. Nothing is confirmed: a message that is lost means one copy less.
package peers

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/rendezvous"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// copies is the number of peers that are told of a stream, and asked the number that are asked for it.
	copies = 2
	asked  = 4
	// askTimeout bounds a question, and repeatDelay is when it is sent once more to those that have not answered.
	askTimeout  = 150 * time.Millisecond
	repeatDelay = 50 * time.Millisecond
	// maxMessage bounds a datagram, in bytes, so that it fits into a packet.
	maxMessage = 1200
)

// kind is what a message is.
type kind uint8

const (
	kindTell    kind = iota + 1
	kindAsk          // has no version
	kindKnown        // the answer to a kindAsk
	kindUnknown      // the answer to a kindAsk of which the version is not known
	kindTopic        // a topicMessage
)

// message is a datagram.
type message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Kind     kind
	Question uint64 // repeated in the answer
	Service  string
	Stream   uint64
	Version  string
}

// peer is another entry.
type peer struct {
	name       string
	dataCentre string
	hash       uint64
	address    netip.AddrPort
}

// question is a question that waits for answers.
type question struct {
	service string
	stream  uint64
	waiting map[netip.AddrPort]bool // peers that have not answered
	version chan string             // closed without one when all have answered
}

// Link exchanges messages with the other entries. It is safe for concurrent use.
type Link struct {
	self string
	conn *net.UDPConn // set by Listen
	log  zerolog.Logger
	// subscribers does not change once Run was called.
	subscribers map[Topic]func(from string, data []byte)

	mu        sync.Mutex
	peers     []peer
	known     bool // SetPeers was called
	questions map[uint64]*question
	asked     uint64 // number of questions so far
}

var _ fighollow.StreamPeers = (*Link)(nil)

// New returns the Link of the entry self. It reaches nobody before Listen and SetPeers, and answers once Run is called.
func New(self string, log zerolog.Logger) *Link {
	return &Link{
		self: self, log: log, questions: make(map[uint64]*question), subscribers: make(map[Topic]func(from string, data []byte)),
	}
}

// Listen opens the socket at the first free port from first to last, or at a port that the system chooses if first is 0. It must be called
// before all other methods but SetPeers.
func (l *Link) Listen(ip string, first, last uint16) error {
	addr, err := netip.ParseAddr(ip)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	for port := first; ; port++ {
		if l.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, port))); err == nil {
			return nil
		}
		if port >= last {
			return fmt.Errorf("peers: %w", err)
		}
	}
}

// Address returns the address at which peers reach this entry, or an empty string before Listen.
func (l *Link) Address() string {
	if l.conn == nil {
		return ""
	}
	return l.conn.LocalAddr().String()
}

// SetPeers replaces the known entries, given by name. This entry itself, and those whose address cannot be read, are left out.
func (l *Link) SetPeers(entries map[string]fighollow.Peer) {
	var peers []peer
	for name, e := range entries {
		a, err := netip.ParseAddrPort(e.Address)
		if name == l.self || err != nil || a.Port() == 0 {
			continue
		}
		peers = append(peers, peer{name, e.DataCentre, rendezvous.Key(name), a})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers, l.known = peers, true
}

// choose returns the n peers that come first for a stream.
func (l *Link) choose(stream uint64, n int) []peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := make([]peer, 0, n+1)
	for _, p := range l.peers {
		at := len(first)
		for at > 0 && p.isBefore(first[at-1], stream) {
			at--
		}
		if at < n {
			first = slices.Insert(first, at, p)
			first = first[:min(n, len(first))]
		}
	}
	return first
}

// isBefore reports whether p comes before another peer for a stream.
func (p peer) isBefore(other peer, stream uint64) bool {
	a, b := rendezvous.Score(stream, p.hash), rendezvous.Score(stream, other.hash)
	return a > b || a == b && p.name < other.name
}

// Tell implements fighollow.StreamPeers.
func (l *Link) Tell(o fighollow.StreamOrigin) {
	m := message{Kind: kindTell, Service: o.Service, Stream: o.Stream, Version: o.Version}
	for _, p := range l.choose(o.Stream, copies) {
		l.send(&m, p.address)
	}
}

// send sends a message or a topicMessage, unless it is too long.
func (l *Link) send(m any, to netip.AddrPort) {
	data, err := msgpack.Marshal(m)
	if err == nil && len(data) > maxMessage {
		err = fmt.Errorf("peers: a message of %d bytes", len(data))
	}
	if err == nil {
		_, err = l.conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil {
		event.PeerUntold.Log(&l.log).Stringer("peer", to).Err(err).Send()
	}
}

// Ask implements fighollow.StreamPeers.
func (l *Link) Ask(ctx context.Context, service string, stream uint64) (version string, ok bool) {
	to := l.choose(stream, asked)
	if len(to) == 0 {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	q := &question{service: service, stream: stream, waiting: make(map[netip.AddrPort]bool), version: make(chan string, 1)}
	for _, p := range to {
		q.waiting[p.address] = true
	}
	l.mu.Lock()
	l.asked++
	id := l.asked
	l.questions[id] = q
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.questions, id)
	}()
	m := message{Kind: kindAsk, Question: id, Service: service, Stream: stream}
	for _, p := range to {
		l.send(&m, p.address)
	}
	repeat := time.NewTimer(repeatDelay)
	defer repeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return "", false
		case version, ok := <-q.version:
			return version, ok
		case <-repeat.C:
			for _, address := range l.unanswered(q) {
				l.send(&m, address)
			}
		}
	}
}

// unanswered returns the peers that have not answered a question.
func (l *Link) unanswered(q *question) []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []netip.AddrPort
	for address := range q.waiting {
		out = append(out, address)
	}
	return out
}

// Run receives messages until ctx is done, and keeps what peers tell in memory. Then it closes the socket.
func (l *Link) Run(ctx context.Context, memory fighollow.StreamMemory) {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() }) // ends the read below
	defer stop()
	buf := make([]byte, maxMessage)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			event.PeerUnread.Log(&l.log).Err(err).Send()
			time.Sleep(repeatDelay) // an error that lasts must not use up the processor
			continue
		}
		if err := l.receive(buf[:n], from, memory); err != nil {
			event.PeerUnread.Log(&l.log).Stringer("peer", from).Err(err).Send()
		}
	}
}

// receive handles a datagram.
func (l *Link) receive(data []byte, from netip.AddrPort, memory fighollow.StreamMemory) error {
	if isTopicMessage(data) {
		return l.publish(data, from)
	}
	var m message
	if err := msgpack.Unmarshal(data, &m); err != nil {
		return err
	}
	switch m.Kind {
	case kindTell:
		memory.Remember(time.Now(), fighollow.StreamOrigin{Service: m.Service, Stream: m.Stream, Version: m.Version})
	case kindAsk:
		answer := message{Kind: kindUnknown, Question: m.Question, Service: m.Service, Stream: m.Stream}
		if version, ok := memory.Recall(m.Service, m.Stream); ok {
			answer.Kind, answer.Version = kindKnown, version
		}
		l.send(&answer, from)
	case kindKnown, kindUnknown:
		l.answer(&m, from)
	}
	return nil
}

// answer passes an answer to its question, if that waits for this peer. A late one can be to a question that an earlier process of this
// entry asked under the same number.
func (l *Link) answer(m *message, from netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.questions[m.Question]
	if q == nil || !q.waiting[from] || m.Service != q.service || m.Stream != q.stream {
		return
	}
	delete(q.waiting, from)
	switch {
	case m.Kind == kindKnown:
		delete(l.questions, m.Question)
		q.version <- m.Version
	case len(q.waiting) == 0:
		close(q.version)
	}
}
