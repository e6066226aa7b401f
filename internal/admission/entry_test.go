package admission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/admission"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

var start = time.UnixMilli(1_800_000_000_000)

// Guards against a rate limit that admits more than its bucket allows, and against a Retry-After that is too short.
func TestRateIsBounded(t *testing.T) {
	e := admission.NewEntryLimiter(1000)
	w := &fighollow.Workspace{Name: "a", RequestsPerSecond: 10, Burst: 5}
	now := start
	for range 5 {
		qt.Assert(t, e.Admit(now, w) == nil, qt.IsTrue)
	}
	r := e.Admit(now, w)
	qt.Assert(t, r == nil, qt.IsFalse)
	qt.Assert(t, r.Code, qt.Equals, fighollow.CodeWorkspaceLimit)
	qt.Assert(t, r.Outcome, qt.Equals, fighollow.NotRun)
	now = now.Add(time.Duration(r.RetryAfterMs) * time.Millisecond)
	qt.Assert(t, e.Admit(now, w) == nil, qt.IsTrue)
	admitted := 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if e.Admit(now, w) == nil {
			admitted++
			e.Release("a")
		}
	}
	qt.Assert(t, admitted >= 99 && admitted <= 101, qt.IsTrue, qt.Commentf("%d in 10 s", admitted))
}

// Guards against a changed rate limit that takes effect only after a restart.
func TestChangedRateAppliesAtOnce(t *testing.T) {
	e := admission.NewEntryLimiter(1000)
	w := &fighollow.Workspace{Name: "a", RequestsPerSecond: 1, Burst: 1}
	qt.Assert(t, e.Admit(start, w) == nil, qt.IsTrue)
	qt.Assert(t, e.Admit(start, w) == nil, qt.IsFalse)
	w.RequestsPerSecond = 0
	qt.Assert(t, e.Admit(start, w) == nil, qt.IsTrue)
}

// Guards against a workspace that takes the entry's whole capacity, and against capacity that is lost when Release is
// called more often than Admit.
func TestOneWorkspaceCannotStarveAnother(t *testing.T) {
	e := admission.NewEntryLimiter(100)
	greedy, modest := &fighollow.Workspace{Name: "greedy"}, &fighollow.Workspace{Name: "modest"}
	for range 200 {
		_ = e.Admit(start, greedy)
	}
	qt.Assert(t, e.Open(), qt.Equals, 80)
	for range 10 {
		qt.Assert(t, e.Admit(start, modest) == nil, qt.IsTrue)
	}
	for range 80 {
		e.Release("greedy")
	}
	e.Release("greedy")
	qt.Assert(t, e.Open(), qt.Equals, 10)
	small := admission.NewEntryLimiter(1)
	qt.Assert(t, small.Admit(start, modest) == nil, qt.IsTrue)
	r := small.Admit(start, modest)
	qt.Assert(t, r.Code, qt.Equals, fighollow.CodeOverloaded)
	qt.Assert(t, r.RetryAfterMs > 0, qt.IsTrue)
}

// Guards against a workspace that exceeds its limit of open requests.
func TestConcurrencyIsBounded(t *testing.T) {
	e := admission.NewEntryLimiter(100)
	w := &fighollow.Workspace{Name: "a", MaxConcurrent: 2}
	qt.Assert(t, e.Admit(start, w) == nil, qt.IsTrue)
	qt.Assert(t, e.Admit(start, w) == nil, qt.IsTrue)
	qt.Assert(t, e.Admit(start, w).Code, qt.Equals, fighollow.CodeWorkspaceLimit)
	e.Release("a")
	qt.Assert(t, e.Admit(start, w) == nil, qt.IsTrue)
}
