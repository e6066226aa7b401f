// Package workshare reports to the other entries which prompts this entry has placed at engines and which have ended, and applies their
// reports. Reports are not acknowledged: each names the entry's unfinished prompts, so that the next one repairs a lost one.
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
)

const (
	// placedDelay is how long placed prompts wait for others, so that they travel in one message, and endedDelay the same of ended ones. These wait
	// longer because they change the backlog of an engine less than a burst of new ones.
	placedDelay = 20 * time.Millisecond
	endedDelay  = 40 * time.Millisecond
	// repeatInterval is the longest pause between two reports while prompts are unfinished. Without one, the others drop these prompts.
	repeatInterval = time.Second
	// errorLogInterval is the least pause between two lines about messages that cannot be used.
	errorLogInterval = 10 * time.Second
)

// Backlogs gets the work that other entries placed. placement.Fleet implements it.
type Backlogs interface {
	// AddWork applies a report of the entry named from.
	AddWork(now time.Time, from string, r placement.WorkReport) placement.WorkCounts
}

// Options configures a Sharer.
type Options struct {
	MaxData  int               // size in bytes of the longest message
	Send     func(data []byte) // sends a message to all other entries
	Registry metrics.Registry  // nil for none
}

// Sharer sends and receives reports. It is safe for concurrent use.
type Sharer struct {
	opts     Options
	backlogs Backlogs
	log      zerolog.Logger
	woken    chan struct{} // has an element when Run must look for the next report

	mu            sync.Mutex
	placed, ended []placement.Work // that wait to be reported
	due           time.Time        // of the next report; zero if none is
	unfinished    map[uint32]bool  // prompts that are in placed or were reported
	next          uint32           // above the numbers of all prompts
	loggedAt      time.Time

	sent, received, dropped, ignored, added, addedMs metrics.Counter
}

// New returns a Sharer. Run starts it.
func New(opts Options, backlogs Backlogs, log zerolog.Logger) *Sharer {
	r := opts.Registry
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("work."+name, r) }
	return &Sharer{
		opts: opts, backlogs: backlogs, log: log, woken: make(chan struct{}, 1),
		unfinished: make(map[uint32]bool),
		sent:       counter("sent"), received: counter("received"), dropped: counter("dropped"), ignored: counter("ignored"),
		added: counter("added"), addedMs: counter("addedMs"),
	}
}

// Add records a prompt that this entry placed, or that has ended. It does not block. Prompts beyond a bound are dropped.
func (s *Sharer) Add(now time.Time, w placement.Work) {
	if s.add(now, w) {
		select {
		case s.woken <- struct{}{}:
		default:
		}
	}
}

// add reports whether a report is due sooner because of w.
func (s *Sharer) add(now time.Time, w placement.Work) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := now.Add(placedDelay)
	switch {
	case !w.Ended:
		s.next = max(s.next, w.Number+1)
		if len(s.unfinished) >= maxUnfinished {
			s.dropped.Inc(1)
			return false
		}
		s.unfinished[w.Number] = true
		s.placed = append(s.placed, w)
	case s.unfinished[w.Number]:
		delete(s.unfinished, w.Number)
		s.ended = append(s.ended, w)
		due = now.Add(endedDelay)
	default:
		return false // was not reported
	}
	sooner := s.due.IsZero() || due.Before(s.due)
	if sooner {
		s.due = due
	}
	return sooner
}

// Tick sends the report that is due. It returns when the next one is; false if none waits.
func (s *Sharer) Tick(now time.Time) (next time.Time, waiting bool) {
	var due []placement.WorkReport
	s.mu.Lock()
	if !s.due.IsZero() && !now.Before(s.due) {
		due = s.takeReports(now)
	}
	next = s.due
	s.mu.Unlock()
	s.send(due)
	return next, !next.IsZero()
}

// takeReports returns what waits, in as few reports as it fits into. s.mu must be held.
func (s *Sharer) takeReports(now time.Time) []placement.WorkReport {
	placed, ended := s.placed, s.ended
	s.placed, s.ended, s.due = nil, nil, time.Time{}
	if len(s.unfinished) > 0 {
		s.due = now.Add(repeatInterval)
	}
	unfinished := slices.Sorted(maps.Keys(s.unfinished))
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

// send sends reports to all other entries.
func (s *Sharer) send(reports []placement.WorkReport) {
	for _, r := range reports {
		data, err := encode(r)
		if err != nil || len(data) > s.opts.MaxData {
			s.dropped.Inc(int64(len(r.Placed)))
			continue
		}
		s.opts.Send(data)
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
