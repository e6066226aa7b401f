package spread

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	firstRetry = 500 * time.Millisecond
	maxRetry   = 5 * time.Second
)

// bootstrap lists the objects once if no peer was reached in the first second: the platform's list names processes to
// join. The random part spreads the calls of many processes that start together.
func (n *Node) bootstrap(ctx context.Context) {
	wait := time.Second + rand.N(time.Second)
	for ; ctx.Err() == nil; wait = maxRetry + rand.N(maxRetry) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		n.mu.Lock()
		settled := n.joined || n.watch != nil
		n.mu.Unlock()
		if settled {
			return
		}
		if objects, _, err := n.store.List(ctx, ""); err == nil {
			n.took(n.cat.Apply(objects...), nil)
			return
		}
	}
}

// electWatch starts or ends this process's watch of the object API. n.mu is held.
func (n *Node) electWatch(ctx context.Context, now time.Time) {
	elected := slices.Contains(n.machine.Watchers(Watchers), n.hello.ID) && (n.joined || now.Sub(n.started) >= aloneAfter)
	switch {
	case elected && n.watch == nil:
		watchCtx, cancel := context.WithCancel(ctx)
		n.watch = cancel
		event.WatchStarted.Log(&n.log).Send()
		go n.watchLoop(watchCtx)
		go n.remoteLoop(watchCtx)
	case !elected && n.watch != nil:
		n.watch()
		n.watch = nil
		event.WatchEnded.Log(&n.log).Send()
	}
}

// blindHeartbeats and blindRest say after how many heartbeat intervals of failure a watcher lets other members try, and
// after how many more it offers itself again.
const (
	blindHeartbeats = 5
	blindRest       = 150
)

// setBlind announces whether this process has failed to reach the object API for long.
func (n *Node) setBlind(blind bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.machine.Self().Blind == blind {
		return
	}
	n.blindAt = time.Now()
	n.act(context.Background(), n.machine.Announce(func(m *membership.Member) { m.Blind = blind }, time.Now()), nil)
}

// watchLoop lists the objects and follows their changes until ctx ends.
func (n *Node) watchLoop(ctx context.Context) {
	var after uint64
	var failing time.Time // since when; zero while the last call succeeded
	listed := false
	for retry := firstRetry; ctx.Err() == nil; {
		var err error
		if listed {
			after, err = n.follow(ctx, after)
		} else {
			after, err = n.listAll(ctx)
		}
		switch {
		case err == nil:
			listed, failing, retry = true, time.Time{}, firstRetry
			n.setBlind(false)
			continue
		case errors.Is(err, fighollow.ErrWatchExpired):
			listed = false
		case ctx.Err() == nil && failing.IsZero():
			failing = time.Now()
			event.WatchFailed.Log(&n.log).Err(err).Send()
		case ctx.Err() == nil && time.Since(failing) >= blindHeartbeats*n.heartbeat:
			n.setBlind(true)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry/2 + rand.N(retry)):
		}
		retry = min(2*retry, maxRetry)
	}
}

func (n *Node) follow(ctx context.Context, after uint64) (uint64, error) {
	objects, next, err := n.store.Watch(ctx, "", after)
	if err != nil {
		return after, err
	}
	n.took(n.cat.Apply(objects...), nil)
	return next, nil
}

// listAll takes all objects. An object that is held but not listed was deleted: its tombstone gets the lowest version
// that the deletion can have, so that neither a later object of that name nor the real tombstone is hidden.
func (n *Node) listAll(ctx context.Context) (uint64, error) {
	objects, version, err := n.store.List(ctx, "")
	if err != nil {
		return 0, err
	}
	listed := make(map[catalog.Key]bool, len(objects))
	for _, o := range objects {
		listed[catalog.Key{Kind: o.Kind, Name: o.Name}] = true
	}
	for k, v := range n.cat.Versions() {
		if _, exists := n.cat.Get(k.Kind, k.Name); exists && !listed[k] && v < version {
			objects = append(objects, fighollow.Object{Kind: k.Kind, Name: k.Name, Version: v + 1, Deleted: true})
		}
	}
	n.took(n.cat.Apply(objects...), nil)
	return version, nil
}
