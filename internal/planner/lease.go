package planner

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// lease keeps one planner at work in a region. It only saves wasted work, so it is judged by the observer's own clock
// and a paused holder may go on believing in it: its plan writes fail.
type lease struct {
	holder, region    string
	renewEvery, after time.Duration

	version  uint64 // of the lease object last seen
	seenAt   time.Time
	tryAfter time.Time // no attempt to take the lease before
	pause    time.Duration
	held     bool
}

// maxTakePause bounds the pause between attempts to take the lease while the object API is down, when every entry of a
// region sees it expire.
const maxTakePause = 30 * time.Second

// step renews or takes the lease and reports whether this process should plan. While the API is down the holder goes
// on: its plan writes fail without harm, and nobody else can take over.
func (l *lease) step(ctx context.Context, now time.Time, w *writer) bool {
	if err := w.settle(ctx, fighollow.KindPlannerLease, l.region); errors.Is(err, errPending) {
		return l.held
	}
	var current fighollow.PlannerLease
	version, err := w.cat.Decode(fighollow.KindPlannerLease, l.region, &current)
	if err != nil && !errors.Is(err, catalog.ErrNotKnown) {
		current = fighollow.PlannerLease{}
	}
	if version != l.version || l.seenAt.IsZero() {
		l.version, l.seenAt, l.pause = version, now, 0
	}
	l.held = version != 0 && current.Holder == l.holder
	if !l.due(now, version) {
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
		l.pause = min(max(2*l.pause, time.Second), maxTakePause)
		l.tryAfter = now.Add(l.pause)
	}
	return l.held
}

// due reports whether to write the lease now: the holder in time for a renewal, others when it is free or expired. The
// wait differs between processes, so that they do not all write at the same moment.
func (l *lease) due(now time.Time, version uint64) bool {
	if now.Before(l.tryAfter) {
		return false
	}
	age := now.Sub(l.seenAt)
	if l.held {
		return age >= l.renewEvery
	}
	spread := time.Duration(xxhash.Sum64String(l.holder+"/"+l.region)%1000) * l.after / 1000
	if version == 0 {
		return age >= spread/4
	}
	return age >= l.after+spread
}
