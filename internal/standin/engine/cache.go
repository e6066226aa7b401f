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

// BlockTokens is the number of tokens in a block of the prefix cache.
const BlockTokens = 4000

// prefixCache is an LRU cache of prompt blocks. The key of a block is the chained hash of the prompt from its start to the end of
// the block.
type prefixCache struct {
	capacity int // in blocks
	blocks   map[uint64]*list.Element
	lru      *list.List // of hashes, most recently used first
	events   []cacheEvent
}

type cacheEvent struct {
	fighollow.CacheEvent
	at time.Time
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: make(map[uint64]*list.Element), lru: list.New()}
}

// BlockHashes returns the hashes of the full blocks of a prompt of the given number of tokens.
func BlockHashes(prompt string, tokens int) []uint64 {
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

// matchedTokens returns the number of tokens in the longest cached prefix.
func (c *prefixCache) matchedTokens(hashes []uint64) int {
	n := 0
	for _, h := range hashes {
		el, ok := c.blocks[h]
		if !ok {
			break
		}
		c.lru.MoveToFront(el)
		n += BlockTokens
	}
	return n
}

// insert caches the blocks with the given hashes and calls record for each block added or evicted.
func (c *prefixCache) insert(hashes []uint64, record func(hash uint64, evicted bool)) {
	for _, h := range hashes {
		if el, ok := c.blocks[h]; ok {
			c.lru.MoveToFront(el)
			continue
		}
		c.blocks[h] = c.lru.PushFront(h)
		record(h, false)
		if c.lru.Len() > c.capacity {
			oldest := c.lru.Remove(c.lru.Back()).(uint64)
			delete(c.blocks, oldest)
			record(oldest, true)
		}
	}
}

const maxCacheEvents = 4096

// recordCacheEvent appends a cache event, unless EventGap drops it. A dropped event still takes a sequence number. e.mu must be
// held.
func (e *Engine) recordCacheEvent(hash uint64, evicted bool) {
	e.lastEvent++
	if e.opts.EventGap > 0 && e.lastEvent%uint64(e.opts.EventGap) == 0 {
		return
	}
	c := e.incarnation.cache
	c.events = append(c.events, cacheEvent{
		CacheEvent: fighollow.CacheEvent{Seq: e.lastEvent, BlockHash: hash, Evicted: evicted},
		at:         time.Now(),
	})
	if len(c.events) > maxCacheEvents {
		c.events = append(c.events[:0], c.events[maxCacheEvents/2:]...)
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
	for _, ev := range e.incarnation.cache.events {
		if ev.Seq > after && time.Since(ev.at) >= e.opts.EventLag {
			out = append(out, ev.CacheEvent)
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}
