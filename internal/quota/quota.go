// Package quota divides the request limits of upstreams among the entries. An upstream names one limit for all entries
// together; each entry publishes what it would send there, and every entry computes the same division from the published
// claims, without further communication.
package quota

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fighollow/fighollow/internal/rendezvous"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// assumedEntries is the number of entries that share a limit until the entries have been listed.
	assumedEntries = 25
	// baseSharers is the number of entries that share even the lowest limit; each request a second of a limit allows one more.
	// Each may save up one request, and the requests saved by all together reach the upstream at once in the worst case, so a
	// limit below the number of entries is shared by some of them only.
	baseSharers = 3
	// baseBurst is the number of requests that all entries together can save up of even the lowest limit, beyond one each, and
	// burstTime the time whose requests they can save up beyond that.
	baseBurst = 1
	burstTime = 500 * time.Millisecond
	// settleRounds and minSettle are the number of polls, and the age of what they may read, after which all entries have read
	// what one of them has read. Only then is a larger share used, because the others have given up theirs.
	settleRounds = 2
	minSettle    = 3 * time.Second
	// claimTime is the time after this entry's claim was listed until the entries that send most to the upstream have claimed its
	// limit too: they learn of it first, and an entry can write its registration each second.
	claimTime = time.Second
	// leaseRounds and maxLease bound how long an entry uses its share after it last published its claims.
	leaseRounds = 6
	maxLease    = 30 * time.Second
	// lapseRounds and maxLapse bound how long a claim counts that is not published again. They exceed the lease, so that no
	// share is given to others while its entry uses it.
	lapseRounds = 10
	maxLapse    = 40 * time.Second
	// reportLifetime is how long a limit stands that another entry has reported and none reports any more.
	reportLifetime = 5 * time.Minute
	// maxDemand and maxAgeMs bound a claim, in requests a second and milliseconds. A higher one is not believed.
	maxDemand = 1e6
	maxAgeMs  = 3_600_000
)

// HolderWeight is how many times more an entry without a share has to demand to take the place of one that has a share. Otherwise
// places change hands with every fluctuation of demand.
const HolderWeight = 4

// Entry is one entry's registration as listed.
type Entry struct {
	Name      string
	Claims    map[string]fighollow.LimitClaim // by upstream
	ChangedAt time.Time                       // when this process first listed the registration in its present version
}

// Divider is one entry's view of all claims and its own shares. It is safe for concurrent use.
type Divider struct {
	self     string
	reported atomic.Pointer[map[string]fighollow.LimitReport]

	mu        sync.Mutex
	interval  time.Duration                              // between two polls of the entries
	entries   []uint64                                   // hashes of the other entries' names; nil until they were listed
	claims    map[string]map[string]fighollow.LimitClaim // by upstream and entry
	demands   map[string]float64                         // sums of the claims' demands, by upstream
	leases    map[string]*lease                          // this entry's shares of upstreams whose limits it has claimed
	listedAt  map[string]time.Time                       // when upstreams' limits were last reported by other entries
	published time.Time                                  // when this entry's claims were last written
	observed  time.Time                                  // when the entries were last listed
}

var _ fighollow.LimitShares = (*Divider)(nil)

// New returns a Divider that knows no other entry; self is this entry's name.
func New(self string) *Divider {
	return &Divider{
		self: self, claims: make(map[string]map[string]fighollow.LimitClaim), leases: make(map[string]*lease),
		listedAt: make(map[string]time.Time),
	}
}

// lease is the fraction of one limit that this entry has after its claim was listed.
type lease struct {
	fraction   float64
	raise      float64 // lowest fraction that was due since raiseSince
	raiseSince time.Time
	listedAt   time.Time // when the claim was first listed
}

