// Package rendezvous has the hashes by which processes agree on an order of nodes for a key without talking.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Key returns the hash of a node's name.
func Key(name string) uint64 { return xxhash.Sum64String(name) }

// Score combines two hashes into one that depends on all bits of both. The node with the highest score for a key comes first.
func Score(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x7f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
