package sidecar

import (
	"time"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// observeLimit applies what an answer says of the upstream's request limit. All entries' attempts pass this process, so that
// the queue holds the whole limit.
func (s *Sidecar) observeLimit(sent time.Time, l fighollow.RequestLimit) {
	if l.State == fighollow.LimitMalformed {
		event.LimitMalformed.Log(&s.log).Str("upstream", s.cfg.ID).Str("limit", l.Text).Send()
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.named
	s.named.Observe(now, sent, l)
	if before.InForce == s.named.InForce && before.PerSecond == s.named.PerSecond {
		return
	}
	event.LimitChanged.Log(&s.log).Str("upstream", s.cfg.ID).Bool("inForce", s.named.InForce).Float64("perSecond", s.named.PerSecond).Send()
	s.queue.SetLimit(now, s.named.PerSecond, s.named.InForce)
	s.dispatch(now)
}

// awaitPermit has queued attempts dispatched when the upstream's limit allows another request. s.mu must be held.
func (s *Sidecar) awaitPermit(now time.Time) {
	wait := s.queue.NextPermit(now)
	if wait == 0 || s.permitTimer != nil {
		return
	}
	s.permitTimer = time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.permitTimer = nil
		s.dispatch(time.Now())
	})
}
