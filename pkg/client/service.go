package client

import (
	"context"
	"net/http"
)

// ServiceCall is an HTTP request to a plain service.
type ServiceCall struct {
	Service string // name of the plain service
	Method  string // HTTP method
	Path    string // path and query below the service's root, starting with a slash
	Header  http.Header
	Body    []byte
	// Key is the idempotency key, from NewKey; empty if the call may run twice or must not be retried. Without a key, the
	// client does not retry a call whose outcome is unknown.
	Key string
}

// Call sends a request to a plain service and returns the service's response, whatever its status. The caller closes the
// body. Failed requests return an *Error: there was no response, or the system refused the request. A refusal has the
// header X-Request-Id but not X-Fighollow-Upstream.
func (cl *Client) Call(ctx context.Context, s ServiceCall) (*http.Response, error) {
	return cl.send(ctx, call{
		method: s.Method, path: "/services/" + s.Service + s.Path, header: s.Header, body: s.Body, key: s.Key,
	}, isFromUpstream)
}

func isFromUpstream(res *http.Response) bool { return res.Header.Get("X-Fighollow-Upstream") != "" }
