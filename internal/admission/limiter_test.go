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
	l := admission.NewEntryLimiter(1000)
	w := &fighollow.Workspace{Name: "a", RequestsPerSecond: 10, Burst: 5}
	now := start
	for range 5 {
		qt.Assert(t, l.Admit(now, w) == nil, qt.IsTrue)
	}
	r := l.Admit(now, w)
	qt.Assert(t, r == nil, qt.IsFalse)
	qt.Assert(t, r.Code, qt.Equals, fighollow.CodeWorkspaceLimit)
	qt.Assert(t, r.Outcome, qt.Equals, fighollow.OutcomeNotRun)
	now = now.Add(time.Duration(r.RetryAfterMs) * time.Millisecond)
	qt.Assert(t, l.Admit(now, w) == nil, qt.IsTrue)
	admitted := 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if l.Admit(now, w) == nil {
			admitted++
			l.Release("a")
		}
	}
	qt.Assert(t, admitted >= 99 && admitted <= 101, qt.IsTrue, qt.Commentf("%d in 10 s", admitted))
}

// Guards against a changed rate limit that takes effect only after a restart.
func TestChangedRateAppliesAtOnce(t *testing.T) {
	l := admission.NewEntryLimiter(1000)
	w := &fighollow.Workspace{Name: "a", RequestsPerSecond: 1, Burst: 1}
	qt.Assert(t, l.Admit(start, w) == nil, qt.IsTrue)
	qt.Assert(t, l.Admit(start, w) == nil, qt.IsFalse)
	w.RequestsPerSecond = 0
	qt.Assert(t, l.Admit(start, w) == nil, qt.IsTrue)
}

// Guards against a workspace that takes the entry's whole capacity, and against capacity that is lost when Release is
// called more often than Admit.
func TestOneWorkspaceCannotStarveAnother(t *testing.T) {
	l := admission.NewEntryLimiter(100)
	greedy, modest := &fighollow.Workspace{Name: "greedy"}, &fighollow.Workspace{Name: "modest"}
	for range 200 {
		_ = l.Admit(start, greedy)
	}
	qt.Assert(t, l.Open(), qt.Equals, 80)
	for range 10 {
		qt.Assert(t, l.Admit(start, modest) == nil, qt.IsTrue)
	}
	for range 80 {
		l.Release("greedy")
	}
	l.Release("greedy")
	qt.Assert(t, l.Open(), qt.Equals, 10)
	small := admission.NewEntryLimiter(1)
	qt.Assert(t, small.Admit(start, modest) == nil, qt.IsTrue)
	r := small.Admit(start, modest)
	qt.Assert(t, r.Code, qt.Equals, fighollow.CodeOverloaded)
	qt.Assert(t, r.RetryAfterMs > 0, qt.IsTrue)
}

// Guards against a workspace that exceeds its limit of open requests.
func TestConcurrencyIsBounded(t *testing.T) {
	l := admission.NewEntryLimiter(100)
	w := &fighollow.Workspace{Name: "a", MaxConcurrent: 2}
	qt.Assert(t, l.Admit(start, w) == nil, qt.IsTrue)
	qt.Assert(t, l.Admit(start, w) == nil, qt.IsTrue)
	qt.Assert(t, l.Admit(start, w).Code, qt.Equals, fighollow.CodeWorkspaceLimit)
	l.Release("a")
	qt.Assert(t, l.Admit(start, w) == nil, qt.IsTrue)
}
