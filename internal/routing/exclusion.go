package routing

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// drainingPause is how long an upstream that refused because it is draining is left out before it is asked again. It
	// grows with each such refusal in a row up to its bound.
	drainingPause    = 2 * time.Second
	maxDrainingPause = 10 * time.Second
	// drainedPause is how long an upstream that said that it drains is left out; by then the list of upstreams, which
	// follows the drains and the members, lacks it.
	drainedPause  = 5 * time.Second
	notReadyPause = time.Second
	// unreachablePause and its bound grow with each failure in a row.
	unreachablePause    = time.Second
	maxUnreachablePause = 10 * time.Second
	// leavingPause is how long an upstream that announced its leaving is left out after its link has closed; only a new
	// incarnation of its sidecar is then asked again.
	leavingPause = 2 * time.Second
)

// exclusion says for how long an upstream gets no new work, or only when there is no other.
type exclusion struct {
	leaving     int64     // incarnation of the sidecar that announced its leaving; 0: none
	leavingOpen bool      // the leaving sidecar's link is still open
	until       time.Time // gets nothing before
	weakUntil   time.Time // gets something only when there is no other upstream
	failures    int       // in a row
	drains      int       // refusals in a row because of draining
}

func (x *exclusion) excluded(now time.Time) bool {
	return (x.leaving != 0 && x.leavingOpen) || now.Before(x.until)
}

func (x *exclusion) weak(now time.Time) bool { return now.Before(x.weakUntil) }

func (x *exclusion) refused(now time.Time, r *fighollow.Refusal) {
	pause := time.Duration(0)
	switch r.Code {
	case fighollow.CodeDraining, fighollow.CodeStopping:
		pause = min(drainingPause<<min(x.drains, 4), maxDrainingPause)
		x.drains++
	case fighollow.CodeNotReady, fighollow.CodeModelNotFound, fighollow.CodeNoUpstream:
		pause = notReadyPause
	default:
		return
	}
	x.extend(now.Add(max(pause, min(time.Duration(r.RetryAfterMs)*time.Millisecond, maxUnreachablePause))))
}

func (x *exclusion) drained(now time.Time) { x.extend(now.Add(drainedPause)) }

func (x *exclusion) extend(until time.Time) {
	if until.After(x.until) {
		x.until = until
	}
}

func (x *exclusion) unreachable(now time.Time) {
	pause := min(unreachablePause<<min(x.failures, 4), maxUnreachablePause)
	x.failures++
	x.weakUntil = now.Add(pause)
}

// reached takes the incarnation of the process at the other end of a link. It reports whether that process may get new
// work.
func (x *exclusion) reached(now time.Time, incarnation int64) bool {
	x.failures, x.weakUntil = 0, time.Time{}
	if x.leaving == 0 {
		return true
	}
	if incarnation != x.leaving {
		*x = exclusion{}
		return true
	}
	x.leavingOpen = false
	x.extend(now.Add(leavingPause))
	return false
}

func (x *exclusion) left(incarnation int64) {
	x.leaving, x.leavingOpen = incarnation, true
}

func (x *exclusion) linkClosed(now time.Time, incarnation int64) {
	if x.leaving != 0 && incarnation == x.leaving && x.leavingOpen {
		x.leavingOpen = false
		x.extend(now.Add(leavingPause))
	}
}
