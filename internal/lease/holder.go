// Package lease elects the one entry that performs the duties which one entry performs at a time, by an object in the store.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Options configures a Holder.
type Options struct {
	Self     string        // name of this entry in the lease
	Duration time.Duration // the shortest pause between the acts of two holders, unless the first releases the lease
	// Clock returns the time since boot, including the time in which the machine was suspended; nil for the system's clock.
	Clock func() time.Duration
}

// Choice is the operator's choice of a preset, which the lease's record carries from holder to holder.
type Choice interface {
	// Heard is called with the choice that a record names, and the era in which the record was read.
	Heard(era uint64, chosenMs int64)
	// ChosenMs returns when the newest choice known was made, in Unix milliseconds; 0 if none is known.
	ChosenMs() int64
}

// Holder competes for the lease on behalf of one entry. It is safe for concurrent use, except that one goroutine at a time may call
// Step and Release.
type Holder struct {
	opts  Options
	store fighollow.ObjectStore
	log   zerolog.Logger

	mu       sync.Mutex
	state    state
	actsEnd  time.Duration // when the last act that Fence allowed has ended
	released bool
}

// New returns a Holder that does not hold the lease.
func New(opts Options, store fighollow.ObjectStore, log zerolog.Logger) *Holder {
	if opts.Clock == nil {
		opts.Clock = bootTime
	}
	return &Holder{opts: opts, store: store, log: log, state: newState(opts.Self, opts.Duration, opts.Clock())}
}

// bootTime returns the time since boot. Unlike the clock of time.Since, it includes the time in which the machine was
// suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // unreachable: every supported kernel has this clock
	}
	return time.Duration(ts.Nano())
}

// record is the stored value of the lease.
type record struct {
	Holder string `json:"holder"`
	Round  uint64 `json:"round"`         // differs in each write, so that every renewal changes the object
	Era    uint64 `json:"era,omitempty"` // of the store when the holder wrote this; an older copy names an earlier one
	// ChosenMs is when the preset that the holder applies was chosen, in Unix milliseconds; 0 if it knows none.
	ChosenMs int64 `json:"chosenMs,omitempty"`
	Released bool  `json:"released,omitempty"` // the holder acts no more
}

// object returns the object to write.
func (r *record) object() fighollow.Object {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings, numbers and booleans always encode
	}
	return fighollow.Object{Kind: fighollow.KindRoleLease, Name: fighollow.RoleLeaseName, Value: value}
}

// snapshot returns a copy of the state.
func (h *Holder) snapshot() state {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

func (h *Holder) markLost() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.markLost()
}

// Step renews the lease, or tries to acquire it if this entry does not hold it. It reports whether this entry may act now.
func (h *Holder) Step(ctx context.Context, choice Choice) bool {
	now := h.snapshot()
	if now.term != 0 && fighollow.StoreEra(h.store) != now.era {
		h.markLost()
		event.RoleLeaseLost.Log(&h.log).Str("reason", "newEra").Uint64("era", fighollow.StoreEra(h.store)).Send()
		now = h.snapshot()
	}
	if now.term == 0 && (!h.read(ctx, choice) || !h.canAcquire()) {
		return false
	}
	now = h.snapshot()
	sent := h.opts.Clock()
	r := record{Holder: h.opts.Self, Round: uint64(sent), Era: now.era, ChosenMs: choice.ChosenMs()}
	wasHolder := now.term != 0
	version, err := h.store.Put(ctx, r.object(), now.version)
	switch {
	case err == nil:
		term := h.recordWrite(sent, version)
		if !wasHolder {
			event.RoleLeaseTaken.Log(&h.log).Uint64("term", term).Send()
		}
	case errors.Is(err, fighollow.ErrConflict), errors.Is(err, fighollow.ErrNotFound):
		h.markLost()
		if wasHolder {
			event.RoleLeaseLost.Log(&h.log).Err(err).Send()
		}
		return false
	case errors.Is(err, fighollow.ErrUnknownOutcome):
		// The version to expect in the next write is unknown until the lease is read again.
		h.markLost()
		event.RoleLeaseLost.Log(&h.log).Err(err).Send()
		return false
	default:
		// Nothing was written. The lease stays valid until it expires.
		event.RoleLeaseUnread.Log(&h.log).Err(err).Send()
	}
	now = h.snapshot()
	_, ok := now.fence(h.opts.Clock(), fighollow.StoreEra(h.store))
	return ok
}

