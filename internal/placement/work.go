package placement

import (
	"time"

	"github.com/fighollow/fighollow/internal/rendezvous"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// minSharingEntries and maxSharingEntries are the least and the largest number of entries that begin to share what they place. Fewer entries
	// see enough of the work themselves. What an entry receives grows with the number, and engines whose work is reported to some entries only
	// look idle to the others. Entries that share continue down to minStillSharing and up to maxStillSharing, which prevents frequent changes.
	minSharingEntries = 8
	maxSharingEntries = 40
	minStillSharing   = 6
	maxStillSharing   = 48
	// senderShare bounds the rate of work that one entry can report, as a multiple of the engine time per entry: load balancers spread
	// requests unevenly. An entry that reports more is faulty, and its reports are ignored for senderPause, so that it cannot make engines
	// look busy. senderBurst is how much can be reported at once, and minSenderBurstMs the least, for long prompts in small fleets.
	senderShare      = 4
	senderBurst      = 2 * time.Second
	minSenderBurstMs = 5000
	senderPause      = 30 * time.Second
	// maxSenders bounds the number of entries whose reported work is counted. A deployment has at most some hundred entries.
	maxSenders = 1024
	// countInterval is the pause between two counts of the engines.
	countInterval = time.Second
	// longPromptMs is the typical time of a prompt from which on the entries share what they place in a service, and shortPromptMs the time down
	// to which they continue. What others report is 20 to 60 ms old; shorter prompts have mostly ended by then.
	longPromptMs  = 60
	shortPromptMs = 40
	// typicalPrompts is the number of recent prompts that their typical time weighs most.
	typicalPrompts = 32
	// maxPromptsPerEntry bounds the unfinished prompts of one entry that are counted in a service. An entry has some tens.
	maxPromptsPerEntry = 256
	// maxPrefixParts bounds the parts of a prompt that its entry reports. Prompts have two or three that others share.
	maxPrefixParts = 4
)

// Work is a prompt that was placed at an engine, or that has ended there, as its entry reports it.
type Work struct {
	Number  uint32 // of the prompt among those of the entry; it increases
	Engine  uint64 // EngineHash of the engine
	Urgency int
	Ms      float64                // engine time at an engine of mean speed
	Prefix  []fighollow.PromptPart // parts that other prompts may share, from the first on, at most maxPrefixParts
	// Ended is set when the prompt is no longer at the engine, and Computed if the engine has computed it. Ratio is then the time it took,
	// relative to what was expected; 0 if that is not known.
	Ended, Computed bool
	Ratio           float64
}

// WorkReport is what an entry reports of the prompts that it placed.
type WorkReport struct {
	Placed []Work
	Ended  []Work // only Number, Computed and Ratio are set
	// Next is above the numbers of all prompts that the entry had placed when it sent the report, and Unfinished has the numbers of those that
	// were unfinished, those of Placed too. So a lost report is repaired by the next one.
	Next       uint32
	Unfinished []uint32
}

// sharesWork reports whether so many entries share what they place; on is whether they did so far.
func sharesWork(entries int, on bool) bool {
	if on {
		return entries >= minStillSharing && entries <= maxStillSharing
	}
	return entries >= minSharingEntries && entries <= maxSharingEntries
}

// EngineHash identifies one run of an engine in messages between entries.
func EngineHash(u fighollow.Upstream) uint64 {
	return rendezvous.Key(u.Incarnation() + "@" + u.Address)
}

// WorkCounts counts reported work by what became of it.
type WorkCounts struct {
	Added   int     // prompts that were added to a backlog
	Ignored int     // prompts at unknown engines, invalid ones, and those beyond a bound
	AddedMs float64 // work that was added, within the bounds
	// Distrusted is set if the report was ignored because the entry reports more than it can have placed.
	Distrusted bool
}

