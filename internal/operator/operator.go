// Package operator executes operators' commands by reading and writing objects in the platform's object API.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"github.com/fighollow/fighollow/internal/record"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Errors of commands, to be compared with errors.Is.
var (
	// ErrConflict means that another operator changed the object first. For the preset in force, the message has the
	// other preset and who chose it.
	ErrConflict = errors.New("operator: another change came first")
	// ErrNoSuchPreset means that no preset has this name.
	ErrNoSuchPreset = errors.New("operator: no such preset")
	// ErrNoSuchEngine means that the platform's list of instances has no engine with this id.
	ErrNoSuchEngine = errors.New("operator: no such engine")
	// ErrNoPresetInForce means that no preset has been put in force yet.
	ErrNoPresetInForce = errors.New("operator: no preset is in force")
)

// Operator executes commands on behalf of one person. It is safe for concurrent use.
type Operator struct {
	store fighollow.ObjectStore
	by    string // recorded as the author of changes
}

// New returns an Operator that uses store and records by as the author of its changes.
func New(store fighollow.ObjectStore, by string) *Operator {
	return &Operator{store: store, by: by}
}

// write stores value if the object's current version is expected, and returns the new version. If the response is lost,
// write determines the outcome by the writeId, which value must have.
func (o *Operator) write(ctx context.Context, kind fighollow.Kind, name string, value any, expected uint64) (uint64, error) {
	b, err := json.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("operator: encode %s/%s: %w", kind, name, err)
	}
	return record.Put(ctx, o.store, fighollow.Object{Kind: kind, Name: name, Value: b}, expected)
}

// read decodes an object into v and returns its version. If the object does not exist, read returns 0 and leaves v
// unchanged.
func (o *Operator) read(ctx context.Context, kind fighollow.Kind, name string, v any) (uint64, error) {
	obj, err := o.store.Get(ctx, kind, name)
	if errors.Is(err, fighollow.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("operator: read %s/%s: %w", kind, name, err)
	}
	if err := json.Unmarshal(obj.Value, v); err != nil {
		return 0, fmt.Errorf("operator: decode %s/%s: %w", kind, name, err)
	}
	return obj.Version, nil
}

// isConflict reports whether a write failed because the object had another version, or because its response was lost and
// another write replaced it before its outcome was determined.
func isConflict(err error) bool {
	return errors.Is(err, fighollow.ErrConflict) || errors.Is(err, record.ErrOvertaken)
}

func newWriteID() string { return uuid.NewString() }
