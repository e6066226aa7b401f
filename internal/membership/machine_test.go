package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/internal/membership"
)

const step = 250 * time.Millisecond

// detectionBound is the sum of SuspectAfter (5 s), RefuteWithin (4 s), one heartbeat interval (2 s), and another 9 s of
// SuspectAfter and RefuteWithin at a new monitor when the previous ones die as well.
const detectionBound = 20 * time.Second

// process is the actual state of one process, which the machines under test cannot access.
type process struct {
	m        *membership.Machine // nil while killed
	run      uint64              // grows with each start
	leaving  bool
	paused   bool
	killedAt time.Time
}

type message struct {
	from, to   string
	heartbeat  bool
	wantsReply bool // the receiver replies with its members
	members    []membership.Member
}

// cluster drives machines over a simulated network that can drop messages in one direction.
type cluster struct {
	now     time.Time
	ids     []string
	procs   map[string]*process
	blocked map[[2]string]bool // pairs of sender and receiver whose messages are dropped
	queue   []message
}

func newCluster(n int) *cluster {
	c := &cluster{now: time.Unix(1_700_000_000, 0), procs: make(map[string]*process), blocked: make(map[[2]string]bool)}
	for i := range n {
		id := fmt.Sprintf("p%02d", i)
		c.ids = append(c.ids, id)
		c.procs[id] = &process{}
	}
	for _, id := range c.ids {
		c.start(id)
	}
	return c
}

// start starts a new process with this id, which joins through seeds.
func (c *cluster) start(id string) {
	p := c.procs[id]
	p.run++
	p.leaving, p.paused = false, false
	p.m = membership.New(membership.Options{}, membership.Member{
		ID: id, Incarnation: p.run * 1_000_000, DataCentre: "hall-a", Link: id,
	}, c.now)
	c.seed(id)
}

// seed exchanges members with every process that is missing from this one's view. In production, the platform's list of
// instances supplies these.
func (c *cluster) seed(id string) {
	for _, other := range c.ids {
		if _, known := c.view(id, other); !known {
			c.send(message{from: id, to: other, wantsReply: true, members: c.procs[id].m.Members()})
		}
	}
}

func (c *cluster) send(msg message) {
	if !c.blocked[[2]string{msg.from, msg.to}] {
		c.queue = append(c.queue, msg)
	}
}

func (c *cluster) execute(id string, actions []membership.Action) {
	p := c.procs[id]
	for _, a := range actions {
		switch a.Kind {
		case membership.ActionHeartbeat:
			for _, to := range c.ids {
				if c.linked(id, to) {
					c.send(message{from: id, to: to, heartbeat: true, members: p.m.Members()})
				}
			}
		case membership.ActionProbe:
			c.send(message{from: id, to: a.To, wantsReply: true, members: p.m.Members()})
		case membership.ActionNotify:
			c.send(message{from: id, to: a.To, members: []membership.Member{a.Member}})
		default:
			for _, to := range c.ids {
				if c.linked(id, to) {
					c.send(message{from: id, to: to, members: []membership.Member{a.Member}})
				}
			}
		}
	}
}

// linked reports whether either of two processes connects to the other.
func (c *cluster) linked(a, b string) bool {
	return c.running(a) && c.running(b) &&
		(slices.Contains(c.procs[a].m.Neighbours(), b) || slices.Contains(c.procs[b].m.Neighbours(), a))
}

// advance moves time forward in steps. Messages arrive one step after they were sent, or when a paused receiver
// resumes.
func (c *cluster) advance(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(step) {
		queue := c.queue
		c.queue = nil
		for _, msg := range queue {
			c.deliver(msg)
		}
		for _, id := range c.ids {
			if p := c.procs[id]; p.m != nil && !p.paused {
				c.execute(id, p.m.Tick(c.now))
				if c.now.UnixMilli()%membership.DefaultProbeInterval.Milliseconds() == 0 {
					c.seed(id)
				}
			}
		}
	}
}

func (c *cluster) deliver(msg message) {
	p := c.procs[msg.to]
	if p.m == nil {
		return
	}
	if p.paused {
		c.queue = append(c.queue, msg)
		return
	}
	if msg.heartbeat {
		c.execute(msg.to, p.m.HandleHeartbeat(msg.from, c.now))
	}
	c.execute(msg.to, p.m.Merge(msg.members, c.now))
	if msg.wantsReply {
		c.send(message{from: msg.to, to: msg.from, members: p.m.Members()})
	}
}

// view returns a member in the view of another process. ok is false when that view does not contain it.
func (c *cluster) view(viewer, id string) (membership.Member, bool) {
	return c.procs[viewer].m.Get(id)
}

func (c *cluster) running(id string) bool { return c.procs[id].m != nil }

