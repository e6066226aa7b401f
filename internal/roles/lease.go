package roles

import "time"

const (
	// holdShare is the part of the lease time for which its holder orders after a renewal. It orders right after one.
	holdShare = 0.6
	// takeoverMargin covers orders on their way and the store's answer times.
	takeoverMargin = 700 * time.Millisecond
)

// lease decides when this entry may order engines. Its times come from a clock that goes on while the machine is
// suspended. It is not safe for concurrent use.
type lease struct {
	self     string
	duration time.Duration

	version uint64 // newest version seen; 0: none exists
	holder  string
	since   time.Duration // when version was first seen
	seen    bool

	term    uint64        // version at which this entry took the lease; 0: it does not hold it
	renewed time.Duration // when the last renewal that succeeded was sent
}

// observed takes the lease as the store has it; version 0 says that there is none.
func (l *lease) observed(now time.Duration, version uint64, holder string) {
	if l.seen && version == l.version {
		return
	}
	if l.seen && version < l.version {
		return // an older answer
	}
	l.seen, l.version, l.holder, l.since = true, version, holder, now
	if holder != l.self {
		l.term = 0
	}
}

// mayClaim reports whether this entry may try to take the lease: it is free, this machine held it before, or its holder
// has not renewed it for long enough.
func (l *lease) mayClaim(now time.Duration) bool {
	if !l.seen || l.term != 0 {
		return false
	}
	if l.version == 0 || l.holder == l.self {
		return true
	}
	// Its holder may still order for one span, and no other may for another.
	return now-l.since > l.hold()+l.duration+takeoverMargin
}

// written notes that this entry's claim or renewal, sent at a time, was stored as version.
func (l *lease) written(sent time.Duration, version uint64) {
	if l.term == 0 {
		l.term = version
	}
	l.seen, l.version, l.holder, l.since, l.renewed = true, version, l.self, sent, sent
}

// lost notes that another writer has changed the lease.
func (l *lease) lost() {
	l.term, l.seen = 0, false
}

// fence returns the fencing token for an order that is sent now; it reports false when this entry may send none.
func (l *lease) fence(now time.Duration) (uint64, bool) {
	return l.term, l.term != 0 && now-l.renewed < l.hold()
}

// hold returns how long after a renewal the holder may send orders.
func (l *lease) hold() time.Duration { return time.Duration(holdShare * float64(l.duration)) }
