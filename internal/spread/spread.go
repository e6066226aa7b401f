// Package spread keeps a process's catalog and its view of the members up to date.
package spread

import (
	"context"
	"fmt"
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

// Options adjust a Node; the zero value means the defaults.
type Options struct {
	Peers       []string            // link addresses in this data centre
	RemotePeers map[string][]string // link addresses in other data centres
	Link        link.Options
}

// Node is the part of a process that takes part in membership and in the distribution of objects. Its methods are safe
// for concurrent use.
type Node struct {
	opts  Options
	store fighollow.ObjectStore
	cat   *catalog.Catalog
	log   zerolog.Logger

	mu   sync.Mutex
	self membership.Member
}

// New returns a Node for the process self. Run starts it.
func New(opts Options, self membership.Member, store fighollow.ObjectStore, cat *catalog.Catalog, log zerolog.Logger) *Node {
	self.State = membership.Alive
	return &Node{opts: opts, store: store, cat: cat, log: log, self: self}
}

// Run works until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	const pause = time.Second
	for ctx.Err() == nil {
		objects, after, err := n.store.List(ctx, "")
		if err == nil {
			n.cat.Apply(objects...)
		}
		for err == nil {
			objects, after, err = n.store.Watch(ctx, after)
			n.cat.Apply(objects...)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return ctx.Err()
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
	change(&n.self)
	n.self.Meta++
}

// Members returns the members known, this process included, in the order of their ids.
func (n *Node) Members() []membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return []membership.Member{n.self}
}

// ServeAsk answers questions with a topic under Topic.
func (n *Node) ServeAsk(_ context.Context, _ *link.Conn, topic string, _ []byte) (any, error) {
	return nil, fmt.Errorf("spread: unknown topic %s", topic)
}

// HandleTell takes messages with a topic under Topic. It does not block.
func (n *Node) HandleTell(_ *link.Conn, topic string, _ []byte) {
	if !strings.HasPrefix(topic, Topic) {
		return
	}
}