// requireAccurateViews checks that every running process has exactly the running ones as members that are not dead,
// each in its actual state.
func (c *cluster) requireAccurateViews(t rapid.TB) {
	for _, viewer := range c.ids {
		if !c.running(viewer) {
			continue
		}
		for _, id := range c.ids {
			m, known := c.view(viewer, id)
			if !c.running(id) {
				if known && m.State != membership.Dead {
					t.Fatalf("%s sees %s as %s; it was killed %v ago", viewer, id, m.State, c.now.Sub(c.procs[id].killedAt))
				}
				continue
			}
			want := membership.Alive
			if c.procs[id].leaving {
				want = membership.Leaving
			}
			if !known || m.State != want {
				t.Fatalf("%s sees %s as %q, want %s", viewer, id, m.State, want)
			}
		}
	}
}

// Guards against a live member that stays dead in another view, a dead one that stays alive, and a leaving one that
// becomes alive again, under kills, restarts, pauses and one-way network failures.
func TestMembersConvergeToTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(2, 10).Draw(t, "size"))
		c.advance(5 * time.Second)
		id := rapid.SampledFrom(c.ids)
		seenLeaving := make(map[[2]string]uint64) // (viewer, member) to the run in which the viewer had it as leaving
		t.Repeat(map[string]func(*rapid.T){
			"kill": func(t *rapid.T) {
				p := c.procs[id.Draw(t, "id")]
				if p.m != nil {
					p.m, p.killedAt = nil, c.now
				}
			},
			"start": func(t *rapid.T) {
				if id := id.Draw(t, "id"); !c.running(id) {
					c.start(id)
				}
			},
			"pause": func(t *rapid.T) {
				p := c.procs[id.Draw(t, "id")]
				p.paused = !p.paused
			},
			"cut": func(t *rapid.T) {
				pair := [2]string{id.Draw(t, "from"), id.Draw(t, "to")}
				c.blocked[pair] = !c.blocked[pair]
			},
			"leave": func(t *rapid.T) {
				id := id.Draw(t, "id")
				if p := c.procs[id]; p.m != nil && !p.paused {
					p.leaving = true
					c.execute(id, p.m.Announce(func(m *membership.Member) { m.State = membership.Leaving }, c.now))
				}
			},
			"advance": func(t *rapid.T) {
				c.advance(time.Duration(rapid.IntRange(1, 80).Draw(t, "steps")) * step)
			},
			"": func(t *rapid.T) { c.requireNoReturnFromLeaving(t, seenLeaving) },
		})
		c.blocked = make(map[[2]string]bool)
		for _, p := range c.procs {
			p.paused = false
		}
		c.advance(2*detectionBound + time.Duration(len(c.ids))*membership.DefaultProbeInterval)
		c.requireAccurateViews(t)
	})
}

// requireNoReturnFromLeaving checks that no member becomes alive again after leaving within one run.
func (c *cluster) requireNoReturnFromLeaving(t *rapid.T, seenLeaving map[[2]string]uint64) {
	for _, viewer := range c.ids {
		for _, id := range c.ids {
			if !c.running(viewer) {
				delete(seenLeaving, [2]string{viewer, id})
				continue
			}
			m, ok := c.view(viewer, id)
			run, pair := m.Incarnation/1_000_000, [2]string{viewer, id}
			if ok && m.State == membership.Leaving {
				seenLeaving[pair] = run
			}
			if ok && m.State == membership.Alive && seenLeaving[pair] == run {
				t.Fatalf("%s saw %s leaving and sees it alive again in the same run", viewer, id)
			}
		}
	}
}

// Guards against late detection of dead members in a large data centre, and against live members being declared dead
// with them.
func TestKilledMembersAreNoticedWithinTheBound(t *testing.T) {
	c := newCluster(60)
	c.advance(10 * time.Second)
	qt.Assert(t, c.procs[c.ids[0]].m.Neighbours(), qt.HasLen, 6) // offsets 1 to 32
	for _, i := range []int{3, 17, 18, 41} {
		c.procs[c.ids[i]].m, c.procs[c.ids[i]].killedAt = nil, c.now
	}
	c.advance(detectionBound)
	c.requireAccurateViews(t)
}

// Guards against cascading false suspicions after the loss of a rack: half of the members die at once, and the others
// must stay alive in every view.
func TestLossOfARackKillsNobodyElse(t *testing.T) {
	c := newCluster(60)
	c.advance(10 * time.Second)
	for _, id := range c.ids[:30] {
		c.procs[id].m, c.procs[id].killedAt = nil, c.now
	}
	for range 2 * detectionBound / step {
		c.advance(step)
		for _, viewer := range c.ids[30:] {
			for _, id := range c.ids[30:] {
				m, _ := c.view(viewer, id)
				qt.Assert(t, m.State, qt.Equals, membership.Alive, qt.Commentf("%s at %s", id, viewer))
			}
		}
	}
	c.requireAccurateViews(t)
}

// Guards against a one-way network failure between two members that makes the others declare one of them dead.
func TestOneWayCutKillsNobody(t *testing.T) {
	c := newCluster(5)
	c.advance(5 * time.Second)
	c.blocked[[2]string{c.ids[0], c.ids[1]}] = true
	for range 400 {
		c.advance(step)
		for _, viewer := range c.ids {
			m, _ := c.view(viewer, c.ids[0])
			qt.Assert(t, m.State, qt.Not(qt.Equals), membership.Dead, qt.Commentf("at %s", viewer))
		}
	}
}

