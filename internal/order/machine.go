// Package order decides when to send an engine the order that changes its assignment. It is pure: the caller observes
// the engine, sends the orders and passes the current time.
package order

import (
	"errors"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Config configures a Machine.
type Config struct {
	// ChecksFence states that the engine refuses orders with a fencing token below the highest one that it has seen.
	ChecksFence bool
	// SettleTimeout is how long an order with unknown outcome can still take effect.
	SettleTimeout time.Duration
	// MaxStateAge is the maximum age of an observation on which decisions are based; default 2 s.
	MaxStateAge time.Duration
	// IdlePeriod is how long the engine must report no running requests before it is sent an order, if it may run orphaned
	// requests: those of an earlier sidecar, or those after AssumeOrphans. The reported number lags. Default 1 s.
	IdlePeriod time.Duration
	// RetryDelay is the delay after an order that the engine refused or did not get; default 200 ms.
	RetryDelay time.Duration
}

// Reason is the cause of a Decision.
type Reason string

// Reasons.
const (
	Matched  Reason = "matched"  // the engine has the assignment of the plan
	NoPlan   Reason = "noPlan"   // the plan has no assignment for the engine, which keeps its current one
	OldPlan  Reason = "oldPlan"  // a fence above the plan's has been seen; the engine keeps its current assignment
	Empty    Reason = "empty"    // the engine is not ready or has no model
	Unseen   Reason = "unseen"   // there is no recent observation
	Settling Reason = "settling" // an order with unknown outcome may still take effect
	Changing Reason = "changing" // the engine is applying an order
	Working  Reason = "working"  // the engine differs from the plan, but work is in flight
	Pausing  Reason = "pausing"  // the retry delay after a failed order has not passed
	Ordering Reason = "ordering" // an order is outstanding
)

// Decision states what the sidecar must do now.
type Decision struct {
	Admit  bool // whether new work is admitted
	Reason Reason
	Order  *fighollow.Assignment // order to send now, or nil; OrderEnded must follow
}

// Machine is the state machine that brings one engine to its planned assignment. It is not safe for concurrent use.
type Machine struct {
	cfg Config

	planned   fighollow.Assignment
	isPlanned bool
	maxFence  uint64 // highest fence seen from the plan or the engine

	state      fighollow.EngineState
	stateValid bool
	requested  time.Time // when state was requested
	idle       bool      // all reports since idleSince had no running requests
	idleSince  time.Time
	restarts   int

	outstanding *fighollow.Assignment
	ignoreUntil time.Time // reports requested at or before this time are ignored
	retryAt     time.Time
	noOrphans   bool // the engine runs no requests that the sidecar does not track

	// unsettled is set while an order may still take effect: one of an earlier sidecar, or unknownOrder.
	unsettled    bool
	unknownOrder *fighollow.Assignment
	settleUntil  time.Time
}

// New returns a machine for a sidecar that starts now. It assumes that an order of an earlier sidecar may still be in
// transit.
func New(cfg Config, now time.Time) *Machine {
	if cfg.MaxStateAge == 0 {
		cfg.MaxStateAge = 2 * time.Second
	}
	if cfg.IdlePeriod == 0 {
		cfg.IdlePeriod = time.Second
	}
	if cfg.RetryDelay == 0 {
		cfg.RetryDelay = 200 * time.Millisecond
	}
	return &Machine{cfg: cfg, unsettled: true, settleUntil: now.Add(cfg.SettleTimeout)}
}

// SetPlanned sets the assignment in the plan. It ignores an assignment with a lower fence than the current one.
func (m *Machine) SetPlanned(a fighollow.Assignment) {
	if m.isPlanned && a.Fence < m.planned.Fence {
		return
	}
	m.planned, m.isPlanned = a, true
	m.maxFence = max(m.maxFence, a.Fence)
}

// ClearPlanned records that the plan no longer has an assignment for the engine.
func (m *Machine) ClearPlanned() { m.isPlanned = false }

// Observe records the engine's state, which was requested at the given time. It ignores a state requested before the last
// order ended, or earlier than the current one.
func (m *Machine) Observe(requested time.Time, s fighollow.EngineState) {
	if m.outstanding != nil || !requested.After(m.ignoreUntil) || m.stateValid && requested.Before(m.requested) {
		return
	}
	if m.stateValid && s.StartedMs != m.state.StartedMs {
		m.restarts++
	}
	if s.Running > 0 {
		m.idle = false
	} else if !m.idle {
		m.idle, m.idleSince = true, requested
	}
	m.state, m.stateValid, m.requested = s, true, requested
	m.maxFence = max(m.maxFence, s.HighestFence, s.Assignment.Fence)
	m.settle()
}

// settle clears unsettled once the settle timeout has passed or the last observation proves that no earlier order can
// still take effect.
func (m *Machine) settle() {
	switch {
	case !m.unsettled:
	case !m.requested.Before(m.settleUntil):
		m.unsettled = false
	case m.unknownOrder != nil:
		applied := m.state.Assignment.EqualIgnoringFence(*m.unknownOrder) && m.state.Assignment.Fence == m.unknownOrder.Fence
		superseded := m.cfg.ChecksFence && m.state.HighestFence > m.unknownOrder.Fence
		m.unsettled = !applied && !superseded
	case m.cfg.ChecksFence && m.isPlanned && m.state.HighestFence >= m.planned.Fence:
		// Any order in transit has the fence of an earlier plan, so the engine refuses it, or repeats the current one.
		m.unsettled = false
	}
	if !m.unsettled {
		m.unknownOrder = nil
	}
}

// OrderEnded records the result of the outstanding order. Any error other than a stale fence, a busy or an unavailable
// engine leaves its outcome unknown.
func (m *Machine) OrderEnded(now time.Time, err error) {
	sent := m.outstanding
	m.outstanding = nil
	m.ignoreUntil, m.stateValid = now, false
	switch {
	case err == nil:
		m.noOrphans = true
	case errors.Is(err, fighollow.ErrStaleFence), errors.Is(err, fighollow.ErrBusy), errors.Is(err, fighollow.ErrUnavailable):
		m.retryAt = now.Add(m.cfg.RetryDelay)
	default:
		m.unsettled, m.unknownOrder, m.settleUntil = true, sent, now.Add(m.cfg.SettleTimeout)
	}
}

// AssumeOrphans records that the engine may still run a request that the sidecar has abandoned.
func (m *Machine) AssumeOrphans() { m.noOrphans, m.idle = false, false }

// Restarts returns the number of observed restarts of the engine.
func (m *Machine) Restarts() int { return m.restarts }

// State returns the last observation; ok is false if there is none since the last order ended.
func (m *Machine) State() (s fighollow.EngineState, ok bool) { return m.state, m.stateValid }

// Decide returns what to do now. inFlight is the number of admitted requests that have not ended. After a decision with
// an order, there is no other order before OrderEnded.
func (m *Machine) Decide(now time.Time, inFlight int) Decision {
	switch {
	case m.outstanding != nil:
		return Decision{Reason: Ordering}
	case !m.stateValid || now.Sub(m.requested) > m.cfg.MaxStateAge:
		return Decision{Reason: Unseen}
	case m.state.Phase == fighollow.PhaseChanging:
		return Decision{Reason: Changing}
	case !m.isPlanned:
		return m.serve(NoPlan)
	case m.matches():
		return m.serve(Matched)
	case m.planned.Fence < m.maxFence:
		return m.serve(OldPlan)
	}
	return m.order(now, inFlight)
}

func (m *Machine) matches() bool {
	ready := m.state.Phase == fighollow.PhaseReady || m.planned.Model == ""
	return ready && m.state.Assignment.EqualIgnoringFence(m.planned)
}

// serve admits work for the current assignment of the engine, if it is ready and no order can change it.
func (m *Machine) serve(reason Reason) Decision {
	switch {
	case m.state.Phase != fighollow.PhaseReady || m.state.Assignment.Model == "":
		return Decision{Reason: Empty}
	case m.unsettled:
		return Decision{Reason: Settling}
	}
	return Decision{Admit: true, Reason: reason}
}

// order returns the planned assignment as an order once no work is in flight.
func (m *Machine) order(now time.Time, inFlight int) Decision {
	fenced := m.unknownOrder == nil && m.cfg.ChecksFence
	switch {
	case m.unsettled && !fenced:
		return Decision{Reason: Settling}
	case inFlight > 0 || m.state.Running > 0:
		return Decision{Reason: Working}
	case !m.noOrphans && m.state.Phase != fighollow.PhaseEmpty && m.requested.Sub(m.idleSince) < m.cfg.IdlePeriod:
		return Decision{Reason: Working}
	case now.Before(m.retryAt):
		return Decision{Reason: Pausing}
	}
	a := m.planned
	m.outstanding = &a
	return Decision{Reason: Ordering, Order: &a}
}
