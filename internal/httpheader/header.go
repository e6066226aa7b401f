// Package httpheader separates the hop-by-hop fields of HTTP headers from the end-to-end fields that are forwarded.
package httpheader

import (
	"net/http"
	"strings"
)

// hopByHopFields are removed even if the Connection field does not list them.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEnd returns a copy of h without the hop-by-hop fields: those listed in its Connection fields and those that are
// hop-by-hop by definition. The copy shares its value slices with h.
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
	for _, name := range hopByHopFields {
		delete(out, name)
	}
	return out
}
