package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/link"
)

// remoteEvery is how often a watcher compares digests with each other data centre.
const remoteEvery = 5 * time.Second

// remoteLoop compares digests with one process of each other data centre until ctx ends, so that a data centre that is
// the only one to lose the object API still follows.
func (n *Node) remoteLoop(ctx context.Context) {
	t := time.NewTicker(remoteEvery)
	defer t.Stop()
	defer n.closeRemotes()
	for {
		var wg sync.WaitGroup
		for dc, addrs := range n.addresses() {
			if dc != n.hello.DataCentre {
				wg.Go(func() { n.compare(ctx, dc, addrs) })
			}
		}
		wg.Wait()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (n *Node) compare(ctx context.Context, dc string, addrs []string) {
	ctx, cancel := context.WithTimeout(ctx, remoteEvery)
	defer cancel()
	c, err := n.remote(ctx, dc, addrs)
	if err == nil {
		err = n.compareWith(ctx, c)
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	event.RemoteUnreachable.Log(&n.log).Str("remote", dc).Err(err).Send()
	if c != nil {
		n.dropRemote(dc, c)
	}
}

func (n *Node) compareWith(ctx context.Context, c *link.Conn) error {
	var r digestReply
	if err := c.Ask(ctx, topicDigest, digestAsk{}, &r); err != nil {
		return err
	}
	if own := n.cat.Digest(); r.Digest != own && r.Digest.Highest >= own.Highest {
		return n.pull(ctx, c)
	}
	return nil
}

// remote returns the open link to a data centre, or dials one of its processes at random.
func (n *Node) remote(ctx context.Context, dc string, addrs []string) (*link.Conn, error) {
	n.mu.Lock()
	c := n.remotes[dc]
	n.mu.Unlock()
	if c != nil {
		return c, nil
	}
	c, err := link.Dial(ctx, addrs[rand.IntN(len(addrs))], n.hello, handler{n}, n.opts.Link)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.remotes[dc] = c
	n.mu.Unlock()
	return c, nil
}

func (n *Node) dropRemote(dc string, c *link.Conn) {
	c.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.remotes[dc] == c {
		delete(n.remotes, dc)
	}
	n.account(c)
}

func (n *Node) closeRemotes() {
	n.mu.Lock()
	remotes := n.remotes
	n.remotes = make(map[string]*link.Conn)
	n.mu.Unlock()
	for dc, c := range remotes {
		n.dropRemote(dc, c)
	}
}
