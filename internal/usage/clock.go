package usage

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxClockSamples is the number of statements kept of each peer. The least delayed of them is used, so a burst of delayed messages
	// up to this length does not move the estimate.
	maxClockSamples = 8
	// clockSampleLifetime is how long a peer's statements are used after its last one. It is several times the longest clockInterval.
	clockSampleLifetime = time.Minute
	// minClockPeers is the number of peers from which the median is used: with fewer, one faulty peer would decide.
	minClockPeers = 3
	// maxClockPeers bounds the peers whose statements are kept.
	maxClockPeers = 1024
	// minCorrection is the smallest change of the estimate. Message delays vary by some milliseconds, and an estimate that is off by
	// this much moves 0.4% of a window of 5 s to the next one.
	minCorrection = 20 * time.Millisecond
)

// ReadClocks returns the time of day and the time since boot, which includes the time in which the machine was suspended.
func ReadClocks() (now time.Time, boot time.Duration) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		ts = unix.NsecToTimespec(time.Now().UnixNano()) // unreachable: every supported kernel has this clock
	}
	return time.Now(), time.Duration(ts.Nano())
}

// Clock estimates true time. It follows the clock since boot, not the time of day, which may jump. It is safe for concurrent use.
type Clock struct {
	read     func() (now time.Time, boot time.Duration)
	estimate atomic.Int64 // offsets.estimate

	mu      sync.Mutex
	offsets clockOffsets
}

// NewClock returns a Clock that reads the time of day and the time since boot by read; see ReadClocks.
func NewClock(read func() (now time.Time, boot time.Duration)) *Clock {
	now, boot := read()
	c := &Clock{read: read, offsets: newClockOffsets(now, boot)}
	c.estimate.Store(int64(c.offsets.estimate))
	return c
}

// Now returns the true time at now, a time that this process has read. Jumps of the time of day have no influence if now has a
// monotonic reading.
func (c *Clock) Now(now time.Time) time.Time {
	present, boot := c.read()
	return time.Unix(0, c.estimate.Load()+int64(boot)+int64(now.Sub(present)))
}

// stated returns the present true time by the offset measured at the start, for the peers. The corrected estimate is not stated: entries
// that adjust to each other's corrections would drift together.
func (c *Clock) stated() time.Time {
	_, boot := c.read()
	return time.Unix(0, int64(c.offsets.own+boot))
}

// heard records what a process of a peer has stated.
func (c *Clock) heard(peer string, incarnation uint64, stated time.Time) {
	_, boot := c.read()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offsets.heard(boot, peer, incarnation, time.Duration(stated.UnixNano()))
}

// correct adopts the median of the offsets. It returns the change of the estimate, which is 0 mostly, and the number of peers.
func (c *Clock) correct() (change time.Duration, peers int) {
	_, boot := c.read()
	c.mu.Lock()
	defer c.mu.Unlock()
	change, peers = c.offsets.correct(boot)
	c.estimate.Store(int64(c.offsets.estimate))
	return change, peers
}

// clockOffsets are differences between true time since 1970 and the boot clock of this process, as this process and its peers state them.
type clockOffsets struct {
	own      time.Duration // measured at the start; does not change
	estimate time.Duration // in use
	peers    map[string]*peerClock
}

// peerClock is what a peer has stated.
type peerClock struct {
	incarnation uint64
	samples     []time.Duration // the last offsets; each is too small by the delay of its message
	heardAt     time.Duration   // boot clock of this process
}

func newClockOffsets(now time.Time, boot time.Duration) clockOffsets {
	own := time.Duration(now.UnixNano()) - boot
	return clockOffsets{own: own, estimate: own, peers: make(map[string]*peerClock)}
}

// heard records the true time since 1970 that a process of a peer has stated in a message that arrived at boot.
func (o *clockOffsets) heard(boot time.Duration, peer string, incarnation uint64, stated time.Duration) {
	p := o.peers[peer]
	if p == nil {
		if len(o.peers) >= maxClockPeers {
			return
		}
		p = &peerClock{}
		o.peers[peer] = p
	}
	if p.incarnation != incarnation {
		*p = peerClock{incarnation: incarnation} // a new process has measured another offset
	}
	if len(p.samples) == maxClockSamples {
		p.samples = slices.Delete(p.samples, 0, 1)
	}
	p.samples, p.heardAt = append(p.samples, stated-boot), boot
}

// correct sets the estimate to the median of the own offset and those of the peers that were heard lately. With fewer than minClockPeers
// of them, or a change below minCorrection, it keeps the estimate that it has.
func (o *clockOffsets) correct(boot time.Duration) (change time.Duration, peers int) {
	offsets := []time.Duration{o.own}
	for name, p := range o.peers {
		if boot-p.heardAt > clockSampleLifetime {
			delete(o.peers, name)
			continue
		}
		offsets = append(offsets, slices.Max(p.samples))
	}
	peers = len(offsets) - 1
	if peers < minClockPeers {
		return 0, peers
	}
	slices.Sort(offsets)
	low, high := offsets[(len(offsets)-1)/2], offsets[len(offsets)/2]
	change = low + (high-low)/2 - o.estimate
	if change.Abs() < minCorrection {
		return 0, peers
	}
	o.estimate += change
	return change, peers
}