func (h *Holder) canAcquire() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.released && h.state.canAcquire(h.opts.Clock())
}

func (h *Holder) recordWrite(sent time.Duration, version uint64) (term uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.recordWrite(sent, version)
	return h.state.term
}

// read reads the lease from the store. It reports false if the store is unavailable.
func (h *Holder) read(ctx context.Context, choice Choice) bool {
	// A stale read only delays an acquisition, because the write is conditional on the version read.
	o, err := fighollow.GetStale(ctx, h.store, fighollow.KindRoleLease, fighollow.RoleLeaseName)
	now := h.opts.Clock()
	if errors.Is(err, fighollow.ErrNotFound) {
		h.observe(now, fighollow.StoreEra(h.store), 0, &record{})
		return true
	}
	if err != nil {
		event.RoleLeaseUnread.Log(&h.log).Err(err).Send()
		return false
	}
	var r record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		event.RoleLeaseUnread.Log(&h.log).Err(err).Send()
		r.Holder, r.Released = "", false // another entry acquires the lease once it has not changed for long enough
	}
	h.observe(now, fighollow.VersionEra(o.Version), o.Version, &r)
	choice.Heard(fighollow.VersionEra(o.Version), r.ChosenMs)
	return true
}

func (h *Holder) observe(now time.Duration, era, version uint64, r *record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.observe(now, era, version, r.Holder, r.Era, r.Released)
}

// Fence returns the fencing token for an act that ends within d from now. It reports false if this entry may not act for so long.
func (h *Holder) Fence(d time.Duration) (uint64, bool) {
	g, ok := h.FenceUpTo(d, d)
	return g.Token, ok
}

// Grant allows an act of the lease's holder.
type Grant struct {
	Token uint64 // fencing token
	// Tenure stays the same from one token to the next if no other entry can have held the lease between them.
	Tenure uint64
	Time   time.Duration // in which the act must end
}

// FenceUpTo allows an act for as long as the lease still allows, but not longer than most. It reports false if that is less than least.
func (h *Holder) FenceUpTo(least, most time.Duration) (Grant, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Clock()
	d := max(least, min(most, h.state.renewedAt+h.state.validity()-now-1)) // the validity time ends before its last nanosecond
	token, ok := h.state.fence(now+d, fighollow.StoreEra(h.store))
	if !ok || h.released {
		return Grant{}, false
	}
	h.actsEnd = max(h.actsEnd, now+d)
	return Grant{Token: token, Tenure: h.state.tenure, Time: d}, true
}

// HolderName returns the name of the lease's holder as last read or written, or an empty string if it is unknown or has released the
// lease.
func (h *Holder) HolderName() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state.released {
		return ""
	}
	return h.state.holder
}

// Release gives the lease up, so that another entry can acquire it at once. It allows no further act, and waits until every act
// that was allowed has had its time: a call that was cancelled may still arrive. It does nothing if this entry does not hold the lease.
func (h *Holder) Release(ctx context.Context, choice Choice) {
	h.mu.Lock()
	h.released = true
	now, wait := h.state, h.actsEnd-h.opts.Clock()
	h.mu.Unlock()
	if now.term == 0 {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(wait):
	}
	sent := h.opts.Clock()
	h.mu.Lock()
	h.state.recordRelease(sent)
	h.mu.Unlock()
	r := record{Holder: h.opts.Self, Round: uint64(sent), Era: now.era, ChosenMs: choice.ChosenMs(), Released: true}
	_, err := h.store.Put(ctx, r.object(), now.version)
	event.RoleLeaseReleased.Log(&h.log).Uint64("term", now.term).Err(err).Send()
}