// Guards against a process that suspects its neighbours after a pause of its own, during which it received no
// heartbeats.
func TestResumedProcessDoesNotSuspectOthers(t *testing.T) {
	c := newCluster(4)
	c.advance(5 * time.Second)
	p := c.procs[c.ids[0]]
	p.paused = true
	c.advance(time.Minute)
	for _, a := range p.m.Tick(c.now) {
		qt.Assert(t, a.Kind, qt.Not(qt.Equals), membership.ActionSuspect)
		qt.Assert(t, a.Kind, qt.Not(qt.Equals), membership.ActionDead)
	}
}

// Guards against a suspected member that cannot refute because the update with the suspicion was lost: its next
// heartbeat must be answered with the suspicion.
func TestHeartbeatOfASuspectIsAnsweredWithTheSuspicion(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := membership.New(membership.Options{}, membership.Member{ID: "self", DataCentre: "hall-a"}, now)
	suspect := membership.Member{ID: "other", DataCentre: "hall-a", State: membership.Suspect}
	m.Merge([]membership.Member{suspect}, now)
	qt.Assert(t, m.HandleHeartbeat("other", now), qt.DeepEquals, []membership.Action{{Kind: membership.ActionNotify, To: "other", Member: suspect}})
}

// Guards against two processes with one id, such as an old instance and its replacement, that raise their incarnations
// against each other without a rate limit.
func TestProcessesWithTheSameIDRefuteSlowly(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	self := membership.Member{ID: "twin", DataCentre: "hall-a", Incarnation: 1}
	a := membership.New(membership.Options{}, self, now)
	self.Incarnation = 2
	b := membership.New(membership.Options{}, self, now)
	refutations := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		refutations += len(a.Merge(b.Members(), now)) + len(b.Merge(a.Members(), now))
	}
	qt.Assert(t, refutations <= 22, qt.IsTrue, qt.Commentf("%d in 10 s", refutations))
}

// Guards against self-sustaining false suspicions: while views of the ring differ, a process does not connect to all
// those that count it as a neighbour, so that it is silent to them. Each member falsely declared dead changes the ring
// again.
func TestDifferentViewsOfTheRingCauseNoSuspicion(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := membership.New(membership.Options{}, membership.Member{ID: "self", DataCentre: "hall-a"}, now)
	for i := range 20 {
		m.Merge([]membership.Member{{ID: fmt.Sprint("p", i), DataCentre: "hall-a", State: membership.Alive}}, now)
	}
	for range 60 {
		now = now.Add(step)
		for _, id := range m.Neighbours() { // the members that self connects to send heartbeats; none connects to self
			m.HandleHeartbeat(id, now)
		}
		for _, a := range m.Tick(now) {
			qt.Assert(t, a.Kind, qt.Equals, membership.ActionHeartbeat)
		}
	}
}

// Guards against memory growth by members that peers send beyond the limit, and against members of other data centres
// in the ring.
func TestForeignAndExcessMembersAreIgnored(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := membership.New(membership.Options{MaxMembers: 10}, membership.Member{ID: "self", DataCentre: "hall-a"}, now)
	for i := range 100 {
		m.Merge([]membership.Member{
			{ID: fmt.Sprint("near", i), DataCentre: "hall-a", State: membership.Alive},
			{ID: fmt.Sprint("far", i), DataCentre: "hall-b", State: membership.Alive},
			{ID: fmt.Sprint("odd", i), DataCentre: "hall-a", State: "odd"},
		}, now)
	}
	qt.Assert(t, m.Members(), qt.HasLen, 11)
	for _, other := range m.Members() {
		qt.Assert(t, other.DataCentre, qt.Equals, "hall-a")
		qt.Assert(t, other.State, qt.Equals, membership.Alive)
	}
}

// Guards against dead members that are never removed, or that peers add again after their removal.
func TestDeadMembersAreForgotten(t *testing.T) {
	c := newCluster(4)
	c.advance(5 * time.Second)
	c.procs[c.ids[0]].m = nil
	c.advance(detectionBound + membership.DefaultForgetAfter + time.Minute)
	_, known := c.view(c.ids[1], c.ids[0])
	qt.Assert(t, known, qt.IsFalse)
	qt.Assert(t, c.procs[c.ids[1]].m.Merge([]membership.Member{
		{ID: c.ids[0], Incarnation: 1_000_000, DataCentre: "hall-a", State: membership.Dead},
	}, c.now), qt.HasLen, 0)
}

// Guards against a data centre in which every member is drained and none watches the object API, so that none would
// learn of the end of a drain. Also guards against leaving members that watch although others can.
func TestLeavingMembersWatchOnlyAlone(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := membership.New(membership.Options{}, membership.Member{ID: "self", DataCentre: "hall-a"}, now)
	m.Announce(func(o *membership.Member) { o.State = membership.Leaving }, now)
	qt.Assert(t, m.Watchers(2), qt.DeepEquals, []string{"self"})
	m.Merge([]membership.Member{{ID: "other", DataCentre: "hall-a", State: membership.Alive}}, now)
	qt.Assert(t, m.Watchers(2), qt.DeepEquals, []string{"other"})
}
