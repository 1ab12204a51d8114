// Package ranker orders nodes for a key by rendezvous hashing (Thaler and
// Ravishankar, 1998): adding or removing a node moves only that node's keys.
package ranker

import "github.com/cespare/xxhash/v2"

// The odd multipliers of the splitmix64 finaliser.
const (
	mixFirst  = 0xbf58476d1ce4e5b9
	mixSecond = 0x94d049bb133111eb
)

// Seed returns the seed of a node for Score, which is a hash of its name.
func Seed(name string) uint64 {
	return mix(xxhash.Sum64String(name))
}

// Score returns the score of a node for a key; the node with the highest one ranks first. Key and
// seed are combined by exclusive or, so at least one of them must be a hash: small integers for both
// would often give equal scores.
func Score(key, seed uint64) uint64 {
	return mix(key ^ seed)
}

// mix is a bijection on 64 bits that spreads every input bit over all output bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= mixFirst
	x ^= x >> 27
	x *= mixSecond
	x ^= x >> 31
	return x
}
