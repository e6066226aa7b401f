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

// LeavingTopic is the topic of the Tell with which a sidecar says that it takes no new work. Its body is a map in which
// the entry reads the reason only; the link names the process.
const LeavingTopic = "sidecar.leaving"

// Prefixes of topics for which a handler can be set.
const (
	LedgerTopic = "ledger."
	DemandTopic = "demand."
)

// AskHandler answers a question of a peer, as link.Handler.ServeAsk does.
type AskHandler func(ctx context.Context, c *link.Conn, topic string, body []byte) (any, error)

// TellHandler takes a one-way message of a peer, as link.Handler.HandleTell does.
type TellHandler func(c *link.Conn, topic string, body []byte)

// peerHandler receives what peers send on links.
type peerHandler struct{ e *Entry }

// ServeCall refuses: an entry runs no attempts.
func (h *peerHandler) ServeCall(_ context.Context, _ *link.Call, s *link.ServerStream) {
	r := fighollow.Refusal{Code: fighollow.CodeNoUpstream, Message: "an entry takes no calls", Outcome: fighollow.NotRun}
	// A failed refusal means that the link broke, which the peer sees itself.
	_ = s.Refuse(r, fighollow.Load{})
}

// ServeAsk implements link.Handler.
func (h *peerHandler) ServeAsk(ctx context.Context, c *link.Conn, topic string, body []byte) (any, error) {
	if strings.HasPrefix(topic, spread.Topic) {
		return h.e.node.ServeAsk(ctx, c, topic, body)
	}
	if strings.HasPrefix(topic, LedgerTopic) && h.e.askLedger != nil {
		return h.e.askLedger(ctx, c, topic, body)
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
	case strings.HasPrefix(topic, DemandTopic) && h.e.tellDemand != nil:
		h.e.tellDemand(c, topic, body)
	}
}

// upstreamLeaving keeps new work from a sidecar. One that stops never takes work again; one that drains can be restored.
func (e *Entry) upstreamLeaving(c *link.Conn, body []byte) {
	var leaving struct {
		Reason string `msgpack:"reason"`
	}
	forever := msgpack.Unmarshal(body, &leaving) != nil || leaving.Reason == "" || leaving.Reason == "stop"
	e.balance.left(c.Peer().ID, c.Peer().Incarnation, forever)
	event.UpstreamLeaving.Log(&e.log).Str("upstream", c.Peer().ID).Str("reason", leaving.Reason).Send()
}

// HandleOpen implements link.Handler.
func (h *peerHandler) HandleOpen(*link.Conn) {}

// HandleClose implements link.Handler.
func (h *peerHandler) HandleClose(c *link.Conn, err error) {
	h.e.balance.linkClosed(c.Peer().ID, c.Peer().Incarnation)
	event.LinkClosed.Log(&h.e.log).Str("peer", c.Peer().ID).AnErr("reason", err).Send()
}

func (e *Entry) linkRefused(addr string, err error) {
	event.LinkRefused.Log(&e.log).Str("addr", addr).Err(err).Send()
}
