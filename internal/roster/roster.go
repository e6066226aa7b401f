// Package roster counts the entries of a deployment, which share the platform's limits without communicating
// directly. Each entry registers itself with an object in the store and polls the objects of the others.
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/quota"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// pollInterval is the minimum pause between two polls of the entries' objects. Shared limits are counted in windows of
	// 10 s, and an upstream's request limit must hold 3 s after its naming, also for entries that learn of it by a poll.
	pollInterval = time.Second
	// pollIntervalPerEntry lengthens the pause in large deployments: an entry's object has about 200 bytes, and the
	// traffic that an entry receives beside its requests is bounded to a few KB/s.
	pollIntervalPerEntry = 51 * time.Millisecond
	// renewInterval is the pause between two writes of an entry's own object. Writes are more expensive than reads.
	renewInterval = 10 * time.Second
	// lapseTimeout is how long an object may stay unchanged before its entry is considered gone: three renewals and a
	// margin for store outages.
	lapseTimeout = 40 * time.Second
	// claimPollInterval is the least pause between two polls while upstreams have request limits, which the entries divide by
	// their claims.
	claimPollInterval = time.Second
	// pollBytesPerSecond bounds what an entry receives by these polls.
	pollBytesPerSecond = 4000
	// objectBytes is about how much of an entry's object in a list is not its value.
	objectBytes = 150
	// claimRenewPolls is the number of polls after which claims are written again although they have not changed.
	claimRenewPolls = 2
	// stepInterval is the pause between two checks for what is due.
	stepInterval = 250 * time.Millisecond
	// departedCountTime is how long an entry is still counted after it has gone, because its use of a shared limit counts
	// for that long.
	departedCountTime = 20 * time.Second
)

// Options configures a Roster.
type Options struct {
	Self       string // unique among the entries
	DataCentre string
	// Claims returns this entry's claims to upstreams' request limits, by upstream, for publication with its registration; nil
	// for none.
	Claims func(now time.Time) map[string]fighollow.LimitClaim
	// Divider divides the limits by the claims of all entries; nil for none.
	Divider *quota.Divider
	// OnObserver is called when this entry becomes one of the Observers, and when it no longer is; nil for none.
	OnObserver func(isObserver bool)
	// Address returns where peers reach this entry, for publication with its registration, and OnPeers is called with all entries that
	// have an address, by name, after each poll; nil for none.
	Address func() string
	OnPeers func(peers map[string]fighollow.Peer)
}

// Roster registers one entry and counts all entries.
type Roster struct {
	opts    Options
	store   fighollow.ObjectStore
	onCount func(entries int)
	log     zerolog.Logger

	version   uint64                          // of this entry's object; 0 if unknown
	renewedAt time.Time                       // when this entry's object was last written
	beat      uint64                          // incremented per write, so that every renewal changes the object
	claims    map[string]fighollow.LimitClaim // as last written
	triedAt   time.Time                       // when this entry's object was last written, or the attempt failed
	polledAt  time.Time                       // when the objects were last polled
	listBytes int                             // size of the last list
	view      view
	lastCount int // last count passed to onCount
	observer  bool
	unread    bool // the last poll failed
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
		r.Step(ctx, time.Now())
		pause = stepInterval
	}
}

// Step writes this entry's object and polls those of all entries, each if it is due at now.
func (r *Roster) Step(ctx context.Context, now time.Time) {
	claims := r.currentClaims(now)
	// A poll costs less than a write, and shows when the store answers again.
	if !r.unread && r.isRenewalDue(now, claims) && now.Sub(r.triedAt) >= claimPollInterval {
		r.renew(ctx, now, claims)
	}
	if now.Sub(r.polledAt) >= r.pause(claims) {
		r.poll(ctx, now, claims)
	}
}

// pause returns the pause between two polls. It is shorter while upstreams have request limits.
func (r *Roster) pause(claims map[string]fighollow.LimitClaim) time.Duration {
	if len(claims) == 0 && len(r.claims) == 0 && (r.opts.Divider == nil || len(r.opts.Divider.Reported()) == 0) {
		return pollPause(r.lastCount)
	}
	return r.shortPause()
}

// shortPause returns the pause between two polls whose result is used at once.
func (r *Roster) shortPause() time.Duration {
	return max(claimPollInterval, time.Duration(r.listBytes)*time.Second/pollBytesPerSecond)
}

// pollPause returns the pause between two polls for a deployment with the given number of entries and no request limits.
func pollPause(entries int) time.Duration {
	return max(pollInterval, time.Duration(entries)*pollIntervalPerEntry)
}

func (r *Roster) currentClaims(now time.Time) map[string]fighollow.LimitClaim {
	if r.opts.Claims == nil {
		return nil
	}
	return r.opts.Claims(now)
}

