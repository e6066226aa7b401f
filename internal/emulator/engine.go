package emulator

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// engine simulates an inference engine. With the prefill role it computes prompts in chunks, the most urgent first; with the
// decode role it generates answers in a continuous batch.
type engine struct {
	*Clock
	model       EngineModel
	upstream    fighollow.Upstream
	prefillRate float64 // prompt tokens per millisecond
	slowdown    float64 // factor on the times of its steps
	down        bool
	peer        func(address string) *engine // engine at an address, nil if there is none

	queue     []*job // prefill jobs, in no particular order
	computing bool   // a prefill chunk is in progress
	accepted  int    // jobs accepted so far
	running   []*job // decode jobs that hold a slot
	waiting   []*job // decode jobs without a slot

	changingRole bool
	cache        prefixCache

	computedTokens, fetchedTokens int // prompt tokens, over the whole run
}

// job is an attempt as an engine runs it.
type job struct {
	phase        fighollow.RequestPhase
	prompt       []fighollow.PromptPart
	promptTokens int // of the whole prompt
	outputTokens int
	urgency      int    // lower values are computed first
	fetchFrom    string // address of the engine to fetch cached KV blocks from, if any
	seq          int    // order of acceptance, which breaks ties of urgency
	begun        bool   // its prefill has started
	remaining    int    // prompt tokens still to be computed
	cancelled    bool
	onFirstToken func()        // called when the first token is produced
	onEnd        func(ok bool) // called when the job ends; ok reports success
}

// submit accepts a job and reports true, or refuses it because the engine is down, is changing its role or has the other role.
func (e *engine) submit(j *job) bool {
	isPrefill := e.upstream.Role == fighollow.RolePrefill
	if e.down || e.changingRole || isPrefill != (j.phase == fighollow.RequestPrefill) {
		return false
	}
	e.accepted++
	j.seq = e.accepted
	if isPrefill {
		e.queue = append(e.queue, j)
		e.computeChunk()
		return true
	}
	e.waiting = append(e.waiting, j)
	e.admit()
	return true
}

// computeChunk starts the next prefill chunk if the engine is idle and prompts are queued. One chunk can hold several prompts.
func (e *engine) computeChunk() {
	e.queue = slices.DeleteFunc(e.queue, func(j *job) bool { return j.cancelled })
	if e.computing || e.down || len(e.queue) == 0 {
		return
	}
	e.computing = true
	var took time.Duration
	budget := e.model.PrefillChunk
	var finished []*job
	for budget > 0 && len(e.queue) > 0 {
		j := slices.MinFunc(e.queue, func(a, b *job) int {
			return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.seq, b.seq))
		})
		if !j.begun {
			took += e.beginPrefill(j)
		}
		n := min(budget, j.remaining)
		budget -= n
		j.remaining -= n
		took += e.computeTime(float64(n) / e.prefillRate)
		if j.remaining > 0 {
			break
		}
		e.queue = slices.DeleteFunc(e.queue, func(k *job) bool { return k == j })
		finished = append(finished, j)
	}
	e.After(took, func() {
		e.computing = false
		for _, j := range finished {
			e.cache.add(j.prompt, e.model.Traits.KVCapacityTokens)
			e.After(e.model.PrefillOverhead, func() { j.onEnd(!e.down) })
		}
		e.computeChunk()
	})
}

// beginPrefill deducts the tokens that are in the engine's own cache or can be fetched from another engine, and returns the time
// that fetching takes.
func (e *engine) beginPrefill(j *job) time.Duration {
	j.begun = true
	cached := e.cache.cachedTokens(j.prompt)
	var took time.Duration
	if source := e.peer(j.fetchFrom); source != nil && !source.down {
		if atSource := source.cache.cachedTokens(j.prompt); atSource > cached {
			took = e.transferTime(atSource - cached)
			e.fetchedTokens += atSource - cached
			cached = atSource
		}
	}
	j.remaining = max(0, j.promptTokens-cached)
	e.computedTokens += j.remaining
	return took
}

func (e *engine) computeTime(ms float64) time.Duration {
	return time.Duration(ms * e.slowdown * float64(time.Millisecond))
}

