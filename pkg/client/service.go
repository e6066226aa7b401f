package client

import (
	"context"
	"net/http"
)

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	Service string
	Method  string
	Path    string // below the service, starting with a slash, with its query
	Header  http.Header
	Body    []byte
	// Key is the idempotency key, from NewKey; empty when the call may be repeated or must not be sent again at all.
	Key string
}

// Call calls a plain service. It returns the service's own response, whatever its status, and the caller closes the
// body. Errors are *Error: refusals of the system, which carry X-Request-Id and no X-Fighollow-Upstream.
func (cl *Client) Call(ctx context.Context, s ServiceCall) (*http.Response, error) {
	return cl.send(ctx, call{
		method: s.Method, path: "/services/" + s.Service + s.Path, header: s.Header, body: s.Body, key: s.Key,
	}, isFromUpstream)
}

func isFromUpstream(res *http.Response) bool { return res.Header.Get("X-Fighollow-Upstream") != "" }
