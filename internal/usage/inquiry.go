package usage

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fighollow/fighollow/internal/event"
)

const (
	// syncRounds and syncInterval are how often collectors are asked for their counters, and the pause between.
	syncRounds   = 4
	syncInterval = 250 * time.Millisecond
	// peersWait is how long a question waits for the other entries to be read. A process that is restarted can acquire the lease before its
	// first poll of their objects, and freezes windows with its own counts only if it asks nobody. It is long enough for a second poll
	// after a failed one.
	peersWait     = 2 * time.Second
	peersInterval = 50 * time.Millisecond
	// answerBurst parts of an answer are sent between two answerPauses: 1,600 a second, so that the answers of four collectors do not
	// overflow a receive buffer of 200 KB.
	answerBurst = 8
	answerPause = 5 * time.Millisecond
	// maxAnswerParts bounds an answer: maxCounters counters of 20 bytes.
	maxAnswerParts = 10_000
)

// ask is a question for all counters of windows from first on.
type ask struct {
	question uint64
	by       uint64 // process that asks
	first    int64
}

// inquiry is a question to the collectors.
type inquiry struct {
	first, last uint64 // numbers of its rounds
	waiting     map[string]bool
	parts       map[answerID]map[int]bool
	done        chan struct{} // closed when nobody is waited for
}

// answerID identifies an answer, which has several parts.
type answerID struct {
	from     string
	question uint64
	parts    int
}

// record records that a part of an answer has arrived.
func (q *inquiry) record(from string, m *message) {
	if !q.waiting[from] {
		return
	}
	id := answerID{from, m.Question, m.Parts}
	if q.parts[id] == nil {
		q.parts[id] = make(map[int]bool)
	}
	q.parts[id][m.Part] = true
	if len(q.parts[id]) < m.Parts {
		return
	}
	q.waiting[from] = false
	if len(q.missing()) == 0 {
		close(q.done)
	}
}

// missing returns the collectors that have not answered.
func (q *inquiry) missing() []string {
	var out []string
	for name, waiting := range q.waiting {
		if waiting {
			out = append(out, name)
		}
	}
	return out
}

// answer answers the questions that have arrived.
func (c *Collector) answer(ctx context.Context) {
	c.mu.Lock()
	asked := maps.Clone(c.asked)
	c.mu.Unlock()
	for name, a := range asked {
		c.mu.Lock()
		c.collect()
		parts := split(c.counts.groups(a.first, func(id uint64) bool { return id != a.by }))
		c.mu.Unlock()
		if len(parts) == 0 {
			parts = [][]group{nil}
		}
		parts = parts[:min(len(parts), maxAnswerParts)]
		for i, groups := range parts {
			if i > 0 && i%answerBurst == 0 {
				select {
				case <-ctx.Done():
					return
				case <-time.After(answerPause):
				}
			}
			c.send(&message{Kind: kindAnswer, Groups: groups, Question: a.question, Part: i, Parts: len(parts)}, name)
		}
		c.mu.Lock()
		if c.asked[name].by == a.by {
			delete(c.asked, name) // also if it has repeated its question meanwhile: it does so again if parts were lost
		}
		c.mu.Unlock()
	}
}

// Sync asks the collectors for all counters of windows from one on, and all entries to send theirs to this one from now on. It returns when
// all known collectors have answered, a second after the other entries are known, or when ctx is done. What arrives later is merged too.
func (c *Collector) Sync(ctx context.Context, from int64) {
	c.syncing.Lock()
	defer c.syncing.Unlock()
	began := time.Now()
	for !c.transport.Known() && time.Since(began) < peersWait && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(peersInterval):
		}
	}
	dataCentres := c.transport.DataCentres()
	q := &inquiry{waiting: make(map[string]bool), parts: make(map[answerID]map[int]bool), done: make(chan struct{})}
	for _, name := range c.collectors(dataCentres) {
		if name != c.opts.Self {
			q.waiting[name] = true
			delete(dataCentres, name)
		}
	}
	if len(q.waiting) == 0 {
		return // there is no other entry
	}
	c.mu.Lock()
	q.first = c.question + 1
	c.inquiry = q
	c.mu.Unlock()
	others := slices.Collect(maps.Keys(dataCentres))
	announce := func() {
		if len(others) > 0 {
			c.send(&message{Kind: kindAnnounce, From: from}, others...)
		}
	}
	announce()
	rounds := 0
	for answered := false; !answered && rounds < syncRounds && ctx.Err() == nil; rounds++ {
		c.mu.Lock()
		c.question++
		q.last = c.question
		m, to := message{Kind: kindAsk, Question: c.question, From: from}, q.missing()
		c.mu.Unlock()
		c.send(&m, to...)
		select {
		case <-q.done:
			answered = true
		case <-ctx.Done():
		case <-time.After(syncInterval):
		}
	}
	announce() // once more, so that one lost datagram loses nothing
	// The answers state the time. A holder whose time of day was ahead at its start would otherwise freeze windows that have not ended.
	c.correctClock()
	c.mu.Lock()
	missing := q.missing()
	c.mu.Unlock()
	slices.Sort(missing)
	event.UsageCountersAsked.Log(&c.log).Int64("window", from).Int("collectors", len(q.waiting)).Strs("missing", missing).Int("rounds", rounds).
		Int64("tookMs", time.Since(began).Milliseconds()).Send()
}
