package peers

import (
	"bytes"
	"net/netip"

	"github.com/vmihailenco/msgpack/v5"
)

// Topic identifies what the data of a message is about.
type Topic uint8

// Topics. Each has one subscriber, which defines what its data means.
const (
	TopicUsage    Topic = iota + 1 // counts of requests by workspace
	TopicWork                      // work that was placed at engines
	TopicShares                    // demand of workspaces and their fair shares
	TopicShortage                  // software versions without a decode engine
)

// MaxData is the size in bytes of the longest data that Send accepts.
const MaxData = maxMessage - 64

// topicMessage is a datagram of kindTopic. Entries of earlier versions ignore it.
type topicMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Kind     kind
	Topic    Topic
	Data     []byte
}

// topicMessageFields is the number of fields of a topicMessage.
const topicMessageFields = 3

// isTopicMessage reports whether a datagram begins as a topicMessage does: an array of its length, then its kind.
func isTopicMessage(data []byte) bool {
	d := msgpack.NewDecoder(bytes.NewReader(data))
	if n, err := d.DecodeArrayLen(); err != nil || n != topicMessageFields {
		return false
	}
	k, err := d.DecodeUint8()
	return err == nil && kind(k) == kindTopic
}

// Subscribe sets the function that gets the data of each message on a topic that a known peer sends, with the peer's name. It is called
// from the goroutine of Run, must not block and must not keep data. Subscribe must be called before Run.
func (l *Link) Subscribe(topic Topic, handle func(from string, data []byte)) {
	l.subscribers[topic] = handle
}

// Send sends data to the peers with these names. Names that are unknown are skipped, and what is sent can be lost.
func (l *Link) Send(topic Topic, data []byte, names ...string) {
	m := topicMessage{Kind: kindTopic, Topic: topic, Data: data}
	for _, name := range names {
		if p, ok := l.find(func(p *peer) bool { return p.name == name }); ok {
			l.send(&m, p.address)
		}
	}
}

// SendAll sends data to all peers.
func (l *Link) SendAll(topic Topic, data []byte) {
	m := topicMessage{Kind: kindTopic, Topic: topic, Data: data}
	l.mu.Lock()
	peers := l.peers // SetPeers replaces it
	l.mu.Unlock()
	for i := range peers {
		l.send(&m, peers[i].address)
	}
}

// DataCentres returns the data centre of each peer, by name. This entry itself is not among them.
func (l *Link) DataCentres() map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]string, len(l.peers))
	for i := range l.peers {
		out[l.peers[i].name] = l.peers[i].dataCentre
	}
	return out
}

// Known reports whether SetPeers was called: until then this entry cannot tell whether it is the only one.
func (l *Link) Known() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known
}

// find returns the first peer that matches.
func (l *Link) find(matches func(*peer) bool) (peer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.peers {
		if matches(&l.peers[i]) {
			return l.peers[i], true
		}
	}
	return peer{}, false
}

// publish passes the data of a topicMessage to its subscriber. Data of a sender that is not a known peer is ignored.
func (l *Link) publish(data []byte, from netip.AddrPort) error {
	var m topicMessage
	if err := msgpack.Unmarshal(data, &m); err != nil {
		return err
	}
	handle := l.subscribers[m.Topic]
	if handle == nil {
		return nil
	}
	if p, ok := l.find(func(p *peer) bool { return p.address == from }); ok {
		handle(p.name, m.Data)
	}
	return nil
}
