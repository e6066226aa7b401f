package callerconn

import (
	"context"
	"net/http"
	"time"
)

// Receiving records whether the rest of the body of the request with the context ctx is awaited from its caller, so that its connection can be
// closed for another one. It has no effect without Context.
func Receiving(ctx context.Context, receiving bool) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.setReceiving(receiving)
	}
}

// setReceiving records whether the body of the request that is being served is incomplete.
func (c *Conn) setReceiving(receiving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case receiving && c.state == stateBusy:
		c.bodyBytes = 0
		c.setState(stateBody)
	case !receiving && c.state == stateBody:
		c.setState(stateBusy)
	}
}

// RefuseBodies wraps the handler h of requests without a body. A request with one is answered with status 413, and its connection is closed
// without reading the body.
func RefuseBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			h.ServeHTTP(w, r)
			return
		}
		Receiving(r.Context(), true)
		w.Header().Set("Connection", "close")
		_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // net/http does not wait for the body; fails only if the connection has ended
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
}
