package routing

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// loadMemory is the time over which a report of other entries' load fades: an upstream that has not been asked for
	// this long counts as carrying this entry's requests only.
	loadMemory = 4 * time.Second
	// unknownSlots stands for the slots of an upstream that has not replied yet.
	unknownSlots = 8
	// firstServiceMs stands for the time of a request until one has finished.
	firstServiceMs = 1000
	serviceWeight  = 0.1 // of a new duration in the moving average
)

// estimate is what is believed of an upstream's load, learned from its replies.
type estimate struct {
	load      fighollow.Load
	at        time.Time // of load; zero: never
	others    float64   // requests of other entries when load was reported
	open      int       // requests of this entry
	openToken int       // prompt tokens sent by this entry and not yet computed
	serviceMs float64
}

func (s *estimate) report(now time.Time, l fighollow.Load) {
	if l.Slots <= 0 {
		return
	}
	s.load, s.at = l, now
	s.others = max(0, float64(l.Running+l.Queued-s.open))
}

// evicts reports whether the upstream will have evicted a block of a prompt that it last got at a time in Unix
// nanoseconds, as far as its last report tells.
func (s *estimate) evicts(now time.Time, at int64) bool {
	age := s.load.CacheAgeMs * int64(time.Millisecond)
	return age > 0 && now.UnixNano()-at > age
}

// fresh returns the weight of the last report, from 1 at once to 0 after loadMemory.
func (s *estimate) fresh(now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return max(0, min(1, 1-float64(now.Sub(s.at))/float64(loadMemory)))
}

// wait returns the expected time in milliseconds until a new request gets a slot, and the share of slots in use.
func (s *estimate) wait(now time.Time) (ms, used float64) {
	fresh := s.fresh(now)
	slots := float64(s.load.Slots)
	if slots == 0 {
		slots = unknownSlots
	}
	total := s.others*fresh + float64(s.open)
	used = total / slots
	if total >= slots {
		service := s.serviceMs
		if service == 0 {
			service = firstServiceMs
		}
		ms = (total - slots + 1) / slots * service
	}
	return max(ms, float64(s.load.WaitMs)*fresh), used
}

// prefillTokens returns the prompt tokens that wait to be computed.
func (s *estimate) prefillTokens(now time.Time) float64 {
	return max(float64(s.load.QueuedTokens)*s.fresh(now), float64(s.openToken))
}

func (s *estimate) finished(took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	if s.serviceMs == 0 {
		s.serviceMs = ms
		return
	}
	s.serviceMs += serviceWeight * (ms - s.serviceMs)
}
