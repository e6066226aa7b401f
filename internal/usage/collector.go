package usage

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/peers"
	"github.com/fighollow/fighollow/internal/roster"
)

const (
	// minSendInterval and sendIntervalPerEntry give the pause between two messages of an entry: the larger one of minSendInterval and
	// sendIntervalPerEntry times the entries, so that a collector gets at most 250 messages a second. An entry that is killed loses what
	// it counted within one pause.
	minSendInterval      = 250 * time.Millisecond
	sendIntervalPerEntry = 4 * time.Millisecond
	// sendsPerChange is the number of successive messages that have a changed counter, so that one lost datagram loses nothing.
	sendsPerChange = 2
	// clockInterval and clockIntervalPerEntry give the longest pause after which an entry states its time to those that it sends counters
	// to, and they to it: the larger one of clockInterval and clockIntervalPerEntry times the entries. They limit what a collector of
	// 350 entries sends for it to 25 messages a second.
	clockInterval         = 5 * time.Second
	clockIntervalPerEntry = 40 * time.Millisecond
	// countersLifetime is how long counters are kept after the end of their window. Reports are given up after the same time.
	countersLifetime = 60 * time.Second
	// maxWindowsAhead is how far ahead of this process's window the windows of other processes may be, whose clocks differ.
	maxWindowsAhead = 3
	// maxWindows bounds the windows that are kept.
	maxWindows = 64
	// maxPeerIncarnations bounds the processes of a peer whose counters are kept: an entry that restarts every 2 s has this many in
	// countersLifetime.
	maxPeerIncarnations = 32
	// maxAskers bounds the peers that get counters because they asked for them; askerLifetime is how long they get them. Entries read who
	// holds the lease every 2 s, and at the latest some seconds after the store has come back.
	maxAskers     = 8
	askerLifetime = 30 * time.Second
	// lostLogInterval is the shortest pause between two log lines about lost counters.
	lostLogInterval = 10 * time.Second
)

// Transport exchanges datagrams with the other entries; peers.Link implements it.
type Transport interface {
	Subscribe(topic peers.Topic, handle func(from string, data []byte))
	Send(topic peers.Topic, data []byte, names ...string)
	DataCentres() map[string]string // of the other entries, by name
	Known() bool                    // the other entries were read at least once
}

var _ Transport = (*peers.Link)(nil)

// CollectorOptions configures a Collector.
type CollectorOptions struct {
	Self       string        // name of this entry
	DataCentre string        // of this entry
	Window     time.Duration // length of a window
	Holder     func() string // name of the entry that holds the lease, as last read; empty if it is not known
	Registry   metrics.Registry
}

// Collector sends this process's counters to the collecting entries and to the holder of the lease, and merges what others send. It is
// safe for concurrent use.
type Collector struct {
	opts        CollectorOptions
	clock       *Clock
	counter     *Counter
	transport   Transport
	log         zerolog.Logger
	incarnation uint64
	wake        chan struct{} // asked is not empty

	sent, received, ignored, lostMetric metrics.Counter

	syncing sync.Mutex // held during Sync

	mu       sync.Mutex
	counts   *merged
	unsent   map[counterKey]int // remaining sends of this process's counters
	partners map[string]*partner
	asked    map[string]ask       // questions to answer, by peer
	askers   map[string]time.Time // peers that get counters until a time
	question uint64               // number of the last one asked
	inquiry  *inquiry             // the last one
	lost     int64                // counters that were lost and not logged
	lostAt   time.Time            // when some were logged
}

// partner is what is known of another entry.
type partner struct {
	incarnation uint64    // of the last message from it; 0 if there was none
	target      bool      // it gets this process's counters
	fullSends   int       // remaining messages to it that have all counters, not only the changed ones
	first       int64     // window before which it wants no counters
	spokenAt    time.Time // when it was last sent a message; zero if it is to be told the time at once
	replyDue    bool      // it has sent counters and is told this process's time
	processes   []uint64  // incarnations with counters that it has introduced
}

