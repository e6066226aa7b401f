// Package usage counts the requests of each workspace that upstreams began to run, and reports them to the platform.
package usage

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/lease"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// stepInterval is the pause between two checks for what is due.
	stepInterval = 100 * time.Millisecond
	// minCallTime is the least time that the lease must still allow for a call to be sent, and maxCallTime the most that a call gets.
	minCallTime = 300 * time.Millisecond
	maxCallTime = 1200 * time.Millisecond
	// defaultCallsPerSecond is used if the platform does not say how many calls the API accepts.
	defaultCallsPerSecond = 1
)

// Ledger holds the counts of all entries, as far as this one knows them.
type Ledger interface {
	// Sync asks the collectors for the counts of windows from the given one on. It returns when they have answered, or after a second.
	Sync(ctx context.Context, from int64)
	// Counts returns the requests of each workspace that began in a window.
	Counts(window int64) map[string]int64
}

// TrueTime estimates true time.
type TrueTime interface{ Now(now time.Time) time.Time }

// Lease allows the acts of its holder.
type Lease interface {
	// FenceUpTo allows an act for as long as the lease still allows, but not longer than most. It reports false if that is less than least.
	FenceUpTo(least, most time.Duration) (lease.Grant, bool)
}

// ReporterOptions configures a Reporter.
type ReporterOptions struct {
	Self        string        // name of this entry in its calls
	Window      time.Duration // length of a window
	CallsPerSec float64       // that the API accepts; 0 if unknown
	Started     time.Time     // when the process started, by its own clock
	Registry    metrics.Registry
}

// Reporter freezes the reports of usage and sends them while this entry holds the lease. Step must not be called concurrently;
// the other methods are safe for concurrent use.
type Reporter struct {
	opts   ReporterOptions
	lease  Lease
	store  fighollow.ObjectStore
	api    fighollow.UsageAPI
	ledger Ledger
	clock  TrueTime
	log    zerolog.Logger

	book     book
	term     uint64 // fencing token under which the object was read
	unread   bool   // the object has to be read before anything is frozen or sent
	storePac pacer  // calls of the store, which are repeated only after failures
	apiPace  pacer
	oldestMs atomic.Int64

	frozen, accepted, repeated, givenUp metrics.Counter
}

// NewReporter returns a Reporter; Run starts it.
func NewReporter(opts ReporterOptions, holder Lease, store fighollow.ObjectStore, api fighollow.UsageAPI, ledger Ledger, clock TrueTime,
	log zerolog.Logger,
) *Reporter {
	if opts.CallsPerSec <= 0 {
		opts.CallsPerSec = defaultCallsPerSecond
	}
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("usage."+name, opts.Registry) }
	return &Reporter{
		opts: opts, lease: holder, store: store, api: api, ledger: ledger, clock: clock, log: log,
		book:    book{window: opts.Window},
		apiPace: pacer{interval: time.Duration(float64(time.Second) / opts.CallsPerSec)},
		frozen:  counter("frozen"), accepted: counter("accepted"), repeated: counter("repeated"), givenUp: counter("givenUp"),
	}
}

// Run freezes and sends reports until ctx is done. It returns when its last call has ended.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.Step(ctx, time.Now)
	}
}

// OldestMs returns the time since the end of the window of the oldest report that is frozen and not accepted, in milliseconds; 0 if there
// is none or this entry does not hold the lease.
func (r *Reporter) OldestMs() int64 { return r.oldestMs.Load() }

// Step does what is due: it reads the object, freezes windows and sends at most one report. clock returns the present time.
func (r *Reporter) Step(ctx context.Context, clock func() time.Time) {
	g, ok := r.lease.FenceUpTo(0, 0)
	if !ok {
		r.oldestMs.Store(0)
		return
	}
	if g.Token != r.term {
		r.term, r.unread = g.Token, true
	}
	now := clock()
	if r.unread && (!r.storePac.ready(now) || !r.read(ctx, clock, g.Tenure)) {
		return
	}
	r.giveUp(r.clock.Now(clock()))
	r.freeze(ctx, clock)
	if !r.unread {
		r.send(ctx, clock)
	}
	r.oldestMs.Store(0)
	if f, ok := r.book.first(); ok {
		r.oldestMs.Store(r.age(clock(), f.Window))
	}
}

// age returns the time since the end of a window in milliseconds.
func (r *Reporter) age(now time.Time, window int64) int64 {
	return r.clock.Now(now).Sub(r.book.end(window)).Milliseconds()
}

// read reads the object and asks the collectors for the counts that are not yet frozen. It reports false if the object could not be read.
func (r *Reporter) read(ctx context.Context, clock func() time.Time, tenure uint64) bool {
	start, era := clock(), fighollow.StoreEra(r.store)
	o, err := r.store.Get(ctx, fighollow.KindUsageReports, fighollow.UsageReportsName)
	var stored *record
	switch {
	case err == nil:
		era, stored = fighollow.VersionEra(o.Version), &record{}
		if decodeErr := json.Unmarshal(o.Value, stored); decodeErr != nil || !stored.valid() {
			// What was frozen is unknown, as after a loss in the store. The object is replaced by the next write.
			stored = &record{Era: era + 1}
			event.UsageUnstored.Log(&r.log).Str("call", "decode").AnErr("error", decodeErr).Send()
		}
	case errors.Is(err, fighollow.ErrNotFound) && fighollow.StoreEra(r.store) == era:
		err = nil
	case errors.Is(err, fighollow.ErrNotFound):
		err = errNewEra
	}
	r.storePac.sent(start, clock(), err != nil)
	if err != nil {
		event.UsageUnstored.Log(&r.log).Str("call", "read").Err(err).Send()
		return false
	}
	r.book.started = r.clock.Now(r.opts.Started)
	lost := r.book.load(r.clock.Now(clock()), stored, o.Version, era, tenure)
	event.UsageRead.Log(&r.log).Uint64("term", r.term).Uint64("era", era).Uint64("version", o.Version).
		Int64("lastWindow", r.book.last).Int("reports", len(r.book.reports)).Send()
	r.logGivenUp(lost, "mayHaveBeenReported")
	r.unread = false
	r.ledger.Sync(ctx, r.book.next())
	return true
}

