package fighollow

import (
	"context"
	"time"
)

// StoredAnswer is a whole answer kept for a repeat of its idempotency key.
type StoredAnswer struct {
	Status      int    `msgpack:"status"`
	ContentType string `msgpack:"contentType"`
	Body        []byte `msgpack:"body"`
}

// KeyLedger decides whether a request with an idempotency key may run. Implementations are safe for concurrent use.
type KeyLedger interface {
	// Claim returns nil and no error when the request may run; it grants a key at most once in the fleet, for ever. It
	// returns the stored answer of a completed request with the same key, or a *Refusal as error (CodeKeyNotUUIDv7,
	// CodeKeyInProgress, CodeKeyAlreadyRun, CodeKeyUnknown).
	Claim(ctx context.Context, now time.Time, workspace Workspace, key, request string) (*StoredAnswer, error)

	// Settle reports how a granted request ended. answer may be nil. Outcome NotRun means that it never ran, so that
	// the key may be granted once more.
	Settle(ctx context.Context, now time.Time, workspace Workspace, key, request string, outcome Outcome, answer *StoredAnswer)
}
