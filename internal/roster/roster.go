// Package roster counts the entries of a deployment, which share the platform's bounds without talking to each other. Each
// entry keeps an object of its own in the store and looks at those of the others.
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
	// lookEvery is the pause between two looks at the other entries. What they share is counted in windows of ten seconds.
	lookEvery = 3 * time.Second
	// lookPerEntry makes looks rarer in large deployments: the object of an entry is about 200 bytes, and all that an entry
	// receives beside its requests is bounded by some KB a second.
	lookPerEntry = 60 * time.Millisecond
	// renewEvery is the pause between two writes of an entry's own object; writes are dear.
	renewEvery = 10 * time.Second
	// lapseAfter is how long an object may stay unchanged until its entry is taken to be gone: three renewals and a margin
	// for outages of the store.
	lapseAfter = 40 * time.Second
	// countFor is how long an entry that has gone is still counted: what it took of a shared bound counts that long.
	countFor = 20 * time.Second
)

// Options adjust a Roster.
type Options struct {
	Self       string // unique among the entries
	DataCentre string
}

// Roster is an entry's part in counting.
type Roster struct {
	opts    Options
	store   fighollow.ObjectStore
	counted func(entries int)
	log     zerolog.Logger

	version uint64    // of the own object; 0 when it is not known
	renewed time.Time // when the own object was written
	beat    uint64    // makes each write a change
	view    view
	told    int // the last count
}

// New returns a Roster; Run starts it. counted is called whenever the count changes.
func New(opts Options, store fighollow.ObjectStore, counted func(entries int), log zerolog.Logger) *Roster {
	return &Roster{opts: opts, store: store, counted: counted, log: log}
}

// Run registers the entry and counts the others until ctx is done. Then it removes the entry's object.
func (r *Roster) Run(ctx context.Context) {
	pause := rand.N(lookEvery / 4)
	for {
		select {
		case <-ctx.Done():
			r.leave()
			return
		case <-time.After(pause):
		}
		r.round(ctx, time.Now())
		pause = lookPause(r.told)
	}
}

// lookPause returns the pause between two looks at so many entries.
func lookPause(entries int) time.Duration {
	return max(lookEvery, time.Duration(entries)*lookPerEntry)
}

func (r *Roster) round(ctx context.Context, now time.Time) {
	if now.Sub(r.renewed) >= renewEvery || r.version == 0 {
		r.renew(ctx, now)
	}
	objects, err := fighollow.ListStale(ctx, r.store, fighollow.KindEntry)
	if err != nil {
		event.RosterUnread.Log(&r.log).Err(err).Send()
		return
	}
	entries, lapsed := r.view.look(now, r.opts.Self, objects)
	for _, o := range lapsed {
		// Another entry may be faster, or the entry may have come back.
		_, err := r.store.Delete(ctx, fighollow.KindEntry, o.Name, o.Version)
		event.EntryLapsed.Log(&r.log).Str("entry", o.Name).Uint64("revision", o.Version).Err(err).Send()
	}
	if entries != r.told {
		r.told = entries
		event.EntriesCounted.Log(&r.log).Int("entries", entries).Send()
		r.counted(entries)
	}
}

// registration is an entry's object.
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
		// A former process of this machine wrote it, or it was removed.
		r.version = 0
		if old, readErr := r.store.Get(ctx, o.Kind, o.Name); readErr == nil {
			r.version = old.Version
		}
		version, err = r.store.Put(ctx, o, r.version)
	}
	if err != nil {
		r.version = 0 // it is read back at the next renewal
		event.RosterUnread.Log(&r.log).Err(err).Send()
		return
	}
	r.version, r.renewed = version, now
}

// leaveTimeout bounds the removal of the own object; without it the object lapses.
const leaveTimeout = 500 * time.Millisecond

func (r *Roster) leave() {
	if r.version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_, err := r.store.Delete(ctx, fighollow.KindEntry, r.opts.Self, r.version)
	event.EntryLeft.Log(&r.log).Err(err).Send()
}
