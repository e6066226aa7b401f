// Package record writes objects conditionally and settles writes whose answer was lost.
package record

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// ErrOvertaken says that an answer was lost and that another write is in place now. The own write is not in force; it
// may have been for a while before the other one replaced it.
var ErrOvertaken = errors.New("record: overtaken by another write")

const (
	firstPause = 20 * time.Millisecond
	maxPause   = time.Second
)

// Put writes o if its present version is expected. o.Value must be a JSON object with a unique writeId. When the answer
// is lost, it reads the object back and repeats the write as long as the old version is in place.
//
// It returns the version written. Errors: ErrConflict (nothing changed), ErrOvertaken, ErrUnavailable (nothing changed),
// ErrInvalid, and ErrUnknownOutcome when ctx ends before the outcome is known.
func Put(ctx context.Context, store fighollow.ObjectStore, o fighollow.Object, expected uint64) (uint64, error) {
	id := writeID(o.Value)
	if id == "" {
		return 0, fmt.Errorf("%w: record: value of %s/%s has no writeId", fighollow.ErrInvalid, o.Kind, o.Name)
	}
	s := settler{
		store: store, kind: o.Kind, name: o.Name, expected: expected,
		write: func() (uint64, error) { return store.Put(ctx, o, expected) },
		own:   func(present fighollow.Object) bool { return present.Version != 0 && writeID(present.Value) == id },
	}
	return s.run(ctx)
}

// Delete removes an object if its present version is expected, which must not be 0. Errors as for Put; an object that
// is gone after a lost answer counts as deleted here, and its version is then returned as 0.
func Delete(ctx context.Context, store fighollow.ObjectStore, kind fighollow.Kind, name string, expected uint64) (uint64, error) {
	if expected == 0 {
		return 0, fmt.Errorf("%w: record: delete of %s/%s without a version", fighollow.ErrInvalid, kind, name)
	}
	s := settler{
		store: store, kind: kind, name: name, expected: expected,
		write: func() (uint64, error) { return store.Delete(ctx, kind, name, expected) },
		own:   func(present fighollow.Object) bool { return present.Version == 0 },
	}
	return s.run(ctx)
}

func writeID(value json.RawMessage) string {
	var v struct {
		WriteID string `json:"writeId"`
	}
	if json.Unmarshal(value, &v) != nil {
		return ""
	}
	return v.WriteID
}

// settler repeats one write until its outcome is known.
type settler struct {
	store    fighollow.ObjectStore
	kind     fighollow.Kind
	name     string
	expected uint64
	write    func() (uint64, error)
	own      func(present fighollow.Object) bool // whether the object in place is the result of this write
}

func (s *settler) run(ctx context.Context) (uint64, error) {
	version, err := s.write()
	if !errors.Is(err, fighollow.ErrUnknownOutcome) {
		return version, err
	}
	for pause := firstPause; ; pause = min(2*pause, maxPause) {
		present, readErr := s.read(ctx)
		switch {
		case readErr != nil:
		case s.own(present):
			return present.Version, nil
		case present.Version != s.expected:
			return 0, fmt.Errorf("%w: %s/%s is at version %d", ErrOvertaken, s.kind, s.name, present.Version)
		default:
			// The first write may still arrive. With the same expected version only one of the two can take effect, so a
			// conflict of the repeat does not tell whose write is in place: the next round reads it.
			if version, err = s.write(); err == nil {
				return version, nil
			}
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("%w: record: %s/%s: %w", fighollow.ErrUnknownOutcome, s.kind, s.name, ctx.Err())
		case <-time.After(pause):
		}
	}
}

// read returns the object in place, or one with version 0 when there is none.
func (s *settler) read(ctx context.Context) (fighollow.Object, error) {
	o, err := s.store.Get(ctx, s.kind, s.name)
	if errors.Is(err, fighollow.ErrNotFound) {
		return fighollow.Object{}, nil
	}
	return o, err
}
