// Package answer tells how the answers of upstreams are framed and whether they are complete.
package answer

import (
	"net/http"
	"slices"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// FramingOf returns how the end of the response's body is marked. A response without a body counts as one with a length.
func FramingOf(resp *http.Response) fighollow.Framing {
	switch {
	case slices.Contains(resp.TransferEncoding, "chunked"):
		return fighollow.FramingChunked
	case resp.ContentLength >= 0, resp.Request != nil && resp.Request.Method == http.MethodHead:
		return fighollow.FramingLength
	}
	return fighollow.FramingConnection
}
