// Package operator carries out the operators' commands on the objects of the platform's object API.
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

// Errors of commands, to be tested with errors.Is.
var (
	// ErrLostRace says that another operator's change came first; the message names it and its author.
	ErrLostRace = errors.New("operator: another change came first")
	// ErrNoSuchPreset says that no preset has this name.
	ErrNoSuchPreset = errors.New("operator: no such preset")
	// ErrNoSuchEngine says that the platform's list has no such engine.
	ErrNoSuchEngine = errors.New("operator: no such engine")
	// ErrNoPresetInForce says that no preset has been chosen yet.
	ErrNoPresetInForce = errors.New("operator: no preset is in force")
)

// Operator carries out commands in the name of one person. It is safe for concurrent use.
type Operator struct {
	store fighollow.ObjectStore
	by    string
}

// New returns an Operator that acts on store in the name of by.
func New(store fighollow.ObjectStore, by string) *Operator {
	return &Operator{store: store, by: by}
}

// write puts value under a condition and settles a lost answer. value must hold a writeId.
func (o *Operator) write(ctx context.Context, kind fighollow.Kind, name string, value any, expected uint64) (uint64, error) {
	b, err := json.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("operator: encode %s/%s: %w", kind, name, err)
	}
	return record.Put(ctx, o.store, fighollow.Object{Kind: kind, Name: name, Value: b}, expected)
}

// read decodes an object and returns its version; a missing object has version 0 and leaves v unchanged.
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

// lostRace reports whether a write failed because another one came first or replaced it before its lost answer was
// settled.
func lostRace(err error) bool {
	return errors.Is(err, fighollow.ErrConflict) || errors.Is(err, record.ErrOvertaken)
}

func newWriteID() string { return uuid.NewString() }
