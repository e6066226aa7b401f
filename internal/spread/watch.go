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
	minRetry = 500 * time.Millisecond
	maxRetry = 5 * time.Second
)

// bootstrap lists all objects once if the process has not joined after the first 1 to 2 seconds: the platform's list of
// instances contains addresses of processes to join. It retries until a list call succeeds, the process joins or it becomes
// a watcher. The random part of the wait spreads the calls of many processes that start together.
func (n *Node) bootstrap(ctx context.Context) {
	wait := time.Second + rand.N(time.Second)
	for ; ctx.Err() == nil; wait = maxRetry + rand.N(maxRetry) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		n.mu.Lock()
		settled := n.joined || n.stopWatch != nil
		n.mu.Unlock()
		if settled {
			return
		}
		if objects, _, err := n.store.List(ctx, ""); err == nil {
			n.announceObjects(n.cat.Apply(objects...), nil)
			return
		}
	}
}

// updateWatch starts or stops the watch of the object API according to whether this process is elected as a watcher. n.mu
// is held.
func (n *Node) updateWatch(ctx context.Context, now time.Time) {
	elected := slices.Contains(n.machine.Watchers(Watchers), n.hello.ID) && (n.joined || now.Sub(n.started) >= joinTimeout)
	switch {
	case elected && n.stopWatch == nil:
		watchCtx, cancel := context.WithCancel(ctx)
		n.stopWatch = cancel
		event.WatchStarted.Log(&n.log).Send()
		go n.watchLoop(watchCtx)
		go n.remoteLoop(watchCtx)
	case !elected && n.stopWatch != nil:
		n.stopWatch()
		n.stopWatch = nil
		event.WatchEnded.Log(&n.log).Send()
	}
}

// unreachableAfterHeartbeats is the number of heartbeat intervals of failure after which a watcher announces that it cannot
// reach the object API, so that other members are elected. unreachableRetryHeartbeats is the number of further intervals
// after which it becomes eligible again.
const (
	unreachableAfterHeartbeats = 5
	unreachableRetryHeartbeats = 150
)

// setStoreUnreachable announces whether this process has been unable to reach the object API for
// unreachableAfterHeartbeats.
func (n *Node) setStoreUnreachable(unreachable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.machine.Self().StoreUnreachable == unreachable {
		return
	}
	n.unreachableChanged = time.Now()
	n.handleActions(context.Background(), n.machine.Announce(func(m *membership.Member) { m.StoreUnreachable = unreachable }, time.Now()), nil)
}

// watchLoop lists all objects and then watches for changes until ctx ends. It lists again when the watch has expired.
func (n *Node) watchLoop(ctx context.Context) {
	var after uint64
	var failingSince time.Time // zero if the last call succeeded
	listed := false
	for retry := minRetry; ctx.Err() == nil; {
		var err error
		if listed {
			after, err = n.watchOnce(ctx, after)
		} else {
			after, err = n.listAll(ctx)
		}
		switch {
		case err == nil:
			listed, failingSince, retry = true, time.Time{}, minRetry
			n.setStoreUnreachable(false)
			continue
		case errors.Is(err, fighollow.ErrWatchExpired):
			listed = false
		case ctx.Err() == nil && failingSince.IsZero():
			failingSince = time.Now()
			event.WatchFailed.Log(&n.log).Err(err).Send()
		case ctx.Err() == nil && time.Since(failingSince) >= unreachableAfterHeartbeats*n.heartbeat:
			n.setStoreUnreachable(true)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry/2 + rand.N(retry)):
		}
		retry = min(2*retry, maxRetry)
	}
}

func (n *Node) watchOnce(ctx context.Context, after uint64) (uint64, error) {
	objects, next, err := n.store.Watch(ctx, "", after)
	if err != nil {
		return after, err
	}
	n.announceObjects(n.cat.Apply(objects...), nil)
	return next, nil
}

// listAll lists all objects and applies them to the catalog. An object that the catalog holds but the list does not was
// deleted: it gets a tombstone with the lowest version that the deletion can have, so that the tombstone takes precedence
// neither over a later object of that name nor over the real tombstone.
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
	n.announceObjects(n.cat.Apply(objects...), nil)
	return version, nil
}
