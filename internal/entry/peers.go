package entry

import (
	"context"
	"fmt"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/spread"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// LeavingTopic is the topic of the Tell with which a sidecar announces that it accepts no new work. Its body is a map, of
// which the entry reads only the reason. The sidecar is identified by its link.
const LeavingTopic = "sidecar.leaving"

// Prefixes of the topics for which a handler can be set.
const (
	LedgerTopic = "ledger."
	DemandTopic = "demand."
)

// AskHandler answers a request of a peer, with the contract of link.Handler.ServeAsk.
type AskHandler func(ctx context.Context, c *link.Conn, topic string, body []byte) (any, error)

// TellHandler handles a one-way message of a peer, with the contract of link.Handler.HandleTell.
type TellHandler func(c *link.Conn, topic string, body []byte)

// peerHandler implements link.Handler for the entry's links.
type peerHandler struct{ e *Entry }

// ServeCall refuses every call, because an entry runs no attempts.
func (h *peerHandler) ServeCall(_ context.Context, _ *link.Call, s *link.ServerStream) {
	r := fighollow.Refusal{Code: fighollow.CodeNoUpstream, Message: "an entry takes no calls", Outcome: fighollow.OutcomeNotRun}
	// If the refusal cannot be sent, the link is broken, which the peer detects too.
	_ = s.Refuse(r, fighollow.Load{})
}

// ServeAsk implements link.Handler.
func (h *peerHandler) ServeAsk(ctx context.Context, c *link.Conn, topic string, body []byte) (any, error) {
	if strings.HasPrefix(topic, spread.Topic) {
		return h.e.node.ServeAsk(ctx, c, topic, body)
	}
	if strings.HasPrefix(topic, LedgerTopic) && h.e.ledgerHandler != nil {
		return h.e.ledgerHandler(ctx, c, topic, body)
	}
	return nil, fmt.Errorf("entry: unknown topic %s", topic)
}

// HandleTell implements link.Handler.
func (h *peerHandler) HandleTell(c *link.Conn, topic string, body []byte) {
	switch {
	case topic == LeavingTopic:
		h.e.upstreamLeaving(c, body)
	case strings.HasPrefix(topic, spread.Topic):
		h.e.node.HandleTell(c, topic, body)
	case strings.HasPrefix(topic, DemandTopic) && h.e.demandHandler != nil:
		h.e.demandHandler(c, topic, body)
	}
}

// upstreamLeaving stops new attempts on an upstream. A sidecar that stops accepts no work again; one that drains can be
// restored. A missing or unreadable reason counts as a stop.
func (e *Entry) upstreamLeaving(c *link.Conn, body []byte) {
	var leaving struct {
		Reason string `msgpack:"reason"`
	}
	permanent := msgpack.Unmarshal(body, &leaving) != nil || leaving.Reason == "" || leaving.Reason == "stop"
	e.balancer.leaving(c.Peer().ID, c.Peer().Incarnation, permanent)
	event.UpstreamLeaving.Log(&e.log).Str("upstream", c.Peer().ID).Str("reason", leaving.Reason).Send()
}

// HandleOpen implements link.Handler.
func (h *peerHandler) HandleOpen(*link.Conn) {}

// HandleClose implements link.Handler.
func (h *peerHandler) HandleClose(c *link.Conn, err error) {
	h.e.balancer.linkClosed(c.Peer().ID, c.Peer().Incarnation)
	event.LinkClosed.Log(&h.e.log).Str("peer", c.Peer().ID).AnErr("reason", err).Send()
}

func (e *Entry) logLinkRefused(addr string, err error) {
	event.LinkRefused.Log(&e.log).Str("addr", addr).Err(err).Send()
}
