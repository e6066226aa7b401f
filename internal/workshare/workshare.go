// Package workshare reports to the other entries which prompts this entry has placed at engines and which have ended, and applies their
// reports. In large deployments, only the entries of the engine's data centre are told. Reports are not acknowledged: each names the entry's
// unfinished prompts, so that the next one repairs a lost one.
package workshare

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// batchTime is how long placed prompts are collected for one message to up to batchEntries entries. Messages to more of them are collected for
	// longer in proportion, up to maxBatchTime, so that the messages that an entry receives do not grow with their number.
	batchTime    = 20 * time.Millisecond
	batchEntries = 40
	maxBatchTime = 200 * time.Millisecond
	// endedBatches is for how many times as long ended prompts wait: they change the backlog of an engine less than a burst of new ones.
	endedBatches = 2
	// repeatInterval is the longest pause between two reports while prompts are unfinished. Without one, the others drop these prompts.
	repeatInterval = time.Second
	// maxDataCentres bounds the number of data centres that prompts wait for.
	maxDataCentres = 64
	// errorLogInterval is the least pause between two lines about messages that cannot be used.
	errorLogInterval = 10 * time.Second
)

// everywhere is the audience of all other entries.
const everywhere = ""

// Backlogs gets the work that other entries placed. placement.Fleet implements it.
type Backlogs interface {
	// AddWork applies a report of the entry named from.
	AddWork(now time.Time, from string, r placement.WorkReport) placement.WorkCounts
}

// Options configures a Sharer.
type Options struct {
	Self    string
	MaxData int // size in bytes of the longest message
	// Send sends a message to all other entries of a data centre, or of all if dataCentre is empty.
	Send     func(data []byte, dataCentre string)
	Registry metrics.Registry // nil for none
}

// batch holds what waits to be reported to a data centre, or to all.
type batch struct {
	placed, ended []placement.Work
	due           time.Time // of the next report; zero if nothing waits
	// unfinished are the prompts that are in placed or were reported.
	unfinished map[uint32]bool
}

// Sharer sends and receives placed prompts. It is safe for concurrent use.
type Sharer struct {
	opts     Options
	backlogs Backlogs
	log      zerolog.Logger
	woken    chan struct{} // has an element when Run must look for a new batch

	mu       sync.Mutex
	entries  map[string]int    // other entries by data centre; all of them under an empty name
	batches  map[string]*batch // by data centre; empty for all
	next     uint32            // above the numbers of all prompts
	loggedAt time.Time

	sent, received, dropped, ignored, added, addedMs metrics.Counter
}

// New returns a Sharer that knows no other entries. Run starts it.
func New(opts Options, backlogs Backlogs, log zerolog.Logger) *Sharer {
	r := opts.Registry
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("work."+name, r) }
	return &Sharer{
		opts: opts, backlogs: backlogs, log: log, woken: make(chan struct{}, 1),
		entries: make(map[string]int), batches: make(map[string]*batch),
		sent: counter("sent"), received: counter("received"), dropped: counter("dropped"), ignored: counter("ignored"),
		added: counter("added"), addedMs: counter("addedMs"),
	}
}

