package routing

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// drainRefusalPause is how long an upstream is excluded after it refused an attempt because it is draining. It doubles
	// with each such refusal in a row, up to maxDrainRefusalPause.
	drainRefusalPause    = 2 * time.Second
	maxDrainRefusalPause = 10 * time.Second
	// drainAnnouncedPause is how long an upstream is excluded after it announced that it is draining. By then the list of
	// upstreams, which follows the drains and the members, no longer has it.
	drainAnnouncedPause = 5 * time.Second
	notReadyPause       = time.Second
	// unreachablePause is how long an upstream is only a last resort after it could not be reached. It doubles with each
	// failure in a row, up to maxUnreachablePause.
	unreachablePause    = time.Second
	maxUnreachablePause = 10 * time.Second
	// leavingPause is how long an upstream that announced that it is leaving is excluded after its link has closed. After
	// that only a new incarnation of its sidecar gets work.
	leavingPause = 2 * time.Second
)

// exclusion records for how long an upstream gets no new work, or gets it only if there is no other upstream.
type exclusion struct {
	leavingIncarnation int64     // incarnation of the sidecar that announced that it is leaving; 0 if none
	leavingLinkOpen    bool      // the leaving sidecar's link is still open
	excludedUntil      time.Time // gets no work before
	lastResortUntil    time.Time // before, gets work only if there is no other upstream
	failures           int       // consecutive failures to reach it
	drainRefusals      int       // consecutive refusals because of draining
}

func (x *exclusion) excluded(now time.Time) bool {
	return (x.leavingIncarnation != 0 && x.leavingLinkOpen) || now.Before(x.excludedUntil)
}

func (x *exclusion) lastResort(now time.Time) bool { return now.Before(x.lastResortUntil) }

func (x *exclusion) refused(now time.Time, r *fighollow.Refusal) {
	pause := time.Duration(0)
	switch r.Code {
	case fighollow.CodeDraining, fighollow.CodeStopping:
		pause = min(drainRefusalPause<<min(x.drainRefusals, 4), maxDrainRefusalPause)
		x.drainRefusals++
	case fighollow.CodeNotReady, fighollow.CodeModelNotFound, fighollow.CodeNoUpstream:
		pause = notReadyPause
	default:
		return
	}
	x.extend(now.Add(max(pause, min(time.Duration(r.RetryAfterMs)*time.Millisecond, maxUnreachablePause))))
}

func (x *exclusion) draining(now time.Time) { x.extend(now.Add(drainAnnouncedPause)) }

func (x *exclusion) extend(until time.Time) {
	if until.After(x.excludedUntil) {
		x.excludedUntil = until
	}
}

func (x *exclusion) unreachable(now time.Time) {
	pause := min(unreachablePause<<min(x.failures, 4), maxUnreachablePause)
	x.failures++
	x.lastResortUntil = now.Add(pause)
}

// connected records the incarnation of the process at the other end of a link and reports whether that process may get
// new work.
func (x *exclusion) connected(now time.Time, incarnation int64) bool {
	x.failures, x.lastResortUntil = 0, time.Time{}
	if x.leavingIncarnation == 0 {
		return true
	}
	if incarnation != x.leavingIncarnation {
		*x = exclusion{}
		return true
	}
	x.leavingLinkOpen = false
	x.extend(now.Add(leavingPause))
	return false
}

func (x *exclusion) announceLeaving(incarnation int64) {
	x.leavingIncarnation, x.leavingLinkOpen = incarnation, true
}

func (x *exclusion) linkClosed(now time.Time, incarnation int64) {
	if x.leavingIncarnation != 0 && incarnation == x.leavingIncarnation && x.leavingLinkOpen {
		x.leavingLinkOpen = false
		x.extend(now.Add(leavingPause))
	}
}
