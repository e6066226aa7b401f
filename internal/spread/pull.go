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

var errReply = errors.New("spread: reply does not fit the question")

// fetch is an object that is being fetched from one peer, so that it is not fetched from others at the same time.
type fetch struct {
	version uint64
	until   time.Time
	holders map[*peer]bool // have announced this version too, and need no announcement
}

// took announces objects that are new here to all peers but the one they came from: to a few at once, so that no process
// has to send a value to all its neighbours, and to those that have not announced the object themselves a little later.
func (n *Node) took(objects []fighollow.Object, from *link.Conn) {
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
			if p.conn != from && (f.version < o.Version || !f.holders[p]) {
				p.refs[k] = max(p.refs[k], o.Version)
			}
		}
	}
	first := firstAnnounced
	for _, p := range n.peers { // in random order
		if len(p.refs) == 0 {
			continue
		}
		if first > 0 {
			first--
			p.ring()
			continue
		}
		time.AfterFunc(announceRest, p.ring)
	}
}

// takeRefs notes what a peer holds and fetches what is new. n.mu is held.
func (n *Node) takeRefs(p *peer, refs []ref) {
	now := time.Now()
	for _, r := range refs {
		k := catalog.Key{Kind: r.Kind, Name: r.Name}
		if v, ok := p.refs[k]; ok && v <= r.Version {
			delete(p.refs, k)
		}
		held, _ := n.cat.Get(r.Kind, r.Name)
		if r.Version <= held.Version {
			continue
		}
		if f, ok := n.fetches[k]; ok && f.version >= r.Version && now.Before(f.until) {
			if f.version == r.Version {
				f.holders[p] = true
			}
			continue
		}
		n.fetches[k] = fetch{version: r.Version, until: now.Add(askTimeout), holders: make(map[*peer]bool)}
		p.wants[k] = r.Version
	}
	if len(p.wants) > 0 && !p.fetching {
		p.fetching = true
		go n.fetchLoop(p)
	}
}

// fetchLoop fetches what a peer has announced until nothing is left.
func (n *Node) fetchLoop(p *peer) {
	for {
		n.mu.Lock()
		wants := p.wants
		p.wants = make(map[catalog.Key]uint64)
		if len(wants) == 0 {
			p.fetching = false
			n.mu.Unlock()
			return
		}
		n.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		err := n.fetch(ctx, p.conn, wants)
		cancel()
		if err != nil {
			n.mu.Lock()
			for k, v := range wants {
				if n.fetches[k].version == v {
					delete(n.fetches, k) // another peer's announcement or a digest brings it
				}
			}
			n.mu.Unlock()
		}
	}
}

// startPull compares catalogs with a peer in the background, one at a time. n.mu is held.
func (n *Node) startPull(p *peer) {
	now := time.Now()
	if n.pulling || now.Sub(n.lastPull) < pullEvery {
		return
	}
	n.pulling, n.lastPull, p.differs = true, now, 0
	go func() {
		// A failure shows again as a difference in a later heartbeat.
		_ = n.pull(context.Background(), p.conn)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.pulling = false
	}()
}