// NewCollector returns a Collector, which receives messages at once. Run starts it.
func NewCollector(opts CollectorOptions, clock *Clock, counter *Counter, transport Transport, log zerolog.Logger) *Collector {
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	c := &Collector{
		opts: opts, clock: clock, counter: counter, transport: transport, log: log, wake: make(chan struct{}, 1),
		unsent: make(map[counterKey]int), partners: make(map[string]*partner), asked: make(map[string]ask), askers: make(map[string]time.Time),
		sent:       metrics.GetOrRegisterCounter("usage.datagramsSent", opts.Registry),
		received:   metrics.GetOrRegisterCounter("usage.datagramsReceived", opts.Registry),
		ignored:    metrics.GetOrRegisterCounter("usage.datagramsIgnored", opts.Registry),
		lostMetric: metrics.GetOrRegisterCounter("usage.countersLost", opts.Registry),
	}
	for c.incarnation == 0 {
		c.incarnation = rand.Uint64()
	}
	c.counts = newMerged(c.incarnation)
	c.question = rand.Uint64() >> 1 // an answer to an earlier process of this entry must not match
	transport.Subscribe(peers.TopicUsage, func(from string, data []byte) { c.receive(time.Now(), from, data) })
	return c
}

// Run sends counters and answers until ctx is done, and counters once more then.
func (c *Collector) Run(ctx context.Context) {
	// A random phase spreads the messages that a collector receives.
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(c.interval()))))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.Tick(time.Now())
			return
		case <-c.wake:
			c.answer(ctx)
		case <-timer.C:
			c.Tick(time.Now())
			timer.Reset(c.interval())
		}
	}
}

// interval returns the pause between two messages with counters.
func (c *Collector) interval() time.Duration {
	return max(minSendInterval, time.Duration(len(c.transport.DataCentres())+1)*sendIntervalPerEntry)
}

// Tick corrects the clock, drops old windows and sends what is due.
func (c *Collector) Tick(now time.Time) {
	c.correctClock()
	dataCentres := c.transport.DataCentres()
	for _, s := range c.prepare(now, dataCentres) {
		c.send(&s.message, s.to...)
	}
	c.mu.Lock()
	lost := c.lost
	if now.Sub(c.lostAt) < lostLogInterval {
		lost = 0
	}
	if lost > 0 {
		c.lost, c.lostAt = 0, now
	}
	c.mu.Unlock()
	if lost > 0 {
		event.UsageCountersLost.Log(&c.log).Int64("counters", lost).Send()
	}
}

// correctClock adopts what the peers have stated so far.
func (c *Collector) correctClock() {
	if change, n := c.clock.correct(); change != 0 {
		event.UsageClockCorrected.Log(&c.log).Float64("changeMs", float64(change)/float64(time.Millisecond)).Int("peers", n).Send()
	}
}

// sending is a message with its receivers.
type sending struct {
	message message
	to      []string
}

// prepare returns the messages that are due.
func (c *Collector) prepare(now time.Time, dataCentres map[string]string) []sending {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.collect()
	first, last := c.kept(now)
	c.counts.drop(first, last)
	c.counter.drop(first)
	c.updateTargets(now, dataCentres)

	changed := split(c.takeUnsent(first))
	var out []sending
	var current []string // targets that have all counters but the changed ones
	for _, name := range slices.Sorted(maps.Keys(c.partners)) {
		p := c.partners[name]
		if !p.target {
			continue
		}
		switch {
		case p.fullSends > 0:
			p.fullSends--
			for _, groups := range split(c.counts.groups(max(first, p.first), c.isSelf)) {
				out = append(out, sending{message{Kind: kindCounts, Groups: groups}, []string{name}})
				p.spokenAt = now
			}
		case len(changed) > 0:
			current = append(current, name)
			p.spokenAt = now
		}
	}
	if len(current) > 0 {
		for _, groups := range changed {
			out = append(out, sending{message{Kind: kindCounts, Groups: groups}, current})
		}
	}
	// Silent targets are told the time, and reply with theirs.
	pause := max(clockInterval, time.Duration(len(dataCentres)+1)*clockIntervalPerEntry)
	for _, name := range slices.Sorted(maps.Keys(c.partners)) {
		p := c.partners[name]
		kind := kindClock
		if p.target {
			kind = kindCounts
		}
		if (p.target || p.replyDue) && (p.spokenAt.IsZero() || now.Sub(p.spokenAt) >= pause) {
			out = append(out, sending{message{Kind: kind}, []string{name}})
			p.spokenAt = now
		}
		p.replyDue = false
	}
	return out
}

