package ledger

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Maintainer keeps the end of the last epoch of a region's ledger in the future. The process that holds the region's
// planner lease calls Step; concurrent maintainers are harmless because each write is conditional.
type Maintainer struct {
	Store   fighollow.ObjectStore
	Catalog *catalog.Catalog
	Region  string
	Horizon time.Duration // time from now to the end of a renewed epoch; default 15 min
	// KeyLifetime is the age above which keys are refused; default 1 h. It must not be below that of any holder.
	KeyLifetime time.Duration
	Entries     func() []string // ids of the region's live entries
	Log         zerolog.Logger
}

// DefaultHorizon is the default of Maintainer.Horizon.
const DefaultHorizon = 15 * time.Minute

// Step writes the ledger object when it needs a change. It does not call the object API when the catalog's copy needs
// none.
func (m *Maintainer) Step(ctx context.Context, now time.Time) error {
	horizon, lifetime := m.Horizon, m.KeyLifetime
	if horizon == 0 {
		horizon = DefaultHorizon
	}
	if lifetime == 0 {
		lifetime = DefaultKeyLifetime
	}
	entries := m.Entries()
	change := func(e Epochs) (Epochs, bool) {
		return e.Maintain(m.Region, entries, now.UnixMilli(), horizon.Milliseconds(), lifetime.Milliseconds())
	}
	var cached Epochs
	if o, ok := m.Catalog.Get(fighollow.KindLedger, m.Region); ok && decode(o, &cached) == nil {
		if _, changed := change(cached); !changed {
			return nil
		}
	}
	written, err := epochStore{store: m.Store, cat: m.Catalog, region: m.Region}.update(ctx, change)
	if written {
		event.LedgerWritten.Log(&m.Log).Str("region", m.Region).Int("entries", len(entries)).Send()
	}
	return err
}

func decode(o fighollow.Object, v any) error { return json.Unmarshal(o.Value, v) }
