package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"strings"
)

const (
	// maxParts is more than a request's header can list within its usual limit of 16 KiB.
	maxParts = 4096
	// maxPartBytes is the length of the longest ID that is a key itself; a hash stands for a longer one.
	maxPartBytes = 64
	// longPartPrefix starts the keys of long IDs. IDs have no colon.
	longPartPrefix = "part:"
)

// Parts returns the keys of the parts in a list of ID:SIZE or ID entries, separated by commas, in the
// order of the prompt: their IDs, or hashes of long ones. It returns the first parts and the last
// one, maxParts at most.
func Parts(list string) []string {
	var parts []string
	seen := map[string]bool{}
	for e := range strings.SplitSeq(list, ",") {
		id, _, _ := strings.Cut(e, ":")
		if id = strings.ToLower(strings.TrimSpace(id)); id == "" {
			continue
		}
		if len(id) > maxPartBytes {
			id = hashPart(id)
		}
		if seen[id] {
			continue
		}
		seen[id] = true
		if len(parts) == maxParts {
			parts = parts[:maxParts-1]
		}
		parts = append(parts, id)
	}
	return parts
}

// hashPart returns the key of a part with a long ID.
func hashPart(id string) string {
	sum := sha256.Sum256([]byte(id))
	return longPartPrefix + base64.RawURLEncoding.EncodeToString(sum[:fingerprintBytes])
}

// sharedParts returns the parts among the keys of a request that other requests may have too: all but the
// last one.
func sharedParts(keys []string) []string {
	return keys[:max(0, countParts(keys)-1)]
}

// countParts returns the number of parts among the keys of a request, which are the first ones.
func countParts(keys []string) int {
	if i := slices.IndexFunc(keys, isFingerprint); i >= 0 {
		return i
	}
	return len(keys)
}
