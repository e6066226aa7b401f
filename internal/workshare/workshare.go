// Package workshare tells the other entries of a data centre which prompts this entry has placed at the engines there, and adds what they
// tell to the engines' backlogs. Nothing is confirmed: of a prompt whose message is lost, the others do not know.
package workshare

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// batchTime is how long placed prompts are collected for one message, in a data centre of up to batchEntries entries. Larger ones
	// collect for longer in proportion, up to maxBatchTime, so that the messages that an entry receives do not grow with their number.
	batchTime    = 20 * time.Millisecond
	batchEntries = 40
	maxBatchTime = 200 * time.Millisecond
	// maxPending bounds the prompts that wait for one data centre. An entry places some tens a second.
	maxPending = 1024
	// maxDataCentres bounds the number of data centres that prompts wait for.
	maxDataCentres = 64
	// errorLogInterval is the least pause between two lines about messages that cannot be used.
	errorLogInterval = 10 * time.Second
)

// Backlogs gets the work that other entries placed. placement.Fleet implements it.
type Backlogs interface {
	// AddWork adds prompts that the entry named from placed.
	AddWork(now time.Time, from string, work []placement.Work) placement.WorkCounts
}

// Options configures a Sharer.
type Options struct {
	Self    string
	MaxData int // size in bytes of the longest message
	// Send sends a message to all other entries of a data centre.
	Send     func(data []byte, dataCentre string)
	Registry metrics.Registry // nil for none
}

// batch holds the prompts that wait for a data centre.
type batch struct {
	work []placement.Work
	due  time.Time
}

// Sharer sends and receives placed prompts. It is safe for concurrent use.
type Sharer struct {
	opts     Options
	backlogs Backlogs
	maxItems int // prompts in one message
	log      zerolog.Logger
	woken    chan struct{} // has an element when Run must look for a new batch

	mu       sync.Mutex
	entries  map[string]int // other entries by data centre
	batches  map[string]*batch
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
		opts: opts, backlogs: backlogs, maxItems: (opts.MaxData - headerBytes) / itemBytes, log: log, woken: make(chan struct{}, 1),
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
	n := s.entries[w.DataCentre]
	if n == 0 {
		return false // nobody to tell
	}
	b := s.batches[w.DataCentre]
	if b == nil {
		if len(s.batches) >= maxDataCentres {
			s.dropped.Inc(1)
			return false
		}
		b = &batch{}
		s.batches[w.DataCentre] = b
	}
	if len(b.work) >= maxPending {
		s.dropped.Inc(1)
		return false
	}
	pause := batchPause(n)
	if w.Ended {
		pause = maxBatchTime
	}
	due := now.Add(pause)
	sooner := len(b.work) == 0 || due.Before(b.due)
	if sooner {
		b.due = due
	}
	b.work = append(b.work, w)
	return sooner
}

// batchPause returns how long prompts are collected for a data centre with this many other entries.
func batchPause(entries int) time.Duration {
	return min(maxBatchTime, max(batchTime, batchTime*time.Duration(entries)/batchEntries))
}

// Tick sends the batches that are due. It returns when the next one is; false if none waits.
func (s *Sharer) Tick(now time.Time) (next time.Time, waiting bool) {
	due := make(map[string][]placement.Work)
	s.mu.Lock()
	for dc, b := range s.batches {
		switch {
		case now.Before(b.due):
			if !waiting || b.due.Before(next) {
				next, waiting = b.due, true
			}
		default:
			due[dc] = b.work
			delete(s.batches, dc)
		}
	}
	s.mu.Unlock()
	for dc, work := range due {
		s.send(work, dc)
	}
	return next, waiting
}

// send sends prompts in as few messages as they fit into.
func (s *Sharer) send(work []placement.Work, dataCentre string) {
	for len(work) > 0 {
		n := min(len(work), s.maxItems)
		data, err := encode(work[:n])
		if err != nil || n == 0 {
			s.dropped.Inc(int64(len(work)))
			return
		}
		s.opts.Send(data, dataCentre)
		s.sent.Inc(1)
		work = work[n:]
	}
}

// Receive handles a message of another entry. It does not block.
func (s *Sharer) Receive(now time.Time, from string, data []byte) {
	s.received.Inc(1)
	work, err := decode(data, s.maxItems)
	if err != nil {
		s.ignored.Inc(1)
		s.logUnused(now, event.WorkUnread, from, err)
		return
	}
	c := s.backlogs.AddWork(now, from, work)
	if c.Distrusted {
		s.logUnused(now, event.WorkDistrusted, from, nil)
	}
	if c.Added == 0 {
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
