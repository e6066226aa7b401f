// Package ledger is an at-most-once registry of idempotency keys. It determines the process that holds a key, and that
// holder decides whether a request with the key may run.
//
// The object ledger/{region} assigns ranges of key creation times to holders. A holder keeps its keys in memory only. A
// claim that cannot be decided for certain is refused as unknown, so that a key never runs twice.
package ledger

import (
	"github.com/google/uuid"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Key is a parsed idempotency key.
type Key struct {
	ID        uuid.UUID
	CreatedMs int64 // Unix milliseconds
}

const uuidTextLength = 36

// ParseKey parses a UUIDv7 in its usual form of 36 characters, in upper or lower case. The error is a *Refusal with
// CodeKeyNotUUIDv7.
func ParseKey(text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || len(text) != uuidTextLength || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return Key{}, &fighollow.Refusal{
			Code:    fighollow.CodeKeyNotUUIDv7,
			Message: "the idempotency key must be a UUIDv7",
			Outcome: fighollow.OutcomeNotRun,
		}
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return Key{ID: id, CreatedMs: ms}, nil
}
