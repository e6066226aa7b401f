package placement

import (
	"time"

	"github.com/fighollow/fighollow/internal/rendezvous"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// minSharingEntries is the number of entries from which on they share what they place, and keepSharingEntries the number down to which
	// they continue. Fewer entries see enough of the work themselves; two values prevent frequent changes.
	minSharingEntries  = 8
	keepSharingEntries = 6
	// senderShare bounds the rate of work that one entry can report, as a multiple of the engine time per entry: load balancers spread
	// requests unevenly. An entry that reports more is faulty, and its reports are ignored for senderPause, so that it cannot make engines
	// look busy. senderBurst is how much can be reported at once, and minSenderBurstMs the least, for long prompts in small fleets.
	senderShare      = 4
	senderBurst      = 2 * time.Second
	minSenderBurstMs = 5000
	senderPause      = 30 * time.Second
	// maxSenders bounds the number of entries whose reported work is counted. A deployment has at most some hundred entries.
	maxSenders = 1024
	// drainStep is the least time that is applied to a backlog. A request is placed by several calls of Choose at nearly the same time.
	drainStep = time.Millisecond
	// countInterval is the pause between two counts of the engines.
	countInterval = time.Second
	// remoteBacklogShare is the backlog that an engine of another data centre is assumed to have, as a fraction of the mean here. Entries
	// are told of work only in their own data centre; without the assumption, all others would look idle.
	remoteBacklogShare = 0.5
)

// Work is a prompt that was placed at an engine.
type Work struct {
	Engine     uint64 // EngineHash of the engine
	DataCentre string // of the engine; not sent
	Phase      fighollow.RequestPhase
	Urgency    int
	Ended      bool    // the prompt was placed before and has ended
	Ms         float64 // engine time at an engine of mean speed
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
	// Distrusted is set if all were ignored because the entry reports more than it can have placed.
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

// AddWork adds prompts that the entry named from reports to have placed. While work is not shared, it ignores them.
func (f *Fleet) AddWork(now time.Time, from string, reported []Work) WorkCounts {
	f.mu.Lock()
	if !f.sharing {
		f.mu.Unlock()
		return WorkCounts{Ignored: len(reported)}
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
	accepted := f.senders.spend(now, from, reportedMs(reported), senderShare*1000*float64(f.promptEngines)/float64(f.entries))
	f.mu.Unlock()
	if !accepted {
		return WorkCounts{Ignored: len(reported), Distrusted: true}
	}
	var counts WorkCounts
	for _, w := range reported {
		ms := 0.0
		if w.Ms > 0 && w.Urgency >= 0 && w.Urgency <= maxUrgency {
			for _, p := range pools {
				if ms = p.addWork(now, w); ms > 0 {
					break
				}
			}
		}
		if ms == 0 {
			counts.Ignored++
			continue
		}
		counts.Added++
		if !w.Ended {
			counts.AddedMs += ms
		}
	}
	return counts
}

// reportedMs returns the sum of the work that was placed, with its bound for each prompt.
func reportedMs(reported []Work) float64 {
	var ms float64
	for _, w := range reported {
		if !w.Ended {
			ms += min(w.Ms, maxWorkMs)
		}
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

// addWork adds a prompt that another entry placed, or removes one that has ended. It returns the work that was added; 0 if the engine is not in the pool.
func (p *Pool) addWork(now time.Time, w Work) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	inst := p.byHash[w.Engine]
	if inst == nil || !p.sharing {
		return 0
	}
	p.drainBacklog(now, inst)
	mean := p.pace.mean()
	if w.Ended {
		inst.backlog.endOther(w.Urgency, min(w.Ms, maxWorkMs)/mean)
		return min(w.Ms, maxWorkMs)
	}
	return mean * inst.backlog.add(w.Urgency, min(w.Ms, maxWorkMs)/mean)
}

// setSharing sets whether the entries share what they place.
func (p *Pool) setSharing(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sharing == on {
		return
	}
	p.sharing, p.pace = on, fleetPace{}
	for _, inst := range p.instances {
		inst.backlog, inst.pace = backlog{}, pace{}
	}
}

// drainBacklog applies the time that has passed to the backlog of an engine, at most every drainStep.
func (p *Pool) drainBacklog(now time.Time, inst *instance) {
	if now.Sub(inst.backlog.drainedAt) < drainStep {
		return
	}
	inst.backlog.drain(now, p.slowness(now, inst), &inst.pending)
}

// prepareBacklogs applies the time that has passed to all backlogs, and updates what engines of other data centres are assumed to have.
func (p *Pool) prepareBacklogs(now time.Time) {
	if now.Sub(p.backlogsAt) < drainStep {
		return
	}
	p.backlogsAt, p.resultLatencyMs = now, p.times.aloneMs(0)
	p.remotePrefillMs, p.remoteWholeMs = workByUrgency{}, workByUrgency{}
	prefill, whole := 0, 0
	for _, inst := range p.instances {
		p.drainBacklog(now, inst)
		switch {
		case inst.upstream.DataCentre != p.dataCentre:
		case inst.upstream.Role == fighollow.RolePrefill:
			p.remotePrefillMs.addLeft(&inst.backlog)
			prefill++
		default:
			p.remoteWholeMs.addLeft(&inst.backlog)
			whole++
		}
	}
	for u := range p.remotePrefillMs {
		p.remotePrefillMs[u] *= remoteBacklogShare / float64(max(1, prefill))
		p.remoteWholeMs[u] *= remoteBacklogShare / float64(max(1, whole))
	}
}

// addLeft adds what is left of others' work at an engine.
func (w *workByUrgency) addLeft(b *backlog) {
	for u := range w {
		w[u] += b.others[u] - b.othersDone[u]
	}
}

// pendingMs returns the work that an engine does before a new prompt of this urgency: this entry's, and that of others while the entries
// share what they place.
func (p *Pool) pendingMs(inst *instance, urgency int) float64 {
	if !p.sharing {
		return inst.pending.ahead(urgency)
	}
	others := inst.backlog.othersLeft(urgency)
	if inst.upstream.DataCentre != p.dataCentre {
		assumed := &p.remoteWholeMs
		if inst.upstream.Role == fighollow.RolePrefill {
			assumed = &p.remotePrefillMs
		}
		others = max(others, assumed.ahead(urgency))
	}
	return others + inst.backlog.ownLeft(&inst.pending, urgency, p.resultLatencyMs)
}
