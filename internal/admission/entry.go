package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// shareFactor bounds a workspace's open requests to this many times the places that are free. One busy workspace
	// then takes at most 4/5 of the places and two take 4/9 each, and there is always room for one that comes later.
	shareFactor = 4
	// concurrencyRetryMs is told when only the end of other requests helps, whose time is not known.
	concurrencyRetryMs = 1000
)

// Entry limits the open requests of an entry, in all and for each workspace. It is not safe for concurrent use.
type Entry struct {
	places int
	open   int
	shares map[string]*share
}

type share struct {
	open    int
	limiter *rate.Limiter // nil without a rate
}

// NewEntry returns limits for an entry that holds at most places open requests.
func NewEntry(places int) *Entry {
	return &Entry{places: places, shares: make(map[string]*share)}
}

// Admit counts a request of w as open, or refuses it. Each admitted request needs one Release.
func (e *Entry) Admit(now time.Time, w *fighollow.Workspace) *fighollow.Refusal {
	s := e.shares[w.Name]
	if s == nil {
		s = new(share)
		e.shares[w.Name] = s
	}
	switch {
	case e.open >= e.places:
		return refuse(fighollow.CodeOverloaded, "the entry has no place for another request", concurrencyRetryMs)
	case w.MaxConcurrent > 0 && s.open >= w.MaxConcurrent:
		return refuse(fighollow.CodeWorkspaceLimit, "the workspace has too many open requests", concurrencyRetryMs)
	case s.open >= shareFactor*(e.places-e.open):
		return refuse(fighollow.CodeWorkspaceLimit, "the workspace has its share of this entry's open requests", concurrencyRetryMs)
	}
	if wait := s.take(now, w); wait > 0 {
		return refuse(fighollow.CodeWorkspaceLimit, "the workspace is over its rate of requests", wait.Milliseconds()+1)
	}
	s.open++
	e.open++
	return nil
}

// Release counts a request of the workspace as ended.
func (e *Entry) Release(workspace string) {
	s := e.shares[workspace]
	if s == nil || s.open == 0 {
		return
	}
	s.open--
	e.open--
	if s.open == 0 && s.limiter == nil {
		delete(e.shares, workspace)
	}
}

// Open returns the number of open requests.
func (e *Entry) Open() int { return e.open }

// take takes a token from the workspace's bucket, or returns the time until there is one.
func (s *share) take(now time.Time, w *fighollow.Workspace) time.Duration {
	if w.RequestsPerSecond <= 0 {
		s.limiter = nil
		return 0
	}
	burst := w.Burst
	if burst <= 0 {
		burst = max(1, int(math.Ceil(2*w.RequestsPerSecond)))
	}
	limit := rate.Limit(w.RequestsPerSecond)
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(limit, burst)
	}
	if s.limiter.Limit() != limit || s.limiter.Burst() != burst {
		s.limiter.SetLimitAt(now, limit)
		s.limiter.SetBurstAt(now, burst)
	}
	r := s.limiter.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}
