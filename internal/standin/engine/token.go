package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

var words = []string{
	"amber", "basin", "cedar", "delta", "ember", "fabric", "garnet", "harbour", "island", "jacket", "kettle", "lantern",
	"meadow", "needle", "orchard", "pattern", "quarry", "ribbon", "saddle", "timber", "umber", "velvet", "willow", "yarrow",
	"the", "of", "and", "to", "with", "for", "under", "over",
}

// Token returns the token at index of the answer to prompt.
func Token(prompt string, index int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], xxhash.Sum64String(prompt))
	binary.LittleEndian.PutUint64(b[8:], uint64(index))
	return words[xxhash.Sum64(b[:])%uint64(len(words))] + " "
}

// Text returns the tokens from index from up to and without index to.
func Text(prompt string, from, to int) string {
	var s []byte
	for i := from; i < to; i++ {
		s = append(s, Token(prompt, i)...)
	}
	return string(s)
}
