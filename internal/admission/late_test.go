package admission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/admission"
)

// Guards against an expected time that ignores queued prompts, the sharing of the decode rate or the wait for a slot,
// and against requests that are refused as late on an engine whose rates are unknown.
func TestExpectedTime(t *testing.T) {
	b := admission.Backlog{PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 100, StreamTokensPerSecond: 50}
	for _, c := range []struct {
		change func(b *admission.Backlog)
		want   time.Duration
	}{
		{func(*admission.Backlog) {}, 4 * time.Second},
		{func(b *admission.Backlog) { b.QueuedTokens = 3000 }, 7 * time.Second},
		{func(b *admission.Backlog) { b.Running = 3 }, 6 * time.Second},
		{func(b *admission.Backlog) { b.Running, b.Slots = 4, 4 }, 7 * time.Second},
		{func(b *admission.Backlog) { b.Running, b.Slots, b.Queued = 4, 4, 7 }, 14 * time.Second},
		{func(b *admission.Backlog) { *b = admission.Backlog{QueuedTokens: 9999, Running: 9} }, 0},
	} {
		backlog := b
		c.change(&backlog)
		qt.Check(t, admission.ExpectedTime(backlog, 2000, 100), qt.Equals, c.want)
	}
	now := time.Unix(0, 0)
	qt.Check(t, admission.MissesDeadline(now, now.Add(3*time.Second), b, 2000, 100), qt.IsTrue)
	qt.Check(t, admission.MissesDeadline(now, now.Add(5*time.Second), b, 2000, 100), qt.IsFalse)
	qt.Check(t, admission.MissesDeadline(now, time.Time{}, b, 2000, 100), qt.IsFalse)
}

// Guards against overflow for a small gain in time, which costs engines of both roles more time than it saves.
func TestOverflowNeedsAMargin(t *testing.T) {
	qt.Check(t, admission.ShouldOverflow(10*time.Second, 5*time.Second), qt.IsFalse)
	qt.Check(t, admission.ShouldOverflow(10*time.Second, 3*time.Second), qt.IsTrue)
}
