package placement

import (
	"container/list"
	"maps"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// prefixMemoryShare is the fraction of an engine's KV memory that is assumed to hold cached prefixes; running requests
	// use the remainder.
	prefixMemoryShare = 0.7
	// reportedMemoryShare is the same while the engine reports its cache; it only bounds the size of the mirror.
	reportedMemoryShare = 1.5
	// prefixTTL is how long a part is assumed to stay cached after this entry last used it, when the engine does not report
	// its cache. Requests of other entries, which this one does not see, fill an engine's memory in about this time.
	prefixTTL = 12 * time.Second
	// reportTTL is how long an engine's last report of its cache is trusted.
	reportTTL = 5 * time.Second
	// minShrink is the number of parts up to which a map that has become too large stays.
	minShrink = 64
	// reportLag is how long it takes until an engine reports a part that it was sent: the prompt waits, is computed, and the
	// cache is polled after that.
	reportLag = 2500 * time.Millisecond
)

// prefixCache mirrors which prompt parts an engine holds: those that it reported and those that this entry sent it since.
// Without a recent report, it holds the parts that this entry sent last, within the engine's memory. Callers choose the parts and the tokens
// that they claim, so their number is bounded as well.
type prefixCache struct {
	capacity  int // size of the engine's KV memory in tokens; 0 for a plain service, of which nothing is kept
	budget    *partBudget
	borrowed  int64 // of the budget, in parts
	used      int   // tokens of all parts in the mirror
	parts     map[uint64]*list.Element
	mostParts int        // that the map has held
	lru       *list.List // of *cachedPart; least recently used last

	epoch      string    // of the engine's positions; empty before the first report
	position   uint64    // up to which the engine's changes were applied
	reportedAt time.Time // when the last report arrived

	known            bool // of a Snapshot: match returns the following
	cached, computed int
}

// cachedPart is one prompt part that the engine was sent or reported.
type cachedPart struct {
	id       uint64
	tokens   int
	lastUsed time.Time // by this entry
	computed bool      // the engine has computed its KV cache, so that others can fetch it
	reported bool      // the engine reported it
}

func newPrefixCache(capacity int, b *partBudget) *prefixCache {
	c := &prefixCache{budget: b, parts: make(map[uint64]*list.Element), lru: list.New()}
	c.setCapacity(capacity)
	return c
}

// setCapacity sets the size of the engine's KV memory in tokens. A mirror without capacity holds nothing and has no share of the budget.
func (c *prefixCache) setCapacity(tokens int) {
	wasKept, isKept := c.capacity > 0, tokens > 0
	c.capacity = tokens
	switch {
	case isKept && !wasKept:
		c.budget.mirrors.Add(1)
	case wasKept && !isKept:
		c.forget()
		c.budget.mirrors.Add(-1)
	}
}

// forget discards all parts and what is known of the engine's positions.
func (c *prefixCache) forget() {
	c.budget.lend(-c.borrowed)
	*c = prefixCache{capacity: c.capacity, budget: c.budget, parts: make(map[uint64]*list.Element), lru: list.New()}
}

// apply applies the changes that the engine reported. It reports whether the previous content of the mirror had to be
// discarded, because the engine restarted or changes were lost.
func (c *prefixCache) apply(now time.Time, ch fighollow.CacheChanges) bool {
	reset := false
	if c.epoch != "" && (ch.Epoch != c.epoch || ch.Lost) {
		c.forget()
		reset = true
		if ch.Epoch != c.epoch {
			return true // read from a position of the old epoch: the first changes of the new one may be missing
		}
	}
	c.epoch, c.position, c.reportedAt = ch.Epoch, ch.Next, now
	if c.capacity == 0 {
		return reset
	}
	for _, p := range ch.Parts {
		e, ok := c.parts[p.ID]
		switch {
		case p.Tokens == 0 && ok:
			c.remove(e)
		case p.Tokens > 0 && !ok:
			c.insert(&cachedPart{id: p.ID, tokens: p.Tokens, computed: true, reported: true})
		case p.Tokens > 0:
			part := e.Value.(*cachedPart)
			c.used += p.Tokens - part.tokens
			part.tokens, part.computed, part.reported = p.Tokens, true, true
		}
	}
	c.evict(now)
	return reset
}

