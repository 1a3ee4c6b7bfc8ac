package quarantine

import (
	"slices"
	"strings"
)

// Limits of the parts of one request.
const (
	maxSharedParts = 32
	maxPartBytes   = 64
)

// SharedParts returns the IDs of the parts in a list of ID:SIZE or ID entries, separated by commas,
// that other requests may have too: all but the last one. It returns maxSharedParts at most, and
// leaves out IDs that are too long.
func SharedParts(list string) []string {
	entries := strings.Split(list, ",")
	entries = entries[:len(entries)-1]
	var parts []string
	for _, e := range entries[:min(len(entries), maxSharedParts)] {
		id, _, _ := strings.Cut(e, ":")
		if id = strings.ToLower(strings.TrimSpace(id)); id != "" && len(id) <= maxPartBytes && !slices.Contains(parts, id) {
			parts = append(parts, id)
		}
	}
	return parts
}
