package placement

import (
	"container/list"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// prefixShare is the part of an engine's KV memory that is taken to hold cached prefixes; running requests use the rest.
	prefixShare = 0.7
	// prefixAge is how long a part is taken to be held after this entry last used it. Other entries' requests, which this
	// one does not see, fill an engine's memory in about this time.
	prefixAge = 12 * time.Second
)

// prefixCache mirrors which parts of prompts an engine holds: those it was last sent, as far as its memory reaches.
type prefixCache struct {
	capacity int // tokens
	used     int
	parts    map[uint64]*list.Element
	order    *list.List // of *cachedPart; least recently used last
}

// cachedPart is one part that the engine was sent.
type cachedPart struct {
	id     uint64
	tokens int
	used   time.Time
	read   bool // the engine has read it, so that others can fetch it
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{
		capacity: int(prefixShare * float64(capacity)), parts: make(map[uint64]*list.Element), order: list.New(),
	}
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
		if now.Sub(part.used) > prefixAge {
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
			if now.Sub(part.used) > prefixAge {
				part.read = false
			}
			part.used, part.read = now, part.read || read
			c.order.MoveToFront(e)
			continue
		}
		c.parts[p.ID] = c.order.PushFront(&cachedPart{id: p.ID, tokens: p.Tokens, used: now, read: read})
		c.used += p.Tokens
	}
	for c.used > c.capacity && c.order.Len() > 0 {
		part := c.order.Remove(c.order.Back()).(*cachedPart)
		delete(c.parts, part.id)
		c.used -= part.tokens
	}
}