func (c *Collector) isSelf(id uint64) bool { return id == c.incarnation }

// kept returns the first and the last window whose counters are kept.
func (c *Collector) kept(now time.Time) (first, last int64) {
	t := c.clock.Now(now)
	current := windowContaining(t, c.opts.Window)
	first = windowContaining(t.Add(-countersLifetime), c.opts.Window) // the one before ended countersLifetime ago
	return max(first, current-(maxWindows-maxWindowsAhead-1)), current + maxWindowsAhead
}

// collect merges what the Counter counted since the last call.
func (c *Collector) collect() {
	changed, lost := c.counter.take()
	for _, o := range changed {
		c.counts.add(c.incarnation, o.window, o.workspace, min(o.n, maxCount))
		c.unsent[counterKey{o.window, o.workspace}] = sendsPerChange
	}
	c.countLost(lost)
}

func (c *Collector) countLost(n int64) {
	c.lost += n
	c.lostMetric.Inc(n)
}

// takeUnsent returns this process's counters that are due to be sent to the targets that have the others.
func (c *Collector) takeUnsent(first int64) []group {
	if len(c.unsent) == 0 {
		return nil
	}
	self := c.counts.incarnations[c.incarnation]
	byWindow := make(map[int64][]count)
	for k, sends := range c.unsent {
		if c.unsent[k] = sends - 1; sends == 1 || k.window < first {
			delete(c.unsent, k)
		}
		if n, ok := c.counts.windows[k.window][cell{self, c.counts.workspaces[k.workspace]}]; ok {
			byWindow[k.window] = append(byWindow[k.window], count{Workspace: k.workspace, N: int64(n)})
		}
	}
	var out []group
	for _, w := range slices.Sorted(maps.Keys(byWindow)) {
		slices.SortFunc(byWindow[w], compareCounts)
		out = append(out, group{Window: w, Counts: byWindow[w]})
	}
	return out
}

// updateTargets determines which peers get this process's counters: the collectors, the holder of the lease and those that asked lately.
func (c *Collector) updateTargets(now time.Time, dataCentres map[string]string) {
	targets := c.collectors(dataCentres)
	if c.opts.Holder != nil {
		targets = append(targets, c.opts.Holder())
	}
	for name, until := range c.askers {
		if now.After(until) {
			delete(c.askers, name)
			continue
		}
		targets = append(targets, name)
	}
	for name, p := range c.partners {
		if _, ok := dataCentres[name]; !ok {
			delete(c.partners, name)
			continue
		}
		if p.target && !slices.Contains(targets, name) {
			p.target, p.fullSends, p.first = false, 0, 0
		}
	}
	for _, name := range targets {
		if _, ok := dataCentres[name]; !ok {
			continue // this entry, or one that is not known
		}
		p := c.partner(name)
		if !p.target {
			p.target, p.fullSends = true, sendsPerChange
		}
	}
}

// collectors returns the names of the collecting entries, which may include this one.
func (c *Collector) collectors(dataCentres map[string]string) []string {
	all := maps.Clone(dataCentres)
	all[c.opts.Self] = c.opts.DataCentre
	return roster.Observers(all)
}

// partner returns what is known of a peer.
func (c *Collector) partner(name string) *partner {
	p := c.partners[name]
	if p == nil {
		p = &partner{}
		c.partners[name] = p
	}
	return p
}

// send sends a message on behalf of this process.
func (c *Collector) send(m *message, to ...string) {
	m.Incarnation = c.incarnation
	m.TrueMicros = c.clock.stated().UnixMicro()
	if m.Kind != kindAnswer {
		for i := range m.Groups {
			m.Groups[i].Incarnation = 0
		}
	}
	c.transport.Send(peers.TopicUsage, m.encode(), to...)
	c.sent.Inc(int64(len(to)))
}

