package membership

import (
	"sort"
	"time"
)

// Defaults of Options.
const (
	DefaultHeartbeatInterval = 2 * time.Second
	DefaultSuspectAfter      = 5 * time.Second
	DefaultRefuteWithin      = 4 * time.Second
	DefaultProbeInterval     = 5 * time.Second
	DefaultForgetAfter       = 10 * time.Minute
	DefaultMaxMembers        = 4096
	maxTextBytes             = 256 // of a text field of a member
	// maxSuspectFactor bounds the extension of SuspectAfter for a member that repeatedly refutes this process's suspicions.
	maxSuspectFactor = 8
)

// Options configures a Machine. The zero value of a field selects its default.
type Options struct {
	HeartbeatInterval time.Duration // interval of heartbeats to a neighbour; default 2 s
	SuspectAfter      time.Duration // time without a heartbeat after which a neighbour is suspected; default 5 s
	RefuteWithin      time.Duration // time from suspicion until a member is declared dead; default 4 s
	ProbeInterval     time.Duration // interval of attempts to reach one of the dead members; default 5 s
	ForgetAfter       time.Duration // time after which a dead member is removed; default 10 min
	MaxMembers        int           // other members, including dead ones; further ones are ignored; default 4,096
}

func (o Options) withDefaults() Options {
	setDefault := func(d *time.Duration, def time.Duration) {
		if *d <= 0 {
			*d = def
		}
	}
	setDefault(&o.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&o.SuspectAfter, DefaultSuspectAfter)
	setDefault(&o.RefuteWithin, DefaultRefuteWithin)
	setDefault(&o.ProbeInterval, DefaultProbeInterval)
	setDefault(&o.ForgetAfter, DefaultForgetAfter)
	if o.MaxMembers <= 0 {
		o.MaxMembers = DefaultMaxMembers
	}
	return o
}

// record is a member with this process's observations of it.
type record struct {
	Member
	stateSince    time.Time // when this process learned of the current state, or resumed after a pause
	lastHeard     time.Time // time of the last heartbeat, or when the member became a neighbour
	suspectFactor int       // multiplies SuspectAfter; doubled when this process's suspicion is refuted, 1 after a heartbeat
	suspectedHere bool      // the current suspicion was raised by this process
}

// Machine is the state machine of the membership in the view of one process. It uses no clock and no network: its
// methods take an event and the current time, and return the actions for the driver. It is not safe for concurrent use.
type Machine struct {
	opts          Options
	self          Member
	members       map[string]*record // all but self
	ring          []string           // ids of members that are not dead, self included, in ring order
	outgoing      []string           // neighbours that this process connects to
	neighbours    map[string]bool    // neighbours in both directions
	monitored     map[string]bool    // the members in outgoing, which are suspected when they are silent
	sum           uint64
	memberList    []Member // cached result of Members; nil after a change
	lastTick      time.Time
	lastHeartbeat time.Time
	lastProbe     time.Time
	lastRefute    time.Time
	probes        int
}

// New returns a Machine whose only member is self.
func New(opts Options, self Member, now time.Time) *Machine {
	if self.State != Leaving {
		self.State = Alive
	}
	m := &Machine{opts: opts.withDefaults(), self: self, members: make(map[string]*record), lastTick: now, lastProbe: now}
	m.rebuildRing(now)
	return m
}

// Self returns the description that this process announces of itself.
func (m *Machine) Self() Member { return m.self }

// Sum returns an order-independent hash of all members that are not dead. Processes with equal sums have the same
// members.
func (m *Machine) Sum() uint64 { return m.sum }

// Members returns all members, including this process and dead ones, sorted by id. The slice is cached until the next
// change, so that calls are cheap: the caller must not modify it, and the Machine does not modify it later.
func (m *Machine) Members() []Member {
	if m.memberList != nil {
		return m.memberList
	}
	m.memberList = append(make([]Member, 0, len(m.members)+1), m.self)
	for _, r := range m.members {
		m.memberList = append(m.memberList, r.Member)
	}
	sort.Slice(m.memberList, func(i, j int) bool { return m.memberList[i].ID < m.memberList[j].ID })
	return m.memberList
}

// Get returns the member with an id, which may be this process. ok is false when there is none.
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

// Tick checks all timeouts and returns the actions that are due. Call it several times per heartbeat interval.
func (m *Machine) Tick(now time.Time) []Action {
	m.resetAfterPause(now)
	var out []Action
	out = m.checkTimeouts(out, now)
	if now.Sub(m.lastHeartbeat) >= m.opts.HeartbeatInterval {
		m.lastHeartbeat = now
		out = append(out, Action{Kind: ActionHeartbeat})
	}
	if now.Sub(m.lastProbe) >= m.opts.ProbeInterval {
		m.lastProbe = now
		out = m.probe(out)
	}
	return out
}

// resetAfterPause restarts the timers of all members when this process itself was paused, since it could not receive
// heartbeats then.
func (m *Machine) resetAfterPause(now time.Time) {
	gap := now.Sub(m.lastTick)
	m.lastTick = now
	if gap < m.opts.HeartbeatInterval {
		return
	}
	for _, r := range m.members {
		r.lastHeard = now
		if r.State == Suspect {
			r.stateSince = now
		}
	}
}