func (e *engine) transferTime(tokens int) time.Duration {
	t := e.model.Traits
	return time.Duration(float64(tokens) * float64(t.KVBytesPerToken) * 8 / (t.TransferMbps * 1000) * float64(time.Millisecond))
}

// admit moves waiting jobs into free slots. Each imports its KV cache before its first token.
func (e *engine) admit() {
	e.waiting = slices.DeleteFunc(e.waiting, func(j *job) bool { return j.cancelled })
	for len(e.waiting) > 0 && len(e.running) < e.model.Traits.Slots && !e.down {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
		e.cache.add(j.prompt, e.model.Traits.KVCapacityTokens)
		e.After(e.transferTime(j.promptTokens)+e.stepTime(), func() {
			if !j.cancelled {
				j.onFirstToken()
			}
			e.decode(j, j.outputTokens-1)
		})
	}
}

func (e *engine) stepTime() time.Duration {
	return time.Duration(e.slowdown * float64(e.model.DecodeStep+time.Duration(len(e.running))*e.model.DecodeStepPerRequest))
}

// decode schedules the remaining tokens of an answer, one for each step, and ends the job after the last of them.
func (e *engine) decode(j *job, remaining int) {
	if j.cancelled || remaining <= 0 {
		e.running = slices.DeleteFunc(e.running, func(k *job) bool { return k == j })
		if !j.cancelled {
			j.onEnd(true)
		}
		e.admit()
		return
	}
	e.After(e.stepTime(), func() { e.decode(j, remaining-1) })
}

// crash fails all queued and running jobs and empties the cache. A new cache epoch starts.
func (e *engine) crash() {
	e.down = true
	jobs := slices.Concat(e.queue, e.running, e.waiting)
	e.queue, e.running, e.waiting, e.cache = nil, nil, nil, prefixCache{epoch: e.cache.epoch + 1}
	for _, j := range jobs {
		if !j.cancelled {
			j.cancelled = true
			j.onEnd(false)
		}
	}
}

// report returns the status report that the planner receives from the engine.
func (e *engine) report() fighollow.EngineReport {
	r := fighollow.EngineReport{
		Role: e.upstream.Role, Changing: e.changingRole, Running: len(e.running), Queued: len(e.waiting), KVTotal: e.model.Traits.KVCapacityTokens,
	}
	for _, j := range e.queue {
		if j.begun {
			r.Running++
		} else {
			r.Queued++
		}
	}
	for _, j := range e.running {
		r.KVUsed += j.promptTokens
	}
	return r
}

// prefixCache is an LRU cache of prompt parts, bounded by their tokens.
type prefixCache struct {
	epoch   uint64 // raised by each crash
	tokens  int    // of all parts
	parts   map[uint64]*list.Element
	lru     *list.List             // of fighollow.PromptPart, most recently used first
	changes []fighollow.PromptPart // parts added and, with 0 tokens, evicted in this epoch
}

// cachedTokens returns the number of leading tokens of a prompt that are cached.
func (c *prefixCache) cachedTokens(prompt []fighollow.PromptPart) int {
	cached := 0
	for _, p := range prompt {
		if c.parts[p.ID] == nil {
			break
		}
		cached += p.Tokens
	}
	return cached
}

// add caches the parts of a prompt and evicts the least recently used parts above capacity, in tokens. The parts are added
// from the last one to the first, so that a suffix is evicted before its prefix.
func (c *prefixCache) add(prompt []fighollow.PromptPart, capacity int) {
	if c.parts == nil {
		c.parts, c.lru = make(map[uint64]*list.Element), list.New()
	}
	for _, p := range slices.Backward(prompt) {
		if e := c.parts[p.ID]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.parts[p.ID] = c.lru.PushFront(p)
		c.tokens += p.Tokens
		c.changes = append(c.changes, p)
	}
	for c.tokens > capacity {
		p := c.lru.Remove(c.lru.Back()).(fighollow.PromptPart)
		delete(c.parts, p.ID)
		c.tokens -= p.Tokens
		c.changes = append(c.changes, fighollow.PromptPart{ID: p.ID})
	}
}
