// Package rendezvous provides rendezvous hashing: processes that know the same nodes rank them in the same order for a
// key, without communicating.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Key returns the hash of a node's name.
func Key(name string) uint64 { return xxhash.Sum64String(name) }

// Score mixes two hashes, such as those of a key and a node, into one that depends on all bits of both. Nodes are ranked
// for a key by descending score.
func Score(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x7f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
