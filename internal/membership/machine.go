package membership

import (
	"sort"
	"time"
)

// Defaults of Options.
const (
	DefaultHeartbeat    = 2 * time.Second
	DefaultSilence      = 5 * time.Second
	DefaultRefuteWithin = 4 * time.Second
	DefaultProbe        = 5 * time.Second
	DefaultForget       = 10 * time.Minute
	DefaultMaxMembers   = 4096
	maxText             = 256 // bytes of a text field of a member
	// maxSilenceFactor bounds how much longer a member is trusted that keeps refuting this process's suspicions.
	maxSilenceFactor = 8
)

// Options adjust a Machine; the zero value means the defaults.
type Options struct {
	Heartbeat    time.Duration // between heartbeats to a neighbour; default 2 s
	Silence      time.Duration // of a neighbour, after which it is suspected; default 5 s
	RefuteWithin time.Duration // from suspicion to death; default 4 s
	Probe        time.Duration // between attempts to reach one of the dead members; default 5 s
	Forget       time.Duration // from death until the member is forgotten; default 10 min
	MaxMembers   int           // known members, dead ones included; further ones are ignored; default 4,096
}

func (o Options) withDefaults() Options {
	set := func(d *time.Duration, def time.Duration) {
		if *d <= 0 {
			*d = def
		}
	}
	set(&o.Heartbeat, DefaultHeartbeat)
	set(&o.Silence, DefaultSilence)
	set(&o.RefuteWithin, DefaultRefuteWithin)
	set(&o.Probe, DefaultProbe)
	set(&o.Forget, DefaultForget)
	if o.MaxMembers <= 0 {
		o.MaxMembers = DefaultMaxMembers
	}
	return o
}

// record is a member with what this process observes of it.
type record struct {
	Member
	since  time.Time // of the present state as known here
	heard  time.Time // last heartbeat, or when the member became a neighbour
	factor int       // multiplies Silence: doubled by each refuted suspicion of this process, until a heartbeat arrives
	own    bool      // the present suspicion is this process's own
}

// Machine is the membership as one process sees it. It uses no clock and no network: each method takes the present time
// and what happened, and returns what to do. It is not safe for concurrent use.
type Machine struct {
	opts       Options
	self       Member
	members    map[string]*record // all but self
	ring       []string           // ids of members that are not dead, self included, in ring order
	dial       []string           // neighbours that this process connects to
	near       map[string]bool    // neighbours in both directions
	sum        uint64
	list       []Member // answer of Members; nil after a change
	lastTick   time.Time
	lastBeat   time.Time
	lastTry    time.Time
	lastRefute time.Time
	tries      int
}

// New returns a Machine that knows only self.
func New(opts Options, self Member, now time.Time) *Machine {
	if self.State != Leaving {
		self.State = Alive
	}
	m := &Machine{opts: opts.withDefaults(), self: self, members: make(map[string]*record), lastTick: now, lastTry: now}
	m.arrange(now)
	return m
}

// Self returns this process as it describes itself.
func (m *Machine) Self() Member { return m.self }

// Sum returns an order-independent hash of all members that are not dead. Equal sums mean equal members.
func (m *Machine) Sum() uint64 { return m.sum }

// Members returns all known members, this process included, in the order of their ids. The slice is not changed later and
// must not be changed by the caller, so that a call is cheap while nothing happens.
func (m *Machine) Members() []Member {
	if m.list != nil {
		return m.list
	}
	m.list = append(make([]Member, 0, len(m.members)+1), m.self)
	for _, r := range m.members {
		m.list = append(m.list, r.Member)
	}
	sort.Slice(m.list, func(i, j int) bool { return m.list[i].ID < m.list[j].ID })
	return m.list
}

// Get returns a known member.
func (m *Machine) Get(id string) (Member, bool) {
	if id == m.self.ID {
		return m.self, true
	}
	r, ok := m.members[id]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}

// Tick lets time pass; call it several times within a heartbeat's interval.
func (m *Machine) Tick(now time.Time) []Action {
	m.forgivePause(now)
	var out []Action
	out = m.judge(out, now)
	if now.Sub(m.lastBeat) >= m.opts.Heartbeat {
		m.lastBeat = now
		for id := range m.near {
			out = append(out, Action{Kind: ActionHeartbeat, To: id})
		}
	}
	if now.Sub(m.lastTry) >= m.opts.Probe {
		m.lastTry = now
		out = m.probe(out)
	}
	return out
}

// forgivePause restarts all timers when this process itself stood still: the silence was its own.
func (m *Machine) forgivePause(now time.Time) {
	gap := now.Sub(m.lastTick)
	m.lastTick = now
	if gap < m.opts.Heartbeat {
		return
	}
	for _, r := range m.members {
		r.heard = now
		if r.State == Suspect {
			r.since = now
		}
	}
}

