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

// noticeBound is silence 5 s + refutation 4 s + one heartbeat 2 s + a new monitor's silence and suspicion when the first
// ones die as well 9 s.
const noticeBound = 20 * time.Second

// process is the truth about one process; the machines under test never see it.
type process struct {
	m       *membership.Machine // nil while killed
	run     uint64              // grows with each start
	leaving bool
	paused  bool
	downAt  time.Time
}

type message struct {
	from, to  string
	heartbeat bool
	exchange  bool // asks for the receiver's members
	members   []membership.Member
}

// fleet drives machines over a lossy network of whole messages.
type fleet struct {
	now   time.Time
	ids   []string
	procs map[string]*process
	cut   map[[2]string]bool // one way
	queue []message
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1_700_000_000, 0), procs: make(map[string]*process), cut: make(map[[2]string]bool)}
	for i := range n {
		id := fmt.Sprintf("p%02d", i)
		f.ids = append(f.ids, id)
		f.procs[id] = &process{}
	}
	for _, id := range f.ids {
		f.start(id)
	}
	return f
}

// start runs a new process of this id; it joins through seeds.
func (f *fleet) start(id string) {
	p := f.procs[id]
	p.run++
	p.leaving, p.paused = false, false
	p.m = membership.New(membership.Options{}, membership.Member{
		ID: id, Incarnation: p.run * 1_000_000, DataCentre: "hall-a", Link: id,
	}, f.now)
	f.seed(id)
}

// seed exchanges members with every process that this one does not know, as the platform's list of instances allows.
func (f *fleet) seed(id string) {
	for _, other := range f.ids {
		if _, known := f.view(id, other); !known {
			f.send(message{from: id, to: other, exchange: true, members: f.procs[id].m.Members()})
		}
	}
}

func (f *fleet) send(msg message) {
	if !f.cut[[2]string{msg.from, msg.to}] {
		f.queue = append(f.queue, msg)
	}
}

func (f *fleet) act(id string, actions []membership.Action) {
	p := f.procs[id]
	for _, a := range actions {
		switch a.Kind {
		case membership.ActionHeartbeat:
			for _, to := range f.ids {
				if f.linked(id, to) {
					f.send(message{from: id, to: to, heartbeat: true, members: p.m.Members()})
				}
			}
		case membership.ActionProbe:
			f.send(message{from: id, to: a.To, exchange: true, members: p.m.Members()})
		case membership.ActionTell:
			f.send(message{from: id, to: a.To, members: []membership.Member{a.Member}})
		default:
			for _, to := range f.ids {
				if f.linked(id, to) {
					f.send(message{from: id, to: to, members: []membership.Member{a.Member}})
				}
			}
		}
	}
}

// linked reports whether one of two processes connects to the other.
func (f *fleet) linked(a, b string) bool {
	return f.running(a) && f.running(b) &&
		(slices.Contains(f.procs[a].m.Neighbours(), b) || slices.Contains(f.procs[b].m.Neighbours(), a))
}

// advance lets time pass in steps; messages arrive one step after they were sent, or when a paused receiver resumes.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		queue := f.queue
		f.queue = nil
		for _, msg := range queue {
			f.deliver(msg)
		}
		for _, id := range f.ids {
			if p := f.procs[id]; p.m != nil && !p.paused {
				f.act(id, p.m.Tick(f.now))
				if f.now.UnixMilli()%membership.DefaultProbe.Milliseconds() == 0 {
					f.seed(id)
				}
			}
		}
	}
}

func (f *fleet) deliver(msg message) {
	p := f.procs[msg.to]
	if p.m == nil {
		return
	}
	if p.paused {
		f.queue = append(f.queue, msg)
		return
	}
	if msg.heartbeat {
		f.act(msg.to, p.m.Heard(msg.from, f.now))
	}
	f.act(msg.to, p.m.Merge(msg.members, f.now))
	if msg.exchange {
		f.send(message{from: msg.to, to: msg.from, members: p.m.Members()})
	}
}

// view returns how one process sees another; ok is false when it does not know it.
func (f *fleet) view(viewer, id string) (membership.Member, bool) {
	return f.procs[viewer].m.Get(id)
}

func (f *fleet) running(id string) bool { return f.procs[id].m != nil }

