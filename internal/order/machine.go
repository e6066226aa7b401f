// Package order decides when one engine is sent which order. It is pure: the caller observes the engine, sends the
// orders and passes the time.
package order

import (
	"errors"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Config adjusts a Machine.
type Config struct {
	// ChecksFence says that the engine refuses an order with a fencing number below one that it has seen.
	ChecksFence bool
	// Settle is how long an order whose fate is not known can still take effect.
	Settle time.Duration
	// Fresh is how old an observation may be; default 2 s.
	Fresh time.Duration
	// Quiet is how long the engine must report no running requests before an order when it may run some that the sidecar
	// does not know of: those of an earlier sidecar, or after Doubt. The report lags. Default 1 s.
	Quiet time.Duration
	// Retry is the pause after an order that was not taken; default 200 ms.
	Retry time.Duration
}

// Reason says why a Decision is as it is.
type Reason string

// Reasons.
const (
	Matched  Reason = "matched"  // the engine has the assignment of the plan
	NoPlan   Reason = "noPlan"   // the plan has no assignment for the engine, which serves what it has
	OldPlan  Reason = "oldPlan"  // the engine has seen a higher fence than the plan's; it serves what it has
	Empty    Reason = "empty"    // the engine has nothing to serve
	Unseen   Reason = "unseen"   // there is no fresh observation
	Settling Reason = "settling" // an order of unknown fate may still take effect
	Changing Reason = "changing" // the engine carries out an order
	Working  Reason = "working"  // the engine differs from the plan and work is in flight
	Pausing  Reason = "pausing"  // the last order was not taken
	Ordering Reason = "ordering" // an order is outstanding
)

// Decision is what the sidecar does now.
type Decision struct {
	Admit  bool // whether new work is admitted
	Reason Reason
	Order  *fighollow.Assignment // to be sent now; OrderEnded must follow
}

// Machine follows one engine. It is not safe for concurrent use.
type Machine struct {
	cfg Config

	wanted   fighollow.Assignment
	planned  bool
	maxFence uint64 // highest seen from the plan or the engine

	state    fighollow.EngineState
	seen     bool
	began    time.Time // when the observation of state began
	quiet    bool      // state reported no running requests since quietAt
	quietAt  time.Time
	restarts int

	outstanding *fighollow.Assignment
	notBefore   time.Time // observations that began no later do not count
	retryAt     time.Time
	sure        bool // no work runs at the engine that the sidecar does not know of

	// unsettled is set while an order may still take effect: one of an earlier sidecar, or lost when its fate is unknown.
	unsettled   bool
	lost        *fighollow.Assignment
	settleUntil time.Time
}

// New returns a machine for a sidecar that starts now. An earlier sidecar may have left an order on its way.
func New(cfg Config, now time.Time) *Machine {
	if cfg.Fresh == 0 {
		cfg.Fresh = 2 * time.Second
	}
	if cfg.Quiet == 0 {
		cfg.Quiet = time.Second
	}
	if cfg.Retry == 0 {
		cfg.Retry = 200 * time.Millisecond
	}
	return &Machine{cfg: cfg, unsettled: true, settleUntil: now.Add(cfg.Settle)}
}

// Want takes the assignment of the plan. An assignment with a lower fence than the one held is ignored.
func (m *Machine) Want(a fighollow.Assignment) {
	if m.planned && a.Fence < m.wanted.Fence {
		return
	}
	m.wanted, m.planned = a, true
	m.maxFence = max(m.maxFence, a.Fence)
}

// Unplan says that the plan has no assignment for the engine any more.
func (m *Machine) Unplan() { m.planned = false }

// Observed takes the engine's report, asked for at began. A report asked for before the end of the last order is ignored.
func (m *Machine) Observed(began time.Time, s fighollow.EngineState) {
	if m.outstanding != nil || !began.After(m.notBefore) || m.seen && began.Before(m.began) {
		return
	}
	if m.seen && s.StartedMs != m.state.StartedMs {
		m.restarts++
	}
	if s.Running > 0 {
		m.quiet = false
	} else if !m.quiet {
		m.quiet, m.quietAt = true, began
	}
	m.state, m.seen, m.began = s, true, began
	m.maxFence = max(m.maxFence, s.HighestFence, s.Assignment.Fence)
	m.settle()
}

// settle ends the time in which an order of unknown fate may still take effect, as far as the observation shows it.
func (m *Machine) settle() {
	switch {
	case !m.unsettled:
	case !m.began.Before(m.settleUntil):
		m.unsettled = false
	case m.lost != nil:
		taken := m.state.Assignment.SameWork(*m.lost) && m.state.Assignment.Fence == m.lost.Fence
		overtaken := m.cfg.ChecksFence && m.state.HighestFence > m.lost.Fence
		m.unsettled = !taken && !overtaken
	case m.cfg.ChecksFence && m.planned && m.state.HighestFence >= m.wanted.Fence:
		// Any order on its way has the fence of an earlier plan, or repeats the present one.
		m.unsettled = false
	}
	if !m.unsettled {
		m.lost = nil
	}
}

// OrderEnded takes the result of the outstanding order.
func (m *Machine) OrderEnded(now time.Time, err error) {
	sent := m.outstanding
	m.outstanding = nil
	m.notBefore, m.seen = now, false
	switch {
	case err == nil:
		m.sure = true
	case errors.Is(err, fighollow.ErrStaleFence), errors.Is(err, fighollow.ErrBusy), errors.Is(err, fighollow.ErrUnavailable):
		m.retryAt = now.Add(m.cfg.Retry)
	default:
		m.unsettled, m.lost, m.settleUntil = true, sent, now.Add(m.cfg.Settle)
	}
}

// Doubt says that the engine may still run a request that the sidecar has given up.
func (m *Machine) Doubt() { m.sure, m.quiet = false, false }

// Restarts returns how often the engine was seen to have restarted.
func (m *Machine) Restarts() int { return m.restarts }

// State returns the last observation; ok is false when there is none that counts.
func (m *Machine) State() (s fighollow.EngineState, ok bool) { return m.state, m.seen }

// Decide returns what to do now. inFlight is the number of admitted requests that have not ended. When the decision has
// an order, no other is decided until OrderEnded.
func (m *Machine) Decide(now time.Time, inFlight int) Decision {
	switch {
	case m.outstanding != nil:
		return Decision{Reason: Ordering}
	case !m.seen || now.Sub(m.began) > m.cfg.Fresh:
		return Decision{Reason: Unseen}
	case m.state.Phase == fighollow.PhaseChanging:
		return Decision{Reason: Changing}
	case !m.planned:
		return m.serve(NoPlan)
	case m.matches():
		return m.serve(Matched)
	case m.wanted.Fence < m.maxFence:
		return m.serve(OldPlan)
	}
	return m.order(now, inFlight)
}

func (m *Machine) matches() bool {
	ready := m.state.Phase == fighollow.PhaseReady || m.wanted.Model == ""
	return ready && m.state.Assignment.SameWork(m.wanted)
}

// serve admits work for what the engine has.
func (m *Machine) serve(reason Reason) Decision {
	switch {
	case m.state.Phase != fighollow.PhaseReady || m.state.Assignment.Model == "":
		return Decision{Reason: Empty}
	case m.unsettled:
		return Decision{Reason: Settling}
	}
	return Decision{Admit: true, Reason: reason}
}

// order sends the assignment of the plan once nothing is in flight.
func (m *Machine) order(now time.Time, inFlight int) Decision {
	first := m.lost == nil && m.cfg.ChecksFence
	switch {
	case m.unsettled && !first:
		return Decision{Reason: Settling}
	case inFlight > 0 || m.state.Running > 0:
		return Decision{Reason: Working}
	case !m.sure && m.state.Phase != fighollow.PhaseEmpty && m.began.Sub(m.quietAt) < m.cfg.Quiet:
		return Decision{Reason: Working}
	case now.Before(m.retryAt):
		return Decision{Reason: Pausing}
	}
	a := m.wanted
	m.outstanding = &a
	return Decision{Reason: Ordering, Order: &a}
}
