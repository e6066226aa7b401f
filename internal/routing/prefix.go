package routing

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the length of the blocks in which engines cache prefixes of prompts.
const BlockTokens = 4000

// maxBlocks bounds the blocks of one prompt that are considered: longer prompts gain little more from an exact match.
const maxBlocks = 256

// AppendBlocks appends the chained hashes of the prompt's whole blocks to dst. Each hash covers the prompt from its
// beginning to the end of the block, so that equal hashes mean equal prefixes. scope separates models and adapters.
func AppendBlocks(dst []uint64, scope, prompt string, bytesPerToken float64) []uint64 {
	size := int(BlockTokens * bytesPerToken)
	if size <= 0 || len(prompt) < size {
		return dst
	}
	h := xxhash.Sum64String(scope)
	var d xxhash.Digest
	var seed [8]byte
	for n := 0; len(prompt) >= size && n < maxBlocks; n++ {
		d.Reset()
		binary.LittleEndian.PutUint64(seed[:], h)
		_, _ = d.Write(seed[:]) // a hash never fails
		_, _ = d.WriteString(prompt[:size])
		h = d.Sum64()
		dst = append(dst, h)
		prompt = prompt[size:]
	}
	return dst
}

// holders is how many upstreams are remembered for each block.
const holders = 4

// prefixIndex remembers which upstreams were sent which blocks. It is bounded in size and age; the block that was
// used longest ago is forgotten first.
type prefixIndex struct {
	limit  int
	maxAge time.Duration
	slots  map[uint64]int32 // block to position in blocks
	blocks []block
	head   int32 // most recently used; -1 when empty
	tail   int32
}

type block struct {
	hash       uint64
	prev, next int32
	held       [holders]held
}

type held struct {
	n  *node
	at int64 // Unix nanoseconds
}

func newPrefixIndex(limit int, maxAge time.Duration) *prefixIndex {
	return &prefixIndex{limit: limit, maxAge: maxAge, slots: make(map[uint64]int32), head: -1, tail: -1}
}

// learn notes that n holds the blocks.
func (x *prefixIndex) learn(now time.Time, blocks []uint64, n *node) {
	// The first block of a prompt is the most valuable, so it is touched last and forgotten last.
	for i := len(blocks) - 1; i >= 0; i-- {
		x.touch(blocks[i]).add(now, n)
	}
}

func (b *block) add(now time.Time, n *node) {
	oldest := 0
	for i := range b.held {
		if b.held[i].n == n {
			b.held[i].at = now.UnixNano()
			return
		}
		if b.held[i].at < b.held[oldest].at {
			oldest = i
		}
	}
	b.held[oldest] = held{n: n, at: now.UnixNano()}
}

// match sets the number of leading blocks that each upstream holds, in node.match, and returns the upstreams found.
func (x *prefixIndex) match(now time.Time, blocks []uint64, found []*node) []*node {
	since := now.Add(-x.maxAge).UnixNano()
	for depth, hash := range blocks {
		at, ok := x.slots[hash]
		if !ok {
			break
		}
		known := false
		for _, h := range x.blocks[at].held {
			if h.n == nil || h.at < since || h.n.match != depth || h.n.load.evicts(now, h.at) {
				continue
			}
			known = true
			if depth == 0 {
				found = append(found, h.n)
			}
			h.n.match = depth + 1
		}
		if !known {
			break
		}
	}
	return found
}

// touch returns the block with this hash and makes it the most recently used.
func (x *prefixIndex) touch(hash uint64) *block {
	at, ok := x.slots[hash]
	switch {
	case ok:
		x.unlink(at)
	case len(x.blocks) < x.limit:
		at = int32(len(x.blocks))
		x.blocks = append(x.blocks, block{hash: hash})
		x.slots[hash] = at
	default:
		at = x.tail
		x.unlink(at)
		delete(x.slots, x.blocks[at].hash)
		x.blocks[at] = block{hash: hash}
		x.slots[hash] = at
	}
	b := &x.blocks[at]
	b.prev, b.next = -1, x.head
	if x.head >= 0 {
		x.blocks[x.head].prev = at
	}
	x.head = at
	if x.tail < 0 {
		x.tail = at
	}
	return b
}

func (x *prefixIndex) unlink(at int32) {
	b := &x.blocks[at]
	if b.prev >= 0 {
		x.blocks[b.prev].next = b.next
	} else {
		x.head = b.next
	}
	if b.next >= 0 {
		x.blocks[b.next].prev = b.prev
	} else {
		x.tail = b.prev
	}
}