// judge suspects silent neighbours, declares members dead that did not refute, and forgets those long dead.
func (m *Machine) judge(out []Action, now time.Time) []Action {
	changed := false
	for id, r := range m.members {
		switch {
		case r.State == Dead:
			if now.Sub(r.since) >= m.opts.Forget {
				delete(m.members, id)
				changed = true
			}
		case r.State == Suspect:
			if now.Sub(r.since) >= m.opts.RefuteWithin {
				r.State, r.since, changed = Dead, now, true
				out = append(out, Action{Kind: ActionDead, Member: r.Member})
			}
		case m.near[id] && now.Sub(r.heard) >= m.opts.Silence*time.Duration(r.factor):
			r.State, r.since, r.own, changed = Suspect, now, true, true
			out = append(out, Action{Kind: ActionSuspect, Member: r.Member})
		}
	}
	if changed {
		m.arrange(now)
	}
	return out
}

// probe picks one dead member in turn.
func (m *Machine) probe(out []Action) []Action {
	var dead []string
	for id, r := range m.members {
		if r.State == Dead {
			dead = append(dead, id)
		}
	}
	if len(dead) == 0 {
		return out
	}
	sort.Strings(dead)
	m.tries++
	return append(out, Action{Kind: ActionProbe, To: dead[m.tries%len(dead)]})
}

// Heard takes a heartbeat of a member. A member that is unknown here is learned by an exchange of members.
func (m *Machine) Heard(id string, now time.Time) []Action {
	r, ok := m.members[id]
	if !ok {
		return nil
	}
	r.heard, r.factor = now, 1
	if r.State == Suspect || r.State == Dead {
		return []Action{{Kind: ActionTell, To: id, Member: r.Member}}
	}
	return nil
}

// Announce changes what this process tells of itself. A process that was leaving and sets State to Alive, as after a
// drain that the operator took back, gets a higher incarnation, which overrides what others know.
func (m *Machine) Announce(change func(m *Member), now time.Time) []Action {
	next := m.self
	change(&next)
	m.self.Role, m.self.Model, m.self.ModelVersion, m.self.Blind = next.Role, next.Model, next.ModelVersion, next.Blind
	switch {
	case next.State == Leaving:
		m.self.State = Leaving
	case next.State == Alive && m.self.State == Leaving:
		m.self.State = Alive
		m.self.Incarnation++
	}
	m.self.Meta++
	m.arrange(now)
	return []Action{{Kind: ActionChange, Member: m.self}}
}

// Merge takes what another member knows and returns what was new. Members of other data centres are ignored.
func (m *Machine) Merge(updates []Member, now time.Time) []Action {
	var out []Action
	for _, u := range updates {
		if !m.acceptable(u) {
			continue
		}
		if u.ID == m.self.ID {
			out = m.refute(out, u, now)
			continue
		}
		out = m.take(out, u, now)
	}
	if len(out) > 0 {
		m.arrange(now)
	}
	return out
}

func (m *Machine) acceptable(u Member) bool {
	switch u.State {
	case Alive, Suspect, Dead, Leaving:
	default:
		return false
	}
	for _, s := range []string{u.ID, u.Link, u.Service, u.Model, u.ModelVersion, string(u.Role), string(u.Kind)} {
		if len(s) > maxText {
			return false
		}
	}
	return u.ID != "" && u.DataCentre == m.self.DataCentre
}

// refute raises the own incarnation above other word about this process. Two processes with the same id would otherwise
// outbid each other as fast as messages travel, so it does so at most twice in a heartbeat's interval; heartbeats and
// exchanges repeat a suspicion that is not answered.
func (m *Machine) refute(out []Action, u Member, now time.Time) []Action {
	behind := u.Incarnation < m.self.Incarnation ||
		u.Incarnation == m.self.Incarnation && rank(u.State) <= rank(m.self.State) && u.Meta <= m.self.Meta
	if behind || now.Sub(m.lastRefute) < m.opts.Heartbeat/2 {
		return out
	}
	m.lastRefute = now
	m.self.Incarnation = u.Incarnation + 1
	m.self.Meta = max(m.self.Meta, u.Meta)
	return append(out, Action{Kind: ActionRefute, Member: m.self})
}

func (m *Machine) take(out []Action, u Member, now time.Time) []Action {
	r, ok := m.members[u.ID]
	if !ok {
		// A dead member that is unknown here was forgotten; taking it back would keep it for ever.
		if u.State == Dead || len(m.members) >= m.opts.MaxMembers {
			return out
		}
		m.members[u.ID] = &record{Member: u, since: now, heard: now, factor: 1}
		return append(out, Action{Kind: ActionChange, Member: u})
	}
	if !Newer(u, r.Member) {
		return out
	}
	if r.State == Suspect && r.own && u.Incarnation > r.Incarnation {
		r.factor = min(2*r.factor, maxSilenceFactor)
	}
	if u.State != r.State || u.Incarnation != r.Incarnation {
		r.since, r.own = now, false
	}
	if r.State == Suspect || r.State == Dead {
		r.heard = now
	}
	r.Member = u
	return append(out, Action{Kind: ActionChange, Member: u})
}
