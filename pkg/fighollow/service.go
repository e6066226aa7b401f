package fighollow

import (
	"context"
	"io"
)

// ServiceRequest is one HTTP request to a plain service.
type ServiceRequest struct {
	Method string              `msgpack:"method"`
	Path   string              `msgpack:"path"` // path and query below the service's root, starting with a slash
	Header map[string][]string `msgpack:"header"`
	Body   []byte              `msgpack:"body"`
}

// ServiceResponse is the response of a plain service, with the body still to be read. The receiver closes Body. Reading Body
// ends with io.EOF only if it is complete, as far as the response tells.
type ServiceResponse struct {
	Status int // HTTP status
	Header map[string][]string
	Body   io.ReadCloser
}

// ServiceClient calls one upstream of a plain service. Implementations are safe for concurrent use.
type ServiceClient interface {
	// Do sends a request and returns once the status and header of the response have arrived. It returns ErrNotRun if no
	// connection could be made, so that the request did not run, and ErrUnknownOutcome if it may have run.
	Do(ctx context.Context, req ServiceRequest) (*ServiceResponse, error)
}
