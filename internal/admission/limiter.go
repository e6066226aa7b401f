package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// shareFactor limits the open requests of a workspace to this multiple of the entry's free capacity. One busy
	// workspace gets at most 4/5 of the capacity and two get 4/9 each, so there is always room for another workspace.
	shareFactor = 4
	// concurrencyRetryMs is the retry delay of a refusal for too many open requests, since the time at which one of them
	// will end is unknown.
	concurrencyRetryMs = 1000
)

// EntryLimiter limits the open requests of an entry, in total and per workspace, and the request rate of each workspace.
// It is not safe for concurrent use.
type EntryLimiter struct {
	capacity   int
	open       int
	workspaces map[string]*workspaceState
}

type workspaceState struct {
	open    int
	limiter *rate.Limiter // nil without a rate limit
}

// NewEntryLimiter returns a limiter for an entry that holds at most capacity open requests.
func NewEntryLimiter(capacity int) *EntryLimiter {
	return &EntryLimiter{capacity: capacity, workspaces: make(map[string]*workspaceState)}
}

// Admit counts a request of w as open and returns nil, or returns a refusal. Each admitted request needs one Release.
func (l *EntryLimiter) Admit(now time.Time, w *fighollow.Workspace) *fighollow.Refusal {
	s := l.workspaces[w.Name]
	if s == nil {
		s = new(workspaceState)
		l.workspaces[w.Name] = s
	}
	switch {
	case l.open >= l.capacity:
		return refuse(fighollow.CodeOverloaded, "the entry has no place for another request", concurrencyRetryMs)
	case w.MaxConcurrent > 0 && s.open >= w.MaxConcurrent:
		return refuse(fighollow.CodeWorkspaceLimit, "the workspace has too many open requests", concurrencyRetryMs)
	case s.open >= shareFactor*(l.capacity-l.open):
		return refuse(fighollow.CodeWorkspaceLimit, "the workspace has its share of this entry's open requests", concurrencyRetryMs)
	}
	if wait := s.reserve(now, w); wait > 0 {
		return refuse(fighollow.CodeWorkspaceLimit, "the workspace is over its rate of requests", wait.Milliseconds()+1)
	}
	s.open++
	l.open++
	return nil
}

// Release counts one open request of the workspace as ended. It does nothing if the workspace has none.
func (l *EntryLimiter) Release(workspace string) {
	s := l.workspaces[workspace]
	if s == nil || s.open == 0 {
		return
	}
	s.open--
	l.open--
	if s.open == 0 && s.limiter == nil {
		delete(l.workspaces, workspace)
	}
}

// Open returns the number of open requests.
func (l *EntryLimiter) Open() int { return l.open }

// reserve takes a token from the workspace's bucket and returns 0, or returns the time until a token is available. Without
// a burst in the settings the bucket holds the tokens of two seconds.
func (s *workspaceState) reserve(now time.Time, w *fighollow.Workspace) time.Duration {
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
