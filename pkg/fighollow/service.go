package fighollow

import (
	"context"
	"io"
)

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	Method string              `msgpack:"method"`
	Path   string              `msgpack:"path"` // path and query below the service's root, starting with a slash
	Header map[string][]string `msgpack:"header"`
	Body   []byte              `msgpack:"body"`
}

// ServiceResponse is the answer of a plain service. The receiver closes Body.
type ServiceResponse struct {
	Status int
	Header map[string][]string
	Body   io.ReadCloser
}

// ServiceClient calls one upstream of a plain service. Implementations are safe for concurrent use.
type ServiceClient interface {
	// Do returns ErrNotRun when no connection could be made, so that the call did not start, and ErrUnknownOutcome
	// when it may have started.
	Do(ctx context.Context, req ServiceRequest) (*ServiceResponse, error)
}