// OnWork sets the function that gets each prompt that is placed while work is shared. It must not block.
func (f *Fleet) OnWork(placed func(now time.Time, w Work)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onWork = placed
	for _, p := range f.pools {
		p.setOnWork(placed)
	}
}

func (p *Pool) setOnWork(placed func(now time.Time, w Work)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onWork = placed
}

// AddWork applies a report of the entry named from. While work is not shared, it ignores reports.
func (f *Fleet) AddWork(now time.Time, from string, r WorkReport) WorkCounts {
	f.mu.Lock()
	if !f.sharing {
		f.mu.Unlock()
		return WorkCounts{Ignored: len(r.Placed)}
	}
	pools := make([]*Pool, 0, len(f.pools))
	for _, p := range f.pools {
		pools = append(pools, p)
	}
	if now.Sub(f.enginesCounted) >= countInterval {
		f.enginesCounted, f.promptEngines = now, 0
		for _, p := range pools {
			f.promptEngines += p.countPromptEngines()
		}
	}
	accepted := f.senders.spend(now, from, reportedMs(r.Placed), senderShare*1000*float64(f.promptEngines)/float64(f.entries))
	f.mu.Unlock()
	placed := len(r.Placed)
	if !accepted {
		r.Placed, r.Ended = nil, nil
	}
	counts := WorkCounts{Distrusted: !accepted}
	for _, p := range pools {
		added, ms := p.addReport(now, from, r)
		counts.Added += added
		counts.AddedMs += ms
	}
	counts.Ignored = placed - counts.Added
	return counts
}

// reportedMs returns the sum of the work that was placed, with its bound for each prompt.
func reportedMs(reported []Work) float64 {
	var ms float64
	for _, w := range reported {
		ms += max(0, min(w.Ms, maxWorkMs))
	}
	return ms
}

// senderBudget is how much work an entry can report now, in milliseconds.
type senderBudget struct {
	ms           float64
	at           time.Time
	ignoredUntil time.Time
}

// senderBudgets holds the budgets of the entries by name.
type senderBudgets map[string]senderBudget

// spend reports whether an entry may report ms of work now. Its budget grows by perSecond milliseconds a second.
func (s senderBudgets) spend(now time.Time, from string, ms, perSecond float64) bool {
	burst := max(minSenderBurstMs, perSecond*senderBurst.Seconds())
	b, known := s[from]
	if !known {
		if len(s) >= maxSenders {
			clear(s) // most are of entries that have left; the others' budgets begin anew
		}
		b = senderBudget{ms: burst, at: now}
	}
	b.ms = min(burst, b.ms+perSecond*max(0, now.Sub(b.at).Seconds())) - ms
	b.at = now
	if b.ms < 0 && !now.Before(b.ignoredUntil) {
		b.ignoredUntil = now.Add(senderPause)
	}
	b.ms = max(0, b.ms)
	s[from] = b
	return !now.Before(b.ignoredUntil)
}

// countPromptEngines returns the number of engines that compute prompts: the prefill engines, or all if there are none.
func (p *Pool) countPromptEngines() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	prefill := 0
	if p.traits.Engine == nil {
		return 0
	}
	for _, inst := range p.instances {
		if inst.upstream.Role == fighollow.RolePrefill {
			prefill++
		}
	}
	if prefill == 0 {
		return len(p.instances)
	}
	return prefill
}

