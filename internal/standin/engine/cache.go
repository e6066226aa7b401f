package engine

import (
	"container/list"
	"encoding/binary"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// BlockTokens is the size of a block of the prefix cache in tokens.
const BlockTokens = 4000

// prefixCache holds blocks of prompts, each named by the chained hash of the prompt up to its end, and evicts the one
// used longest ago.
type prefixCache struct {
	limit  int
	blocks map[uint64]*list.Element
	order  *list.List // most recently used first
	events []cacheEvent
}

type cacheEvent struct {
	fighollow.CacheEvent
	at time.Time
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, blocks: make(map[uint64]*list.Element), order: list.New()}
}

// Pieces returns the names of the whole blocks of a prompt of the given number of tokens.
func Pieces(prompt string, tokens int) []uint64 {
	if tokens < BlockTokens {
		return nil
	}
	blockBytes := int(float64(len(prompt)) / float64(tokens) * BlockTokens)
	var out []uint64
	var chain [8]byte
	for i := 0; i < tokens/BlockTokens && blockBytes > 0; i++ {
		h := xxhash.Sum64String(string(chain[:]) + prompt[i*blockBytes:(i+1)*blockBytes])
		binary.LittleEndian.PutUint64(chain[:], h)
		out = append(out, h)
	}
	return out
}

// hit returns the tokens of the longest cached prefix.
func (c *prefixCache) hit(pieces []uint64) int {
	n := 0
	for _, p := range pieces {
		el, ok := c.blocks[p]
		if !ok {
			break
		}
		c.order.MoveToFront(el)
		n += BlockTokens
	}
	return n
}

// add stores pieces and tells note of each block added or evicted.
func (c *prefixCache) add(pieces []uint64, note func(piece uint64, evicted bool)) {
	for _, p := range pieces {
		if el, ok := c.blocks[p]; ok {
			c.order.MoveToFront(el)
			continue
		}
		c.blocks[p] = c.order.PushFront(p)
		note(p, false)
		if c.order.Len() > c.limit {
			old := c.order.Remove(c.order.Back()).(uint64)
			delete(c.blocks, old)
			note(old, true)
		}
	}
}

const maxEvents = 4096

// noteCache records a cache event. e.mu is held.
func (e *Engine) noteCache(piece uint64, evicted bool) {
	e.eventNo++
	if e.opts.EventGap > 0 && e.eventNo%uint64(e.opts.EventGap) == 0 {
		return
	}
	c := e.life.cache
	c.events = append(c.events, cacheEvent{
		CacheEvent: fighollow.CacheEvent{Seq: e.eventNo, Piece: piece, Evicted: evicted},
		at:         time.Now(),
	})
	if len(c.events) > maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents/2:]...)
	}
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	out := []fighollow.CacheEvent{}
	for _, ev := range e.life.cache.events {
		if ev.Seq > after && time.Since(ev.at) >= e.opts.EventLag {
			out = append(out, ev.CacheEvent)
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}