// errNewEra means that the store came back from an older copy during a call.
var errNewEra = errors.New("usage: the store came back during the call")

// valid reports whether the reports of r are in order and belong to windows up to the last one.
func (r *record) valid() bool {
	if r.LastWindow <= 0 {
		return false
	}
	for i, s := range r.Reports {
		if s.Window > r.LastWindow || (i > 0 && s.Window <= r.Reports[i-1].Window) {
			return false
		}
	}
	return true
}

// giveUp gives up what is too old to be reported.
func (r *Reporter) giveUp(now time.Time) {
	r.logGivenUp(r.book.skip(now), "notFrozenInTime")
	for _, f := range r.book.expire(now) {
		r.logGivenUp(windowRange{f.Window, f.Window}, "notAcceptedInTime")
	}
}

// logGivenUp logs and counts windows for which no further report is sent.
func (r *Reporter) logGivenUp(windows windowRange, reason string) {
	if windows.last < windows.first {
		return
	}
	r.givenUp.Inc(windows.last - windows.first + 1)
	event.UsageGivenUp.Log(&r.log).Int64("first", windows.first).Int64("last", windows.last).Str("reason", reason).Send()
}

// freeze writes the reports of the windows that are due.
func (r *Reporter) freeze(ctx context.Context, clock func() time.Time) {
	start := clock()
	windows := r.book.due(r.clock.Now(start))
	if windows.last < windows.first || !r.storePac.ready(start) {
		return
	}
	if fighollow.StoreEra(r.store) != r.book.era {
		r.unread = true
		return
	}
	frozen := r.book.freeze(windows, r.ledger.Counts)
	value, err := json.Marshal(&frozen)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	o := fighollow.Object{Kind: fighollow.KindUsageReports, Name: fighollow.UsageReportsName, Value: value}
	// The write is not interrupted by the stop of this process, so that its outcome is known.
	version, err := r.store.Put(context.WithoutCancel(ctx), o, r.book.version)
	r.storePac.sent(start, clock(), err != nil)
	if err != nil {
		// Unless the store has not taken the write, only the object tells what it holds now.
		r.unread = !errors.Is(err, fighollow.ErrUnavailable) || errors.Is(err, fighollow.ErrUnknownOutcome)
		event.UsageUnstored.Log(&r.log).Str("call", "write").Int64("first", windows.first).Int64("last", windows.last).Err(err).Send()
		return
	}
	r.book.frozen(frozen, version)
	r.frozen.Inc(windows.last - windows.first + 1)
	for w := windows.first; w <= windows.last; w++ {
		event.UsageFrozen.Log(&r.log).Int64("window", w).Int64("requests", sum(frozen.Reports[len(frozen.Reports)-1-int(windows.last-w)].Counts)).
			Uint64("version", version).Send()
	}
}

func sum(counts map[string]int64) (n int64) {
	for _, c := range counts {
		n += c
	}
	return n
}

// send sends the oldest report, if a call is due and the lease allows it.
func (r *Reporter) send(ctx context.Context, clock func() time.Time) {
	f, ok := r.book.first()
	start := clock()
	if !ok || !r.apiPace.ready(start) || ctx.Err() != nil {
		return
	}
	g, ok := r.lease.FenceUpTo(minCallTime, maxCallTime)
	if !ok || g.Token != r.term {
		return
	}
	if f.repeated {
		r.repeated.Inc(1)
		event.UsageRepeated.Log(&r.log).Int64("window", f.Window).Int64("requests", sum(f.Counts)).Uint64("term", g.Token).AnErr("lastError", f.err).Send()
	}
	f.repeated = true
	// The call is not interrupted by the stop of this process, which releases the lease when it has ended.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.Time)
	defer cancel()
	err := r.api.ReportUsage(callCtx, r.opts.Self, g.Token, f.report())
	end := clock()
	refused := errors.Is(err, fighollow.ErrInvalid)
	r.apiPace.sent(start, end, err != nil && !refused)
	switch {
	case err == nil:
		r.accepted.Inc(1)
		event.UsageAccepted.Log(&r.log).Int64("window", f.Window).Int64("requests", sum(f.Counts)).Uint64("term", g.Token).
			Int64("tookMs", end.Sub(start).Milliseconds()).Int64("ageMs", r.age(end, f.Window)).Send()
		r.book.done()
	case refused:
		r.givenUp.Inc(1)
		event.UsageGivenUp.Log(&r.log).Int64("first", f.Window).Int64("last", f.Window).Str("reason", "refused").Err(err).Send()
		r.book.done()
	default:
		f.err = err
	}
}
