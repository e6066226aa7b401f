package planner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// callTimeout bounds one call of the object API, which normally answers within milliseconds.
const callTimeout = 2 * time.Second

// errPending is returned while the outcome of a write is unknown; a later call of writer.resolve retries it.
var errPending = errors.New("planner: write pending")

// writer makes conditional writes and resolves those whose response was lost. It is not safe for concurrent use.
type writer struct {
	store   fighollow.ObjectStore
	cat     *catalog.Catalog
	newID   func() string
	pending map[catalog.Key]pendingWrite
}

type pendingWrite struct {
	object   fighollow.Object
	expected uint64
	id       string
}

func newWriter(store fighollow.ObjectStore, cat *catalog.Catalog, newID func() string) *writer {
	return &writer{store: store, cat: cat, newID: newID, pending: make(map[catalog.Key]pendingWrite)}
}

// put writes value, which must contain the write id. It returns fighollow.ErrConflict if another write won, after which
// the catalog has been refreshed, fighollow.ErrUnavailable if nothing was written, and errPending if the outcome is
// unknown.
func (w *writer) put(ctx context.Context, kind fighollow.Kind, name string, expected uint64, id string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("planner: %w", err)
	}
	if len(raw) > fighollow.MaxValueBytes {
		return fmt.Errorf("planner: %s/%s: %w: %d bytes", kind, name, fighollow.ErrInvalid, len(raw))
	}
	p := pendingWrite{object: fighollow.Object{Kind: kind, Name: name, Value: raw}, expected: expected, id: id}
	err = w.try(ctx, p)
	if errors.Is(err, fighollow.ErrUnavailable) || errors.Is(err, fighollow.ErrConflict) {
		return err
	}
	if err != nil {
		w.pending[catalog.Key{Kind: kind, Name: name}] = p
		return w.resolve(ctx, kind, name)
	}
	return nil
}

func (w *writer) try(ctx context.Context, p pendingWrite) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := w.store.Put(callCtx, p.object, p.expected)
	switch {
	case err == nil:
		o := p.object
		o.Version = version
		w.cat.Apply(o)
		return nil
	case errors.Is(err, fighollow.ErrConflict):
		_, _ = w.refresh(ctx, p.object.Kind, p.object.Name) // otherwise the next step plans from the stale copy and fails again
	}
	return err
}

// resolve determines the outcome of a pending write: it reads the object back and repeats the conditional write while
// the expected version is still current, so that the write takes effect at most once. It returns nil if no write is
// pending, and otherwise errors as put does.
func (w *writer) resolve(ctx context.Context, kind fighollow.Kind, name string) error {
	key := catalog.Key{Kind: kind, Name: name}
	p, ok := w.pending[key]
	if !ok {
		return nil
	}
	current, err := w.refresh(ctx, kind, name)
	if err != nil && !errors.Is(err, fighollow.ErrNotFound) {
		return errPending
	}
	if current.Version == p.expected {
		if err = w.try(ctx, p); err == nil {
			delete(w.pending, key)
			return nil
		}
		if !errors.Is(err, fighollow.ErrConflict) {
			return errPending
		}
		if current, err = w.refresh(ctx, kind, name); err != nil {
			return errPending
		}
	}
	delete(w.pending, key)
	if writeID(current) == p.id {
		return nil
	}
	return fighollow.ErrConflict
}

// refresh reads an object into the catalog.
func (w *writer) refresh(ctx context.Context, kind fighollow.Kind, name string) (fighollow.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := w.store.Get(ctx, kind, name)
	if err != nil {
		return fighollow.Object{}, err
	}
	w.cat.Apply(o)
	return o, nil
}

func writeID(o fighollow.Object) string {
	var v struct {
		WriteID string `json:"writeId"`
	}
	if json.Unmarshal(o.Value, &v) != nil {
		return ""
	}
	return v.WriteID
}
