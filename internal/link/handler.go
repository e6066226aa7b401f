package link

import (
	"context"
)

// Handler handles the messages that peers send. ServeCall and ServeAsk each run in a goroutine of their own. HandleTell
// is called from the goroutine that reads from the Conn and therefore must not block.
type Handler interface {
	// ServeCall serves one stream opened by the peer. The stream is released when it returns. ctx is cancelled when the
	// peer cancels the stream (context.Cause is then ErrCancelled) or when the link is closed (ErrClosed).
	ServeCall(ctx context.Context, call *Call, s *ServerStream)
	// ServeAsk serves a request that the peer sent with Conn.Ask. body is msgpack; the result is encoded as the body of
	// the reply. The text of an error is sent to the peer.
	ServeAsk(ctx context.Context, c *Conn, topic string, body []byte) (any, error)
	// HandleTell handles a one-way message. body is msgpack.
	HandleTell(c *Conn, topic string, body []byte)
	// HandleOpen is called once after Hello messages were exchanged and before any other message is read. HandleClose is
	// called once, in a goroutine of its own, after the link was closed; err is the cause. HandleOpen must not block.
	HandleOpen(c *Conn)
	HandleClose(c *Conn, err error)
}
