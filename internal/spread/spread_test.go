package spread_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/internal/spread"
	"github.com/fighollow/fighollow/internal/standin/objects"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// stepTimeout is far above the time that each step takes, to allow for a busy machine.
const stepTimeout = 30 * time.Second

// fastOptions shortens the timers of membership so that it reacts within a second.
var fastOptions = spread.Options{Membership: membership.Options{
	HeartbeatInterval: 200 * time.Millisecond, SuspectAfter: 800 * time.Millisecond, RefuteWithin: 600 * time.Millisecond,
	ProbeInterval: 500 * time.Millisecond,
}}

func inForce(procs []*proc, version uint64) func() bool {
	return func() bool { return allHold(procs, fighollow.KindInForce, fighollow.InForceName, version) }
}

// Guards against a change that does not reach every process, and against more than two watches per data centre (I9).
func TestChangeReachesEveryProcess(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{})
	v := a.use(t, "ordinary")
	procs := startFleet(t, a, 16, []string{"hall-a", "hall-b"}, fastOptions)
	eventually(t, stepTimeout, "first preset everywhere", inForce(procs, v))
	eventually(t, stepTimeout, "all members known", func() bool { return allSeeAlive(procs, 8) })
	eventually(t, stepTimeout, "two watches for each data centre", func() bool { return a.Counts().Waiting == 2*spread.Watchers })
	v = a.use(t, "peak")
	eventually(t, stepTimeout, "second preset everywhere", inForce(procs, v))
	for _, p := range procs {
		qt.Assert(t, p.node.Ready(), qt.IsTrue)
	}
}

// Guards against a process that starts during an outage of the object API and becomes ready without a preset or never
// becomes ready.
func TestStartInAnOutageTakesThePresetFromPeers(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{})
	v := a.use(t, "ordinary")
	procs := startFleet(t, a, 4, []string{"hall-a"}, fastOptions)
	eventually(t, stepTimeout, "preset everywhere", inForce(procs, v))
	a.SetControl(objects.Control{Down: true})
	opts := fastOptions
	opts.Peers = []string{procs[2].addr}
	late := start(t, a, "late", "hall-a", "", opts)
	eventually(t, stepTimeout, "ready", late.node.Ready)
	qt.Assert(t, inForce([]*proc{late}, v)(), qt.IsTrue, qt.Commentf("ready without the preset in force"))
	eventually(t, stepTimeout, "known to all", func() bool { return allSeeAlive(append(procs, late), 5) })
	opts.Peers = nil
	isolated := start(t, a, "isolated", "hall-b", "", opts)
	qt.Assert(t, isolated.node.Ready(), qt.IsFalse)
	a.SetControl(objects.Control{})
	eventually(t, stepTimeout, "ready after the outage", isolated.node.Ready)
}

// Guards against a data centre that no longer receives changes because its watchers died.
func TestDeadWatchersAreReplaced(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{})
	v := a.use(t, "ordinary")
	procs := startFleet(t, a, 6, []string{"hall-a"}, fastOptions)
	eventually(t, stepTimeout, "preset everywhere", inForce(procs, v))
	eventually(t, stepTimeout, "all members known", func() bool { return allSeeAlive(procs, 6) })
	watchers := membersWatching(procs)
	var survivors []*proc
	for _, p := range procs {
		if watchers[p.id] {
			p.kill()
		} else {
			survivors = append(survivors, p)
		}
	}
	v = a.use(t, "peak")
	eventually(t, stepTimeout, "preset at the survivors", inForce(survivors, v))
	eventually(t, stepTimeout, "the dead processes are detected", func() bool { return allSeeAlive(survivors, 4) })
	eventually(t, stepTimeout, "two watches again", func() bool { return a.Counts().Waiting == spread.Watchers })
}

