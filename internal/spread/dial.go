package spread

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second
	// pruneDelay is how long a dialled link stays open after its member stopped being a neighbour.
	pruneDelay    = 15 * time.Second
	maxDialStates = 512 // above it, expired states are removed
	joinInterval  = 500 * time.Millisecond
	// seedInterval is how often a joined process dials an address of its data centre that is not among its members, so
	// that two partitions that have removed each other's members merge again.
	seedInterval = 10 * time.Second
)

// dialState holds the backoff state of an address.
type dialState struct {
	busy    bool
	backoff time.Duration
	next    time.Time // earliest time of the next dial
}

// handler serves the links that the Node dials.
type handler struct{ n *Node }

func (h handler) ServeCall(_ context.Context, call *link.Call, s *link.ServerStream) {
	outcome := fighollow.OutcomeNotRun
	if call.Resume {
		outcome = fighollow.OutcomeUnknown // the attempt may be running on another link of this process
	}
	// A failed send closes the link, which the caller detects.
	_ = s.Refuse(fighollow.Refusal{
		Code: fighollow.CodeNotReady, Message: "a link between members takes no calls", Outcome: outcome,
	}, fighollow.Load{})
}

func (h handler) ServeAsk(ctx context.Context, c *link.Conn, topic string, body []byte) (any, error) {
	return h.n.ServeAsk(ctx, c, topic, body)
}

func (h handler) HandleTell(c *link.Conn, topic string, body []byte) { h.n.HandleTell(c, topic, body) }
func (h handler) HandleOpen(*link.Conn)                              {}
func (h handler) HandleClose(*link.Conn, error)                      {}

// dialNeighbours dials the neighbours to which no link is open. n.mu is held.
func (n *Node) dialNeighbours(ctx context.Context, now time.Time) {
	for _, id := range n.machine.Neighbours() {
		if p := n.peers[id]; p != nil {
			p.lastNeighbour = now
			continue
		}
		if m, ok := n.machine.Get(id); ok {
			n.dial(ctx, m.Link, false)
		}
	}
}

// prune closes dialled links to members that have not been neighbours for pruneDelay. It also removes expired dial states
// if there are more than maxDialStates. n.mu is held.
func (n *Node) prune(now time.Time) {
	for _, p := range n.peers {
		if n.machine.IsNeighbour(p.id) {
			p.lastNeighbour = now
		}
		if p.dialled && now.Sub(p.lastNeighbour) > pruneDelay {
			n.detach(p)
			p.conn.Close()
		}
	}
	if len(n.dials) > maxDialStates {
		for addr, d := range n.dials {
			if !d.busy && now.After(d.next) {
				delete(n.dials, addr)
			}
		}
	}
}

// dial connects to addr in the background unless a dial is running or its backoff has not expired. If exchange is set, or
// this process has not joined yet, it then exchanges members and pulls objects. n.mu is held.
func (n *Node) dial(ctx context.Context, addr string, exchange bool) {
	now := time.Now()
	d := n.dials[addr]
	if d == nil {
		d = &dialState{}
		n.dials[addr] = d
	}
	if d.busy || now.Before(d.next) || addr == "" || addr == n.hello.Link {
		return
	}
	d.busy = true
	go func() {
		err := n.dialAndSync(ctx, addr, exchange)
		n.mu.Lock()
		defer n.mu.Unlock()
		d.busy = false
		if err == nil {
			d.backoff, d.next = 0, time.Now().Add(minBackoff)
			return
		}
		d.backoff = min(max(2*d.backoff, minBackoff), maxBackoff)
		d.next = time.Now().Add(d.backoff)
		event.PeerUnreachable.Log(&n.log).Str("address", addr).Err(err).Send()
	}()
}

func (n *Node) dialAndSync(ctx context.Context, addr string, exchange bool) error {
	c, err := link.Dial(ctx, addr, n.hello, handler{n}, n.opts.Link)
	if err != nil {
		return err
	}
	n.mu.Lock()
	p := n.attach(c, true)
	exchange = exchange || !n.joined
	n.mu.Unlock()
	if p == nil {
		// Another link is preferred, but this one is still used for the exchange: the other process may consider this one
		// dead, and the preferred link may work in one direction only.
		defer c.Close()
	}
	if c.Peer().ID == n.hello.ID || c.Peer().DataCentre != n.hello.DataCentre {
		c.Close()
		return fmt.Errorf("spread: %s is the address of %s in data centre %s", addr, c.Peer().ID, c.Peer().DataCentre)
	}
	if !exchange {
		return nil
	}
	if err := n.sync(ctx, c); err != nil {
		return err
	}
	return n.pull(ctx, c)
}

// dialSeeds dials random known addresses of this data centre that belong to no live member. n.mu is held.
func (n *Node) dialSeeds(ctx context.Context, now time.Time) {
	interval, count := seedInterval, 1
	if !n.joined {
		interval, count = joinInterval, 3
	}
	if now.Sub(n.lastSeedDial) < interval {
		return
	}
	n.lastSeedDial = now
	known := map[string]bool{n.hello.Link: true}
	for _, m := range n.machine.Members() {
		if m.State != membership.Dead {
			known[m.Link] = true
		}
	}
	var unknown []string
	for _, addr := range n.addresses()[n.hello.DataCentre] {
		if !known[addr] {
			unknown = append(unknown, addr)
		}
	}
	rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	for _, addr := range unknown[:min(count, len(unknown))] {
		n.dial(ctx, addr, true)
	}
}

// addresses returns, by data centre, the link addresses from the settings and from the platform's list of instances.
func (n *Node) addresses() map[string][]string {
	out := map[string][]string{n.hello.DataCentre: append([]string(nil), n.opts.Peers...)}
	for dc, addrs := range n.opts.RemotePeers {
		out[dc] = append(out[dc], addrs...)
	}
	for _, o := range n.cat.List(fighollow.KindInstance) {
		var i fighollow.Instance
		if json.Unmarshal(o.Value, &i) == nil && !i.Leaving && i.Link != "" {
			out[i.DataCentre] = append(out[i.DataCentre], i.Link)
		}
	}
	return out
}
