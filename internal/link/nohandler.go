package link

import (
	"context"
	"errors"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// NoHandler is a Handler for links on which this process serves nothing: it refuses calls, rejects Asks and ignores
// one-way messages.
type NoHandler struct{}

var errNoHandler = errors.New("not served on this link")

// ServeCall refuses the call with OutcomeNotRun.
func (NoHandler) ServeCall(_ context.Context, _ *Call, s *ServerStream) {
	// A failed send closes the link, which the peer detects.
	_ = s.Refuse(fighollow.Refusal{
		Code: fighollow.CodeNoUpstream, Message: errNoHandler.Error(), Outcome: fighollow.OutcomeNotRun,
	}, fighollow.Load{})
}

// ServeAsk returns an error.
func (NoHandler) ServeAsk(context.Context, *Conn, string, []byte) (any, error) {
	return nil, errNoHandler
}

// HandleTell does nothing.
func (NoHandler) HandleTell(*Conn, string, []byte) {}

// HandleOpen does nothing.
func (NoHandler) HandleOpen(*Conn) {}

// HandleClose does nothing.
func (NoHandler) HandleClose(*Conn, error) {}
