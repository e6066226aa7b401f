// Package httpheader tells the fields of HTTP messages that concern one connection from those that are passed on.
package httpheader

import (
	"net/http"
	"strings"
)

// connectionFields concern one connection only, also where no Connection field names them.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEnd returns a copy of h without the fields that concern one connection. It shares the values with h.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		out[name] = values
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range connectionFields {
		delete(out, name)
	}
	return out
}
