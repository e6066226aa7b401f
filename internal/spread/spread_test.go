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

// patience is far above what each step takes, for a busy machine.
const patience = 30 * time.Second

// quick makes membership act within a second.
var quick = spread.Options{Membership: membership.Options{
	Heartbeat: 200 * time.Millisecond, Silence: 800 * time.Millisecond, RefuteWithin: 600 * time.Millisecond,
	Probe: 500 * time.Millisecond,
}}

func inForce(procs []*proc, version uint64) func() bool {
	return func() bool { return allHold(procs, fighollow.KindInForce, fighollow.InForceName, version) }
}

// Guards against a change that misses a process, and against more than two watches for each data centre (I9).
func TestChangeReachesEveryProcess(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{})
	v := a.use(t, "ordinary")
	procs := startFleet(t, a, 16, []string{"hall-a", "hall-b"}, quick)
	eventually(t, patience, "first preset everywhere", inForce(procs, v))
	eventually(t, patience, "all members known", func() bool { return allSee(procs, 8) })
	eventually(t, patience, "two watches for each data centre", func() bool { return a.Counts().Waiting == 2*spread.Watchers })
	v = a.use(t, "peak")
	eventually(t, patience, "second preset everywhere", inForce(procs, v))
	for _, p := range procs {
		qt.Assert(t, p.node.Ready(), qt.IsTrue)
	}
}

// Guards against a process that starts in an outage of the object API and serves without a preset, or never serves.
func TestStartInAnOutageTakesThePresetFromPeers(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{})
	v := a.use(t, "ordinary")
	procs := startFleet(t, a, 4, []string{"hall-a"}, quick)
	eventually(t, patience, "preset everywhere", inForce(procs, v))
	a.SetControl(objects.Control{Down: true})
	opts := quick
	opts.Peers = []string{procs[2].addr}
	late := start(t, a, "late", "hall-a", "", opts)
	eventually(t, patience, "ready", late.node.Ready)
	qt.Assert(t, inForce([]*proc{late}, v)(), qt.IsTrue, qt.Commentf("ready without the preset in force"))
	eventually(t, patience, "known to all", func() bool { return allSee(append(procs, late), 5) })
	opts.Peers = nil
	lonely := start(t, a, "lonely", "hall-b", "", opts)
	qt.Assert(t, lonely.node.Ready(), qt.IsFalse)
	a.SetControl(objects.Control{})
	eventually(t, patience, "ready after the outage", lonely.node.Ready)
}

// Guards against a data centre that stops following because its watchers died.
func TestDeadWatchersAreReplaced(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{})
	v := a.use(t, "ordinary")
	procs := startFleet(t, a, 6, []string{"hall-a"}, quick)
	eventually(t, patience, "preset everywhere", inForce(procs, v))
	eventually(t, patience, "all members known", func() bool { return allSee(procs, 6) })
	watchers := membersWatching(procs)
	var rest []*proc
	for _, p := range procs {
		if watchers[p.id] {
			p.kill()
		} else {
			rest = append(rest, p)
		}
	}
	v = a.use(t, "peak")
	eventually(t, patience, "preset at the others", inForce(rest, v))
	eventually(t, patience, "the dead are noticed", func() bool { return allSee(rest, 4) })
	eventually(t, patience, "two watches again", func() bool { return a.Counts().Waiting == spread.Watchers })
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

// Guards against a process that cannot reach the object API, watcher or not, and therefore stays behind.
func TestCutProcessesFollowTheirPeers(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{})
	v := a.use(t, "ordinary")
	procs := startFleet(t, a, 5, []string{"hall-a"}, quick)
	eventually(t, patience, "all members known", func() bool { return allSee(procs, 5) })
	eventually(t, patience, "preset everywhere", inForce(procs, v))
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
	eventually(t, patience, "preset everywhere", inForce(procs, v))
}

// Guards against a data centre that stays behind because both its watchers, and only they, cannot reach the object API.
func TestBlindWatchersAreReplaced(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{})
	v := a.use(t, "ordinary")
	procs := startFleet(t, a, 5, []string{"hall-a"}, quick)
	eventually(t, patience, "all members known", func() bool { return allSee(procs, 5) })
	eventually(t, patience, "preset everywhere", inForce(procs, v))
	eventually(t, patience, "two watches", func() bool { return a.Counts().Waiting == spread.Watchers })
	watchers := membersWatching(procs)
	for _, p := range procs {
		p.store.cut.Store(watchers[p.id])
	}
	v = a.use(t, "peak")
	eventually(t, patience, "preset everywhere", inForce(procs, v))
	eventually(t, patience, "both are known to be blind", func() bool {
		blind := 0
		for _, m := range procs[0].node.Members() {
			if m.Blind && watchers[m.ID] {
				blind++
			}
		}
		return blind == spread.Watchers
	})
}

