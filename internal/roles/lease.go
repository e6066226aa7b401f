package roles

import "time"

const (
	// validShare is the share of the lease duration, counted from the last renewal, in which the holder may send orders.
	// The holder sends its orders directly after a renewal.
	validShare = 0.6
	// takeoverMargin covers orders in flight and the latency of the store.
	takeoverMargin = 700 * time.Millisecond
)

// lease decides when this entry may send orders to engines. Its times must come from a clock that keeps running while
// the machine is suspended. It is not safe for concurrent use.
type lease struct {
	self     string
	duration time.Duration

	version    uint64 // newest version read or written; 0 if the object does not exist
	holder     string
	observedAt time.Duration // when version was first read or written
	observed   bool

	term      uint64        // version at which this entry acquired the lease; 0 if it does not hold it
	renewedAt time.Duration // when the last successful renewal was sent
}

// observe records the lease as read from the store; version 0 means that the object does not exist.
func (l *lease) observe(now time.Duration, version uint64, holder string) {
	if l.observed && version == l.version {
		return
	}
	if l.observed && version < l.version {
		return // a stale read
	}
	l.observed, l.version, l.holder, l.observedAt = true, version, holder, now
	if holder != l.self {
		l.term = 0
	}
}

// canAcquire reports whether this entry may try to acquire the lease: no lease exists, this entry was the last
// holder, or the holder has not renewed it for long enough.
func (l *lease) canAcquire(now time.Duration) bool {
	if !l.observed || l.term != 0 {
		return false
	}
	if l.version == 0 || l.holder == l.self {
		return true
	}
	// The holder may send orders for its validity time. For one lease duration after that, nobody may.
	return now-l.observedAt > l.validity()+l.duration+takeoverMargin
}

// recordWrite records that this entry's acquisition or renewal, sent at the given time, was stored as version.
func (l *lease) recordWrite(sent time.Duration, version uint64) {
	if l.term == 0 {
		l.term = version
	}
	l.observed, l.version, l.holder, l.observedAt, l.renewedAt = true, version, l.self, sent, sent
}

// markLost records that this entry no longer holds the lease, or cannot tell whether it does. The lease has to be read
// again.
func (l *lease) markLost() {
	l.term, l.observed = 0, false
}

// fence returns the fencing token for an order sent at now. It reports false when this entry may not send orders then.
func (l *lease) fence(now time.Duration) (uint64, bool) {
	return l.term, l.term != 0 && now-l.renewedAt < l.validity()
}

// validity returns how long after a renewal the holder may send orders.
func (l *lease) validity() time.Duration { return time.Duration(validShare * float64(l.duration)) }
