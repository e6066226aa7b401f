package placement

import (
	"container/list"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// prefixShare is the part of an engine's KV memory that is taken to hold cached prefixes; running requests use the rest.
const prefixShare = 0.7

// prefixCache mirrors which parts of prompts an engine holds: those it was last sent, as far as its memory reaches.
type prefixCache struct {
	capacity int // tokens
	used     int
	parts    map[uint64]*list.Element
	order    *list.List // of fighollow.PromptPart; least recently used last
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{
		capacity: int(prefixShare * float64(capacity)), parts: make(map[uint64]*list.Element), order: list.New(),
	}
}

// match returns how many leading tokens of the prompt are held.
func (c *prefixCache) match(prompt []fighollow.PromptPart) int {
	tokens := 0
	for _, p := range prompt {
		if _, ok := c.parts[p.ID]; !ok {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// add notes that the engine has read the prompt.
func (c *prefixCache) add(prompt []fighollow.PromptPart) {
	// The first part is the one that most prompts share, so it becomes the most recently used.
	for i := len(prompt) - 1; i >= 0; i-- {
		p := prompt[i]
		if e, ok := c.parts[p.ID]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[p.ID] = c.order.PushFront(p)
		c.used += p.Tokens
	}
	for c.used > c.capacity && c.order.Len() > 0 {
		last := c.order.Back()
		p := c.order.Remove(last).(fighollow.PromptPart)
		delete(c.parts, p.ID)
		c.used -= p.Tokens
	}
}
