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
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	observeSteady   = 500 * time.Millisecond // while the engine serves
	observeChanging = 100 * time.Millisecond // while it does not
	observeTimeout  = time.Second
)

// announcement is what the process tells the members of itself.
type announcement struct {
	state        membership.State
	role         fighollow.Role
	model        string
	modelVersion string
}

// follow observes the engine, compares it with the plan and sends orders until ctx ends. Beside a plain service it
// follows the operator's drains only.
func (s *Sidecar) follow(ctx context.Context) {
	last := order.Reason("")
	for ctx.Err() == nil {
		changed := s.cat.Changed()
		s.readDrain()
		s.serveQueue()
		wait := observeSteady
		if s.engine != nil {
			d := s.round(ctx)
			if !d.Admit {
				wait = observeChanging
			}
			if d.Reason != last {
				last = d.Reason
				event.EngineState.Log(&s.log).Str("reason", string(d.Reason)).Bool("admit", d.Admit).Send()
			}
		} else {
			s.setGate(order.Decision{Admit: true})
		}
		s.announce()
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-s.poke:
		case <-changed:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

func (s *Sidecar) wakeOrders() {
	select {
	case s.poke <- struct{}{}:
	default:
	}
}

// round observes once and sends at most one order.
func (s *Sidecar) round(ctx context.Context) order.Decision {
	began := time.Now()
	octx, cancel := context.WithTimeout(ctx, observeTimeout)
	state, err := s.engine.State(octx)
	cancel()
	a, planned, known := s.planned()
	s.mu.Lock()
	if known && planned {
		s.machine.SetPlanned(a)
	} else if known {
		s.machine.ClearPlanned()
	}
	if err == nil {
		s.observed(began, state)
	}
	d := s.decide()
	s.mu.Unlock()
	if d.Order != nil {
		s.send(*d.Order)
	}
	return d
}

// observed takes a report of the engine. s.mu is held.
func (s *Sidecar) observed(began time.Time, state fighollow.EngineState) {
	before := s.machine.Restarts()
	s.machine.Observe(began, state)
	if s.machine.Restarts() != before {
		s.metrics.restarts.Inc(1)
		event.EngineRestarted.Log(&s.log).Int64("startedMs", state.StartedMs).Send()
	}
	s.admission.SetSlots(state.Slots)
}

// decide asks the machine and sets the gate. A stopping process sends no order. s.mu is held.
func (s *Sidecar) decide() order.Decision {
	if s.leaving {
		s.gateLocked(order.Decision{})
		return order.Decision{Reason: order.Working}
	}
	d := s.machine.Decide(time.Now(), s.admission.InFlight())
	s.gateLocked(d)
	return d
}

// send sends one order and waits for its end.
func (s *Sidecar) send(a fighollow.Assignment) {
	event.OrderSent.Log(&s.log).Str("role", string(a.Role)).Str("model", a.Model).Str("modelVersion", a.ModelVersion).
		Strs("adapters", a.Adapters).Uint64("fence", a.Fence).Send()
	s.metrics.orders.Inc(1)
	// The order outlives a stop of the process: its outcome would otherwise be unknown without need.
	err := s.engine.Order(context.Background(), a)
	event.OrderEnded.Log(&s.log).Uint64("fence", a.Fence).Err(err).Send()
	s.mu.Lock()
	s.machine.OrderEnded(time.Now(), err)
	s.mu.Unlock()
	s.wakeOrders()
}

// planned returns the engine's assignment in the plan of its data centre. known is false without a readable plan.
func (s *Sidecar) planned() (a fighollow.Assignment, planned, known bool) {
	var p fighollow.Plan
	if _, err := s.cat.Decode(fighollow.KindPlan, s.cfg.DataCentre, &p); err != nil {
		s.objectInvalid(err)
		return a, false, false
	}
	a, planned = p.Engines[s.cfg.ID]
	return a, planned, true
}

// objectInvalid reports whether err says that an object is known but cannot be read, and logs it once until another one.
func (s *Sidecar) objectInvalid(err error) bool {
	if err == nil || errors.Is(err, catalog.ErrNotKnown) {
		return false
	}
	if text := err.Error(); s.invalid.Swap(text) != text {
		event.ObjectInvalid.Log(&s.log).Err(err).Send()
	}
	return true
}

func (s *Sidecar) setGate(d order.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gateLocked(d)
}

// gateLocked opens or closes the admission of new work. s.mu is held.
func (s *Sidecar) gateLocked(d order.Decision) {
	g := admission.Unsure
	switch {
	case s.leaving:
		g = admission.Leaving
	case s.drain != "":
		g = admission.Draining
	case s.engine != nil && !s.node.Ready():
	case d.Admit:
		g = admission.Open
	case d.Reason == order.Changing, d.Reason == order.Ordering, d.Reason == order.Working, d.Reason == order.Pausing:
		g = admission.Changing
	}
	if old := s.admission.Gate(); old != g {
		event.GateChanged.Log(&s.log).Str("from", string(old)).Str("to", string(g)).Str("reason", string(d.Reason)).Send()
		s.admission.SetGate(g)
	}
}

// announce tells the members what the engine serves, when that changed.
func (s *Sidecar) announce() {
	s.mu.Lock()
	a := announcement{state: membership.Alive}
	if s.leaving || s.drain != "" {
		a.state = membership.Leaving
	}
	if s.machine != nil {
		if st, ok := s.machine.State(); ok && st.Phase == fighollow.PhaseReady {
			a.role, a.model, a.modelVersion = st.Assignment.Role, st.Assignment.Model, st.Assignment.ModelVersion
		}
	}
	same := a == s.announced
	s.announced = a
	s.mu.Unlock()
	if same {
		return
	}
	s.node.Announce(func(m *membership.Member) {
		m.State, m.Role, m.Model, m.ModelVersion = a.state, a.role, a.model, a.modelVersion
	})
}
