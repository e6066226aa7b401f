package gateway

import "time"

const (
	// eraListSpread is the time over which the entries list again when they see a new era: the calls of several hundred entries
	// stay within the store's rate, and a configuration that is written at once is in force in time.
	eraListSpread = 300 * time.Millisecond
	// eraSettleTime is how long after the store's return objects that are absent from it may still be written again.
	eraSettleTime = 2500 * time.Millisecond
	// eraTrustMargin is how long after the fleet believes the store's objects again the last list is made.
	eraTrustMargin = 500 * time.Millisecond
)

// eraSync decides when to list a kind again after the store came back from an older copy. A new one has seen no list.
type eraSync struct {
	trustTime time.Duration // after which an object of the copy that its owner no longer renews has been removed
	known     bool
	era       uint64
	due       []time.Time // lists still to be made
	until     time.Time   // until when lists may lack objects
}

// listed records a list that was read in an era. newEra reports whether it is the first one after a return of the store, and
// settling whether objects may be absent from it that are written again.
func (s *eraSync) listed(now time.Time, era uint64) (newEra, settling bool) {
	newEra = s.known && era > s.era
	s.known, s.era = true, era
	if newEra {
		s.until = now.Add(eraSettleTime)
		s.due = []time.Time{s.until, now.Add(s.trustTime)}
	}
	for len(s.due) > 0 && !now.Before(s.due[0]) {
		s.due = s.due[1:]
	}
	return newEra, now.Before(s.until)
}

// nextList returns when the next list is due; zero if none is.
func (s *eraSync) nextList() time.Time {
	if len(s.due) == 0 {
		return time.Time{}
	}
	return s.due[0]
}
