package link

import (
	"context"
)

// Handler receives what peers send. Its methods are called from one goroutine for each Conn, so that they must not
// block, except ServeCall and ServeAsk, which run in goroutines of their own.
type Handler interface {
	// ServeCall serves one stream opened by the peer. It runs until it returns; ctx ends when the peer cancels the
	// stream (context.Cause is then ErrCancelled) or when the link breaks (ErrClosed).
	ServeCall(ctx context.Context, call *Call, s *ServerStream)
	// ServeAsk answers a question. body decodes the question's body; the result is encoded as the reply's body.
	ServeAsk(ctx context.Context, c *Conn, topic string, body []byte) (any, error)
	// HandleTell takes a one-way message.
	HandleTell(c *Conn, topic string, body []byte)
	// HandleOpen is called once after the exchange of Hello, HandleClose once after the link ended.
	HandleOpen(c *Conn)
	HandleClose(c *Conn, err error)
}
