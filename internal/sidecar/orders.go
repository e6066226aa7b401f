package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/fighollow/fighollow/internal/admission"
	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/internal/order"
	"github.com/fighollow/fighollow/internal/quota"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	servingPollInterval  = 500 * time.Millisecond // while work is admitted
	changingPollInterval = 100 * time.Millisecond // while it is not
	engineTimeout        = time.Second
)

// announcement has the fields of this process's member record that change while it runs.
type announcement struct {
	state        membership.State
	role         fighollow.Role
	model        string
	modelVersion string
}

// reconcileLoop applies the operator's drains, serves the queue and, beside an engine, brings the engine to its planned
// assignment, until ctx ends. A change of an object or wakeReconcile starts a round at once.
func (s *Sidecar) reconcileLoop(ctx context.Context) {
	lastReason := order.Reason("")
	for ctx.Err() == nil {
		changed := s.cat.Changed()
		s.updateDrain()
		s.dispatchQueue()
		wait := servingPollInterval
		if s.engine != nil {
			d := s.reconcile(ctx)
			if !d.Admit {
				wait = changingPollInterval
			}
			if d.Reason != lastReason {
				lastReason = d.Reason
				event.EngineState.Log(&s.log).Str("reason", string(d.Reason)).Bool("admit", d.Admit).Send()
			}
		} else {
			s.setGate(order.Decision{Admit: true})
		}
		s.announce()
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-s.wake:
		case <-changed:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

func (s *Sidecar) wakeReconcile() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// reconcile reads the engine's state once and sends at most one order.
func (s *Sidecar) reconcile(ctx context.Context) order.Decision {
	requested := time.Now()
	stateCtx, cancel := context.WithTimeout(ctx, engineTimeout)
	state, err := s.engine.State(stateCtx)
	cancel()
	a, planned, known := s.plannedAssignment()
	s.mu.Lock()
	if known && planned {
		s.machine.SetPlanned(a)
	} else if known {
		s.machine.ClearPlanned()
	}
	if err == nil {
		s.applyState(requested, state)
	}
	d := s.decide()
	s.mu.Unlock()
	if d.Order != nil {
		s.sendOrder(*d.Order)
	}
	return d
}

// applyState records the engine's state, which was requested at the given time. s.mu must be held.
func (s *Sidecar) applyState(requested time.Time, state fighollow.EngineState) {
	restarts := s.machine.Restarts()
	s.machine.Observe(requested, state)
	if s.machine.Restarts() != restarts {
		s.metrics.restarts.Inc(1)
		event.EngineRestarted.Log(&s.log).Int64("startedMs", state.StartedMs).Send()
		s.named = quota.Named{}
		s.queue.SetLimit(time.Now(), 0, false)
	}
	s.queue.SetSlots(state.Slots)
}

// decide returns the decision of the order machine and sets the gate by it. A stopping process sends no orders. s.mu
// must be held.
func (s *Sidecar) decide() order.Decision {
	if s.stopping {
		s.setGateLocked(order.Decision{})
		return order.Decision{Reason: order.Working}
	}
	d := s.machine.Decide(time.Now(), s.queue.InFlight())
	s.setGateLocked(d)
	return d
}

// sendOrder sends one order and waits for its result.
func (s *Sidecar) sendOrder(a fighollow.Assignment) {
	event.OrderSent.Log(&s.log).Str("role", string(a.Role)).Str("model", a.Model).Str("modelVersion", a.ModelVersion).
		Strs("adapters", a.Adapters).Uint64("fence", a.Fence).Send()
	s.metrics.orders.Inc(1)
	// A stop of the process does not cancel the order: its outcome would become unknown without need.
	err := s.engine.Order(context.Background(), a)
	event.OrderEnded.Log(&s.log).Uint64("fence", a.Fence).Err(err).Send()
	s.mu.Lock()
	s.machine.OrderEnded(time.Now(), err)
	s.mu.Unlock()
	s.wakeReconcile()
}

// plannedAssignment returns the engine's assignment in the plan of its data centre; planned is false if the plan has
// none, and known is false if there is no readable plan.
func (s *Sidecar) plannedAssignment() (a fighollow.Assignment, planned, known bool) {
	var p fighollow.Plan
	if _, err := s.cat.Decode(fighollow.KindPlan, s.cfg.DataCentre, &p); err != nil {
		s.logInvalidObject(err)
		return a, false, false
	}
	a, planned = p.Engines[s.cfg.ID]
	return a, planned, true
}

// logInvalidObject reports whether err is that of an object which exists but cannot be decoded. It logs the error
// unless it is the one logged last.
func (s *Sidecar) logInvalidObject(err error) bool {
	if err == nil || errors.Is(err, catalog.ErrNotFound) {
		return false
	}
	if text := err.Error(); s.lastInvalid.Swap(text) != text {
		event.ObjectInvalid.Log(&s.log).Err(err).Send()
	}
	return true
}

func (s *Sidecar) setGate(d order.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setGateLocked(d)
}

// setGateLocked opens or closes the gate for new work. s.mu must be held.
func (s *Sidecar) setGateLocked(d order.Decision) {
	g := admission.Unsure
	switch {
	case s.stopping:
		g = admission.Leaving
	case s.drain != "":
		g = admission.Draining
	case s.engine != nil && !s.node.Ready():
	case d.Admit:
		g = admission.Open
	case d.Reason == order.Changing, d.Reason == order.Ordering, d.Reason == order.Working, d.Reason == order.Pausing:
		g = admission.Changing
	}
	if old := s.queue.Gate(); old != g {
		event.GateChanged.Log(&s.log).Str("from", string(old)).Str("to", string(g)).Str("reason", string(d.Reason)).Send()
		s.queue.SetGate(g)
	}
}

// announce updates this process's member record if its state or the engine's assignment has changed.
func (s *Sidecar) announce() {
	s.mu.Lock()
	a := announcement{state: membership.Alive}
	if s.stopping || s.drain != "" {
		a.state = membership.Leaving
	}
	if s.machine != nil {
		if st, ok := s.machine.State(); ok && st.Phase == fighollow.PhaseReady {
			a.role, a.model, a.modelVersion = st.Assignment.Role, st.Assignment.Model, st.Assignment.ModelVersion
		}
	}
	unchanged := a == s.announced
	s.announced = a
	s.mu.Unlock()
	if unchanged {
		return
	}
	s.node.Announce(func(m *membership.Member) {
		m.State, m.Role, m.Model, m.ModelVersion = a.state, a.role, a.model, a.modelVersion
	})
}