// checkTimeouts suspects silent neighbours, declares suspected members dead that did not refute in time, and removes
// members that have been dead for Options.ForgetAfter.
func (m *Machine) checkTimeouts(out []Action, now time.Time) []Action {
	changed := false
	for id, r := range m.members {
		switch {
		case r.State == Dead:
			if now.Sub(r.stateSince) >= m.opts.ForgetAfter {
				delete(m.members, id)
				changed = true
			}
		case r.State == Suspect:
			if now.Sub(r.stateSince) >= m.opts.RefuteWithin {
				r.State, r.stateSince, changed = Dead, now, true
				out = append(out, Action{Kind: ActionDead, Member: r.Member})
			}
		case m.monitored[id] && now.Sub(r.lastHeard) >= m.opts.SuspectAfter*time.Duration(r.suspectFactor):
			r.State, r.stateSince, r.suspectedHere, changed = Suspect, now, true, true
			out = append(out, Action{Kind: ActionSuspect, Member: r.Member})
		}
	}
	if changed {
		m.rebuildRing(now)
	}
	return out
}

// probe requests an attempt to reach a dead member, in round-robin order.
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
	m.probes++
	return append(out, Action{Kind: ActionProbe, To: dead[m.probes%len(dead)]})
}

// HandleHeartbeat processes a heartbeat from a member. Heartbeats from unknown members are ignored; those become members
// by an exchange of members.
func (m *Machine) HandleHeartbeat(id string, now time.Time) []Action {
	r, ok := m.members[id]
	if !ok {
		return nil
	}
	r.lastHeard, r.suspectFactor = now, 1
	if r.State == Suspect || r.State == Dead {
		return []Action{{Kind: ActionNotify, To: id, Member: r.Member}}
	}
	return nil
}

// Announce changes this process's description of itself: Role, Model, ModelVersion, StoreUnreachable and State; other
// changes are ignored. A leaving process that sets State to Alive, for example because the operator has ended its drain,
// gets a higher incarnation, which supersedes the views of other members.
func (m *Machine) Announce(change func(m *Member), now time.Time) []Action {
	next := m.self
	change(&next)
	m.self.Role, m.self.Model, m.self.ModelVersion, m.self.StoreUnreachable = next.Role, next.Model, next.ModelVersion, next.StoreUnreachable
	switch {
	case next.State == Leaving:
		m.self.State = Leaving
	case next.State == Alive && m.self.State == Leaving:
		m.self.State = Alive
		m.self.Incarnation++
	}
	m.self.MetaVersion++
	m.rebuildRing(now)
	return []Action{{Kind: ActionChange, Member: m.self}}
}

// Merge merges the members received from another process, and returns actions for those that were new or changed.
// Members of other data centres and malformed ones are ignored.
func (m *Machine) Merge(updates []Member, now time.Time) []Action {
	var out []Action
	for _, u := range updates {
		if !m.valid(u) {
			continue
		}
		if u.ID == m.self.ID {
			out = m.refute(out, u, now)
			continue
		}
		out = m.mergeMember(out, u, now)
	}
	if len(out) > 0 {
		m.rebuildRing(now)
	}
	return out
}

func (m *Machine) valid(u Member) bool {
	switch u.State {
	case Alive, Suspect, Dead, Leaving:
	default:
		return false
	}
	for _, s := range []string{u.ID, u.Link, u.Service, u.Model, u.ModelVersion, string(u.Role), string(u.Kind)} {
		if len(s) > maxTextBytes {
			return false
		}
	}
	return u.ID != "" && u.DataCentre == m.self.DataCentre
}

// refute raises this process's incarnation above that of an update about it that would supersede its own description.
// It does so at most twice per heartbeat interval, because two processes with the same id would otherwise raise their
// incarnations as fast as messages travel. A suspicion that is not refuted for this reason arrives again with
// heartbeats and exchanges.
func (m *Machine) refute(out []Action, u Member, now time.Time) []Action {
	stale := u.Incarnation < m.self.Incarnation ||
		u.Incarnation == m.self.Incarnation && precedence(u.State) <= precedence(m.self.State) && u.MetaVersion <= m.self.MetaVersion
	if stale || now.Sub(m.lastRefute) < m.opts.HeartbeatInterval/2 {
		return out
	}
	m.lastRefute = now
	m.self.Incarnation = u.Incarnation + 1
	m.self.MetaVersion = max(m.self.MetaVersion, u.MetaVersion)
	return append(out, Action{Kind: ActionRefute, Member: m.self})
}

func (m *Machine) mergeMember(out []Action, u Member, now time.Time) []Action {
	r, ok := m.members[u.ID]
	if !ok {
		// A dead member that is unknown here has been removed already; adding it again would keep it for ever.
		if u.State == Dead || len(m.members) >= m.opts.MaxMembers {
			return out
		}
		m.members[u.ID] = &record{Member: u, stateSince: now, lastHeard: now, suspectFactor: 1}
		return append(out, Action{Kind: ActionChange, Member: u})
	}
	if !Newer(u, r.Member) {
		return out
	}
	if r.State == Suspect && r.suspectedHere && u.Incarnation > r.Incarnation {
		r.suspectFactor = min(2*r.suspectFactor, maxSuspectFactor)
	}
	if u.State != r.State || u.Incarnation != r.Incarnation {
		r.stateSince, r.suspectedHere = now, false
	}
	if r.State == Suspect || r.State == Dead {
		r.lastHeard = now
	}
	r.Member = u
	return append(out, Action{Kind: ActionChange, Member: u})
}
