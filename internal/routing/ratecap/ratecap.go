// Package ratecap keeps the requests of all VMs to an upstream within the rate limit that the
// upstream names in its responses.
//
// A Limiter is deterministic and does no I/O.
package ratecap

import (
	"math"
	"strconv"
	"strings"
)

// maxRate is the highest rate that counts as a limit.
const maxRate = 1e6

// ParseRate parses a limit in requests per second. It returns false if the text is no such number.
func ParseRate(text string) (float64, bool) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(rate) || rate < 0 || rate > maxRate {
		return 0, false
	}
	return rate, true
}