func membersWatching(procs []*proc) map[string]bool {
	m := membership.New(membership.Options{}, procs[0].node.Members()[0], time.Now())
	m.Merge(procs[0].node.Members(), time.Now())
	out := make(map[string]bool)
	for _, id := range m.Watchers(spread.Watchers) {
		out[id] = true
	}
	return out
}

// Guards against a process, watcher or not, that misses changes because it cannot reach the object API.
func TestCutProcessesFollowTheirPeers(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{})
	v := a.use(t, "ordinary")
	procs := startFleet(t, a, 5, []string{"hall-a"}, fastOptions)
	eventually(t, stepTimeout, "all members known", func() bool { return allSeeAlive(procs, 5) })
	eventually(t, stepTimeout, "preset everywhere", inForce(procs, v))
	watchers := membersWatching(procs)
	cut := 0
	for _, p := range procs {
		if watchers[p.id] == (cut == 0) { // one watcher and one other
			p.store.cut.Store(true)
			if cut++; cut == 2 {
				break
			}
		}
	}
	v = a.use(t, "peak")
	eventually(t, stepTimeout, "preset everywhere", inForce(procs, v))
}

// Guards against a data centre that misses changes because both its watchers, and only they, cannot reach the object API.
func TestWatchersWithoutTheAPIAreReplaced(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{})
	v := a.use(t, "ordinary")
	procs := startFleet(t, a, 5, []string{"hall-a"}, fastOptions)
	eventually(t, stepTimeout, "all members known", func() bool { return allSeeAlive(procs, 5) })
	eventually(t, stepTimeout, "preset everywhere", inForce(procs, v))
	eventually(t, stepTimeout, "two watches", func() bool { return a.Counts().Waiting == spread.Watchers })
	watchers := membersWatching(procs)
	for _, p := range procs {
		p.store.cut.Store(watchers[p.id])
	}
	v = a.use(t, "peak")
	eventually(t, stepTimeout, "preset everywhere", inForce(procs, v))
	eventually(t, stepTimeout, "both announce that the store is unreachable", func() bool {
		unreachable := 0
		for _, m := range procs[0].node.Members() {
			if m.StoreUnreachable && watchers[m.ID] {
				unreachable++
			}
		}
		return unreachable == spread.Watchers
	})
}

// Guards against processes that cannot join because their settings name no peers. They must find each other through the
// platform's list of instances.
func TestProcessesJoinThroughThePlatformsList(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{})
	v := a.use(t, "ordinary")
	var procs []*proc
	for i := range 4 {
		id, addr := fmt.Sprint("p", i), freeAddr(t)
		a.put(t, fighollow.KindInstance, id, fighollow.Instance{ID: id, DataCentre: "hall-a", Link: addr})
		procs = append(procs, start(t, a, id, "hall-a", addr, fastOptions))
	}
	eventually(t, stepTimeout, "all members known", func() bool { return allSeeAlive(procs, 4) })
	eventually(t, stepTimeout, "preset everywhere", inForce(procs, v))
	eventually(t, stepTimeout, "two watches", func() bool { return a.Counts().Waiting == spread.Watchers })
}

// Guards against a data centre that misses changes because it is the only one that cannot reach the object API.
func TestDataCentreWithoutTheAPIFollowsOthers(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{})
	v := a.use(t, "ordinary")
	procs := startFleet(t, a, 8, []string{"hall-a", "hall-b"}, fastOptions)
	eventually(t, stepTimeout, "preset everywhere", inForce(procs, v))
	eventually(t, stepTimeout, "all members known", func() bool { return allSeeAlive(procs, 4) })
	for i, p := range procs {
		p.store.cut.Store(i%2 == 1)
	}
	v = a.use(t, "peak")
	eventually(t, stepTimeout, "preset everywhere", inForce(procs, v))
}

