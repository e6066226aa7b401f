// Package spread distributes stored objects and membership between processes with a gossip protocol. It keeps a
// process's catalog and its view of the members up to date.
//
// Two members of each data centre watch the object API; all others receive objects from their neighbours. New versions
// are announced immediately. Digests in heartbeats reveal lost announcements; the missing objects are then pulled.
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

// Topic is the prefix of the topics that a Node handles on links.
const Topic = "spread."

const ticksPerHeartbeat = 8

// Watchers is the number of members of each data centre that watch the object API.
const Watchers = 2

const (
	requestTimeout = 5 * time.Second
	// batchDelay is the time that an announcement waits before it is sent, so that announcements from several links are
	// combined in one message, and those that the receiver itself announces in the meantime are dropped.
	batchDelay = 30 * time.Millisecond
	// announceFanout is the number of peers to which a new object is announced immediately. The others get the
	// announcement after announceDelay.
	announceFanout  = 3
	announceDelay   = 300 * time.Millisecond
	minPullInterval = time.Second
	minSyncInterval = 2 * time.Second
	// joinTimeout is how long a process tries to reach peers before it may watch the object API without having joined.
	joinTimeout       = 3 * time.Second
	maxReplyBytes     = 256 << 10
	mismatchThreshold = 2 // consecutive heartbeats; the first mismatch can be due to an announcement in transit
)

// Options configure a Node; zero fields mean the defaults.
type Options struct {
	Peers       []string            // link addresses in this data centre
	RemotePeers map[string][]string // link addresses in other data centres
	Link        link.Options
	Region      string // sent to peers in Hello; may be empty
	// Membership configures heartbeats and failure detection. All processes of a data centre must use the same values.
	Membership membership.Options
}

// Node makes a process take part in membership and in the distribution of objects. Its methods are safe for concurrent
// use.
type Node struct {
	opts        Options
	store       fighollow.ObjectStore
	cat         *catalog.Catalog
	log         zerolog.Logger
	hello       link.Hello
	replyBudget int // approximate limit on the size of a reply, in bytes
	started     time.Time
	done        chan struct{} // closed when Run ends
	heartbeat   time.Duration

	mu                 sync.Mutex
	machine            *membership.Machine
	peers              map[string]*peer // by member id
	dials              map[string]*dialState
	fetches            map[catalog.Key]fetch
	joined             bool // has exchanged member lists with a peer
	pulling            bool
	syncing            bool
	lastPull           time.Time
	lastSync           time.Time
	lastSeedDial       time.Time
	unreachableChanged time.Time
	stopWatch          context.CancelFunc    // stops watchLoop and remoteLoop; nil while this process is not a watcher
	closedSent         int64                 // bytes, on links that are no longer in use
	closedReceived     int64                 // bytes, on links that are no longer in use
	remoteLinks        map[string]*link.Conn // by data centre; empty unless this process is a watcher
	transientLinks     map[*link.Conn]bool   // links from other data centres and joining processes that sent a request
}

// New returns a Node for the process described by self. Run starts it.
func New(opts Options, self membership.Member, store fighollow.ObjectStore, cat *catalog.Catalog, log zerolog.Logger) *Node {
	self.State = membership.Alive
	now := time.Now()
	maxFrame := opts.Link.MaxFrame
	if maxFrame == 0 {
		maxFrame = link.DefaultMaxFrame
	}
	heartbeat := opts.Membership.HeartbeatInterval
	if heartbeat <= 0 {
		heartbeat = membership.DefaultHeartbeatInterval
	}
	return &Node{
		heartbeat: heartbeat,
		opts:      opts, store: store, cat: cat, log: log,
		hello: link.Hello{
			ID: self.ID, Incarnation: int64(self.Incarnation), Kind: self.Kind,
			DataCentre: self.DataCentre, Region: opts.Region, Link: self.Link,
		},
		replyBudget:    min(maxReplyBytes, maxFrame/2),
		started:        now,
		done:           make(chan struct{}),
		machine:        membership.New(opts.Membership, self, now),
		peers:          make(map[string]*peer),
		dials:          make(map[string]*dialState),
		fetches:        make(map[catalog.Key]fetch),
		remoteLinks:    make(map[string]*link.Conn),
		transientLinks: make(map[*link.Conn]bool),
	}
}

// Run runs the node until ctx is cancelled and returns the context's error. It must be called only once.
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
	n.handleActions(ctx, n.machine.Tick(now), nil)
	n.dialNeighbours(ctx, now)
	n.prune(now)
	n.dialSeeds(ctx, now)
	n.updateWatch(ctx, now)
	if n.machine.Self().StoreUnreachable && now.Sub(n.unreachableChanged) >= unreachableRetryHeartbeats*n.heartbeat {
		n.handleActions(ctx, n.machine.Announce(func(m *membership.Member) { m.StoreUnreachable = false }, now), nil)
	}
}

func (n *Node) close() {
	close(n.done)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopWatch != nil {
		n.stopWatch()
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

// Announce applies change to the process's own member record and announces the result to peers. change must only set
// State (to Leaving), Role, Model and ModelVersion.
func (n *Node) Announce(change func(m *membership.Member)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handleActions(context.Background(), n.machine.Announce(change, time.Now()), nil)
}

// Members returns the known members, including this process and dead members, ordered by ID. The slice is shared between
// callers and must not be modified.
func (n *Node) Members() []membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.Members()
}

// Traffic returns the total bytes sent and received on the links that the Node uses, without TCP headers.
func (n *Node) Traffic() (sent, received int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sent, received = n.closedSent, n.closedReceived
	for _, p := range n.peers {
		s, r := p.conn.Bytes()
		sent, received = sent+s, received+r
	}
	for _, c := range n.remoteLinks {
		s, r := c.Bytes()
		sent, received = sent+s, received+r
	}
	for c := range n.transientLinks {
		s, r := c.Bytes()
		sent, received = sent+s, received+r
	}
	return sent, received
}

// HandleTell handles a one-way message with a topic under Topic. Other topics and messages from other data centres are
// ignored. It does not block.
func (n *Node) HandleTell(c *link.Conn, topic string, body []byte) {
	if !strings.HasPrefix(topic, Topic) || c.Peer().DataCentre != n.hello.DataCentre {
		return
	}
	switch topic {
	case topicHeartbeat:
		n.handleHeartbeat(c, body)
	case topicUpdate:
		n.handleUpdate(c, body)
	}
}
