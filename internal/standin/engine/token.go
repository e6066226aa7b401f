package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

var vocabulary = []string{
	"amber", "basin", "cedar", "delta", "ember", "fabric", "garnet", "harbour", "island", "jacket", "kettle", "lantern",
	"meadow", "needle", "orchard", "pattern", "quarry", "ribbon", "saddle", "timber", "umber", "velvet", "willow", "yarrow",
	"the", "of", "and", "to", "with", "for", "under", "over",
}

// Token returns the token at an index of the answer to prompt. It ends with a space.
func Token(prompt string, index int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], xxhash.Sum64String(prompt))
	binary.LittleEndian.PutUint64(b[8:], uint64(index))
	return vocabulary[xxhash.Sum64(b[:])%uint64(len(vocabulary))] + " "
}

// Text returns the tokens of the answer to prompt with indexes from (inclusive) to to (exclusive).
func Text(prompt string, from, to int) string {
	var s []byte
	for i := from; i < to; i++ {
		s = append(s, Token(prompt, i)...)
	}
	return string(s)
}