// SetPeers sets the known entries, given by name.
func (s *Sharer) SetPeers(peers map[string]fighollow.Peer) {
	entries := make(map[string]int)
	for name, p := range peers {
		if name != s.opts.Self {
			entries[p.DataCentre]++
			entries[everywhere]++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = entries
}

// Add records a prompt that this entry placed. It does not block. Prompts beyond a bound are dropped.
func (s *Sharer) Add(now time.Time, w placement.Work) {
	if s.add(now, w) {
		select {
		case s.woken <- struct{}{}:
		default:
		}
	}
}

// add reports whether a batch is due sooner because of w.
func (s *Sharer) add(now time.Time, w placement.Work) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Ended {
		return s.addEnded(now, w)
	}
	s.next = max(s.next, w.Number+1)
	audience := w.DataCentre
	if placement.ReportsEverywhere(s.entries[everywhere] + 1) {
		audience = everywhere
	}
	n := s.entries[audience]
	b := s.batches[audience]
	switch {
	case n == 0:
		return false // nobody is there to be told
	case b == nil && len(s.batches) >= maxDataCentres, b != nil && len(b.unfinished) >= maxUnfinished:
		s.dropped.Inc(1)
		return false
	case b == nil:
		b = &batch{unfinished: make(map[uint32]bool)}
		s.batches[audience] = b
	}
	b.unfinished[w.Number] = true
	b.placed = append(b.placed, w)
	return b.dueAt(now.Add(batchPause(n)))
}

// addEnded records a prompt that has ended. It reports whether a batch is due sooner because of it. s.mu must be held.
func (s *Sharer) addEnded(now time.Time, w placement.Work) bool {
	for audience, b := range s.batches {
		if b.unfinished[w.Number] {
			delete(b.unfinished, w.Number)
			b.ended = append(b.ended, w)
			return b.dueAt(now.Add(endedBatches * batchPause(s.entries[audience])))
		}
	}
	return false // was not reported
}

// dueAt lets the next report be due at t at the latest, and reports whether that is sooner than before.
func (b *batch) dueAt(t time.Time) bool {
	sooner := b.due.IsZero() || t.Before(b.due)
	if sooner {
		b.due = t
	}
	return sooner
}

// batchPause returns how long prompts are collected for this many other entries.
func batchPause(entries int) time.Duration {
	return min(maxBatchTime, max(batchTime, batchTime*time.Duration(entries)/batchEntries))
}

// Tick sends the reports that are due. It returns when the next one is; false if none waits.
func (s *Sharer) Tick(now time.Time) (next time.Time, waiting bool) {
	due := make(map[string][]placement.WorkReport)
	s.mu.Lock()
	for dc, b := range s.batches {
		if !b.due.IsZero() && !now.Before(b.due) {
			due[dc] = s.takeReports(now, b)
		}
		if b.due.IsZero() {
			delete(s.batches, dc)
			continue
		}
		if !waiting || b.due.Before(next) {
			next, waiting = b.due, true
		}
	}
	s.mu.Unlock()
	for dc, reports := range due {
		s.send(reports, dc)
	}
	return next, waiting
}

// takeReports returns what waits in a batch, in as few reports as it fits into. s.mu must be held.
func (s *Sharer) takeReports(now time.Time, b *batch) []placement.WorkReport {
	placed, ended := b.placed, b.ended
	b.placed, b.ended, b.due = nil, nil, time.Time{}
	if len(b.unfinished) > 0 {
		b.due = now.Add(repeatInterval)
	}
	unfinished := slices.Sorted(maps.Keys(b.unfinished))
	var reports []placement.WorkReport
	for len(reports) == 0 || len(ended) > 0 || len(placed) > 0 {
		r := placement.WorkReport{Next: s.next, Unfinished: unfinished}
		room := s.opts.MaxData - headerBytes
		n := min(len(ended), room/endedBytes)
		r.Ended, ended = ended[:n], ended[n:]
		n = min(len(placed), (room-n*endedBytes)/placedBytes)
		r.Placed, placed = placed[:n], placed[n:]
		reports = append(reports, r)
	}
	return reports
}

// send sends reports to a data centre.
func (s *Sharer) send(reports []placement.WorkReport, dataCentre string) {
	for _, r := range reports {
		data, err := encode(r)
		if err != nil || len(data) > s.opts.MaxData {
			s.dropped.Inc(int64(len(r.Placed)))
			continue
		}
		s.opts.Send(data, dataCentre)
		s.sent.Inc(1)
	}
}

// Receive handles a message of another entry. It does not block.
func (s *Sharer) Receive(now time.Time, from string, data []byte) {
	s.received.Inc(1)
	report, err := decode(data)
	if err != nil {
		s.ignored.Inc(1)
		s.logUnused(now, event.WorkUnread, from, err)
		return
	}
	c := s.backlogs.AddWork(now, from, report)
	if c.Distrusted {
		s.logUnused(now, event.WorkDistrusted, from, nil)
	}
	if c.Ignored > 0 {
		s.ignored.Inc(1)
	}
	s.added.Inc(int64(c.Added))
	s.addedMs.Inc(int64(c.AddedMs))
}

// logUnused logs that a message is not used, at most once per errorLogInterval.
func (s *Sharer) logUnused(now time.Time, e event.Event, from string, err error) {
	s.mu.Lock()
	due := now.Sub(s.loggedAt) >= errorLogInterval
	if due {
		s.loggedAt = now
	}
	s.mu.Unlock()
	if due {
		e.Log(&s.log).Str("entry", from).Err(err).Send()
	}
}

// Run sends what is added until ctx is done. It wakes up only while something waits.
func (s *Sharer) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if next, waiting := s.Tick(time.Now()); waiting {
			timer.Reset(time.Until(next))
		} else {
			timer.Stop()
		}
		select {
		case <-ctx.Done():
			return
		case <-s.woken:
		case <-timer.C:
		}
	}
}