// Guards against a value larger than one frame being dropped or truncated.
func TestLargestValueTravelsInSmallFrames(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{})
	opts := fastOptions
	opts.Link = link.Options{MaxFrame: 64 << 10}
	procs := startFleet(t, a, 5, []string{"hall-a"}, opts)
	random := make([]byte, (fighollow.MaxValueBytes-2)/4*3)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(random)
	text := base64.StdEncoding.EncodeToString(random)
	v := a.put(t, fighollow.KindPlan, "hall-a", text)
	eventually(t, stepTimeout, "value everywhere", func() bool { return allHold(procs, fighollow.KindPlan, "hall-a", v) })
	for _, p := range procs {
		o, _ := p.cat.Get(fighollow.KindPlan, "hall-a")
		qt.Assert(t, string(o.Value) == `"`+text+`"`, qt.IsTrue)
	}
}

// Guards against a deleted object that is kept because it was deleted while no process watched, and against a peer's stale
// catalog that restores deleted objects or lower versions.
func TestDeletedObjectsAndOldVersionsDoNotReturn(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{History: 5})
	a.put(t, fighollow.KindDrain, "engine", map[string]string{"action": "drain"})
	v := a.use(t, "ordinary")
	procs := startFleet(t, a, 4, []string{"hall-a"}, fastOptions)
	eventually(t, stepTimeout, "preset everywhere", inForce(procs, v))
	for _, p := range procs {
		p.store.cut.Store(true)
	}
	c := a.client("test")
	defer c.Close()
	o, err := c.Get(context.Background(), fighollow.KindDrain, "engine")
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Delete(context.Background(), fighollow.KindDrain, "engine", o.Version)
	qt.Assert(t, err, qt.IsNil)
	for i := range 10 { // evict the deletion from the history
		v = a.use(t, fmt.Sprint("preset", i))
	}
	for _, p := range procs {
		p.store.cut.Store(false)
	}
	eventually(t, stepTimeout, "newest preset everywhere", inForce(procs, v))
	gone := func() bool {
		for _, p := range procs {
			if _, ok := p.cat.Get(fighollow.KindDrain, "engine"); ok {
				return false
			}
		}
		return true
	}
	eventually(t, stepTimeout, "deletion everywhere", gone)
	stale := start(t, a, "stale", "hall-a", "", func() spread.Options { o := fastOptions; o.Peers = []string{procs[0].addr}; return o }())
	stale.store.cut.Store(true)
	stale.cat.Apply(o, fighollow.Object{Kind: fighollow.KindInForce, Name: fighollow.InForceName, Version: 2, Value: []byte(`{}`)})
	eventually(t, stepTimeout, "the stale process holds the newest preset", inForce([]*proc{stale}, v))
	eventually(t, stepTimeout, "digests agree", func() bool {
		for _, p := range procs {
			if p.cat.Digest() != stale.cat.Digest() {
				return false
			}
		}
		return true
	})
	qt.Assert(t, gone() && inForce(procs, v)(), qt.IsTrue)
}

// Guards against a restarted process that its peers still consider dead, and against a lost announcement of leaving.
func TestRestartAndLeavingAreSeen(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{})
	a.use(t, "ordinary")
	procs := startFleet(t, a, 4, []string{"hall-a"}, fastOptions)
	eventually(t, stepTimeout, "all members known", func() bool { return allSeeAlive(procs, 4) })
	procs[3].kill()
	eventually(t, stepTimeout, "the dead process is detected", func() bool { return allSeeAlive(procs[:3], 3) })
	opts := fastOptions
	opts.Peers = []string{procs[0].addr}
	procs[3] = start(t, a, procs[3].id, "hall-a", procs[3].addr, opts)
	eventually(t, stepTimeout, "the restarted process is known", func() bool { return allSeeAlive(procs, 4) })
	procs[3].node.Announce(func(m *membership.Member) { m.State = membership.Leaving })
	eventually(t, stepTimeout, "leaving is known", func() bool { return allSeeAlive(procs, 3) })
	m := procs[0].node.Members()[3]
	qt.Assert(t, m.State, qt.Equals, membership.Leaving)
}
