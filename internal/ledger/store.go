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

// epochStore reads and writes the ledger object of one region.
type epochStore struct {
	store  fighollow.ObjectStore
	cat    *catalog.Catalog
	region string
}

// read returns the current epochs and their version from the object API, or no epochs and version 0 when the object
// does not exist.
func (s epochStore) read(ctx context.Context) (Epochs, uint64, error) {
	var e Epochs
	got, err := s.store.Get(ctx, fighollow.KindLedger, s.region)
	if errors.Is(err, fighollow.ErrNotFound) {
		return e, 0, nil
	}
	if err != nil {
		return e, 0, fmt.Errorf("ledger: read: %w", err)
	}
	s.cat.Apply(got)
	if err := json.Unmarshal(got.Value, &e); err != nil {
		return e, 0, fmt.Errorf("ledger: decode: %w", err)
	}
	return e, got.Version, nil
}

// update applies change to the current epochs and writes the result conditionally. After a conflict it reads the object
// again and retries, until change reports that no write is needed or ctx ends. change must be idempotent: when the
// reply to a write is lost, others may write before this process reads the object back.
func (s epochStore) update(ctx context.Context, change func(Epochs) (Epochs, bool)) (written bool, err error) {
	for ctx.Err() == nil {
		current, version, err := s.read(ctx)
		if err != nil {
			return false, err
		}
		next, changed := change(current)
		if !changed {
			return false, nil
		}
		next.WriteID = uuid.NewString()
		err = s.put(ctx, next, version)
		if err == nil {
			return true, nil
		}
		if !errors.Is(err, fighollow.ErrConflict) && !errors.Is(err, record.ErrSuperseded) {
			return false, err
		}
	}
	return false, ctx.Err()
}

// put writes epochs on the condition that the object has the expected version.
func (s epochStore) put(ctx context.Context, e Epochs, expected uint64) error {
	value, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("ledger: encode: %w", err)
	}
	obj := fighollow.Object{Kind: fighollow.KindLedger, Name: s.region, Value: value}
	if obj.Version, err = record.Put(ctx, s.store, obj, expected); err != nil {
		return fmt.Errorf("ledger: write: %w", err)
	}
	s.cat.Apply(obj)
	return nil
}
