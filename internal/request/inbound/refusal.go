package inbound

import (
	"errors"
	"net/http"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
)

// exhaustedRetryAfter is the time after which a caller is to return when the budget is exhausted. An
// account that makes no progress is evicted within it.
const exhaustedRetryAfter = 1 * clock.Second

// Refusal returns the refusal of a request whose body of at most limit bytes could not be read. The request
// has not run.
func Refusal(err error, limit int64) *refusal.Refusal {
	switch {
	case errors.Is(err, ErrTooLarge):
		return refusal.New(refusal.TooLarge, http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, ErrExhausted):
		return refusal.New(refusal.Overloaded, http.StatusServiceUnavailable, "the memory for requests is in use").WithRetryAfter(exhaustedRetryAfter).WithCause(err)
	default:
		return refusal.New(refusal.BadRequest, http.StatusRequestTimeout, "the body did not arrive in time").WithCause(err)
	}
}
