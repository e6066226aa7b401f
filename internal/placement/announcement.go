package placement

import (
	"errors"
	"sync"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// ErrPaused is returned when only the pauses that upstreams have asked for prevent an attempt.
var ErrPaused = errors.New("placement: all upstreams have asked for a pause")

const (
	// maxPause bounds a pause. Starts and role changes of engines take seconds to a minute, so that a longer one is taken for a
	// mistake. With maxTrials, a pause of up to twice this length gets no more than the two requests that the platform allows.
	maxPause = 5 * time.Minute
	// maxTrials is the number of attempts in flight at an upstream after a pause until one of them has succeeded.
	maxTrials = 2
	// trialReturn is when a caller may come back while the attempts after a pause are in flight.
	trialReturn = 200 * time.Millisecond
	// pauseReturnStep is the time between two callers that come back after a pause, and pauseReturnSpread the time within which
	// they do. A service gets some hundred requests a second from one entry.
	pauseReturnStep   = 10 * time.Millisecond
	pauseReturnSpread = 2 * time.Second
	// maxRemembered bounds the announcements that are remembered of upstreams that the store may have dropped, at some 100 bytes
	// each. At least half as many of the newest ones are.
	maxRemembered = 4096
)

// incarnation identifies one run of an upstream. What an upstream announces holds for that run.
type incarnation struct {
	id, address string
	started     int64 // Unix milliseconds
}

func incarnationOf(u fighollow.Upstream) incarnation {
	return incarnation{id: u.ID, address: u.Address, started: u.StartedMs}
}

// announced is what an incarnation of an upstream has announced.
type announced struct {
	leaving     bool
	pausedUntil time.Time // zero if it has not asked for a pause, or if an attempt has succeeded since
}

// announcements remembers what incarnations of upstreams have announced, as the store may drop an upstream and list it again. It
// is safe for concurrent use.
type announcements struct {
	mu            sync.Mutex
	newest, older map[incarnation]announced
}

func newAnnouncements() *announcements {
	return &announcements{newest: make(map[incarnation]announced)}
}

// of returns what an incarnation has announced.
func (m *announcements) of(inc incarnation) announced {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.load(inc)
}

// load is of with m.mu held.
func (m *announcements) load(inc incarnation) announced {
	if k, ok := m.newest[inc]; ok {
		return k
	}
	return m.older[inc]
}

// store stores what an incarnation has announced in all. m.mu must be held.
func (m *announcements) store(inc incarnation, k announced) {
	if len(m.newest) >= maxRemembered/2 {
		m.newest, m.older = make(map[incarnation]announced), m.newest
	}
	m.newest[inc] = k
}

// observe adds an announcement of an incarnation. It returns what the incarnation has announced in all, and what is new.
func (m *announcements) observe(inc incarnation, a fighollow.Announcement) (announced, AnnouncementChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.load(inc)
	var c AnnouncementChange
	if a.Leaving && !k.leaving {
		k.leaving, c.Leaving = true, true
	}
	// A shorter pause that is asked for later does not shorten one, as each answer binds by itself.
	if until := a.ReceivedAt.Add(min(a.Pause.Duration, maxPause)); a.Pause.Duration > 0 && until.After(k.pausedUntil) {
		k.pausedUntil, c.PausedUntil = until, until
	}
	if c != (AnnouncementChange{}) {
		m.store(inc, k)
	}
	return k, c
}

// remember keeps the announcements of an upstream that is dropped.
func (m *announcements) remember(now time.Time, inst *instance) {
	k := inst.announced
	if !k.leaving && !now.Before(k.pausedUntil) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store(incarnationOf(inst.upstream), k)
}

// AnnouncementChange is what an answer has announced that was not known.
type AnnouncementChange struct {
	Leaving     bool      // the upstream leaves
	PausedUntil time.Time // end of the pause that it has asked for; zero if there is no new one
}

// ObserveAnnouncement applies what the answer to an attempt announces, except for the request limit.
func (p *Pool) ObserveAnnouncement(a *Attempt, ann fighollow.Announcement) AnnouncementChange {
	a.paused = a.paused || ann.Pause.Duration > 0
	return p.observeAnnouncement(a.incarnation, ann)
}

func (p *Pool) observeAnnouncement(inc incarnation, ann fighollow.Announcement) AnnouncementChange {
	if !ann.Leaving && ann.Pause.Duration == 0 {
		return AnnouncementChange{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	k, c := p.announcements.observe(inc, ann)
	if inst := p.current(inc); inst != nil {
		inst.announced = k
	}
	return c
}

// current returns the instance of an incarnation; nil if it is not listed, or if the upstream has started again since.
// p.mu must be held.
func (p *Pool) current(inc incarnation) *instance {
	if inst := p.instances[inc.id]; inst != nil && incarnationOf(inst.upstream) == inc {
		return inst
	}
	return nil
}

// ObserveControl applies what the answer of the control API of an upstream announces, except for the request limit.
func (f *Fleet) ObserveControl(u fighollow.Upstream, ann fighollow.Announcement) AnnouncementChange {
	return f.Pool(u.Service).observeAnnouncement(incarnationOf(u), ann)
}

// IsCurrent reports whether an upstream has not started again since u was read.
func (f *Fleet) IsCurrent(u fighollow.Upstream) bool {
	p := f.Pool(u.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current(incarnationOf(u)) != nil
}

// IsPaused reports whether an upstream has asked for a pause that has not ended.
func (f *Fleet) IsPaused(now time.Time, u fighollow.Upstream) bool {
	return now.Before(f.announcements.of(incarnationOf(u)).pausedUntil)
}

// isLeaving reports whether the upstream takes no new work, by the store or by its own word.
func (inst *instance) isLeaving() bool { return inst.upstream.Draining || inst.announced.leaving }

// isRecovering reports whether a pause of the upstream has ended and no attempt has succeeded since.
func (inst *instance) isRecovering(now time.Time) bool {
	return !inst.announced.pausedUntil.IsZero() && !now.Before(inst.announced.pausedUntil)
}

// isPaused reports whether the upstream takes no attempt because of a pause, or of the attempts in flight after one.
func (inst *instance) isPaused(now time.Time) bool {
	return now.Before(inst.announced.pausedUntil) || inst.trials >= maxTrials && inst.isRecovering(now)
}

// recordTrial records an attempt that is placed at a recovering upstream.
func (inst *instance) recordTrial(now time.Time) bool {
	if !inst.isRecovering(now) {
		return false
	}
	inst.trials++
	return true
}

// endPause records that an attempt has succeeded. One that was sent before the end of the pause does not count.
func (inst *instance) endPause(a *Attempt) {
	if inst.isRecovering(a.SentAt) {
		inst.announced.pausedUntil = time.Time{}
	}
}

// pauseWait returns the time until the first upstream takes an attempt, if pauses are all that prevents one. Upstreams that the
// request has tried count, as its caller may come back with it. p.mu must be held.
func (p *Pool) pauseWait(now time.Time, q Query) (time.Duration, bool) {
	q.Tried = nil
	var wait time.Duration
	paused := false
	for _, inst := range p.instances {
		if !p.isCandidate(now, inst, q, true) {
			continue
		}
		if !inst.isPaused(now) {
			return 0, false
		}
		until := max(trialReturn, inst.announced.pausedUntil.Sub(now))
		if !paused || until < wait {
			wait, paused = until, true
		}
	}
	return wait, paused
}

// pauseReturnDelay returns when a caller may come back if all upstreams are paused for wait. Callers are given different times, so
// that they do not come back together. p.mu must be held.
func (p *Pool) pauseReturnDelay(now time.Time, wait time.Duration) time.Duration {
	first := now.Add(wait)
	at := p.lastPauseReturn.Add(pauseReturnStep)
	if at.Before(first) || at.After(first.Add(pauseReturnSpread)) {
		at = first
	}
	p.lastPauseReturn = at
	return at.Sub(now)
}
