package planner

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// lease elects one process as a region's planner. It only avoids duplicate work and is not needed for safety: expiry is
// measured by each observer's own clock, and a paused process that still believes it holds the lease fails at its
// conditional plan writes.
type lease struct {
	holder, region          string
	renewInterval, duration time.Duration

	version uint64    // of the lease object last read
	seenAt  time.Time // when version was first read
	retryAt time.Time // earliest time of the next write after a failed one
	backoff time.Duration
	held    bool
}

// maxBackoff bounds the pause between attempts to write the lease while the object API is down: every entry of a region
// then observes an expired lease and tries to acquire it.
const maxBackoff = 30 * time.Second

// step renews or acquires the lease and reports whether this process should plan. While the object API is down the
// holder keeps planning: its plan writes fail without harm, and no other process can acquire the lease.
func (l *lease) step(ctx context.Context, now time.Time, w *writer) bool {
	if err := w.resolve(ctx, fighollow.KindPlannerLease, l.region); errors.Is(err, errPending) {
		return l.held
	}
	var current fighollow.PlannerLease
	version, err := w.cat.Decode(fighollow.KindPlannerLease, l.region, &current)
	if err != nil && !errors.Is(err, catalog.ErrNotFound) {
		current = fighollow.PlannerLease{}
	}
	if version != l.version || l.seenAt.IsZero() {
		l.version, l.seenAt, l.backoff = version, now, 0
	}
	l.held = version != 0 && current.Holder == l.holder
	if !l.writeDue(now, version) {
		return l.held
	}
	id := w.newID()
	next := fighollow.PlannerLease{Holder: l.holder, Renewal: current.Renewal + 1, WriteID: id}
	err = w.put(ctx, fighollow.KindPlannerLease, l.region, version, id, next)
	switch {
	case err == nil:
		l.held = true
	case errors.Is(err, fighollow.ErrConflict):
		l.held = false
	default:
		l.backoff = min(max(2*l.backoff, time.Second), maxBackoff)
		l.retryAt = now.Add(l.backoff)
	}
	return l.held
}

// writeDue reports whether to write the lease now: the holder when a renewal is due, another process when the lease is free
// or expired. The delay has a jitter by process, so that they do not all write at the same moment.
func (l *lease) writeDue(now time.Time, version uint64) bool {
	if now.Before(l.retryAt) {
		return false
	}
	age := now.Sub(l.seenAt)
	if l.held {
		return age >= l.renewInterval
	}
	jitter := time.Duration(xxhash.Sum64String(l.holder+"/"+l.region)%1000) * l.duration / 1000
	if version == 0 {
		return age >= jitter/4
	}
	return age >= l.duration+jitter
}
