package fighollow

import (
	"context"
	"time"
)

// StoredResponse is a complete response, stored to answer a repeated request with the same idempotency key.
type StoredResponse struct {
	Status      int    `msgpack:"status"` // HTTP status
	ContentType string `msgpack:"contentType"`
	Body        []byte `msgpack:"body"`
}

// KeyLedger decides whether a request with an idempotency key may run. Implementations are safe for concurrent use.
type KeyLedger interface {
	// Claim returns nil and no error if the request may run. A workspace's key is granted to one request only, in the
	// whole fleet and permanently, unless Settle frees it with OutcomeNotRun. If a request with the same key has
	// completed, Claim returns its stored response. Otherwise the error is a *Refusal with CodeKeyNotUUIDv7,
	// CodeKeyInProgress, CodeKeyAlreadyRun or CodeKeyUnknown. request is the id of the request and must be new for each
	// claim.
	Claim(ctx context.Context, now time.Time, workspace Workspace, key, request string) (*StoredResponse, error)

	// Settle records how a request that was granted its key ended. answer may be nil, in which case a repeat gets
	// CodeKeyAlreadyRun. OutcomeNotRun means that the request never ran, so that its key may be granted once more.
	Settle(ctx context.Context, now time.Time, workspace Workspace, key, request string, outcome Outcome, answer *StoredResponse)
}