// holds reports whether the engine is expected to hold a part.
func (c *prefixCache) holds(now time.Time, part *cachedPart) bool {
	age := now.Sub(part.lastUsed)
	if now.Sub(c.reportedAt) > reportTTL {
		return age <= prefixTTL
	}
	return part.reported || age <= reportLag
}

// match returns how many leading tokens of the prompt are cached, and how many leading tokens are computed already and can
// be fetched.
func (c *prefixCache) match(now time.Time, prompt []fighollow.PromptPart) (cached, computed int) {
	if c.known {
		return c.cached, c.computed
	}
	allComputed := true
	for _, p := range prompt {
		e, ok := c.parts[p.ID]
		if !ok {
			break
		}
		part := e.Value.(*cachedPart)
		if !c.holds(now, part) {
			break
		}
		cached += p.Tokens
		if allComputed = allComputed && part.computed; allComputed {
			computed += p.Tokens
		}
	}
	return cached, computed
}

// add records that the engine was sent the prompt or, if computed is set, that it has computed it.
func (c *prefixCache) add(now time.Time, prompt []fighollow.PromptPart, computed bool) {
	if c.capacity == 0 {
		return
	}
	// Most prompts share their first part, so it is added last and becomes the most recently used.
	for i := len(prompt) - 1; i >= 0; i-- {
		p := prompt[i]
		if e, ok := c.parts[p.ID]; ok {
			part := e.Value.(*cachedPart)
			if !c.holds(now, part) {
				part.computed = false
			}
			part.lastUsed, part.computed = now, part.computed || computed
			c.lru.MoveToFront(e)
			continue
		}
		if float64(p.Tokens) > prefixMemoryShare*float64(c.capacity) {
			continue // would displace all others; callers can state any number
		}
		c.insert(&cachedPart{id: p.ID, tokens: p.Tokens, lastUsed: now, computed: computed})
	}
	c.evict(now)
}

// insert adds a part. It removes the least recently used ones for which the mirror may take no memory, at once: the memory of a map that has
// been larger is not freed.
func (c *prefixCache) insert(part *cachedPart) {
	c.parts[part.id] = c.lru.PushFront(part)
	c.used += part.tokens
	for c.isOver() {
		c.remove(c.lru.Back())
	}
	c.mostParts = max(c.mostParts, len(c.parts))
}

// evict removes the least recently used parts that exceed what the engine can hold or the mirror may take, and those that the engine has never
// reported and that are too old to count.
func (c *prefixCache) evict(now time.Time) {
	share := prefixMemoryShare
	if now.Sub(c.reportedAt) <= reportTTL {
		share = reportedMemoryShare
	}
	for e := c.lru.Back(); e != nil; e = c.lru.Back() {
		part := e.Value.(*cachedPart)
		tooOld := !part.reported && now.Sub(part.lastUsed) > prefixTTL
		if !tooOld && c.used <= int(share*float64(c.capacity)) && !c.isOver() {
			break
		}
		c.remove(e)
	}
	c.returnSurplus()
	if c.mostParts > minShrink && len(c.parts) < c.mostParts/4 {
		parts := make(map[uint64]*list.Element, len(c.parts)) // the memory of the former map is freed
		maps.Copy(parts, c.parts)
		c.parts, c.mostParts = parts, len(parts)
	}
}

// isOver reports whether the mirror holds more parts than its share of the budget and what it can borrow.
func (c *prefixCache) isOver() bool {
	more := int64(c.lru.Len()) - c.budget.share() - c.borrowed
	if more <= 0 {
		return false
	}
	if !c.budget.lend(more) {
		return true
	}
	c.borrowed += more
	return false
}

// returnSurplus returns what is borrowed and not needed.
func (c *prefixCache) returnSurplus() {
	if surplus := min(c.borrowed, c.budget.share()+c.borrowed-int64(c.lru.Len())); surplus > 0 {
		c.budget.lend(-surplus)
		c.borrowed -= surplus
	}
}

func (c *prefixCache) remove(e *list.Element) {
	part := c.lru.Remove(e).(*cachedPart)
	delete(c.parts, part.id)
	c.used -= part.tokens
}