// poll reads the objects of all entries and removes those that have lapsed.
func (r *Roster) poll(ctx context.Context, now time.Time, claims map[string]fighollow.LimitClaim) {
	r.polledAt = now
	objects, err := fighollow.ListStale(ctx, r.store, fighollow.KindEntry) // seconds old at most, and cheaper
	r.unread = err != nil
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
	registrations := r.decode(objects)
	r.observe(objects, registrations)
	r.passPeers(objects, registrations)
	if r.opts.Divider != nil {
		r.divide(now, objects, registrations, claims)
	}
}

// isRenewalDue reports whether to write this entry's object: periodically, after a change of its claims, and if the object may
// be missing in a new era of the store.
func (r *Roster) isRenewalDue(now time.Time, claims map[string]fighollow.LimitClaim) bool {
	interval := renewInterval
	if len(claims) > 0 {
		interval = min(interval, claimRenewPolls*r.pause(claims))
	}
	return now.Sub(r.renewedAt) >= interval || r.version == 0 ||
		fighollow.VersionEra(r.version) != fighollow.StoreEra(r.store) || !maps.EqualFunc(claims, r.claims, isSameClaim)
}

// isSameClaim reports whether two claims say the same, at whatever time.
func isSameClaim(a, b fighollow.LimitClaim) bool {
	a.AgeMs, b.AgeMs = 0, 0
	return a == b
}

// decode decodes the registrations in a list. One that cannot be decoded is empty.
func (r *Roster) decode(objects []fighollow.Object) []registration {
	r.listBytes = 0
	out := make([]registration, len(objects))
	for i, o := range objects {
		r.listBytes += objectBytes + len(o.Value)
		if err := json.Unmarshal(o.Value, &out[i]); err != nil {
			event.RegistrationInvalid.Log(&r.log).Str("entry", o.Name).Err(err).Send()
			out[i] = registration{}
		}
	}
	return out
}

// observe finds out whether this entry is an observer.
func (r *Roster) observe(objects []fighollow.Object, registrations []registration) {
	if r.opts.OnObserver == nil {
		return
	}
	dataCentres := map[string]string{r.opts.Self: r.opts.DataCentre}
	for i, o := range objects {
		dataCentres[o.Name] = registrations[i].DataCentre
	}
	if is := slices.Contains(Observers(dataCentres), r.opts.Self); is != r.observer {
		r.observer = is
		event.ObserverChanged.Log(&r.log).Bool("observer", is).Int("entries", len(dataCentres)).Send()
		r.opts.OnObserver(is)
	}
}

// passPeers passes the entries that have addresses on.
func (r *Roster) passPeers(objects []fighollow.Object, registrations []registration) {
	if r.opts.OnPeers == nil {
		return
	}
	peers := make(map[string]fighollow.Peer)
	for i, o := range objects {
		if a := registrations[i].Address; a != "" {
			peers[o.Name] = fighollow.Peer{Address: a, DataCentre: registrations[i].DataCentre}
		}
	}
	r.opts.OnPeers(peers)
}

// divide passes the registrations to the Divider.
func (r *Roster) divide(now time.Time, objects []fighollow.Object, registrations []registration, claims map[string]fighollow.LimitClaim) {
	entries := make([]quota.Entry, 0, len(objects))
	for i, o := range objects {
		entries = append(entries, quota.Entry{Name: o.Name, Claims: limitClaims(registrations[i].Limits), ChangedAt: r.view.observations[o.Name].changedAt})
	}
	before := r.opts.Divider.Reported()
	r.opts.Divider.Observe(now, entries, r.pause(claims))
	r.logReports(before, r.opts.Divider.Reported())
}

// logReports logs what changed of what upstreams told other entries of their limits.
func (r *Roster) logReports(before, after map[string]fighollow.LimitReport) {
	for upstream, report := range after {
		if old, known := before[upstream]; !known || old.PerSecond != report.PerSecond {
			event.LimitReported.Log(&r.log).Str("upstream", upstream).Bool("inForce", report.PerSecond > 0).
				Float64("perSecond", report.PerSecond).Time("toldAt", report.ToldAt).Send()
		}
	}
}

// registration is the stored value of an entry's object.
type registration struct {
	DataCentre string               `json:"dataCentre"`
	Beat       uint64               `json:"beat"`
	Address    string               `json:"address,omitempty"` // IP:port for messages of other entries
	Limits     map[string]claimText `json:"limits,omitempty"`  // claims to request limits, by upstream
}

// renew writes the entry's own object.
func (r *Roster) renew(ctx context.Context, now time.Time, claims map[string]fighollow.LimitClaim) {
	r.triedAt = now
	r.beat++
	reg := registration{DataCentre: r.opts.DataCentre, Beat: r.beat, Limits: claimTexts(claims)}
	if r.opts.Address != nil {
		reg.Address = r.opts.Address()
	}
	value, err := json.Marshal(reg)
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
	r.version, r.renewedAt, r.claims = version, now, claims
	if r.opts.Divider != nil {
		r.opts.Divider.Published(now)
	}
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