// pull takes all objects of which the other process holds a higher version. It returns after one exchange of versions; a
// list that exceeds a reply's budget is completed by the next pull.
func (n *Node) pull(ctx context.Context, c *link.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	versions := n.cat.Versions()
	var r digestReply
	if err := c.Ask(ctx, topicDigest, digestAsk{Sums: objectSums(versions)}, &r); err != nil {
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

// fetch asks for objects until all have arrived in the wanted version or a later one.
func (n *Node) fetch(ctx context.Context, c *link.Conn, wants map[catalog.Key]uint64) error {
	partial := make(map[catalog.Key]part)
	for len(wants) > 0 {
		var ask objectsAsk
		for k := range wants {
			ask.Wants = append(ask.Wants, want{Kind: k.Kind, Name: k.Name, Offset: len(partial[k].Data)})
			if len(ask.Wants) == maxWants {
				break
			}
		}
		var r objectsReply
		if err := c.Ask(ctx, topicObjects, ask, &r); err != nil {
			return err
		}
		if len(r.Parts) == 0 {
			return errReply
		}
		var whole []fighollow.Object
		for _, p := range r.Parts {
			k := catalog.Key{Kind: p.Kind, Name: p.Name}
			if _, ok := wants[k]; !ok {
				return errReply
			}
			o, done, err := assemble(partial, k, p)
			if err != nil {
				return err
			}
			if done {
				whole = append(whole, o)
				delete(wants, k)
			}
		}
		n.took(n.cat.Apply(whole...), c)
	}
	return nil
}

// assemble adds a part to what is there of its object. An object that changes between two parts starts again.
func assemble(partial map[catalog.Key]part, k catalog.Key, p part) (o fighollow.Object, done bool, err error) {
	if p.Flate {
		if p.Data, err = decompress(p.Data, fighollow.MaxValueBytes); err != nil {
			return o, false, err
		}
		p.Flate = false
	}
	if p.Total > fighollow.MaxValueBytes || p.Offset+len(p.Data) > p.Total || p.Offset < p.Total && len(p.Data) == 0 {
		return o, false, errReply
	}
	have := partial[k]
	switch {
	case p.Offset == 0:
		have = p
	case p.Version != have.Version || p.Offset != len(have.Data):
		delete(partial, k)
		return o, false, nil
	default:
		have.Data = append(have.Data, p.Data...)
	}
	if len(have.Data) < have.Total {
		partial[k] = have
		return o, false, nil
	}
	delete(partial, k)
	o = fighollow.Object{Kind: p.Kind, Name: p.Name, Version: p.Version, Deleted: p.Deleted}
	if len(have.Data) > 0 {
		o.Value = have.Data
	}
	return o, true, nil
}

// startSync exchanges members with a peer in the background, one at a time. n.mu is held.
func (n *Node) startSync(p *peer) {
	now := time.Now()
	if n.syncing || now.Sub(n.lastSync) < syncEvery {
		return
	}
	n.syncing, n.lastSync, p.apart = true, now, 0
	go func() {
		// A failure shows again as a difference in a later heartbeat.
		_ = n.sync(context.Background(), p.conn)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.syncing = false
	}()
}

// sync tells the other process of this one and takes its members where they differ.
func (n *Node) sync(ctx context.Context, c *link.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	n.mu.Lock()
	ask := membersAsk{Self: n.machine.Self(), Sums: memberSums(n.machine.Members())}
	n.mu.Unlock()
	var r membersReply
	if err := c.Ask(ctx, topicMembers, ask, &r); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.act(context.Background(), n.machine.Merge(r.Members, time.Now()), n.peers[c.Peer().ID])
	n.joined = true
	return nil
}

// ServeAsk answers questions with a topic under Topic.
func (n *Node) ServeAsk(_ context.Context, c *link.Conn, topic string, body []byte) (any, error) {
	n.welcome(c)
	switch topic {
	case topicMembers:
		var ask membersAsk
		if err := msgpack.Unmarshal(body, &ask); err != nil {
			return nil, fmt.Errorf("spread: %s: %w", topic, err)
		}
		return n.serveMembers(c, ask), nil
	case topicDigest:
		var ask digestAsk
		if err := msgpack.Unmarshal(body, &ask); err != nil {
			return nil, fmt.Errorf("spread: %s: %w", topic, err)
		}
		return n.serveDigest(ask), nil
	case topicObjects:
		var ask objectsAsk
		if err := msgpack.Unmarshal(body, &ask); err != nil {
			return nil, fmt.Errorf("spread: %s: %w", topic, err)
		}
		return n.serveObjects(ask), nil
	}
	return nil, fmt.Errorf("spread: unknown topic %s", topic)
}

func (n *Node) serveMembers(c *link.Conn, ask membersAsk) membersReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ask.Self.ID == c.Peer().ID {
		n.attach(c, false) // a joining process: it gets what is new from now on
		n.act(context.Background(), n.machine.Merge([]membership.Member{ask.Self}, time.Now()), nil)
	}
	members := n.machine.Members()
	var r membersReply
	for b, own := range memberSums(members) {
		if b < len(ask.Sums) && ask.Sums[b] == own {
			continue
		}
		for _, m := range members {
			if bucketOf(m.ID) == b {
				r.Members = append(r.Members, m)
			}
		}
		if len(r.Members)*memberBytes > n.budget {
			break
		}
	}
	return r
}

func (n *Node) serveDigest(ask digestAsk) digestReply {
	r := digestReply{Digest: n.cat.Digest()}
	if len(ask.Sums) != buckets {
		return r
	}
	versions := n.cat.Versions()
	differs := make([]bool, buckets)
	for b, own := range objectSums(versions) {
		differs[b] = ask.Sums[b] != own
	}
	bytes := 0
	for k, v := range versions {
		if !differs[bucketOf(keyText(k))] {
			continue
		}
		if bytes += len(k.Kind) + len(k.Name) + refBytes; bytes > n.budget {
			break
		}
		r.Refs = append(r.Refs, ref{Kind: k.Kind, Name: k.Name, Version: v})
	}
	return r
}

func (n *Node) serveObjects(ask objectsAsk) objectsReply {
	var r objectsReply
	left := n.budget
	for _, w := range ask.Wants[:min(len(ask.Wants), maxWants)] {
		o, _ := n.cat.Get(w.Kind, w.Name)
		if o.Version == 0 || left <= 0 && len(r.Parts) > 0 {
			continue
		}
		from := min(max(w.Offset, 0), len(o.Value))
		to := min(from+max(left, 1), len(o.Value))
		data, shorter := compress(o.Value[from:to])
		r.Parts = append(r.Parts, part{
			Kind: o.Kind, Name: o.Name, Version: o.Version, Deleted: o.Deleted,
			Total: len(o.Value), Offset: from, Data: data, Flate: shorter,
		})
		left -= to - from + len(o.Kind) + len(o.Name) + refBytes
	}
	return r
}