// Guards against processes that cannot join because their settings name no peers; the platform's list names them.
func TestProcessesJoinThroughThePlatformsList(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{})
	v := a.use(t, "ordinary")
	var procs []*proc
	for i := range 4 {
		id, addr := fmt.Sprint("p", i), freeAddr(t)
		a.put(t, fighollow.KindInstance, id, fighollow.Instance{ID: id, DataCentre: "hall-a", Link: addr})
		procs = append(procs, start(t, a, id, "hall-a", addr, quick))
	}
	eventually(t, patience, "all members known", func() bool { return allSee(procs, 4) })
	eventually(t, patience, "preset everywhere", inForce(procs, v))
	eventually(t, patience, "two watches", func() bool { return a.Counts().Waiting == spread.Watchers })
}

// Guards against a data centre that is the only one to lose the object API and stays behind.
func TestDataCentreWithoutTheAPIFollowsOthers(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{})
	v := a.use(t, "ordinary")
	procs := startFleet(t, a, 8, []string{"hall-a", "hall-b"}, quick)
	eventually(t, patience, "preset everywhere", inForce(procs, v))
	eventually(t, patience, "all members known", func() bool { return allSee(procs, 4) })
	for i, p := range procs {
		p.store.cut.Store(i%2 == 1)
	}
	v = a.use(t, "peak")
	eventually(t, patience, "preset everywhere", inForce(procs, v))
}

// Guards against a value that does not fit one frame being left out or cut short.
func TestLargestValueTravelsInSmallFrames(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{})
	opts := quick
	opts.Link = link.Options{MaxFrame: 64 << 10}
	procs := startFleet(t, a, 5, []string{"hall-a"}, opts)
	random := make([]byte, (fighollow.MaxValueBytes-2)/4*3)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(random)
	text := base64.StdEncoding.EncodeToString(random)
	v := a.put(t, fighollow.KindPlan, "hall-a", text)
	eventually(t, patience, "value everywhere", func() bool { return allHold(procs, fighollow.KindPlan, "hall-a", v) })
	for _, p := range procs {
		o, _ := p.cat.Get(fighollow.KindPlan, "hall-a")
		qt.Assert(t, string(o.Value) == `"`+text+`"`, qt.IsTrue)
	}
}

// Guards against a deleted object that lives on because the deletion happened while nobody watched, and against an old
// copy of a peer that brings back what is gone or a lower version.
func TestNothingGoesBack(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{History: 5})
	a.put(t, fighollow.KindDrain, "engine", map[string]string{"action": "drain"})
	v := a.use(t, "ordinary")
	procs := startFleet(t, a, 4, []string{"hall-a"}, quick)
	eventually(t, patience, "preset everywhere", inForce(procs, v))
	for _, p := range procs {
		p.store.cut.Store(true)
	}
	c := a.client("test")
	defer c.Close()
	o, err := c.Get(context.Background(), fighollow.KindDrain, "engine")
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Delete(context.Background(), fighollow.KindDrain, "engine", o.Version)
	qt.Assert(t, err, qt.IsNil)
	for i := range 10 { // push the deletion out of the history
		v = a.use(t, fmt.Sprint("preset", i))
	}
	for _, p := range procs {
		p.store.cut.Store(false)
	}
	eventually(t, patience, "newest preset everywhere", inForce(procs, v))
	gone := func() bool {
		for _, p := range procs {
			if _, ok := p.cat.Get(fighollow.KindDrain, "engine"); ok {
				return false
			}
		}
		return true
	}
	eventually(t, patience, "deletion everywhere", gone)
	stale := start(t, a, "stale", "hall-a", "", func() spread.Options { o := quick; o.Peers = []string{procs[0].addr}; return o }())
	stale.store.cut.Store(true)
	stale.cat.Apply(o, fighollow.Object{Kind: fighollow.KindInForce, Name: fighollow.InForceName, Version: 2, Value: []byte(`{}`)})
	eventually(t, patience, "the late process holds the newest", inForce([]*proc{stale}, v))
	eventually(t, patience, "digests agree", func() bool {
		for _, p := range procs {
			if p.cat.Digest() != stale.cat.Digest() {
				return false
			}
		}
		return true
	})
	qt.Assert(t, gone() && inForce(procs, v)(), qt.IsTrue)
}

// Guards against a restarted process that its peers take for dead, or whose announcement of leaving is lost.
func TestRestartAndLeavingAreSeen(t *testing.T) {
	t.Parallel()
	a := newAPI(t, objects.Options{})
	a.use(t, "ordinary")
	procs := startFleet(t, a, 4, []string{"hall-a"}, quick)
	eventually(t, patience, "all members known", func() bool { return allSee(procs, 4) })
	procs[3].kill()
	eventually(t, patience, "the dead one is noticed", func() bool { return allSee(procs[:3], 3) })
	opts := quick
	opts.Peers = []string{procs[0].addr}
	procs[3] = start(t, a, procs[3].id, "hall-a", procs[3].addr, opts)
	eventually(t, patience, "the restarted one is known", func() bool { return allSee(procs, 4) })
	procs[3].node.Announce(func(m *membership.Member) { m.State = membership.Leaving })
	eventually(t, patience, "leaving is known", func() bool { return allSee(procs, 3) })
	m := procs[0].node.Members()[3]
	qt.Assert(t, m.State, qt.Equals, membership.Leaving)
}
