package logging

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// longestText is the length in bytes up to which texts of callers and upstreams are logged whole. Each byte that is no UTF-8 takes six in
	// a line.
	longestText = 256
	// keptText is the length of the beginning that is logged of longer ones.
	keptText = 128
)

// Short returns a text of a caller or an upstream for the log: whole up to 256 bytes, and otherwise its beginning, its length and a hash of all of it,
// by which lines with the same text are found.
func Short(s string) string {
	if len(s) <= longestText {
		return s
	}
	return fmt.Sprintf("%s...(%d bytes, hash %016x)", s[:keptText], len(s), xxhash.Sum64String(s))
}
