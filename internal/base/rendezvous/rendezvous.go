// Package rendezvous assigns keys to names by rendezvous hashing: every process that knows the
// same names makes the same choice, and few choices change when a name is added or removed.
package rendezvous

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the names in the order in which they are to be chosen for a key.
func Rank(key string, names []string) []string {
	type ranked struct {
		name string
		hash uint64
	}
	all := make([]ranked, len(names))
	for i, name := range names {
		all[i] = ranked{name, hash(key, name)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), strings.Compare(a.name, b.name))
	})
	out := make([]string, len(all))
	for i, r := range all {
		out[i] = r.name
	}
	return out
}

// Choose returns the first name of Rank, or "" if there are no names.
func Choose(key string, names []string) string {
	best, bestHash := "", uint64(0)
	for _, name := range names {
		if h := hash(key, name); best == "" || h > bestHash || h == bestHash && name < best {
			best, bestHash = name, h
		}
	}
	return best
}

func hash(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
