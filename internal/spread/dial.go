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
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 8 * time.Second
	// keepUnwanted is how long a dialled link stays after its member stopped being a neighbour.
	keepUnwanted = 15 * time.Second
	maxDials     = 512 // remembered addresses
	joinEvery    = 500 * time.Millisecond
	// seedEvery is how often a joined process looks for a member of its data centre that it does not know, which joins
	// two groups that have forgotten each other.
	seedEvery = 10 * time.Second
)

// attempt remembers how dialling an address went.
type attempt struct {
	busy bool
	wait time.Duration
	next time.Time
}

// handler serves the links that the Node dials.
type handler struct{ n *Node }

func (h handler) ServeCall(_ context.Context, call *link.Call, s *link.ServerStream) {
	outcome := fighollow.NotRun
	if call.Resume {
		outcome = fighollow.Unknown // the attempt may run on another link of this process
	}
	// A failed send closes the link, which the caller sees.
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

// connect dials the neighbours that no link is open to. n.mu is held.
func (n *Node) connect(ctx context.Context, now time.Time) {
	for _, id := range n.machine.Neighbours() {
		if p := n.peers[id]; p != nil {
			p.wanted = now
			continue
		}
		if m, ok := n.machine.Get(id); ok {
			n.dial(ctx, m.Link, false)
		}
	}
}

// prune closes dialled links to members that are no longer neighbours. n.mu is held.
func (n *Node) prune(now time.Time) {
	for _, p := range n.peers {
		if n.machine.Near(p.id) {
			p.wanted = now
		}
		if p.dialled && now.Sub(p.wanted) > keepUnwanted {
			n.detach(p)
			p.conn.Close()
		}
	}
	if len(n.dials) > maxDials {
		for addr, a := range n.dials {
			if !a.busy && now.After(a.next) {
				delete(n.dials, addr)
			}
		}
	}
}

// dial connects to addr in the background, if its last failure is long enough ago. With exchange, or before this process
// has joined, it then exchanges members. n.mu is held.
func (n *Node) dial(ctx context.Context, addr string, exchange bool) {
	now := time.Now()
	a := n.dials[addr]
	if a == nil {
		a = &attempt{}
		n.dials[addr] = a
	}
	if a.busy || now.Before(a.next) || addr == "" || addr == n.hello.Link {
		return
	}
	a.busy = true
	go func() {
		err := n.reach(ctx, addr, exchange)
		n.mu.Lock()
		defer n.mu.Unlock()
		a.busy = false
		if err == nil {
			a.wait, a.next = 0, time.Now().Add(firstBackoff)
			return
		}
		a.wait = min(max(2*a.wait, firstBackoff), maxBackoff)
		a.next = time.Now().Add(a.wait)
		event.PeerUnreachable.Log(&n.log).Str("address", addr).Err(err).Send()
	}()
}

func (n *Node) reach(ctx context.Context, addr string, exchange bool) error {
	c, err := link.Dial(ctx, addr, n.hello, handler{n}, n.opts.Link)
	if err != nil {
		return err
	}
	n.mu.Lock()
	p := n.attach(c, true)
	exchange = exchange || !n.joined
	n.mu.Unlock()
	if p == nil {
		// The link stays for the exchange: a process that considers this one dead may hold the better link one way only.
		defer c.Close()
	}
	if c.Peer().ID == n.hello.ID || c.Peer().DataCentre != n.hello.DataCentre {
		c.Close()
		return fmt.Errorf("spread: %s is %s of %s", addr, c.Peer().ID, c.Peer().DataCentre)
	}
	if !exchange {
		return nil
	}
	if err := n.sync(ctx, c); err != nil {
		return err
	}
	return n.pull(ctx, c)
}

// seed tries to reach processes that are not among the members. n.mu is held.
func (n *Node) seed(ctx context.Context, now time.Time) {
	every, count := seedEvery, 1
	if !n.joined {
		every, count = joinEvery, 3
	}
	if now.Sub(n.lastSeed) < every {
		return
	}
	n.lastSeed = now
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

// addresses returns the link addresses of the settings and of the platform's list, by data centre.
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
