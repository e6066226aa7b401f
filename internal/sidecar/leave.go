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

// LeavingTopic is the topic of a Tell with a Leaving.
const LeavingTopic = "sidecar.leaving"

// Leaving tells an entry that an upstream takes no new work. That it does so again is told through membership.
type Leaving struct {
	ID          string `msgpack:"id"`
	Incarnation int64  `msgpack:"incarnation"` // of the sidecar
	Reason      string `msgpack:"reason"`      // stop, drain, replace or withdraw
}

// tellLeaving tells the entries on the given links that this upstream takes no new work. The channel that it returns is
// closed when all are told.
func (s *Sidecar) tellLeaving(conns []*link.Conn, reason string) <-chan struct{} {
	body := Leaving{ID: s.cfg.ID, Incarnation: s.incarnation, Reason: reason}
	var wg sync.WaitGroup
	for _, c := range conns {
		if c.Peer().Kind == fighollow.InstanceEntry {
			// A slow peer must not delay the word to the others. A failed Tell closes its link.
			wg.Go(func() { _ = c.Tell(LeavingTopic, body) })
		}
	}
	event.LeavingSent.Log(&s.log).Str("reason", reason).Int("links", len(conns)).Send()
	told := make(chan struct{})
	go func() {
		wg.Wait()
		close(told)
	}()
	return told
}

func (s *Sidecar) openConns() []*link.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*link.Conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// readDrain follows the operator's wish for this upstream.
func (s *Sidecar) readDrain() {
	var d fighollow.Drain
	_, err := s.cat.Decode(fighollow.KindDrain, s.cfg.ID, &d)
	if s.objectInvalid(err) {
		return // the last readable wish stands
	}
	s.mu.Lock()
	old, action := s.drain, d.Action
	if d.Action == fighollow.ActionReplace && d.Incarnation != 0 {
		action = s.replaced(d)
	}
	s.drain = action
	s.mu.Unlock()
	if old == action {
		return
	}
	event.DrainChanged.Log(&s.log).Str("action", string(action)).Str("by", d.By).Send()
	if action != "" {
		s.tellLeaving(s.openConns(), string(action))
	}
}

// replaced returns the action of a replacement: none for an upstream that started after the one that is to go. s.mu is
// held.
func (s *Sidecar) replaced(d fighollow.Drain) fighollow.DrainAction {
	started := s.incarnation
	if s.machine != nil {
		state, ok := s.machine.State()
		if !ok {
			return s.drain // nothing is admitted before the next observation
		}
		started = state.StartedMs
	}
	if started > d.Incarnation {
		return ""
	}
	return d.Action
}

// stop refuses new work, says so, and returns when every accepted attempt has ended and its answer has arrived.
func (s *Sidecar) stop() {
	event.ProcessStopping.Log(&s.log).Send()
	s.mu.Lock()
	s.leaving = true
	s.gateLocked(order.Decision{})
	s.mu.Unlock()
	s.announce()
	select {
	case <-s.tellLeaving(s.openConns(), "stop"):
	case <-time.After(flushTimeout):
	}
	for {
		s.mu.Lock()
		idle := s.idle
		working, kept := s.admission.InFlight(), len(s.held)
		s.mu.Unlock()
		if kept == 0 || working == 0 && s.relayed() && s.flush() {
			break
		}
		t := time.NewTimer(stopPoll)
		select {
		case <-idle:
		case <-t.C:
		}
		t.Stop()
	}
	s.flush()
}

const (
	stopPoll     = 50 * time.Millisecond
	flushTimeout = 2 * time.Second
	flushTopic   = "sidecar.flush"
)

// relayed reports whether each kept answer was given whole to a link.
func (s *Sidecar) relayed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.held {
		if !a.relayedWhole() {
			return false
		}
	}
	return true
}

// flush reports whether every link's peer has received all that was sent. A link carries messages in order, so the
// reply to a question, even one that the peer does not know, shows that those before it arrived.
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
