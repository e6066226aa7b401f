package spread

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

var errBadReply = errors.New("spread: reply does not match the request")

// fetch records that an object is being fetched from one peer, so that it is not fetched from others at the same time.
type fetch struct {
	version     uint64
	deadline    time.Time
	announcedBy map[*peer]bool // other peers that announced this version and need no announcement of it
}

// announceObjects announces objects that are new to this process to all peers except the one they came from. A few peers
// are notified immediately. The others are notified after announceDelay, unless they have announced the object themselves
// by then, so that no process has to send a value to all its neighbours.
func (n *Node) announceObjects(objects []fighollow.Object, from *link.Conn) {
	if len(objects) == 0 {
		return
	}
	event.ObjectsTaken.Log(&n.log).Int("objects", len(objects)).Uint64("highest", n.cat.Digest().Highest).Send()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, o := range objects {
		k := catalog.Key{Kind: o.Kind, Name: o.Name}
		f := n.fetches[k]
		if f.version <= o.Version {
			delete(n.fetches, k)
		}
		for _, p := range n.peers {
			if p.conn != from && (f.version < o.Version || !f.announcedBy[p]) {
				p.pendingRefs[k] = max(p.pendingRefs[k], o.Version)
			}
		}
	}
	immediate := announceFanout
	for _, p := range n.peers { // in random order
		if len(p.pendingRefs) == 0 {
			continue
		}
		if immediate > 0 {
			immediate--
			p.signal()
			continue
		}
		time.AfterFunc(announceDelay, p.signal)
	}
}

// handleRefs processes a peer's announcements: it cancels pending announcements that the peer does not need and starts
// fetching the objects that are new. n.mu is held.
func (n *Node) handleRefs(p *peer, refs []ref) {
	now := time.Now()
	for _, r := range refs {
		k := catalog.Key{Kind: r.Kind, Name: r.Name}
		if v, ok := p.pendingRefs[k]; ok && v <= r.Version {
			delete(p.pendingRefs, k)
		}
		held, _ := n.cat.Get(r.Kind, r.Name)
		if r.Version <= held.Version {
			continue
		}
		if f, ok := n.fetches[k]; ok && f.version >= r.Version && now.Before(f.deadline) {
			if f.version == r.Version {
				f.announcedBy[p] = true
			}
			continue
		}
		n.fetches[k] = fetch{version: r.Version, deadline: now.Add(requestTimeout), announcedBy: make(map[*peer]bool)}
		p.pendingFetches[k] = r.Version
	}
	if len(p.pendingFetches) > 0 && !p.fetching {
		p.fetching = true
		go n.fetchLoop(p)
	}
}

// fetchLoop fetches the objects in p.pendingFetches until none is left.
func (n *Node) fetchLoop(p *peer) {
	for {
		n.mu.Lock()
		wants := p.pendingFetches
		p.pendingFetches = make(map[catalog.Key]uint64)
		if len(wants) == 0 {
			p.fetching = false
			n.mu.Unlock()
			return
		}
		n.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		err := n.fetch(ctx, p.conn, wants)
		cancel()
		if err != nil {
			n.mu.Lock()
			for k, v := range wants {
				if n.fetches[k].version == v {
					delete(n.fetches, k) // retried after another peer's announcement or a digest mismatch
				}
			}
			n.mu.Unlock()
		}
	}
}

// startPull pulls newer objects from a peer in the background, unless another pull is running or the last one started less
// than minPullInterval ago. n.mu is held.
func (n *Node) startPull(p *peer) {
	now := time.Now()
	if n.pulling || now.Sub(n.lastPull) < minPullInterval {
		return
	}
	n.pulling, n.lastPull, p.digestMismatches = true, now, 0
	go func() {
		// After a failure, later heartbeats still differ and start another pull.
		_ = n.pull(context.Background(), p.conn)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.pulling = false
	}()
}

// pull fetches all objects of which the other process holds a higher version. It exchanges versions only once: if the list
// exceeds the reply budget, the next pull completes it.
func (n *Node) pull(ctx context.Context, c *link.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	versions := n.cat.Versions()
	var r digestReply
	if err := c.Ask(ctx, topicDigest, digestRequest{Sums: objectSums(versions)}, &r); err != nil {
		return err
	}
	wants := make(map[catalog.Key]uint64)
	for _, ref := range r.Refs {
		if k := (catalog.Key{Kind: ref.Kind, Name: ref.Name}); ref.Version > versions[k] {
			wants[k] = ref.Version
		}
	}
	return n.fetch(ctx, c, wants)
}

// fetch requests objects from the other process until all have arrived in the wanted version or a later one. It removes
// each one from wants and announces those that are new.
func (n *Node) fetch(ctx context.Context, c *link.Conn, wants map[catalog.Key]uint64) error {
	partial := make(map[catalog.Key]part)
	for len(wants) > 0 {
		var req objectsRequest
		for k := range wants {
			req.Wants = append(req.Wants, want{Kind: k.Kind, Name: k.Name, Offset: len(partial[k].Data)})
			if len(req.Wants) == maxWants {
				break
			}
		}
		var r objectsReply
		if err := c.Ask(ctx, topicObjects, req, &r); err != nil {
			return err
		}
		if len(r.Parts) == 0 {
			return errBadReply
		}
		var complete []fighollow.Object
		for _, p := range r.Parts {
			k := catalog.Key{Kind: p.Kind, Name: p.Name}
			if _, ok := wants[k]; !ok {
				return errBadReply
			}
			o, done, err := assemble(partial, k, p)
			if err != nil {
				return err
			}
			if done {
				complete = append(complete, o)
				delete(wants, k)
			}
		}
		n.announceObjects(n.cat.Apply(complete...), c)
	}
	return nil
}

