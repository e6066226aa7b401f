// Package roster counts the entries of a deployment, which share the platform's limits without communicating
// directly. Each entry registers itself with an object in the store and polls the objects of the others.
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// pollInterval is the minimum pause between two polls of the entries' objects. Shared limits are counted in windows of
	// 10 s.
	pollInterval = 3 * time.Second
	// pollIntervalPerEntry lengthens the pause in large deployments: an entry's object has about 200 bytes, and the
	// traffic that an entry receives beside its requests is bounded to a few KB/s.
	pollIntervalPerEntry = 60 * time.Millisecond
	// renewInterval is the pause between two writes of an entry's own object. Writes are more expensive than reads.
	renewInterval = 10 * time.Second
	// lapseTimeout is how long an object may stay unchanged before its entry is considered gone: three renewals and a
	// margin for store outages.
	lapseTimeout = 40 * time.Second
	// departedCountTime is how long an entry is still counted after it has gone, because its use of a shared limit counts
	// for that long.
	departedCountTime = 20 * time.Second
)

// Options configures a Roster.
type Options struct {
	Self       string // unique among the entries
	DataCentre string
}

// Roster registers one entry and counts all entries.
type Roster struct {
	opts    Options
	store   fighollow.ObjectStore
	onCount func(entries int)
	log     zerolog.Logger

	version   uint64    // of this entry's object; 0 if unknown
	renewedAt time.Time // when this entry's object was last written
	beat      uint64    // incremented per write, so that every renewal changes the object
	view      view
	lastCount int // last count passed to onCount
}

// New returns a Roster; Run starts it. Run calls onCount with the number of entries whenever it changes.
func New(opts Options, store fighollow.ObjectStore, onCount func(entries int), log zerolog.Logger) *Roster {
	return &Roster{opts: opts, store: store, onCount: onCount, log: log}
}

// Run renews the entry's registration and counts the entries until ctx is done. Then it removes the entry's object.
func (r *Roster) Run(ctx context.Context) {
	pause := rand.N(pollInterval / 4)
	for {
		select {
		case <-ctx.Done():
			r.leave()
			return
		case <-time.After(pause):
		}
		r.round(ctx, time.Now())
		pause = pollPause(r.lastCount)
	}
}

// pollPause returns the pause between two polls for a deployment with the given number of entries.
func pollPause(entries int) time.Duration {
	return max(pollInterval, time.Duration(entries)*pollIntervalPerEntry)
}

// round renews this entry's object if it is due, polls the objects of all entries, and removes those that have lapsed.
func (r *Roster) round(ctx context.Context, now time.Time) {
	// In a new era, the registration may be missing in the store.
	if now.Sub(r.renewedAt) >= renewInterval || r.version == 0 || fighollow.VersionEra(r.version) != fighollow.StoreEra(r.store) {
		r.renew(ctx, now)
	}
	objects, err := fighollow.ListStale(ctx, r.store, fighollow.KindEntry)
	if err != nil {
		event.RosterUnread.Log(&r.log).Err(err).Send()
		return
	}
	entries, lapsed := r.view.observe(now, r.opts.Self, objects)
	for _, o := range lapsed {
		// The delete fails if another entry was faster or if the entry has renewed its object meanwhile.
		_, err := r.store.Delete(ctx, fighollow.KindEntry, o.Name, o.Version)
		event.EntryLapsed.Log(&r.log).Str("entry", o.Name).Uint64("revision", o.Version).Err(err).Send()
	}
	if entries != r.lastCount {
		r.lastCount = entries
		event.EntriesCounted.Log(&r.log).Int("entries", entries).Send()
		r.onCount(entries)
	}
}

// registration is the stored value of an entry's object.
type registration struct {
	DataCentre string `json:"dataCentre"`
	Beat       uint64 `json:"beat"`
}

// renew writes the entry's own object.
func (r *Roster) renew(ctx context.Context, now time.Time) {
	r.beat++
	value, err := json.Marshal(registration{DataCentre: r.opts.DataCentre, Beat: r.beat})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	o := fighollow.Object{Kind: fighollow.KindEntry, Name: r.opts.Self, Value: value}
	version, err := r.store.Put(ctx, o, r.version)
	if errors.Is(err, fighollow.ErrConflict) || errors.Is(err, fighollow.ErrNotFound) {
		// An earlier process of this instance wrote the object, or another entry removed it.
		r.version = 0
		if old, readErr := r.store.Get(ctx, o.Kind, o.Name); readErr == nil {
			r.version = old.Version
		}
		version, err = r.store.Put(ctx, o, r.version)
	}
	if err != nil {
		r.version = 0 // unknown; read again at the next renewal
		event.RosterUnread.Log(&r.log).Err(err).Send()
		return
	}
	r.version, r.renewedAt = version, now
}

// leaveTimeout bounds the removal of this entry's object. If the removal fails, the object lapses.
const leaveTimeout = 500 * time.Millisecond

// leave removes this entry's object, so that the others need not wait until it lapses.
func (r *Roster) leave() {
	if r.version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_, err := r.store.Delete(ctx, fighollow.KindEntry, r.opts.Self, r.version)
	event.EntryLeft.Log(&r.log).Err(err).Send()
}
