// Rendezvous hashing: each name is hashed together with a key, and the names with the lowest hashes are
// selected for that key. All proxies thus make the same selection without communicating, and adding or removing
// a name changes the selection for few keys.

package dataplane

import (
	"hash/fnv"
	"slices"

	"myrtlefold/internal/shared/wire"
)

func hashString(text string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(text))
	return mixHashes(hash.Sum64(), 0)
}

// hash32 returns the hash of a service's name. It determines which proxies receive the remainder when a limit of
// the service is divided evenly.
func hash32(text string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(text))
	return hash.Sum32()
}

// mixHashes combines two hashes into one, using the finalizer of SplitMix64.
func mixHashes(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func targetHash(id wire.TargetID) uint64 {
	return mixHashes(mixHashes(hashString(id.Service), hashString(id.Name)), id.Incarnation)
}

// rendezvousSelects reports whether name is among the count names selected by rendezvous hashing for key.
func rendezvousSelects(key uint64, name string, names []string, count int) bool {
	if !slices.Contains(names, name) {
		return false
	}
	own, before := mixHashes(key, hashString(name)), 0
	for _, other := range names {
		if hash := mixHashes(key, hashString(other)); hash < own || hash == own && other < name {
			before++
		}
	}
	return before < count
}
