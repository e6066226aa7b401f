package placement

import (
	"container/list"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// prefixShare is the part of an engine's KV memory that is taken to hold cached prefixes; running requests use the rest.
	prefixShare = 0.7
	// reportedShare is the same when the engine says what it holds; it only bounds the mirror.
	reportedShare = 1.5
	// prefixAge is how long a part is taken to be held after this entry last used it. Other entries' requests, which this
	// one does not see, fill an engine's memory in about this time.
	prefixAge = 12 * time.Second
	// reportAge is for how long an engine's word about its cache is taken for what it holds.
	reportAge = 5 * time.Second
	// reportLag is how long it takes until an engine says that it holds a part that it was sent: the prompt waits, is
	// computed, and the next look at the engine's cache follows.
	reportLag = 2500 * time.Millisecond
)

// prefixCache mirrors which parts of prompts an engine holds: those that it says, and those it was sent since then. While
// the engine does not say it, those it was last sent, as far as its memory reaches.
type prefixCache struct {
	capacity int // tokens of the engine's KV memory
	used     int
	parts    map[uint64]*list.Element
	order    *list.List // of *cachedPart; least recently used last

	epoch    string    // of the engine's positions; empty when it has said nothing
	position uint64    // up to which its changes are known
	reported time.Time // when it said so
}

// cachedPart is one part that the engine was sent, or says that it holds.
type cachedPart struct {
	id     uint64
	tokens int
	used   time.Time // by this entry
	read   bool      // the engine has read it, so that others can fetch it
	held   bool      // the engine says so
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, parts: make(map[uint64]*list.Element), order: list.New()}
}

// report takes what the engine says of its cache. It reports whether everything known before had to be forgotten.
func (c *prefixCache) report(now time.Time, ch fighollow.CacheChanges) bool {
	forgotten := false
	if c.epoch != "" && (ch.Epoch != c.epoch || ch.Lost) {
		*c = *newPrefixCache(c.capacity)
		forgotten = true
		if ch.Epoch != c.epoch {
			return true // the changes may lack those before the position of the former epoch
		}
	}
	c.epoch, c.position, c.reported = ch.Epoch, ch.Next, now
	for _, p := range ch.Parts {
		e, ok := c.parts[p.ID]
		switch {
		case p.Tokens == 0 && ok:
			c.drop(e)
		case p.Tokens > 0 && !ok:
			c.parts[p.ID] = c.order.PushFront(&cachedPart{id: p.ID, tokens: p.Tokens, read: true, held: true})
			c.used += p.Tokens
		case p.Tokens > 0:
			part := e.Value.(*cachedPart)
			c.used += p.Tokens - part.tokens
			part.tokens, part.read, part.held = p.Tokens, true, true
		}
	}
	c.shrink(now)
	return forgotten
}

// has reports whether the engine is taken to hold a part.
func (c *prefixCache) has(now time.Time, part *cachedPart) bool {
	age := now.Sub(part.used)
	if now.Sub(c.reported) > reportAge {
		return age <= prefixAge
	}
	return part.held || age <= reportLag
}

// match returns how many leading tokens of the prompt are held, and how many of them were read already.
func (c *prefixCache) match(now time.Time, prompt []fighollow.PromptPart) (held, read int) {
	allRead := true
	for _, p := range prompt {
		e, ok := c.parts[p.ID]
		if !ok {
			break
		}
		part := e.Value.(*cachedPart)
		if !c.has(now, part) {
			break
		}
		held += p.Tokens
		if allRead = allRead && part.read; allRead {
			read += p.Tokens
		}
	}
	return held, read
}

// add notes that the engine was sent the prompt, or that it has read it.
func (c *prefixCache) add(now time.Time, prompt []fighollow.PromptPart, read bool) {
	// The first part is the one that most prompts share, so it becomes the most recently used.
	for i := len(prompt) - 1; i >= 0; i-- {
		p := prompt[i]
		if e, ok := c.parts[p.ID]; ok {
			part := e.Value.(*cachedPart)
			if !c.has(now, part) {
				part.read = false
			}
			part.used, part.read = now, part.read || read
			c.order.MoveToFront(e)
			continue
		}
		c.parts[p.ID] = c.order.PushFront(&cachedPart{id: p.ID, tokens: p.Tokens, used: now, read: read})
		c.used += p.Tokens
	}
	c.shrink(now)
}

// shrink drops the parts that were not used for longest, as far as they exceed what the engine can hold.
func (c *prefixCache) shrink(now time.Time) {
	share := prefixShare
	if now.Sub(c.reported) <= reportAge {
		share = reportedShare
	}
	for c.used > int(share*float64(c.capacity)) && c.order.Len() > 0 {
		c.drop(c.order.Back())
	}
}

func (c *prefixCache) drop(e *list.Element) {
	part := c.order.Remove(e).(*cachedPart)
	delete(c.parts, part.id)
	c.used -= part.tokens
}
