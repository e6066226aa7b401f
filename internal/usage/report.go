package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// freezeDelay is the time from the end of a window to its freezing, in which the other entries' counts arrive. Of two holders whose
	// estimates of true time differ by less, the second one does not freeze a window that the first one has frozen in a lost store.
	freezeDelay = 3 * time.Second
	// reportLifetime is how long after the end of its window a report is sent.
	reportLifetime = 60 * time.Second
	// maxWindowsPerWrite bounds the windows that are frozen at once.
	maxWindowsPerWrite = 64
)

// record is the stored value of the usage reports.
type record struct {
	// Era is that of the store when the holder wrote this. In a later era the record comes from an older copy.
	Era uint64 `json:"era,omitempty"`
	// LastWindow is the last window that was frozen or given up.
	LastWindow int64          `json:"lastWindow"`
	Reports    []storedReport `json:"reports"` // frozen and not yet accepted, oldest first
}

// storedReport is a report whose counts no longer change.
type storedReport struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// frozenReport is a storedReport whose write was acknowledged, or which was read from the store.
type frozenReport struct {
	storedReport
	repeated bool  // it may have been sent before
	err      error // of the last call of this process
}

// windowRange is a range of windows, of which the last one is included. It is empty if last is before first.
type windowRange struct{ first, last int64 }

// book decides which windows to freeze and which reports to send. Times are estimates of true time. It is not safe for concurrent use.
type book struct {
	window  time.Duration // length of a window
	started time.Time     // when this process started, set before each load

	known   bool   // the fields below hold a record
	tenure  uint64 // of the lease, in which the record was read or written
	era     uint64 // of the store, in which the record was read or written
	version uint64 // of the object; 0 if there is none
	last    int64  // the last window that was frozen or given up
	reports []frozenReport
}

// start and end return when a window begins and ends.
func (b *book) start(window int64) time.Time { return time.Unix(0, window*int64(b.window)) }
func (b *book) end(window int64) time.Time   { return b.start(window + 1) }

// lastEnded returns the last window that has ended at t.
func (b *book) lastEnded(t time.Time) int64 { return t.UnixNano()/int64(b.window) - 1 }

// load takes the record that was read in an era of the store; nil if there is none. It returns the windows that it gives up, because other
// entries may have sent reports of them that the store has lost.
func (b *book) load(now time.Time, r *record, version, era, tenure uint64) windowRange {
	last, reports := b.last, b.reports
	givenUp := windowRange{1, 0}
	switch {
	case r != nil && r.Era == era:
		// The record has all that was frozen in this era. Reports of this process that were frozen in an earlier one may be missing in it.
		if b.era == era {
			reports = nil
		}
		reports = merge(r.Reports, reports)
		last = max(last, r.LastWindow)
	case r == nil && era == 0:
		// Nothing was ever reported. What began before this process is unknown to it.
		last = max(last, b.lastEnded(b.started))
	case b.known && b.tenure == tenure:
		// No other entry can have held the lease since this one read or wrote the record.
	default:
		if r != nil {
			last = max(last, r.LastWindow)
		}
		givenUp = windowRange{max(last, b.lastEnded(now.Add(-reportLifetime))) + 1, b.lastEnded(now)}
		last = max(last, givenUp.last)
	}
	b.known, b.tenure, b.era, b.version, b.last, b.reports = true, tenure, era, version, last, reports
	return givenUp
}

// merge returns the reports of a record, and those of own for other windows, oldest first.
func merge(stored []storedReport, own []frozenReport) []frozenReport {
	reports := make([]frozenReport, 0, len(stored)+len(own))
	has := make(map[int64]bool, len(stored))
	for _, s := range stored {
		if !has[s.Window] {
			reports = append(reports, frozenReport{storedReport: s, repeated: true})
		}
		has[s.Window] = true
	}
	for _, o := range own {
		if !has[o.Window] {
			reports = append(reports, o)
		}
	}
	slices.SortFunc(reports, func(a, b frozenReport) int { return cmp.Compare(a.Window, b.Window) })
	return reports
}

// next returns the first window that is neither frozen nor given up.
func (b *book) next() int64 { return b.last + 1 }

// skip gives up the windows that ended too long ago to be reported, and returns them.
func (b *book) skip(now time.Time) windowRange {
	skipped := windowRange{b.next(), b.lastEnded(now.Add(-reportLifetime))}
	if skipped.last >= skipped.first {
		b.last = skipped.last
	}
	return skipped
}

// due returns the windows that have to be frozen now.
func (b *book) due(now time.Time) windowRange {
	return windowRange{b.next(), min(b.lastEnded(now.Add(-freezeDelay)), b.last+maxWindowsPerWrite)}
}

// freeze returns the record that freezes the windows with these counts. The record has to be written to version of the book, and then
// passed to frozen.
func (b *book) freeze(windows windowRange, counts func(window int64) map[string]int64) record {
	r := record{Era: b.era, LastWindow: windows.last, Reports: make([]storedReport, 0, len(b.reports)+1)}
	for _, f := range b.reports {
		r.Reports = append(r.Reports, f.storedReport)
	}
	for w := windows.first; w <= windows.last; w++ {
		c := make(map[string]int64)
		for workspace, n := range counts(w) {
			if n > 0 {
				c[workspace] = n
			}
		}
		r.Reports = append(r.Reports, storedReport{w, c})
	}
	return r
}

// frozen takes a record of freeze whose write was acknowledged with this version.
func (b *book) frozen(r record, version uint64) {
	for _, s := range r.Reports {
		if s.Window > b.last {
			b.reports = append(b.reports, frozenReport{storedReport: s})
		}
	}
	b.version, b.last = version, r.LastWindow
}

// expire gives up the reports that are too old to be sent, and returns them.
func (b *book) expire(now time.Time) []frozenReport {
	n := 0
	for n < len(b.reports) && now.Sub(b.end(b.reports[n].Window)) > reportLifetime {
		n++
	}
	expired := b.reports[:n]
	b.reports = b.reports[n:]
	return expired
}

// first returns the oldest report that is not yet accepted.
func (b *book) first() (*frozenReport, bool) {
	if len(b.reports) == 0 {
		return nil, false
	}
	return &b.reports[0], true
}

// done removes the oldest report, which was accepted or refused for good.
func (b *book) done() { b.reports = b.reports[1:] }

func (f *frozenReport) report() fighollow.UsageReport {
	return fighollow.UsageReport{Window: f.Window, Counts: f.Counts}
}

const (
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = time.Second
)

// pacer decides when the next call may be sent. Its times are of the process's clock.
type pacer struct {
	interval time.Duration // the least pause between two calls
	backoff  time.Duration // after the next failure, less than firstBackoff for that
	notUntil time.Time
}

// ready reports whether a call may be sent.
func (p *pacer) ready(now time.Time) bool { return !now.Before(p.notUntil) }

// sent takes the start and the end of a call.
func (p *pacer) sent(start, end time.Time, failed bool) {
	p.notUntil = start.Add(p.interval)
	if !failed {
		p.backoff = 0
		return
	}
	p.backoff = min(max(2*p.backoff, firstBackoff), maxBackoff)
	if t := end.Add(p.backoff); t.After(p.notUntil) {
		p.notUntil = t
	}
}