// receive handles a message that arrived at now.
func (c *Collector) receive(now time.Time, from string, data []byte) {
	c.received.Inc(1)
	m, err := decodeMessage(data)
	if err == nil {
		c.clock.heard(from, m.Incarnation, m.stated())
		err = c.handle(now, from, m)
	}
	if err != nil {
		c.ignored.Inc(1)
		event.UsageMessageIgnored.Log(&c.log).Str("peer", from).Err(err).Send()
	}
}

// handle handles a decoded message.
func (c *Collector) handle(now time.Time, from string, m *message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, last := c.kept(now)
	for i := range m.Groups {
		// Late messages have windows that were dropped here.
		if w := m.Groups[i].Window; w < first-maxWindows || w > last {
			return fmt.Errorf("%w: window %d, of %d to %d", errMessage, w, first, last)
		}
	}
	if m.Incarnation == c.incarnation {
		return fmt.Errorf("%w: from the same process", errMessage)
	}
	p := c.partner(from)
	if p.incarnation != m.Incarnation {
		if p.incarnation != 0 && p.target {
			p.fullSends = sendsPerChange // a new process has none of the counters
		}
		p.incarnation, p.spokenAt = m.Incarnation, time.Time{}
	}
	switch m.Kind {
	case kindCounts:
		p.replyDue = true
		if err := c.introduce(p, m); err != nil {
			return err
		}
		return c.merge(m, first)
	case kindAsk, kindAnnounce:
		return c.handleAsk(now, from, m)
	case kindAnswer:
		q := c.inquiry
		if q == nil || m.Question < q.first || m.Question > q.last {
			return nil // to an earlier question
		}
		if _, ok := q.waiting[from]; !ok {
			return fmt.Errorf("%w: answer to a question to others", errMessage)
		}
		err := c.merge(m, first)
		q.record(from, m)
		return err
	}
	return nil
}

// handleAsk handles a question for counters, or the announcement that this process's counters are wanted.
func (c *Collector) handleAsk(now time.Time, from string, m *message) error {
	if _, ok := c.askers[from]; !ok && len(c.askers) >= maxAskers {
		return fmt.Errorf("%w: %d entries ask for counters", errMessage, len(c.askers)+1)
	}
	c.askers[from] = now.Add(askerLifetime)
	if p := c.partner(from); !p.target {
		p.first = m.From
	}
	if m.Kind == kindAsk {
		c.asked[from] = ask{m.Question, m.Incarnation, m.From}
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	return nil
}

// introduce checks that a peer does not send counters of too many processes.
func (c *Collector) introduce(p *partner, m *message) error {
	if len(m.Groups) == 0 || slices.Contains(p.processes, m.Incarnation) {
		return nil
	}
	p.processes = slices.DeleteFunc(p.processes, func(id uint64) bool { return c.counts.incarnations[id] == nil })
	if len(p.processes) >= maxPeerIncarnations {
		return fmt.Errorf("%w: of %d processes of the same entry", errMessage, len(p.processes)+1)
	}
	p.processes = append(p.processes, m.Incarnation)
	return nil
}

// merge merges the counters of a message.
func (c *Collector) merge(m *message, first int64) error {
	refused := 0
	for i := range m.Groups {
		g := &m.Groups[i]
		if g.Window < first || g.Incarnation == c.incarnation {
			continue
		}
		for _, n := range g.Counts {
			if !c.counts.add(g.Incarnation, g.Window, n.Workspace, n.N) {
				refused++
			}
		}
	}
	if refused > 0 {
		c.countLost(int64(refused))
		return fmt.Errorf("%w: %d counters exceed what is kept", errMessage, refused)
	}
	return nil
}

// Counts returns the counts of a window by workspace, as far as they are known here.
func (c *Collector) Counts(window int64) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.collect()
	return c.counts.sum(window)
}
