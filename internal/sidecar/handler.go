package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/spread"
)

// ServeAsk implements link.Handler. It serves the topics of spread only.
func (s *Sidecar) ServeAsk(ctx context.Context, c *link.Conn, topic string, body []byte) (any, error) {
	if strings.HasPrefix(topic, spread.Topic) {
		return s.node.ServeAsk(ctx, c, topic, body)
	}
	return nil, fmt.Errorf("sidecar: unknown topic %s", topic)
}

// HandleTell implements link.Handler. It handles the topics of spread and ignores others.
func (s *Sidecar) HandleTell(c *link.Conn, topic string, body []byte) {
	if strings.HasPrefix(topic, spread.Topic) {
		s.node.HandleTell(c, topic, body)
	}
}

// HandleOpen implements link.Handler. It registers the link and, if this upstream does not accept new work, notifies
// the peer.
func (s *Sidecar) HandleOpen(c *link.Conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	reason := string(s.drain)
	if s.stopping {
		reason = "stop"
	}
	s.mu.Unlock()
	if reason != "" {
		s.sendLeaving([]*link.Conn{c}, reason)
	}
}

// HandleClose implements link.Handler. It unregisters the link.
func (s *Sidecar) HandleClose(c *link.Conn, err error) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	if errors.Is(err, io.EOF) {
		err = nil
	}
	event.LinkClosed.Log(&s.log).Str("peer", c.Peer().ID).Err(err).Send()
}

func (s *Sidecar) linkRefused(addr string, err error) {
	event.LinkRefused.Log(&s.log).Str("address", addr).Err(err).Send()
}
