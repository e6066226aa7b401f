package placement

import (
	"container/list"
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
	// reportLag is how long it takes until an engine reports a part that it was sent: the prompt waits, is computed, and the
	// cache is polled after that.
	reportLag = 2500 * time.Millisecond
)

// prefixCache mirrors which prompt parts an engine holds: those that it reported and those that this entry sent it since.
// Without a recent report, it holds the parts that this entry sent last, within the engine's memory.
type prefixCache struct {
	capacity int // size of the engine's KV memory in tokens
	used     int // tokens of all parts in the mirror
	parts    map[uint64]*list.Element
	lru      *list.List // of *cachedPart; least recently used last

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

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, parts: make(map[uint64]*list.Element), lru: list.New()}
}

// apply applies the changes that the engine reported. It reports whether the previous content of the mirror had to be
// discarded, because the engine restarted or changes were lost.
func (c *prefixCache) apply(now time.Time, ch fighollow.CacheChanges) bool {
	reset := false
	if c.epoch != "" && (ch.Epoch != c.epoch || ch.Lost) {
		*c = *newPrefixCache(c.capacity)
		reset = true
		if ch.Epoch != c.epoch {
			return true // read from a position of the old epoch: the first changes of the new one may be missing
		}
	}
	c.epoch, c.position, c.reportedAt = ch.Epoch, ch.Next, now
	for _, p := range ch.Parts {
		e, ok := c.parts[p.ID]
		switch {
		case p.Tokens == 0 && ok:
			c.remove(e)
		case p.Tokens > 0 && !ok:
			c.parts[p.ID] = c.lru.PushFront(&cachedPart{id: p.ID, tokens: p.Tokens, computed: true, reported: true})
			c.used += p.Tokens
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
		c.parts[p.ID] = c.lru.PushFront(&cachedPart{id: p.ID, tokens: p.Tokens, lastUsed: now, computed: computed})
		c.used += p.Tokens
	}
	c.evict(now)
}

// evict removes the least recently used parts that exceed what the engine can hold.
func (c *prefixCache) evict(now time.Time) {
	share := prefixMemoryShare
	if now.Sub(c.reportedAt) <= reportTTL {
		share = reportedMemoryShare
	}
	for c.used > int(share*float64(c.capacity)) && c.lru.Len() > 0 {
		c.remove(c.lru.Back())
	}
}

func (c *prefixCache) remove(e *list.Element) {
	part := c.lru.Remove(e).(*cachedPart)
	delete(c.parts, part.id)
	c.used -= part.tokens
}
