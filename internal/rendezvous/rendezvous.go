// Package rendezvous assigns keys to names by rendezvous hashing: a key belongs
// to the name with the highest score, a hash of both. When a name is added or
// removed, only the keys that it gains or loses move.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of the name for the key.
func Score(key, name string) uint64 { return xxhash.Sum64String(name + "\x00" + key) }

// ScoreHashes returns the score of a name for a key from the hashes of both, so
// that one key can be compared with many names at little cost. It differs from
// the result of Score.
func ScoreHashes(key, name uint64) uint64 {
	// The finaliser of SplitMix64 distributes the bits of both over the whole score.
	mixed := key ^ (name * 0x9e3779b97f4a7c15)
	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb
	return mixed ^ (mixed >> 31)
}

// Best returns the name that the key belongs to, or empty without names. The
// order of the names does not matter.
func Best(key string, names []string) string {
	best, bestScore := "", uint64(0)
	for _, name := range names {
		score := Score(key, name)
		if best == "" || score > bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}

// Highest returns up to count names with the highest scores for the key, highest
// first.
func Highest(key string, names []string, count int) []string {
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(Score(key, b), Score(key, a)), cmp.Compare(a, b))
	})
	return sorted[:min(count, len(sorted))]
}
