// Package record writes objects conditionally and determines the outcome of writes whose response was lost.
package record

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// ErrSuperseded means that the response to a write was lost and that the object now has the value of another write. The
// lost write has no effect any more; it may have had until the other write replaced it.
var ErrSuperseded = errors.New("record: overtaken by another write")

const (
	firstRetryDelay = 20 * time.Millisecond
	maxRetryDelay   = time.Second
)

// Put writes o if the object's current version is expected. o.Value must be a JSON object with a unique writeId. If the
// response is lost, Put reads the object back and repeats the write as long as the object has the expected version.
//
// It returns the version written. Errors: ErrConflict (nothing changed), ErrSuperseded, ErrUnavailable (nothing changed),
// ErrInvalid, and ErrUnknownOutcome if ctx ends before the outcome is known.
func Put(ctx context.Context, store fighollow.ObjectStore, o fighollow.Object, expected uint64) (uint64, error) {
	id := writeIDOf(o.Value)
	if id == "" {
		return 0, fmt.Errorf("%w: record: value of %s/%s has no writeId", fighollow.ErrInvalid, o.Kind, o.Name)
	}
	w := conditionalWrite{
		store: store, kind: o.Kind, name: o.Name, expected: expected,
		send:  func() (uint64, error) { return store.Put(ctx, o, expected) },
		isOwn: func(current fighollow.Object) bool { return current.Version != 0 && writeIDOf(current.Value) == id },
	}
	return w.run(ctx)
}

// Delete removes an object if its current version is expected, which must not be 0, and returns the version of the
// deletion. The errors are those of Put. If the response is lost and the object no longer exists, Delete counts as
// successful and returns version 0.
func Delete(ctx context.Context, store fighollow.ObjectStore, kind fighollow.Kind, name string, expected uint64) (uint64, error) {
	if expected == 0 {
		return 0, fmt.Errorf("%w: record: delete of %s/%s without a version", fighollow.ErrInvalid, kind, name)
	}
	w := conditionalWrite{
		store: store, kind: kind, name: name, expected: expected,
		send:  func() (uint64, error) { return store.Delete(ctx, kind, name, expected) },
		isOwn: func(current fighollow.Object) bool { return current.Version == 0 },
	}
	return w.run(ctx)
}

func writeIDOf(value json.RawMessage) string {
	var v struct {
		WriteID string `json:"writeId"`
	}
	if json.Unmarshal(value, &v) != nil {
		return ""
	}
	return v.WriteID
}

// conditionalWrite is one conditional write, which is repeated until its outcome is known.
type conditionalWrite struct {
	store    fighollow.ObjectStore
	kind     fighollow.Kind
	name     string
	expected uint64
	send     func() (uint64, error)
	isOwn    func(current fighollow.Object) bool // whether the object's current state is the result of this write
}

func (w *conditionalWrite) run(ctx context.Context) (uint64, error) {
	version, err := w.send()
	if !errors.Is(err, fighollow.ErrUnknownOutcome) {
		return version, err
	}
	for delay := firstRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		current, readErr := w.read(ctx)
		switch {
		case readErr != nil:
		case w.isOwn(current):
			return current.Version, nil
		case current.Version != w.expected:
			return 0, fmt.Errorf("%w: %s/%s is at version %d", ErrSuperseded, w.kind, w.name, current.Version)
		default:
			// The first write may still arrive. Both have the same expected version, so that only one of them can take
			// effect. A conflict of the repeated write does not show which write changed the object; the next iteration
			// reads the object to find out.
			if version, err = w.send(); err == nil {
				return version, nil
			}
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("%w: record: %s/%s: %w", fighollow.ErrUnknownOutcome, w.kind, w.name, ctx.Err())
		case <-time.After(delay):
		}
	}
}

// read returns the object, or one with version 0 if it does not exist.
func (w *conditionalWrite) read(ctx context.Context) (fighollow.Object, error) {
	o, err := w.store.Get(ctx, w.kind, w.name)
	if errors.Is(err, fighollow.ErrNotFound) {
		return fighollow.Object{}, nil
	}
	return o, err
}
