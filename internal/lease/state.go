package lease

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// validShare is the share of the lease duration, counted from the last renewal, in which the holder may act.
	// The holder sends orders to engines directly after a renewal.
	validShare = 0.6
	// takeoverMargin covers acts in flight and the latency of the store.
	takeoverMargin = 700 * time.Millisecond
	// releasePauses is the number of lease durations for which an entry that released the lease does not acquire it again.
	releasePauses = 2
)

// state decides when this entry may act as the holder of the lease. Its times must come from a clock that keeps running while
// the machine is suspended. It is not safe for concurrent use.
//
// The store may come back from an older copy, which begins a new era. The copy can name a holder that has since been
// succeeded, or none, while the last holder goes on until it notices. What the copy says is therefore no authority: in a new
// era the lease is free only after all that earlier holders may still do.
type state struct {
	self     string
	duration time.Duration
	// quietUntil is the end of the time in which this entry does not acquire a lease that was released. It begins with a duration after
	// the start of the process, because an earlier process of this name may have released the lease directly before.
	quietUntil time.Duration

	observed   bool
	era        uint64 // in which the lease was last read or written
	version    uint64 // newest version read or written; 0 if the object does not exist
	holder     string
	writtenIn  uint64        // era in which the holder wrote the lease, by its own record
	released   bool          // the holder acts no more
	observedAt time.Duration // when version was first read or written, or the lease first read in era

	term      uint64        // version at which this entry acquired the lease; 0 if it does not hold it
	tenure    uint64        // first of the terms since which no other entry can have held the lease
	continues bool          // the acquisition in progress goes on with tenure
	renewed   bool          // there was a successful renewal
	renewedAt time.Duration // when the last successful renewal was sent
}

// newState returns the state of an entry whose process starts now.
func newState(self string, duration, now time.Duration) state {
	return state{self: self, duration: duration, quietUntil: now + releasePauses*duration}
}

// observe records the lease as read from the store in an era; version 0 means that the object does not exist.
func (l *state) observe(now time.Duration, era, version uint64, holder string, writtenIn uint64, released bool) {
	if era < l.era {
		return
	}
	if l.observed && era == l.era && version <= l.version {
		return // unchanged, or a stale read
	}
	l.observed, l.era, l.version, l.holder, l.writtenIn, l.observedAt = true, era, version, holder, writtenIn, now
	l.released = released
	if holder != l.self {
		l.term = 0
	}
}

// canAcquire reports whether this entry may try to acquire the lease: no lease ever existed, this entry was the last holder, the
// last holder has released it, or has not renewed it for long enough.
func (l *state) canAcquire(now time.Duration) bool {
	if !l.observed || l.term != 0 {
		return false
	}
	// The holder may act for its validity time. For one lease duration after that, nobody may.
	idle := l.validity() + l.duration
	l.continues = l.renewed && now-l.renewedAt <= idle
	switch {
	case l.released && now < l.quietUntil && l.holder == l.self:
		return false
	case l.released && l.version > 0 && l.writtenIn == l.era && now >= l.quietUntil:
		return true
	case l.version == 0 && l.era == 0:
		return true // the store has never come back from a copy, so the lease was never held
	case l.holder == l.self && l.version > 0 && l.writtenIn == l.era:
		return true
	case l.continues:
		return true // nobody can have acquired the lease since the last renewal, whatever the store has lost
	}
	return now-l.observedAt > idle+takeoverMargin
}

// recordWrite records that this entry's acquisition or renewal, sent at the given time, was stored as version.
func (l *state) recordWrite(sent time.Duration, version uint64) {
	if l.term == 0 {
		l.term = version
		if !l.continues {
			l.tenure = version
		}
	}
	l.era = fighollow.VersionEra(version)
	l.observed, l.version, l.holder, l.writtenIn, l.observedAt = true, version, l.self, l.era, sent
	l.released, l.renewed, l.renewedAt = false, true, sent
}

// recordRelease records that this entry sends the release of the lease now, whatever becomes of the write. It must not act after that.
func (l *state) recordRelease(now time.Duration) {
	l.markLost()
	l.renewed = false // another entry may acquire the lease at once
	l.released, l.quietUntil = true, now+releasePauses*l.duration
}

// markLost records that this entry no longer holds the lease, or cannot tell whether it does. The lease has to be read
// again.
func (l *state) markLost() {
	l.term, l.observed = 0, false
}

// fence returns the fencing token for an act that ends at now, when era is the newest one known of the store. It reports false
// when this entry may not act then.
func (l *state) fence(now time.Duration, era uint64) (uint64, bool) {
	return l.term, l.term != 0 && era == l.era && now-l.renewedAt < l.validity()
}

// validity returns how long after a renewal the holder may act.
func (l *state) validity() time.Duration { return time.Duration(validShare * float64(l.duration)) }
