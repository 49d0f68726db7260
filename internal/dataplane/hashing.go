// This file draws by rendezvous hashing: each name gets a hash with a key, and the lowest are drawn. So all
// proxies draw the same without a word, and a name that comes or goes moves few others.

package dataplane

import (
	"hash/fnv"
	"slices"

	"myrtlefold/internal/shared/wire"
)

func hashOf(text string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(text))
	return mixHashes(hash.Sum64(), 0)
}

// hash32 is the hash from which the remainder of an even division is given out.
func hash32(text string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(text))
	return hash.Sum32()
}

// mixHashes makes one hash of two: the finalizer of SplitMix64 over both.
func mixHashes(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func targetHash(id wire.TargetID) uint64 {
	return mixHashes(mixHashes(hashOf(id.Service), hashOf(id.Name)), id.Incarnation)
}

// isDrawn reports whether a name is among the count names that a draw by key gives.
func isDrawn(key uint64, name string, names []string, count int) bool {
	if !slices.Contains(names, name) {
		return false
	}
	own, before := mixHashes(key, hashOf(name)), 0
	for _, other := range names {
		if hash := mixHashes(key, hashOf(other)); hash < own || hash == own && other < name {
			before++
		}
	}
	return before < count
}
