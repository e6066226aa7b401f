package callerconn

import (
	"net/http"
	"time"
)

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
