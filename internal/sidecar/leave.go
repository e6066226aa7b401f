package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/order"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// LeavingTopic is the topic of the Tell whose body is a Leaving.
const LeavingTopic = "sidecar.leaving"

// Leaving notifies an entry that an upstream no longer accepts new work. The return to service is announced through
// membership.
type Leaving struct {
	ID          string `msgpack:"id"`
	Incarnation int64  `msgpack:"incarnation"` // of the sidecar
	Reason      string `msgpack:"reason"`      // stop, drain, replace or withdraw
}

// sendLeaving sends a Leaving to the entries among the peers of the given links. The returned channel is closed when
// all sends have ended.
func (s *Sidecar) sendLeaving(conns []*link.Conn, reason string) <-chan struct{} {
	msg := Leaving{ID: s.cfg.ID, Incarnation: s.incarnation, Reason: reason}
	var wg sync.WaitGroup
	for _, c := range conns {
		if c.Peer().Kind == fighollow.InstanceEntry {
			// Each send has its own goroutine, so that a slow peer does not delay the others. A failed Tell closes its link.
			wg.Go(func() { _ = c.Tell(LeavingTopic, msg) })
		}
	}
	event.LeavingSent.Log(&s.log).Str("reason", reason).Int("links", len(conns)).Send()
	sent := make(chan struct{})
	go func() {
		wg.Wait()
		close(sent)
	}()
	return sent
}

func (s *Sidecar) openConns() []*link.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*link.Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// updateDrain applies the operator's Drain object for this upstream and notifies the entries of a new action.
func (s *Sidecar) updateDrain() {
	var d fighollow.Drain
	_, err := s.cat.Decode(fighollow.KindDrain, s.cfg.ID, &d)
	if s.logInvalidObject(err) {
		return // the last readable action stays in force
	}
	s.mu.Lock()
	old, action := s.drain, d.Action
	if d.Action == fighollow.ActionReplace && d.Incarnation != 0 {
		action = s.replaceAction(d)
	}
	s.drain = action
	s.mu.Unlock()
	if old == action {
		return
	}
	event.DrainChanged.Log(&s.log).Str("action", string(action)).Str("by", d.By).Send()
	if action != "" {
		s.sendLeaving(s.openConns(), string(action))
	}
}

// replaceAction returns the action that a replacement requires: none if the upstream started after the time in
// d.Incarnation and thus is the successor. s.mu must be held.
func (s *Sidecar) replaceAction(d fighollow.Drain) fighollow.DrainAction {
	started := s.incarnation
	if s.machine != nil {
		state, ok := s.machine.State()
		if !ok {
			return s.drain // no work is admitted before the next observation
		}
		started = state.StartedMs
	}
	if started > d.Incarnation {
		return ""
	}
	return d.Action
}

// drainAndStop closes admission, notifies the entries and the members, and returns when every accepted attempt has
// ended and its answer has arrived or its resume window has passed.
func (s *Sidecar) drainAndStop() {
	event.ProcessStopping.Log(&s.log).Send()
	s.mu.Lock()
	s.stopping = true
	s.setGateLocked(order.Decision{})
	s.mu.Unlock()
	s.announce()
	select {
	case <-s.sendLeaving(s.openConns(), "stop"):
	case <-time.After(flushTimeout):
	}
	for {
		s.mu.Lock()
		removed := s.attemptRemoved
		inFlight, held := s.queue.InFlight(), len(s.attempts)
		s.mu.Unlock()
		if held == 0 || inFlight == 0 && s.allRelayed() && s.flush() {
			break
		}
		t := time.NewTimer(stopPollInterval)
		select {
		case <-removed:
		case <-t.C:
		}
		t.Stop()
	}
	s.flush()
}

const (
	stopPollInterval = 50 * time.Millisecond
	flushTimeout     = 2 * time.Second
	flushTopic       = "sidecar.flush"
)

// allRelayed reports whether the whole answer of each attempt was sent over a link.
func (s *Sidecar) allRelayed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts {
		if !a.isRelayed() {
			return false
		}
	}
	return true
}

// flush reports whether the peers of all links have received every message sent so far. A link delivers messages in
// order, so any reply to an Ask, even an error for an unknown topic, shows that the messages before it have arrived.
func (s *Sidecar) flush() bool {
	conns := s.openConns()
	results := make(chan bool, len(conns))
	for _, c := range conns {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
			defer cancel()
			err := c.Ask(ctx, flushTopic, nil, nil)
			results <- err == nil || errors.Is(err, link.ErrRemote)
		}()
	}
	all := true
	for range conns {
		all = <-results && all
	}
	return all
}
