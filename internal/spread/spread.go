// Package spread keeps a process's catalog and its view of the members up to date.
//
// Two members of a data centre watch the object API; everyone else learns of objects from neighbours. Announcements of
// new versions travel at once, and digests in heartbeats repair what was lost.
package spread

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Topic is the prefix of all topics that a Node serves on links.
const Topic = "spread."

const ticksPerHeartbeat = 8

// Watchers is the number of members of a data centre that watch the object API.
const Watchers = 2

const (
	askTimeout = 5 * time.Second
	// batchDelay lets announcements that arrive on several links at once leave in one message, and drops those that the
	// receiver has announced itself in the meantime.
	batchDelay = 30 * time.Millisecond
	// firstAnnounced peers learn of a new object at once, the rest after announceRest.
	firstAnnounced = 3
	announceRest   = 300 * time.Millisecond
	pullEvery      = time.Second
	syncEvery      = 2 * time.Second
	// aloneAfter is how long a process tries to reach peers before it watches the object API on its own.
	aloneAfter      = 3 * time.Second
	maxBatchBytes   = 256 << 10
	mismatchesToAct = 2 // heartbeats in a row; the first can be due to an announcement on its way
)

// Options adjust a Node; the zero value means the defaults.
type Options struct {
	Peers       []string            // link addresses in this data centre
	RemotePeers map[string][]string // link addresses in other data centres
	Link        link.Options
	Region      string // told to peers in Hello; may be empty
	// Membership holds the times of heartbeats and suspicion. All processes of a data centre must use the same.
	Membership membership.Options
}

// Node is the part of a process that takes part in membership and in the distribution of objects. Its methods are safe
// for concurrent use.
type Node struct {
	opts      Options
	store     fighollow.ObjectStore
	cat       *catalog.Catalog
	log       zerolog.Logger
	hello     link.Hello
	budget    int // bytes of a reply
	started   time.Time
	done      chan struct{} // closed when Run ends
	heartbeat time.Duration

	mu       sync.Mutex
	machine  *membership.Machine
	peers    map[string]*peer // by member id
	dials    map[string]*attempt
	fetches  map[catalog.Key]fetch
	joined   bool // has exchanged members with a peer
	pulling  bool
	syncing  bool
	lastPull time.Time
	lastSync time.Time
	lastSeed time.Time
	blindAt  time.Time
	watch    context.CancelFunc // ends this process's watch; nil while it is not a watcher
	sent     int64              // on links that have ended
	received int64
	remotes  map[string]*link.Conn // of a watcher, by data centre
	guests   map[*link.Conn]bool   // links of other data centres and of joining processes that have asked something
}

// New returns a Node for the process self. Run starts it.
func New(opts Options, self membership.Member, store fighollow.ObjectStore, cat *catalog.Catalog, log zerolog.Logger) *Node {
	self.State = membership.Alive
	now := time.Now()
	maxFrame := opts.Link.MaxFrame
	if maxFrame == 0 {
		maxFrame = link.DefaultMaxFrame
	}
	heartbeat := opts.Membership.Heartbeat
	if heartbeat <= 0 {
		heartbeat = membership.DefaultHeartbeat
	}
	return &Node{
		heartbeat: heartbeat,
		opts:      opts, store: store, cat: cat, log: log,
		hello: link.Hello{
			ID: self.ID, Incarnation: int64(self.Incarnation), Kind: self.Kind,
			DataCentre: self.DataCentre, Region: opts.Region, Link: self.Link,
		},
		budget:  min(maxBatchBytes, maxFrame/2),
		started: now,
		done:    make(chan struct{}),
		machine: membership.New(opts.Membership, self, now),
		peers:   make(map[string]*peer),
		dials:   make(map[string]*attempt),
		fetches: make(map[catalog.Key]fetch),
		remotes: make(map[string]*link.Conn),
		guests:  make(map[*link.Conn]bool),
	}
}

// Run works until ctx ends. It is called once.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	go n.bootstrap(ctx)
	t := time.NewTicker(n.heartbeat / ticksPerHeartbeat)
	defer t.Stop()
	for {
		n.tick(ctx, time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (n *Node) tick(ctx context.Context, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.act(ctx, n.machine.Tick(now), nil)
	n.connect(ctx, now)
	n.prune(now)
	n.seed(ctx, now)
	n.electWatch(ctx, now)
	if n.machine.Self().Blind && now.Sub(n.blindAt) >= blindRest*n.heartbeat {
		n.act(ctx, n.machine.Announce(func(m *membership.Member) { m.Blind = false }, now), nil)
	}
}

func (n *Node) close() {
	close(n.done)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.watch != nil {
		n.watch()
	}
	for _, p := range n.peers {
		if p.dialled {
			p.conn.Close()
		}
	}
}

// Ready reports whether the process holds the preset in force and may serve.
func (n *Node) Ready() bool {
	_, _, err := n.cat.InForce()
	return err == nil
}

// Announce changes what the process tells of itself; change must only set State (Leaving), Role, Model and ModelVersion.
func (n *Node) Announce(change func(m *membership.Member)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.act(context.Background(), n.machine.Announce(change, time.Now()), nil)
}

// Members returns the members known, this process and dead ones included, in the order of their ids. The slice is shared
// between callers and must not be changed.
func (n *Node) Members() []membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.Members()
}

// Traffic returns the bytes sent and received on the links that the Node uses, TCP headers not included.
func (n *Node) Traffic() (sent, received int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sent, received = n.sent, n.received
	for _, p := range n.peers {
		s, r := p.conn.Bytes()
		sent, received = sent+s, received+r
	}
	for _, c := range n.remotes {
		s, r := c.Bytes()
		sent, received = sent+s, received+r
	}
	for c := range n.guests {
		s, r := c.Bytes()
		sent, received = sent+s, received+r
	}
	return sent, received
}

// HandleTell takes messages with a topic under Topic. It does not block.
func (n *Node) HandleTell(c *link.Conn, topic string, body []byte) {
	if !strings.HasPrefix(topic, Topic) || c.Peer().DataCentre != n.hello.DataCentre {
		return
	}
	switch topic {
	case topicHeartbeat:
		n.takeHeartbeat(c, body)
	case topicUpdate:
		n.takeUpdate(c, body)
	}
}