// requireTruth checks that every running process sees exactly the running ones as not dead.
func (f *fleet) requireTruth(t rapid.TB) {
	for _, viewer := range f.ids {
		if !f.running(viewer) {
			continue
		}
		for _, id := range f.ids {
			m, known := f.view(viewer, id)
			if !f.running(id) {
				if known && m.State != membership.Dead {
					t.Fatalf("%s sees %s as %s; it was killed %v ago", viewer, id, m.State, f.now.Sub(f.procs[id].downAt))
				}
				continue
			}
			want := membership.Alive
			if f.procs[id].leaving {
				want = membership.Leaving
			}
			if !known || m.State != want {
				t.Fatalf("%s sees %s as %q, want %s", viewer, id, m.State, want)
			}
		}
	}
}

// Guards against a live member that stays dead for others, a dead one that stays alive, and a leaving one that becomes
// alive again, under kills, restarts, pauses and one-way cuts.
func TestMembersConvergeToTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 10).Draw(t, "size"))
		f.advance(5 * time.Second)
		id := rapid.SampledFrom(f.ids)
		left := make(map[[2]string]uint64) // (viewer, member) to the run that was seen leaving
		t.Repeat(map[string]func(*rapid.T){
			"kill": func(t *rapid.T) {
				p := f.procs[id.Draw(t, "id")]
				if p.m != nil {
					p.m, p.downAt = nil, f.now
				}
			},
			"start": func(t *rapid.T) {
				if id := id.Draw(t, "id"); !f.running(id) {
					f.start(id)
				}
			},
			"pause": func(t *rapid.T) {
				p := f.procs[id.Draw(t, "id")]
				p.paused = !p.paused
			},
			"cut": func(t *rapid.T) {
				pair := [2]string{id.Draw(t, "from"), id.Draw(t, "to")}
				f.cut[pair] = !f.cut[pair]
			},
			"leave": func(t *rapid.T) {
				id := id.Draw(t, "id")
				if p := f.procs[id]; p.m != nil && !p.paused {
					p.leaving = true
					f.act(id, p.m.Announce(func(m *membership.Member) { m.State = membership.Leaving }, f.now))
				}
			},
			"advance": func(t *rapid.T) {
				f.advance(time.Duration(rapid.IntRange(1, 80).Draw(t, "steps")) * step)
			},
			"": func(t *rapid.T) { f.requireLeavingStays(t, left) },
		})
		f.cut = make(map[[2]string]bool)
		for _, p := range f.procs {
			p.paused = false
		}
		f.advance(2*noticeBound + time.Duration(len(f.ids))*membership.DefaultProbe)
		f.requireTruth(t)
	})
}

func (f *fleet) requireLeavingStays(t *rapid.T, left map[[2]string]uint64) {
	for _, viewer := range f.ids {
		for _, id := range f.ids {
			if !f.running(viewer) {
				delete(left, [2]string{viewer, id})
				continue
			}
			m, ok := f.view(viewer, id)
			run, pair := m.Incarnation/1_000_000, [2]string{viewer, id}
			if ok && m.State == membership.Leaving {
				left[pair] = run
			}
			if ok && m.State == membership.Alive && left[pair] == run {
				t.Fatalf("%s saw %s leaving and sees it alive again in the same run", viewer, id)
			}
		}
	}
}

// Guards against a dead member that is noticed late in a large data centre, and against live ones lost with it.
func TestKilledMembersAreNoticedWithinTheBound(t *testing.T) {
	f := newFleet(60)
	f.advance(10 * time.Second)
	qt.Assert(t, f.procs[f.ids[0]].m.Neighbours(), qt.HasLen, 6) // offsets 1 to 32
	for _, i := range []int{3, 17, 18, 41} {
		f.procs[f.ids[i]].m, f.procs[f.ids[i]].downAt = nil, f.now
	}
	f.advance(noticeBound)
	f.requireTruth(t)
}

// Guards against deaths that spread after a rack is lost: half of the members die at once, the others stay alive for all.
func TestLossOfARackKillsNobodyElse(t *testing.T) {
	f := newFleet(60)
	f.advance(10 * time.Second)
	for _, id := range f.ids[:30] {
		f.procs[id].m, f.procs[id].downAt = nil, f.now
	}
	for range 2 * noticeBound / step {
		f.advance(step)
		for _, viewer := range f.ids[30:] {
			for _, id := range f.ids[30:] {
				m, _ := f.view(viewer, id)
				qt.Assert(t, m.State, qt.Equals, membership.Alive, qt.Commentf("%s at %s", id, viewer))
			}
		}
	}
	f.requireTruth(t)
}

