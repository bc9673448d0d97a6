// Package rendezvous spreads keys over names by the highest hash of both. When
// a name comes or goes, only the keys that it gains or had move.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Best returns the name that the key belongs to, or empty without names. The
// order of the names does not matter.
func Best(key string, names []string) string {
	best, highest := "", uint64(0)
	for _, name := range names {
		score := xxhash.Sum64String(name + "\x00" + key)
		if best == "" || score > highest || score == highest && name < best {
			best, highest = name, score
		}
	}
	return best
}
