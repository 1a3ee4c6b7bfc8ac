// Package ratecap keeps the requests of all VMs to an upstream within the rate limit that the
// upstream names in its responses, and sends it none for the time for which it asks one VM to wait.
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

// maxPause bounds the time for which an upstream may ask.
const maxPause = 10 * clock.Minute

// ParsePause parses the time for which an upstream asks in seconds, which may have a fraction. It returns
// false if the text is no such number. Longer times count as maxPause.
func ParsePause(text string) (clock.Duration, bool) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, false
	}
	ms := math.Ceil(seconds * float64(clock.Second))
	return clock.Duration(min(ms, float64(maxPause))), true
}

// UsedUpError reports that each upstream that could take a request names a rate limit, of which this
// VM has used up its part, or asks for time.
type UsedUpError struct {
	Wait       clock.Duration // Until one of them may get a request of this VM.
	OthersTake bool           // An upstream that this request cannot use takes other requests.
}

// Error implements error.
func (e *UsedUpError) Error() string {
	return fmt.Sprintf("ratecap: the upstreams take no request of this VM for %s", e.Wait)
}
