package gateway

import "time"

const (
	// blockedWrite is the shortest write that was blocked by a caller that does not read. Shorter ones may have waited for the processor.
	blockedWrite = 50 * time.Millisecond
	// slowCallerTime is how long writes to the caller are blocked, in readingPeriod, from which on an answer that breaks off is not the
	// upstream's failure: engines abort answers that stay unread for some seconds.
	slowCallerTime = time.Second
	// readingPeriod is longer than the time after which engines abort. What they sent before may still be read and written after it.
	readingPeriod = 10 * time.Second
)

// reading tells how a caller reads its answer. The zero value is that of a caller to whom nothing was written.
type reading struct {
	periodStart       time.Time
	current, previous time.Duration // for which writes were blocked that ended in this period and in the one before
}

// wrote records a write to the caller.
func (r *reading) wrote(began, ended time.Time) {
	if blocked := ended.Sub(began); blocked >= blockedWrite {
		r.advance(ended)
		r.current += blocked
	}
}

// isSlow reports whether the caller has read so slowly in the last one or two periods that its upstream may have aborted the answer.
func (r *reading) isSlow(now time.Time) bool {
	r.advance(now)
	return r.current+r.previous >= slowCallerTime
}

func (r *reading) advance(now time.Time) {
	switch since := now.Sub(r.periodStart); {
	case since >= 2*readingPeriod:
		r.previous, r.current, r.periodStart = 0, 0, now
	case since >= readingPeriod:
		r.previous, r.current, r.periodStart = r.current, 0, now
	}
}
