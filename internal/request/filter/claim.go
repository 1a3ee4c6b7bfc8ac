package filter

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/label"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// IdempotencyHeader is the header with a caller's idempotency key.
const IdempotencyHeader = "Idempotency-Key"

// Limits of claims.
const (
	maxKeyBytes = 255
	// maxStoredBodyBytes bounds the response body that is stored with a claim.
	maxStoredBodyBytes = 64 << 10
	// claimPollInterval is the interval at which the claim of another request is read.
	claimPollInterval = 50 * time.Millisecond
	// settleTimeout bounds how long a response waits for its claim to be settled.
	settleTimeout = 2 * time.Second
	// pendingTimeout is the age after which the VM of a claim without an outcome is
	// assumed to have failed.
	pendingTimeout = 60 * clock.Second
	retryDelay     = clock.Second
)

// ClaimStore stores claims in the replicated state.
type ClaimStore interface {
	// Claim reserves a run. The code of the result is OK, HELD, FINGERPRINT or FULL.
	Claim(ctx context.Context, c *fleetpb.ClaimBooking) (*fleetpb.Result, error)
	// Settle stores the outcome of a run.
	Settle(ctx context.Context, s *fleetpb.SettleClaim) error
	// Lookup returns a claim, or nil if there is none.
	Lookup(ctx context.Context, key string) (*fleetpb.ClaimRecord, error)
	// OwnerLost reports whether the process that made a claim has terminated, so that
	// the claim will never be settled.
	OwnerLost(owner string) bool
}

// Claim is the filter that runs a non-idempotent call with an idempotency key at most once,
// on whichever VMs its requests arrive.
type Claim struct {
	claims ClaimStore
	clock  clock.Clock
}

// NewClaim returns the filter.
func NewClaim(claims ClaimStore, clk clock.Clock) *Claim { return &Claim{claims: claims, clock: clk} }

// Name implements exchange.Filter.
func (f *Claim) Name() string { return "claim" }

// Serve implements exchange.Filter.
func (f *Claim) Serve(ctx context.Context, x *exchange.Exchange, next exchange.Handler) error {
	key := x.R.Header.Get(IdempotencyHeader)
	if x.Model != nil || key == "" || x.Route.Repeatable(x.R.Method) {
		return next(ctx, x)
	}
	if len(key) > maxKeyBytes {
		return refusal.New(refusal.BadRequest, http.StatusBadRequest, "%s is longer than %d bytes", IdempotencyHeader, maxKeyBytes)
	}
	if !label.IsText(key) {
		return refusal.New(refusal.BadRequest, http.StatusBadRequest, "%s must be UTF-8 without control characters", IdempotencyHeader)
	}
	claim := &fleetpb.ClaimBooking{
		Key:         strings.Join([]string{x.Organisation, x.Route.Name, key}, "\x00"),
		Fingerprint: fingerprint(x),
		RunId:       newRunID(),
	}
	result, err := f.claims.Claim(ctx, claim)
	if err != nil {
		return refusal.New(refusal.ControlUnavailable, http.StatusServiceUnavailable, "the booking could not be claimed").WithRetryAfter(retryDelay).WithCause(err)
	}
	switch result.Code {
	case fleetpb.Result_OK:
		x.Account.Claim = "claimed"
		return f.run(ctx, x, claim, next)
	case fleetpb.Result_FINGERPRINT:
		return refusal.New(refusal.FingerprintMismatch, http.StatusUnprocessableEntity, "the key was used for a different call")
	case fleetpb.Result_FULL:
		return refusal.New(refusal.Overloaded, http.StatusServiceUnavailable, "too many bookings are remembered").WithRetryAfter(retryDelay)
	}
	x.Account.Claim = "held"
	return f.await(ctx, x, claim.Key)
}

// newRunID returns a random ID of a run. Request IDs are not suitable because callers may
// reuse them.
func newRunID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// fingerprint hashes a call, to detect different calls with the same key.
func fingerprint(x *exchange.Exchange) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(x.R.Method + "\x00" + x.R.URL.RequestURI() + "\x00")
	_, _ = h.Write(x.Body)
	return h.Sum64()
}

// run sends the call, settles the claim with its outcome, and only then responds to the
// caller, so that a later request with the same key gets the same outcome.
func (f *Claim) run(ctx context.Context, x *exchange.Exchange, claim *fleetpb.ClaimBooking, next exchange.Handler) error {
	rec := newRecorder(x.W)
	caller := x.W
	x.W = rec
	err := next(ctx, x)
	x.W = caller
	outcome := rec.outcome(x.Outcome, err)
	settle, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if serr := f.claims.Settle(settle, &fleetpb.SettleClaim{Key: claim.Key, RunId: claim.RunId, Outcome: outcome}); serr != nil {
		x.Account.Claim = "unsettled"
	}
	if err != nil {
		return err
	}
	return rec.copyTo(caller)
}

// await responds with the outcome of the request that holds the claim.
func (f *Claim) await(ctx context.Context, x *exchange.Exchange, key string) error {
	for {
		record, err := f.claims.Lookup(ctx, key)
		if err != nil {
			return refusal.New(refusal.ControlUnavailable, http.StatusServiceUnavailable, "the booking's state could not be read").
				WithOutcome(refusal.Unknown).WithRetryAfter(retryDelay).WithCause(err)
		}
		if record == nil || record.Outcome.GetKind() == fleetpb.Outcome_NOT_RUN {
			return refusal.New(refusal.BookingInProgress, http.StatusConflict, "an earlier arrival did not run; send the call again").WithRetryAfter(retryDelay)
		}
		if record.Outcome.GetKind() == fleetpb.Outcome_COMPLETE {
			x.Outcome = refusal.Complete
			return replay(x.W, record.Outcome)
		}
		pending := record.Outcome.GetKind() == fleetpb.Outcome_PENDING
		if !pending || f.claims.OwnerLost(record.Owner) || f.clock.Now().Sub(clock.Time(record.AtMs)) > pendingTimeout {
			return refusal.New(refusal.BookingUnknown, http.StatusConflict, "it is not known whether the booking ran; it will not be run again").
				WithOutcome(refusal.Unknown)
		}
		select {
		case <-ctx.Done():
			return refusal.New(refusal.BookingInProgress, http.StatusConflict, "an earlier arrival of the booking is still running").
				WithOutcome(refusal.Unknown).WithRetryAfter(retryDelay)
		case <-time.After(claimPollInterval):
		}
	}
}