// addReport applies what a report says of the engines of this service: it adds prompts, and removes those that have ended. It returns how many
// prompts were added, and their work.
func (p *Pool) addReport(now time.Time, from string, r WorkReport) (added int, ms float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.sharing {
		return 0, 0
	}
	prompts, mean := p.reported.of(from), p.pace.mean()
	for i := range r.Placed {
		w := &r.Placed[i]
		inst := p.byHash[w.Engine]
		if inst == nil || prompts[w.Number] != nil || len(prompts) >= maxPromptsPerEntry || w.Ms <= 0 || w.Urgency < 0 || w.Urgency > maxUrgency {
			continue
		}
		work := min(w.Ms, maxWorkMs)
		rp := &reportedPrompt{
			engine: w.Engine, urgency: w.Urgency, prefix: w.Prefix, placedAt: now, confirmedAt: now,
			ms: min(work/mean, max(0, maxBacklogMs-inst.backlog.others.total())),
		}
		prompts[w.Number] = rp
		inst.backlog.add(rp.urgency, rp.ms)
		inst.cache.add(now, rp.prefix, false)
		added++
		ms += rp.ms * mean
	}
	// A prompt can have ended before it was reported to have been placed.
	for i := range r.Ended {
		p.endReported(now, prompts, &r.Ended[i])
	}
	p.confirmReported(now, prompts, r)
	return added, ms
}

// endReported removes a prompt of another entry that has ended, and learns from it.
func (p *Pool) endReported(now time.Time, prompts map[uint32]*reportedPrompt, w *Work) {
	rp := prompts[w.Number]
	if rp == nil {
		return
	}
	delete(prompts, w.Number)
	inst := p.byHash[rp.engine]
	if inst == nil {
		return
	}
	inst.backlog.remove(rp.urgency, rp.ms)
	if w.Computed {
		inst.cache.add(now, rp.prefix, true)
	}
	if w.Ratio > 0 && rp.ms > 0 {
		p.pace.observe(now, &inst.pace, w.Ratio*rp.ms, rp.ms)
	}
}

// confirmReported removes the prompts of another entry that had ended when it sent r, by reports that did not arrive, and confirms the others.
func (p *Pool) confirmReported(now time.Time, prompts map[uint32]*reportedPrompt, r WorkReport) {
	unfinished := make(map[uint32]bool, len(r.Unfinished))
	for _, number := range r.Unfinished {
		unfinished[number] = true
	}
	for number, rp := range prompts {
		switch {
		case unfinished[number]:
			rp.confirmedAt = now
		case int32(r.Next-number) > 0: // placed before the report was sent; a later one can have arrived earlier
			p.removeReported(rp)
			delete(prompts, number)
		}
	}
}

func (p *Pool) removeReported(rp *reportedPrompt) {
	if inst := p.byHash[rp.engine]; inst != nil {
		inst.backlog.remove(rp.urgency, rp.ms)
	}
}

// setSharing sets whether the entries share what they place in services whose prompts take long enough.
func (p *Pool) setSharing(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mayShare = on
	p.updateSharing()
}

// observeTypicalPrompt adds the expected time of a prompt, in milliseconds, to the typical one.
func (p *Pool) observeTypicalPrompt(ms float64) {
	weight := 1.0 / typicalPrompts
	if p.typicalPromptMs == 0 {
		weight = 1
	}
	p.typicalPromptMs += weight * (ms - p.typicalPromptMs)
	p.updateSharing()
}

// updateSharing begins or ends sharing. p.mu must be held.
func (p *Pool) updateSharing() {
	on := p.mayShare && (p.typicalPromptMs >= longPromptMs || p.sharing && p.typicalPromptMs >= shortPromptMs)
	if on == p.sharing {
		return
	}
	p.sharing, p.pace, p.reported = on, fleetPace{}, reportedPrompts{}
	for _, inst := range p.instances {
		inst.backlog, inst.pace = backlog{}, pace{}
	}
}

// expireReported drops prompts of other entries that no longer count.
func (p *Pool) expireReported(now time.Time) {
	for _, rp := range p.reported.expire(now) {
		p.removeReported(rp)
	}
}

// pendingMs returns the work that an engine does before a new prompt of this urgency: this entry's, and, while the entries share what they
// place, that of others. Work of all urgencies counts then, as engines compute prompts by turns.
func (p *Pool) pendingMs(inst *instance, urgency int) float64 {
	if !p.sharing {
		return inst.pending.ahead(urgency)
	}
	return inst.backlog.others.total() + inst.pending.total()
}
