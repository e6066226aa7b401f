package routing

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens in a block, the unit in which the cached prefixes of engines are tracked.
const BlockTokens = 4000

// maxBlocks is the maximum number of blocks of a prompt that are hashed. Longer matches hardly improve the choice.
const maxBlocks = 256

// AppendBlocks appends the chained hashes of the prompt's complete blocks to dst. Each hash covers the prompt from its
// start to the end of the block, so that equal hashes mean equal prefixes. scope keeps models and adapters apart.
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
		_, _ = d.Write(seed[:]) // Write of a hash never returns an error
		_, _ = d.WriteString(prompt[:size])
		h = d.Sum64()
		dst = append(dst, h)
		prompt = prompt[size:]
	}
	return dst
}

// maxHolders is the maximum number of upstreams recorded per block.
const maxHolders = 4

// prefixIndex is an LRU index of the upstreams to which each block was sent. It is limited in size and age.
type prefixIndex struct {
	limit  int
	maxAge time.Duration
	index  map[uint64]int32 // block to position in blocks
	blocks []block
	head   int32 // most recently used block; -1 if there is none
	tail   int32 // least recently used block; -1 if there is none
}

type block struct {
	hash       uint64
	prev, next int32
	holders    [maxHolders]holder
}

type holder struct {
	n  *node
	at int64 // time at which n last received the block, Unix nanoseconds
}

func newPrefixIndex(limit int, maxAge time.Duration) *prefixIndex {
	return &prefixIndex{limit: limit, maxAge: maxAge, index: make(map[uint64]int32), head: -1, tail: -1}
}

// add records that n holds the blocks.
func (x *prefixIndex) add(now time.Time, blocks []uint64, n *node) {
	// The first block of a prompt is the most valuable one, so it is touched last to be evicted last.
	for i := len(blocks) - 1; i >= 0; i-- {
		x.touch(blocks[i]).addHolder(now, n)
	}
}

func (b *block) addHolder(now time.Time, n *node) {
	oldest := 0
	for i := range b.holders {
		if b.holders[i].n == n {
			b.holders[i].at = now.UnixNano()
			return
		}
		if b.holders[i].at < b.holders[oldest].at {
			oldest = i
		}
	}
	b.holders[oldest] = holder{n: n, at: now.UnixNano()}
}

// match sets node.matchedBlocks of each upstream that holds leading blocks, appends these upstreams to found and returns
// it.
func (x *prefixIndex) match(now time.Time, blocks []uint64, found []*node) []*node {
	oldest := now.Add(-x.maxAge).UnixNano()
	for depth, hash := range blocks {
		pos, ok := x.index[hash]
		if !ok {
			break
		}
		anyHolder := false
		for _, h := range x.blocks[pos].holders {
			if h.n == nil || h.at < oldest || h.n.matchedBlocks != depth || h.n.load.hasEvicted(now, h.at) {
				continue
			}
			anyHolder = true
			if depth == 0 {
				found = append(found, h.n)
			}
			h.n.matchedBlocks = depth + 1
		}
		if !anyHolder {
			break
		}
	}
	return found
}

// touch returns the block with this hash and makes it the most recently used.
func (x *prefixIndex) touch(hash uint64) *block {
	pos, ok := x.index[hash]
	switch {
	case ok:
		x.unlink(pos)
	case len(x.blocks) < x.limit:
		pos = int32(len(x.blocks))
		x.blocks = append(x.blocks, block{hash: hash})
		x.index[hash] = pos
	default:
		pos = x.tail
		x.unlink(pos)
		delete(x.index, x.blocks[pos].hash)
		x.blocks[pos] = block{hash: hash}
		x.index[hash] = pos
	}
	b := &x.blocks[pos]
	b.prev, b.next = -1, x.head
	if x.head >= 0 {
		x.blocks[x.head].prev = pos
	}
	x.head = pos
	if x.tail < 0 {
		x.tail = pos
	}
	return b
}

func (x *prefixIndex) unlink(pos int32) {
	b := &x.blocks[pos]
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
