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

// peer is a member of this data centre that a link is open to. Its fields are guarded by Node.mu.
type peer struct {
	id      string
	conn    *link.Conn
	dialled bool // by this process
	wanted  time.Time
	wake    chan struct{}

	beat    bool // a heartbeat is due
	members map[string]membership.Member
	refs    map[catalog.Key]uint64

	wants    map[catalog.Key]uint64
	fetching bool
	differs  int // heartbeats in a row with another digest
	apart    int // heartbeats in a row with another sum of members
}

// attach makes the link the one used for its member, unless a better one exists, and returns the peer or nil. Of two
// links between the same processes both sides keep the one that the lower id dialled. n.mu is held.
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
		id: id, conn: c, dialled: dialled, wanted: time.Now(), wake: make(chan struct{}, 1),
		members: make(map[string]membership.Member),
		refs:    make(map[catalog.Key]uint64),
		wants:   make(map[catalog.Key]uint64),
	}
	n.peers[id] = p
	delete(n.guests, c)
	go n.sendLoop(p)
	return p
}

// detach forgets a peer. n.mu is held.
func (n *Node) detach(p *peer) {
	if n.peers[p.id] == p {
		delete(n.peers, p.id)
	}
	n.account(p.conn)
}

// account adds a link that is no longer in use to the totals. n.mu is held.
func (n *Node) account(c *link.Conn) {
	s, r := c.Bytes()
	n.sent, n.received = n.sent+s, n.received+r
}

// welcome counts the traffic of a link on which a question came, until the link ends or becomes that of a peer.
func (n *Node) welcome(c *link.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers[c.Peer().ID]; n.guests[c] || p != nil && p.conn == c {
		return
	}
	n.guests[c] = true
	go func() {
		select {
		case <-c.Closed():
		case <-n.done:
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.guests[c] {
			delete(n.guests, c)
			n.account(c)
		}
	}()
}

// sendLoop sends what is due to a peer. Only this goroutine waits for a slow peer.
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

func (n *Node) flush(p *peer) bool {
	for {
		u, beat := n.due(p)
		if beat != nil && p.conn.Tell(topicHeartbeat, beat) != nil {
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

// due takes one message's worth of what waits for a peer.
func (n *Node) due(p *peer) (u update, beat *heartbeat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.beat {
		p.beat = false
		d := n.cat.Digest()
		beat = &heartbeat{Highest: d.Highest, Sum: d.Sum, Members: n.machine.Sum()}
	}
	for id, m := range p.members {
		if len(u.Members) == maxUpdateMembers {
			break
		}
		u.Members = append(u.Members, m)
		delete(p.members, id)
	}
	for k, v := range p.refs {
		if len(u.Refs) == maxUpdateRefs {
			break
		}
		u.Refs = append(u.Refs, ref{Kind: k.Kind, Name: k.Name, Version: v})
		delete(p.refs, k)
	}
	return u, beat
}

func (p *peer) ring() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// act carries out what the membership asks for. from is the peer that caused it, or nil. n.mu is held.
func (n *Node) act(ctx context.Context, actions []membership.Action, from *peer) {
	for _, a := range actions {
		switch a.Kind {
		case membership.ActionHeartbeat:
			for _, p := range n.peers {
				p.beat = true
				p.ring()
			}
		case membership.ActionProbe:
			if m, ok := n.machine.Get(a.To); ok {
				n.dial(ctx, m.Link, true)
			}
		case membership.ActionTell:
			if p := n.peers[a.To]; p != nil {
				p.members[a.Member.ID] = a.Member
				p.ring()
			}
		default:
			n.pushMember(a, from)
		}
	}
}

func (n *Node) pushMember(a membership.Action, from *peer) {
	event.MemberChanged.Log(&n.log).Str("member", a.Member.ID).Str("state", string(a.Member.State)).
		Uint64("incarnation", a.Member.Incarnation).Str("cause", string(a.Kind)).Send()
	for _, p := range n.peers {
		if p != from {
			p.members[a.Member.ID] = a.Member
			p.ring()
		}
	}
}

func (n *Node) takeHeartbeat(c *link.Conn, body []byte) {
	var h heartbeat
	if msgpack.Unmarshal(body, &h) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	ctx := context.Background()
	p := n.attach(c, false)
	n.act(ctx, n.machine.Heard(c.Peer().ID, time.Now()), nil)
	if p == nil {
		return
	}
	own := n.cat.Digest()
	if h.Highest == own.Highest && h.Sum == own.Sum {
		p.differs = 0
	} else if p.differs++; p.differs >= mismatchesToAct && h.Highest >= own.Highest {
		n.startPull(p)
	}
	if h.Members == n.machine.Sum() {
		p.apart = 0
	} else if p.apart++; p.apart >= mismatchesToAct {
		n.startSync(p)
	}
}

func (n *Node) takeUpdate(c *link.Conn, body []byte) {
	var u update
	if msgpack.Unmarshal(body, &u) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.attach(c, false)
	n.act(context.Background(), n.machine.Merge(u.Members, time.Now()), p)
	if p != nil {
		n.takeRefs(p, u.Refs)
	}
}
