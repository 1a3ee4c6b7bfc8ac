// Package ratecap keeps the requests of all VMs to an upstream within the rate limit that the
// upstream names in its responses.
//
// A Limiter is deterministic and does no I/O.
package ratecap

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/jasminecove/jasminecove/internal/base/clock"
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

// UsedUpError reports that each upstream that could take a request names a rate limit, of which this
// VM has used up its part.
type UsedUpError struct {
	Wait clock.Duration // Until one of them may get a request of this VM.
}

// Error implements error.
func (e *UsedUpError) Error() string {
	return fmt.Sprintf("ratecap: the rate limits that the upstreams name are used up for %s", e.Wait)
}
