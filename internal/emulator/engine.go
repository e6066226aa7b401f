package emulator

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// engine computes prompts one after the other in chunks, the most urgent first, or generates answers in a batch.
type engine struct {
	*Clock
	model EngineModel
	up    fighollow.Upstream
	rate  float64 // prompt tokens per millisecond
	slow  float64 // factor of its steps' times
	down  bool
	fleet func(address string) *engine

	queue   []*job // prompts, in no order
	busy    bool   // a chunk is computed
	arrived int
	running []*job // answers
	waiting []*job // for a slot

	changing bool
	cache    partCache

	computed, fetched int // prompt tokens
}

// job is an attempt at an engine.
type job struct {
	phase     fighollow.RequestPhase
	prompt    []fighollow.PromptPart
	tokens    int // of the prompt
	output    int
	urgency   int
	fetchFrom string
	number    int // in the order of arrival
	began     bool
	left      int // prompt tokens to compute
	cancelled bool
	started   func() // the first token is there
	done      func(ok bool)
}

// take accepts a job, or refuses it.
func (e *engine) take(j *job) bool {
	prefills := e.up.Role == fighollow.RolePrefill
	if e.down || e.changing || prefills != (j.phase == fighollow.RequestPrefill) {
		return false
	}
	e.arrived++
	j.number = e.arrived
	if prefills {
		e.queue = append(e.queue, j)
		e.compute()
		return true
	}
	e.waiting = append(e.waiting, j)
	e.admit()
	return true
}

// compute computes the next chunk.
func (e *engine) compute() {
	e.queue = slices.DeleteFunc(e.queue, func(j *job) bool { return j.cancelled })
	if e.busy || e.down || len(e.queue) == 0 {
		return
	}
	e.busy = true
	var took time.Duration
	room := e.model.Chunk
	var ended []*job
	for room > 0 && len(e.queue) > 0 {
		j := slices.MinFunc(e.queue, func(a, b *job) int {
			return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.number, b.number))
		})
		if !j.began {
			took += e.begin(j)
		}
		n := min(room, j.left)
		room -= n
		j.left -= n
		took += e.duration(float64(n) / e.rate)
		if j.left > 0 {
			break
		}
		e.queue = slices.DeleteFunc(e.queue, func(k *job) bool { return k == j })
		ended = append(ended, j)
	}
	e.After(took, func() {
		e.busy = false
		for _, j := range ended {
			e.cache.add(j.prompt, e.model.Traits.KVCapacityTokens)
			e.After(e.model.Overhead, func() { j.done(!e.down) })
		}
		e.compute()
	})
}

// begin finds what of a prompt need not be computed, and returns how long fetching takes.
func (e *engine) begin(j *job) time.Duration {
	j.began = true
	held := e.cache.match(j.prompt)
	var took time.Duration
	if source := e.fleet(j.fetchFrom); source != nil && !source.down {
		if there := source.cache.match(j.prompt); there > held {
			took = e.transfer(there - held)
			e.fetched += there - held
			held = there
		}
	}
	j.left = max(0, j.tokens-held)
	e.computed += j.left
	return took
}

func (e *engine) duration(ms float64) time.Duration {
	return time.Duration(ms * e.slow * float64(time.Millisecond))
}

func (e *engine) transfer(tokens int) time.Duration {
	t := e.model.Traits
	return time.Duration(float64(tokens) * float64(t.KVBytesPerToken) * 8 / (t.TransferMbps * 1000) * float64(time.Millisecond))
}

// admit lets answers run while there are slots.
func (e *engine) admit() {
	e.waiting = slices.DeleteFunc(e.waiting, func(j *job) bool { return j.cancelled })
	for len(e.waiting) > 0 && len(e.running) < e.model.Traits.Slots && !e.down {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
		e.cache.add(j.prompt, e.model.Traits.KVCapacityTokens)
		e.After(e.transfer(j.tokens)+e.step(), func() {
			if !j.cancelled {
				j.started()
			}
			e.generate(j, j.output-1)
		})
	}
}

func (e *engine) step() time.Duration {
	return time.Duration(e.slow * float64(e.model.Step+time.Duration(len(e.running))*e.model.StepRunning))
}

// generate produces the tokens that are left of an answer.
func (e *engine) generate(j *job, left int) {
	if j.cancelled || left <= 0 {
		e.running = slices.DeleteFunc(e.running, func(k *job) bool { return k == j })
		if !j.cancelled {
			j.done(true)
		}
		e.admit()
		return
	}
	e.After(e.step(), func() { e.generate(j, left-1) })
}

// crash breaks off all work and forgets the cache.
func (e *engine) crash() {
	e.down = true
	jobs := slices.Concat(e.queue, e.running, e.waiting)
	e.queue, e.running, e.waiting, e.cache = nil, nil, nil, partCache{epoch: e.cache.epoch + 1}
	for _, j := range jobs {
		if !j.cancelled {
			j.cancelled = true
			j.done(false)
		}
	}
}

// report returns what the engine says of itself.
func (e *engine) report() fighollow.EngineReport {
	r := fighollow.EngineReport{
		Role: e.up.Role, Changing: e.changing, Running: len(e.running), Queued: len(e.waiting), KVTotal: e.model.Traits.KVCapacityTokens,
	}
	for _, j := range e.queue {
		if j.began {
			r.Running++
		} else {
			r.Queued++
		}
	}
	for _, j := range e.running {
		r.KVUsed += j.tokens
	}
	return r
}

// partCache is an engine's prefix cache. The parts that were not used for longest yield.
type partCache struct {
	epoch   uint64
	used    int
	parts   map[uint64]*list.Element
	order   *list.List // of fighollow.PromptPart
	changes []fighollow.PromptPart
}

// match returns how many leading tokens of a prompt are held.
func (c *partCache) match(prompt []fighollow.PromptPart) int {
	held := 0
	for _, p := range prompt {
		if c.parts[p.ID] == nil {
			break
		}
		held += p.Tokens
	}
	return held
}

// add puts a prompt's parts in.
func (c *partCache) add(prompt []fighollow.PromptPart, capacity int) {
	if c.parts == nil {
		c.parts, c.order = make(map[uint64]*list.Element), list.New()
	}
	for _, p := range slices.Backward(prompt) {
		if e := c.parts[p.ID]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[p.ID] = c.order.PushFront(p)
		c.used += p.Tokens
		c.changes = append(c.changes, p)
	}
	for c.used > capacity {
		p := c.order.Remove(c.order.Back()).(fighollow.PromptPart)
		delete(c.parts, p.ID)
		c.used -= p.Tokens
		c.changes = append(c.changes, fighollow.PromptPart{ID: p.ID})
	}
}
