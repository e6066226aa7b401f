package spread

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/membership"
)

// peer is a member of this data centre to which a link is open. Its fields are guarded by Node.mu.
type peer struct {
	id            string
	conn          *link.Conn
	dialled       bool      // by this process
	lastNeighbour time.Time // when the member was last a neighbour
	wake          chan struct{}

	heartbeatDue   bool
	pendingMembers map[string]membership.Member
	pendingRefs    map[catalog.Key]uint64

	pendingFetches   map[catalog.Key]uint64
	fetching         bool
	digestMismatches int // consecutive heartbeats whose digest differed
	memberMismatches int // consecutive heartbeats whose member sum differed
}

// attach makes c the link that is used for its member and returns the peer. It returns nil if another link is preferred or
// the other process is not a peer. If two links connect the same processes, both sides keep the one dialled by the process
// with the lower ID. n.mu is held.
func (n *Node) attach(c *link.Conn, dialled bool) *peer {
	id := c.Peer().ID
	old := n.peers[id]
	if old != nil && old.conn == c {
		return old
	}
	if id == n.hello.ID || c.Peer().DataCentre != n.hello.DataCentre {
		return nil
	}
	if old != nil {
		restarted := c.Peer().Incarnation > old.conn.Peer().Incarnation
		if !restarted && dialled != (n.hello.ID < id) {
			return nil
		}
		n.detach(old)
		if old.dialled {
			old.conn.Close()
		}
	}
	p := &peer{
		id: id, conn: c, dialled: dialled, lastNeighbour: time.Now(), wake: make(chan struct{}, 1),
		pendingMembers: make(map[string]membership.Member),
		pendingRefs:    make(map[catalog.Key]uint64),
		pendingFetches: make(map[catalog.Key]uint64),
	}
	n.peers[id] = p
	delete(n.transientLinks, c)
	go n.sendLoop(p)
	return p
}

// detach removes a peer and adds its traffic to the totals. It does not close the link. n.mu is held.
func (n *Node) detach(p *peer) {
	if n.peers[p.id] == p {
		delete(n.peers, p.id)
	}
	n.accountTraffic(p.conn)
}

// accountTraffic adds the traffic of a link that is no longer in use to the totals. n.mu is held.
func (n *Node) accountTraffic(c *link.Conn) {
	s, r := c.Bytes()
	n.closedSent, n.closedReceived = n.closedSent+s, n.closedReceived+r
}

// trackTransient counts the traffic of a link on which a request came, until the link is closed or becomes that of a peer.
func (n *Node) trackTransient(c *link.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers[c.Peer().ID]; n.transientLinks[c] || p != nil && p.conn == c {
		return
	}
	n.transientLinks[c] = true
	go func() {
		select {
		case <-c.Closed():
		case <-n.done:
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.transientLinks[c] {
			delete(n.transientLinks, c)
			n.accountTraffic(c)
		}
	}()
}

// sendLoop sends pending heartbeats and updates to a peer until its link or the Node is closed. No other goroutine blocks
// on a slow peer.
func (n *Node) sendLoop(p *peer) {
	delay := time.NewTimer(0)
	defer delay.Stop()
	for {
		select {
		case <-p.wake:
		case <-p.conn.Closed():
			n.mu.Lock()
			if n.peers[p.id] == p {
				n.detach(p)
			}
			n.mu.Unlock()
			return
		case <-n.done:
			return
		}
		delay.Reset(batchDelay)
		<-delay.C
		if !n.flush(p) {
			p.conn.Close()
		}
	}
}

// flush sends everything that is pending for a peer. It returns false if a send failed.
func (n *Node) flush(p *peer) bool {
	for {
		u, hb := n.nextBatch(p)
		if hb != nil && p.conn.Tell(topicHeartbeat, hb) != nil {
			return false
		}
		if len(u.Members)+len(u.Refs) == 0 {
			return true
		}
		if p.conn.Tell(topicUpdate, u) != nil {
			return false
		}
	}
}

// nextBatch removes and returns the next messages for a peer. hb is nil if no heartbeat is due.
func (n *Node) nextBatch(p *peer) (u update, hb *heartbeat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.heartbeatDue {
		p.heartbeatDue = false
		d := n.cat.Digest()
		hb = &heartbeat{Highest: d.Highest, Sum: d.Sum, Members: n.machine.Sum()}
	}
	for id, m := range p.pendingMembers {
		if len(u.Members) == maxUpdateMembers {
			break
		}
		u.Members = append(u.Members, m)
		delete(p.pendingMembers, id)
	}
	for k, v := range p.pendingRefs {
		if len(u.Refs) == maxUpdateRefs {
			break
		}
		u.Refs = append(u.Refs, ref{Kind: k.Kind, Name: k.Name, Version: v})
		delete(p.pendingRefs, k)
	}
	return u, hb
}

func (p *peer) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// handleActions performs the actions that the membership state machine returned. from is the peer whose message caused
// them, or nil. n.mu is held.
func (n *Node) handleActions(ctx context.Context, actions []membership.Action, from *peer) {
	for _, a := range actions {
		switch a.Kind {
		case membership.ActionHeartbeat:
			for _, p := range n.peers {
				p.heartbeatDue = true
				p.signal()
			}
		case membership.ActionProbe:
			if m, ok := n.machine.Get(a.To); ok {
				n.dial(ctx, m.Link, true)
			}
		case membership.ActionNotify:
			if p := n.peers[a.To]; p != nil {
				p.pendingMembers[a.Member.ID] = a.Member
				p.signal()
			}
		default:
			n.broadcastMember(a, from)
		}
	}
}

func (n *Node) broadcastMember(a membership.Action, from *peer) {
	event.MemberChanged.Log(&n.log).Str("member", a.Member.ID).Str("state", string(a.Member.State)).
		Uint64("incarnation", a.Member.Incarnation).Str("cause", string(a.Kind)).Send()
	for _, p := range n.peers {
		if p != from {
			p.pendingMembers[a.Member.ID] = a.Member
			p.signal()
		}
	}
}

func (n *Node) handleHeartbeat(c *link.Conn, body []byte) {
	var h heartbeat
	if msgpack.Unmarshal(body, &h) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	ctx := context.Background()
	p := n.attach(c, false)
	n.handleActions(ctx, n.machine.HandleHeartbeat(c.Peer().ID, time.Now()), nil)
	if p == nil {
		return
	}
	own := n.cat.Digest()
	if h.Highest == own.Highest && h.Sum == own.Sum {
		p.digestMismatches = 0
	} else if p.digestMismatches++; p.digestMismatches >= mismatchThreshold && h.Highest >= own.Highest {
		n.startPull(p)
	}
	if h.Members == n.machine.Sum() {
		p.memberMismatches = 0
	} else if p.memberMismatches++; p.memberMismatches >= mismatchThreshold {
		n.startSync(p)
	}
}

func (n *Node) handleUpdate(c *link.Conn, body []byte) {
	var u update
	if msgpack.Unmarshal(body, &u) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.attach(c, false)
	n.handleActions(context.Background(), n.machine.Merge(u.Members, time.Now()), p)
	if p != nil {
		n.handleRefs(p, u.Refs)
	}
}
