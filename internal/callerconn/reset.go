// Package callerconn bounds the connections of callers: their number, the time that they may take, their headers and the buffers of the
// kernel. It ends them so that an aborted response cannot be taken for a complete one.
package callerconn

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// Context is the callback for http.Server.ConnContext that ResetAborted needs.
func Context(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// ResetAborted wraps the handler h. A caller that speaks HTTP/1.0 knows the end of a body without a length only from the end
// of its connection. Until h has returned, such a connection ends by a reset, whether the response is aborted, the server is
// closed or the process is killed.
func ResetAborted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tcp, ok := r.Context().Value(connKey{}).(interface{ SetLinger(sec int) error })
		if r.ProtoAtLeast(1, 1) || !ok {
			h.ServeHTTP(w, r)
			return
		}
		_ = tcp.SetLinger(0) // fails only if the connection has ended
		h.ServeHTTP(w, r)
		_ = tcp.SetLinger(-1) // not reached after a panic, which aborts the response
	})
}
