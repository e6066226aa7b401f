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

// Maintainer keeps the last epoch of a region's ledger ahead of the time. Its Step is called where the planner lease of the region
// is held; two at once do no harm, because each write is conditional.
type Maintainer struct {
	Store   fighollow.ObjectStore
	Catalog *catalog.Catalog
	Region  string
	Horizon time.Duration // how far ahead the last epoch reaches; default 15 min
	// KeyLifetime is the age from which keys are refused; default 1 h, and not below that of any holder.
	KeyLifetime time.Duration
	Entries     func() []string // ids of the region's live entries
	Log         zerolog.Logger
}

// DefaultHorizon is the default of Maintainer.Horizon.
const DefaultHorizon = 15 * time.Minute

// Step writes the ledger object when it is due. It calls the object API only when the copy in the catalog needs a change.
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
	var known Epochs
	if o, ok := m.Catalog.Get(fighollow.KindLedger, m.Region); ok && decode(o, &known) == nil {
		if _, due := change(known); !due {
			return nil
		}
	}
	written, err := object{store: m.Store, cat: m.Catalog, region: m.Region}.update(ctx, change)
	if written {
		event.LedgerWritten.Log(&m.Log).Str("region", m.Region).Int("entries", len(entries)).Send()
	}
	return err
}

func decode(o fighollow.Object, v any) error { return json.Unmarshal(o.Value, v) }
