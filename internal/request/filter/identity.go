// Package filter implements the filters of the request chain: identity and deadline, route,
// organisation rate limits, admission, claim, forward.
package filter

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
)

// DeadlineHeader is the header with the time limit of a request, in ms.
const DeadlineHeader = "Jasminecove-Deadline-Ms"

// Organisation is a customer organisation from the settings.
type Organisation struct {
	Name     string
	Weight   float64
	Priority uint32
	Rate     float64  // Requests per second over all VMs, 0 for no limit.
	Keys     []string // SHA-256 of each key, in hex.
}

// Identity is the filter that determines the organisation and the deadline of a request.
type Identity struct {
	byKey           map[string]Organisation
	anonymous       *Organisation
	defaultDeadline clock.Duration
}

// NewIdentity returns the filter. Requests without a known key belong to anonymous, or are
// refused if it is nil.
func NewIdentity(organisations []Organisation, anonymous *Organisation, deadline clock.Duration) *Identity {
	f := &Identity{byKey: map[string]Organisation{}, anonymous: anonymous, defaultDeadline: deadline}
	for _, o := range organisations {
		for _, k := range o.Keys {
			f.byKey[k] = o
		}
	}
	return f
}

// Name implements exchange.Filter.
func (f *Identity) Name() string { return "identity" }

// Serve implements exchange.Filter.
func (f *Identity) Serve(ctx context.Context, x *exchange.Exchange, next exchange.Handler) error {
	o, err := f.organisation(x.R)
	if err != nil {
		return err
	}
	x.Organisation, x.Weight, x.Priority = o.Name, o.Weight, o.Priority
	deadline, err := f.deadline(x.R)
	if err != nil {
		return err
	}
	x.Deadline = x.Received.Add(deadline.Std())
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	return next(ctx, x)
}

func (f *Identity) organisation(r *http.Request) (Organisation, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		if f.anonymous != nil {
			return *f.anonymous, nil
		}
		return Organisation{}, refusal.New(refusal.Unauthorized, http.StatusUnauthorized, "a key is needed in the Authorization header")
	}
	o, known := f.byKey[HashKey(key)]
	if !known {
		if f.anonymous != nil {
			return *f.anonymous, nil
		}
		return Organisation{}, refusal.New(refusal.Unauthorized, http.StatusUnauthorized, "the key is not known")
	}
	return o, nil
}

func (f *Identity) deadline(r *http.Request) (clock.Duration, error) {
	text := r.Header.Get(DeadlineHeader)
	if text == "" {
		return f.defaultDeadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, refusal.New(refusal.BadRequest, http.StatusBadRequest, "%s must be a positive number of ms", DeadlineHeader)
	}
	return clock.Duration(ms), nil
}

// HashKey returns the hash of a key as stored in the settings.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// SameSecret compares two secrets in constant time.
func SameSecret(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// remaining returns the time until a deadline, at least 0.
func remaining(deadline time.Time) clock.Duration {
	return max(0, clock.FromStd(time.Until(deadline)))
}