// Guards against a one-way cut between two members making one of them dead for the others.
func TestOneWayCutKillsNobody(t *testing.T) {
	f := newFleet(5)
	f.advance(5 * time.Second)
	f.cut[[2]string{f.ids[0], f.ids[1]}] = true
	for range 400 {
		f.advance(step)
		for _, viewer := range f.ids {
			m, _ := f.view(viewer, f.ids[0])
			qt.Assert(t, m.State, qt.Not(qt.Equals), membership.Dead, qt.Commentf("at %s", viewer))
		}
	}
}

// Guards against a process that was paused declaring its neighbours dead for its own silence.
func TestResumedProcessDoesNotSuspectOthers(t *testing.T) {
	f := newFleet(4)
	f.advance(5 * time.Second)
	p := f.procs[f.ids[0]]
	p.paused = true
	f.advance(time.Minute)
	for _, a := range p.m.Tick(f.now) {
		qt.Assert(t, a.Kind, qt.Not(qt.Equals), membership.ActionSuspect)
		qt.Assert(t, a.Kind, qt.Not(qt.Equals), membership.ActionDead)
	}
}

// Guards against a suspected member that never learns of the suspicion, because the update about it was lost.
func TestHeartbeatOfASuspectIsAnsweredWithTheSuspicion(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := membership.New(membership.Options{}, membership.Member{ID: "self", DataCentre: "hall-a"}, now)
	suspect := membership.Member{ID: "other", DataCentre: "hall-a", State: membership.Suspect}
	m.Merge([]membership.Member{suspect}, now)
	qt.Assert(t, m.Heard("other", now), qt.DeepEquals, []membership.Action{{Kind: membership.ActionTell, To: "other", Member: suspect}})
}

// Guards against two processes with one id that outbid each other without pause, as an old instance and its replacement.
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

// Guards against suspicions that feed on themselves: while two groups of processes disagree about the ring, a member does
// not know all those that count it as neighbour. Each false death changes the ring again.
func TestDifferentViewsOfTheRingCauseNoSuspicion(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := membership.New(membership.Options{}, membership.Member{ID: "self", DataCentre: "hall-a"}, now)
	for i := range 20 {
		m.Merge([]membership.Member{{ID: fmt.Sprint("p", i), DataCentre: "hall-a", State: membership.Alive}}, now)
	}
	for range 60 {
		now = now.Add(step)
		for _, id := range m.Neighbours() { // those that self connects to answer; nobody connects to self
			m.Heard(id, now)
		}
		for _, a := range m.Tick(now) {
			qt.Assert(t, a.Kind, qt.Equals, membership.ActionHeartbeat)
		}
	}
}

// Guards against memory that grows with what peers send, and against members of other data centres in the ring.
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

// Guards against dead members that are kept, or passed around, for ever.
func TestDeadMembersAreForgotten(t *testing.T) {
	f := newFleet(4)
	f.advance(5 * time.Second)
	f.procs[f.ids[0]].m = nil
	f.advance(noticeBound + membership.DefaultForget + time.Minute)
	_, known := f.view(f.ids[1], f.ids[0])
	qt.Assert(t, known, qt.IsFalse)
	qt.Assert(t, f.procs[f.ids[1]].m.Merge([]membership.Member{
		{ID: f.ids[0], Incarnation: 1_000_000, DataCentre: "hall-a", State: membership.Dead},
	}, f.now), qt.HasLen, 0)
}

// Guards against a data centre in which nobody learns of the end of a drain because every member is drained, and against
// leaving members that watch while others can.
func TestLeavingMembersWatchOnlyAlone(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := membership.New(membership.Options{}, membership.Member{ID: "self", DataCentre: "hall-a"}, now)
	m.Announce(func(o *membership.Member) { o.State = membership.Leaving }, now)
	qt.Assert(t, m.Watchers(2), qt.DeepEquals, []string{"self"})
	m.Merge([]membership.Member{{ID: "other", DataCentre: "hall-a", State: membership.Alive}}, now)
	qt.Assert(t, m.Watchers(2), qt.DeepEquals, []string{"other"})
}
