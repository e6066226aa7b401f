package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/record"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// object reads and changes the object of one region's ledger.
type object struct {
	store  fighollow.ObjectStore
	cat    *catalog.Catalog
	region string
}

// read returns the present epochs and version from the object API; version 0 and no epochs when there is no object.
func (o object) read(ctx context.Context) (Epochs, uint64, error) {
	var e Epochs
	got, err := o.store.Get(ctx, fighollow.KindLedger, o.region)
	if errors.Is(err, fighollow.ErrNotFound) {
		return e, 0, nil
	}
	if err != nil {
		return e, 0, fmt.Errorf("ledger: read: %w", err)
	}
	o.cat.Apply(got)
	if err := json.Unmarshal(got.Value, &e); err != nil {
		return e, 0, fmt.Errorf("ledger: decode: %w", err)
	}
	return e, got.Version, nil
}

// update writes what change makes of the present epochs, and again after a lost race, until change reports nothing to
// do or ctx ends. change must be idempotent: a write whose answer was lost can be followed by other writers' before it
// is read back.
func (o object) update(ctx context.Context, change func(Epochs) (Epochs, bool)) (written bool, err error) {
	for ctx.Err() == nil {
		present, version, err := o.read(ctx)
		if err != nil {
			return false, err
		}
		next, changed := change(present)
		if !changed {
			return false, nil
		}
		next.WriteID = uuid.NewString()
		err = o.put(ctx, next, version)
		if err == nil {
			return true, nil
		}
		if !errors.Is(err, fighollow.ErrConflict) && !errors.Is(err, record.ErrOvertaken) {
			return false, err
		}
	}
	return false, ctx.Err()
}

func (o object) put(ctx context.Context, e Epochs, expected uint64) error {
	value, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("ledger: encode: %w", err)
	}
	obj := fighollow.Object{Kind: fighollow.KindLedger, Name: o.region, Value: value}
	if obj.Version, err = record.Put(ctx, o.store, obj, expected); err != nil {
		return fmt.Errorf("ledger: write: %w", err)
	}
	o.cat.Apply(obj)
	return nil
}