// assemble adds part p to the parts of its object received so far. done is true if the object o is complete. If the object
// changed between two parts, it is fetched again from the start.
func assemble(partial map[catalog.Key]part, k catalog.Key, p part) (o fighollow.Object, done bool, err error) {
	if p.Flate {
		if p.Data, err = decompress(p.Data, fighollow.MaxValueBytes); err != nil {
			return o, false, err
		}
		p.Flate = false
	}
	if p.Total > fighollow.MaxValueBytes || p.Offset+len(p.Data) > p.Total || p.Offset < p.Total && len(p.Data) == 0 {
		return o, false, errBadReply
	}
	received := partial[k]
	switch {
	case p.Offset == 0:
		received = p
	case p.Version != received.Version || p.Offset != len(received.Data):
		delete(partial, k)
		return o, false, nil
	default:
		received.Data = append(received.Data, p.Data...)
	}
	if len(received.Data) < received.Total {
		partial[k] = received
		return o, false, nil
	}
	delete(partial, k)
	o = fighollow.Object{Kind: p.Kind, Name: p.Name, Version: p.Version, Deleted: p.Deleted}
	if len(received.Data) > 0 {
		o.Value = received.Data
	}
	return o, true, nil
}

// startSync exchanges members with a peer in the background, unless another exchange is running or the last one started
// less than minSyncInterval ago. n.mu is held.
func (n *Node) startSync(p *peer) {
	now := time.Now()
	if n.syncing || now.Sub(n.lastSync) < minSyncInterval {
		return
	}
	n.syncing, n.lastSync, p.memberMismatches = true, now, 0
	go func() {
		// After a failure, later heartbeats still differ and start another exchange.
		_ = n.sync(context.Background(), p.conn)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.syncing = false
	}()
}

// sync sends this process's own member record to the other process and merges the members that differ there.
func (n *Node) sync(ctx context.Context, c *link.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	n.mu.Lock()
	req := membersRequest{Self: n.machine.Self(), Sums: memberSums(n.machine.Members())}
	n.mu.Unlock()
	var r membersReply
	if err := c.Ask(ctx, topicMembers, req, &r); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handleActions(context.Background(), n.machine.Merge(r.Members, time.Now()), n.peers[c.Peer().ID])
	n.joined = true
	return nil
}

// ServeAsk serves a request with a topic under Topic. The text of an error is sent to the peer.
func (n *Node) ServeAsk(_ context.Context, c *link.Conn, topic string, body []byte) (any, error) {
	n.trackTransient(c)
	switch topic {
	case topicMembers:
		var req membersRequest
		if err := msgpack.Unmarshal(body, &req); err != nil {
			return nil, fmt.Errorf("spread: %s: %w", topic, err)
		}
		return n.serveMembers(c, req), nil
	case topicDigest:
		var req digestRequest
		if err := msgpack.Unmarshal(body, &req); err != nil {
			return nil, fmt.Errorf("spread: %s: %w", topic, err)
		}
		return n.serveDigest(req), nil
	case topicObjects:
		var req objectsRequest
		if err := msgpack.Unmarshal(body, &req); err != nil {
			return nil, fmt.Errorf("spread: %s: %w", topic, err)
		}
		return n.serveObjects(req), nil
	}
	return nil, fmt.Errorf("spread: unknown topic %s", topic)
}

func (n *Node) serveMembers(c *link.Conn, req membersRequest) membersReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	if req.Self.ID == c.Peer().ID {
		n.attach(c, false) // a joining process; updates are sent to it from now on
		n.handleActions(context.Background(), n.machine.Merge([]membership.Member{req.Self}, time.Now()), nil)
	}
	members := n.machine.Members()
	var r membersReply
	for b, own := range memberSums(members) {
		if b < len(req.Sums) && req.Sums[b] == own {
			continue
		}
		for _, m := range members {
			if bucketOf(m.ID) == b {
				r.Members = append(r.Members, m)
			}
		}
		if len(r.Members)*memberBytes > n.replyBudget {
			break
		}
	}
	return r
}

func (n *Node) serveDigest(req digestRequest) digestReply {
	r := digestReply{Digest: n.cat.Digest()}
	if len(req.Sums) != buckets {
		return r
	}
	versions := n.cat.Versions()
	differs := make([]bool, buckets)
	for b, own := range objectSums(versions) {
		differs[b] = req.Sums[b] != own
	}
	bytes := 0
	for k, v := range versions {
		if !differs[bucketOf(keyText(k))] {
			continue
		}
		if bytes += len(k.Kind) + len(k.Name) + refBytes; bytes > n.replyBudget {
			break
		}
		r.Refs = append(r.Refs, ref{Kind: k.Kind, Name: k.Name, Version: v})
	}
	return r
}

func (n *Node) serveObjects(req objectsRequest) objectsReply {
	var r objectsReply
	remaining := n.replyBudget
	for _, w := range req.Wants[:min(len(req.Wants), maxWants)] {
		o, _ := n.cat.Get(w.Kind, w.Name)
		if o.Version == 0 || remaining <= 0 && len(r.Parts) > 0 {
			continue
		}
		from := min(max(w.Offset, 0), len(o.Value))
		to := min(from+max(remaining, 1), len(o.Value))
		data, compressed := compress(o.Value[from:to])
		r.Parts = append(r.Parts, part{
			Kind: o.Kind, Name: o.Name, Version: o.Version, Deleted: o.Deleted,
			Total: len(o.Value), Offset: from, Data: data, Flate: compressed,
		})
		remaining -= to - from + len(o.Kind) + len(o.Name) + refBytes
	}
	return r
}