// observe applies the fraction that is due by the newest list. A lower one is in force at once, a higher one after settle.
func (l *lease) observe(now time.Time, due float64, settle time.Duration) {
	switch {
	case due <= l.fraction:
		l.fraction, l.raiseSince = due, time.Time{}
	case l.raiseSince.IsZero():
		l.raise, l.raiseSince = due, now
	default:
		l.raise = min(l.raise, due)
		if now.Sub(l.raiseSince) >= settle {
			l.fraction, l.raiseSince = l.raise, time.Time{}
		}
	}
}

// Published records that this entry's claims were written to the store in a call that began at now.
func (d *Divider) Published(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.published = now
}

// Observe applies a list of all entries' registrations. interval is the pause until the next one.
func (d *Divider) Observe(now time.Time, entries []Entry, interval time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.interval, d.observed = interval, now
	d.entries = make([]uint64, 0, len(entries))
	d.claims, d.demands = make(map[string]map[string]fighollow.LimitClaim), make(map[string]float64)
	var reports map[string]fighollow.LimitReport
	for _, e := range entries {
		if e.Name != d.self {
			d.entries = append(d.entries, rendezvous.Key(e.Name))
			if now.Sub(e.ChangedAt) > d.lapse() {
				continue
			}
		}
		for upstream, c := range e.Claims {
			if !isValid(c) {
				continue
			}
			if c.Demand > 0 {
				if d.claims[upstream] == nil {
					d.claims[upstream] = make(map[string]fighollow.LimitClaim)
				}
				d.claims[upstream][e.Name] = c
				d.demands[upstream] += c.Demand
			}
			if e.Name != d.self && c.Told {
				reports = addReport(reports, upstream, fighollow.LimitReport{
					PerSecond: c.PerSecond, ToldAt: e.ChangedAt.Add(-time.Duration(c.AgeMs) * time.Millisecond),
				})
			}
		}
	}
	d.updateReports(now, reports)
	d.updateLeases(now)
}

// updateReports replaces the reports by those of the newest list. A limit that no entry reports any more, and none as ended, stands
// for a while: the entries that were told may have claimed other upstreams instead. d.mu must be held.
func (d *Divider) updateReports(now time.Time, reports map[string]fighollow.LimitReport) {
	for upstream := range reports {
		d.listedAt[upstream] = now
	}
	for upstream, r := range d.Reported() {
		if _, listed := reports[upstream]; !listed && r.PerSecond > 0 && now.Sub(d.listedAt[upstream]) < reportLifetime {
			reports = addReport(reports, upstream, r)
		}
	}
	for upstream := range d.listedAt {
		if _, known := reports[upstream]; !known {
			delete(d.listedAt, upstream)
		}
	}
	d.reported.Store(&reports)
}

// addReport adds a report to those of other entries unless there is a newer one.
func addReport(reports map[string]fighollow.LimitReport, upstream string, r fighollow.LimitReport) map[string]fighollow.LimitReport {
	if reports == nil {
		reports = make(map[string]fighollow.LimitReport)
	}
	if r.ToldAt.After(reports[upstream].ToldAt) {
		reports[upstream] = r
	}
	return reports
}

// updateLeases applies the claims to this entry's shares. d.mu must be held.
func (d *Divider) updateLeases(now time.Time) {
	for upstream := range d.leases {
		if _, claimed := d.claims[upstream][d.self]; !claimed {
			delete(d.leases, upstream)
		}
	}
	for upstream, claims := range d.claims {
		if _, claimed := claims[d.self]; !claimed {
			continue
		}
		l := d.leases[upstream]
		if l == nil {
			l = &lease{fraction: d.equalPart(upstream, lowest(claims)), listedAt: now}
			d.leases[upstream] = l
		}
		l.observe(now, fraction(claims, d.self), max(minSettle, settleRounds*d.interval))
	}
}

// isValid reports whether a claim can be believed. Another entry may run another version.
func isValid(c fighollow.LimitClaim) bool {
	return c.PerSecond >= 0 && c.PerSecond <= maxDemand && c.Demand >= 0 && c.Demand <= maxDemand && c.AgeMs >= 0 && c.AgeMs <= maxAgeMs
}

