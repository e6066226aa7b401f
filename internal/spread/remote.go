package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/link"
)

// remoteInterval is how often a watcher compares digests with every other data centre.
const remoteInterval = 5 * time.Second

// remoteLoop compares digests with one process of every other data centre until ctx ends, so that a data centre that is the
// only one to lose the object API still receives changes.
func (n *Node) remoteLoop(ctx context.Context) {
	t := time.NewTicker(remoteInterval)
	defer t.Stop()
	defer n.closeRemotes()
	for {
		var wg sync.WaitGroup
		for dc, addrs := range n.addresses() {
			if dc != n.hello.DataCentre {
				wg.Go(func() { n.compareRemote(ctx, dc, addrs) })
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

func (n *Node) compareRemote(ctx context.Context, dc string, addrs []string) {
	ctx, cancel := context.WithTimeout(ctx, remoteInterval)
	defer cancel()
	c, err := n.remoteLink(ctx, dc, addrs)
	if err == nil {
		err = n.compareDigests(ctx, c)
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	event.RemoteUnreachable.Log(&n.log).Str("remote", dc).Err(err).Send()
	if c != nil {
		n.dropRemote(dc, c)
	}
}

// compareDigests pulls objects from the other process if its digest differs and its highest version is not lower.
func (n *Node) compareDigests(ctx context.Context, c *link.Conn) error {
	var r digestReply
	if err := c.Ask(ctx, topicDigest, digestRequest{}, &r); err != nil {
		return err
	}
	if own := n.cat.Digest(); r.Digest != own && r.Digest.Highest >= own.Highest {
		return n.pull(ctx, c)
	}
	return nil
}

// remoteLink returns the open link to a data centre, or dials a random address of it.
func (n *Node) remoteLink(ctx context.Context, dc string, addrs []string) (*link.Conn, error) {
	n.mu.Lock()
	c := n.remoteLinks[dc]
	n.mu.Unlock()
	if c != nil {
		return c, nil
	}
	c, err := link.Dial(ctx, addrs[rand.IntN(len(addrs))], n.hello, handler{n}, n.opts.Link)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.remoteLinks[dc] = c
	n.mu.Unlock()
	return c, nil
}

func (n *Node) dropRemote(dc string, c *link.Conn) {
	c.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.remoteLinks[dc] == c {
		delete(n.remoteLinks, dc)
	}
	n.accountTraffic(c)
}

func (n *Node) closeRemotes() {
	n.mu.Lock()
	remotes := n.remoteLinks
	n.remoteLinks = make(map[string]*link.Conn)
	n.mu.Unlock()
	for dc, c := range remotes {
		n.dropRemote(dc, c)
	}
}