// Reported implements fighollow.LimitShares.
func (d *Divider) Reported() map[string]fighollow.LimitReport {
	if m := d.reported.Load(); m != nil {
		return *m
	}
	return nil
}

// Share implements fighollow.LimitShares.
func (d *Divider) Share(now time.Time, upstream string, limit float64) fighollow.LimitShare {
	d.mu.Lock()
	defer d.mu.Unlock()
	part := d.part(now, upstream, limit)
	if part == 0 {
		return fighollow.LimitShare{}
	}
	share := fighollow.LimitShare{PerSecond: limit * part, Burst: 1 + part*(baseBurst+limit*burstTime.Seconds())}
	share.Demand, share.DemandKnown = d.demands[upstream], d.isDemandKnown(upstream)
	return share
}

// isDemandKnown reports whether all entries that demand much of an upstream have been listed with their claims. d.mu must be held.
func (d *Divider) isDemandKnown(upstream string) bool {
	l := d.leases[upstream]
	return l != nil && (len(d.claims[upstream]) > len(d.entries) || d.observed.Sub(l.listedAt) >= claimTime)
}

// part returns the fraction of a limit that this entry uses. d.mu must be held.
func (d *Divider) part(now time.Time, upstream string, limit float64) float64 {
	l, silent := d.leases[upstream], now.Sub(d.published) > d.lease()
	switch {
	case l != nil && silent:
		return l.fraction / 2 // others may have divided this entry's share among them
	case l != nil:
		return l.fraction
	case len(d.claims[upstream]) == 0:
		return d.equalPart(upstream, limit)
	case silent:
		return d.equalPart(upstream, limit) / 2 // this entry cannot claim a part
	}
	return 0 // the shares of the entries with claims are all of the limit
}

// equalPart returns the fraction of a limit that is this entry's if all entries that share it have the same. d.mu must be held.
func (d *Divider) equalPart(upstream string, limit float64) float64 {
	if d.entries == nil {
		return 1.0 / assumedEntries
	}
	n := min(len(d.entries)+1, maxSharers(limit))
	if !d.isSharer(upstream, n) {
		return 0
	}
	return 1 / float64(n)
}

// isSharer reports whether this entry is among the n that share an upstream's limit before they have published claims.
func (d *Divider) isSharer(upstream string, n int) bool {
	key := rendezvous.Key(upstream)
	own, ahead := rendezvous.Score(key, rendezvous.Key(d.self)), 0
	for _, other := range d.entries {
		if rendezvous.Score(key, other) > own {
			ahead++
		}
	}
	return ahead < n
}

// lease returns how long an entry uses its share after it last published its claims.
func (d *Divider) lease() time.Duration { return min(leaseRounds*d.interval, maxLease) }

// lapse returns how long a claim counts that is not published again.
func (d *Divider) lapse() time.Duration { return min(lapseRounds*d.interval, maxLapse) }

// maxSharers returns how many entries share a limit at most.
func maxSharers(limit float64) int { return baseSharers + int(min(limit, maxDemand)) }

// lowest returns the lowest limit that an upstream has named to an entry, or 0 if it is not known.
func lowest(claims map[string]fighollow.LimitClaim) float64 {
	limit := 0.0
	for _, c := range claims {
		if c.PerSecond > 0 && (limit == 0 || c.PerSecond < limit) {
			limit = c.PerSecond
		}
	}
	return limit
}

// fraction returns an entry's fraction of a limit: in proportion to demand among those that demand most.
func fraction(claims map[string]fighollow.LimitClaim, self string) float64 {
	names := make([]string, 0, len(claims))
	for name := range claims {
		names = append(names, name)
	}
	weight := func(name string) float64 {
		if claims[name].Holds {
			return HolderWeight * claims[name].Demand
		}
		return claims[name].Demand
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b)) })
	names = names[:min(len(names), maxSharers(lowest(claims)))]
	if !slices.Contains(names, self) {
		return 0
	}
	sum := 0.0
	for _, name := range names {
		sum += claims[name].Demand
	}
	return claims[self].Demand / sum
}
