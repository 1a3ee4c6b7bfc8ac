// Package refusal defines the refusals that callers receive as problem documents (RFC 9457).
// Each states the outcome of the request. NotRun is used only if no part of the request can
// have been executed.
package refusal

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Outcome is the execution state of a request when it ended.
type Outcome string

// Outcomes of a request.
const (
	Complete Outcome = "complete"
	NotRun   Outcome = "notRun"
	Unknown  Outcome = "unknown"
)

// Kind is the kind of a refusal, the last part of the problem type.
type Kind string

// Kinds of refusals.
const (
	BadRequest          Kind = "badRequest"
	TooLarge            Kind = "tooLarge"
	Unauthorized        Kind = "unauthorized"
	Forbidden           Kind = "forbidden"
	UnknownModel        Kind = "unknownModel"
	UnknownRoute        Kind = "unknownRoute"
	MethodNotAllowed    Kind = "methodNotAllowed"
	OrganisationLimit   Kind = "organisationLimit"
	Overloaded          Kind = "overloaded"
	DeadlineTooShort    Kind = "deadlineTooShort"
	DeadlinePassed      Kind = "deadlinePassed"
	NoUpstream          Kind = "noUpstream"
	UpstreamFailed      Kind = "upstreamFailed"
	BookingInProgress   Kind = "bookingInProgress"
	FingerprintMismatch Kind = "fingerprintMismatch"
	BookingUnknown      Kind = "bookingUnknown"
	ControlUnavailable  Kind = "controlUnavailable"
	Quarantined         Kind = "quarantined"
	UpstreamLimit       Kind = "upstreamLimit"
	Draining            Kind = "draining"
	NotReady            Kind = "notReady"
	Internal            Kind = "internal"
)

// typePrefix starts every problem type.
const typePrefix = "urn:jasminecove:problem:"

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// OutcomeHeader is the response header with the outcome.
const OutcomeHeader = "Jasminecove-Outcome"

// Refusal is an error with a problem document. It is immutable: the With methods return copies.
type Refusal struct {
	Kind       Kind
	Status     int
	Outcome    Outcome
	Detail     string
	RetryAfter clock.Duration // Time after which to retry, 0 if a retry would not help.
	cause      error
}

// New returns a refusal of a request that did not run.
func New(kind Kind, status int, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, Status: status, Outcome: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// NewQuarantined returns the refusal of a request on which, or on a part of whose prompt, upstreams crash.
// subject says which.
func NewQuarantined(subject string, crashes int, left clock.Duration) *Refusal {
	return New(Quarantined, http.StatusServiceUnavailable, "%s is quarantined: %d or more upstreams crashed on it", subject, crashes).WithRetryAfter(left)
}

// NewUpstreamLimit returns the refusal of a request that the rate limits of the upstreams leave no room
// for before a time has passed.
func NewUpstreamLimit(after clock.Duration) *Refusal {
	return New(UpstreamLimit, http.StatusServiceUnavailable, "the upstreams limit their requests, and take no more at present").WithRetryAfter(after)
}

// WithOutcome returns a copy with another outcome.
func (r *Refusal) WithOutcome(o Outcome) *Refusal {
	clone := *r
	clone.Outcome = o
	return &clone
}

// WithRetryAfter returns a copy with the time after which to retry.
func (r *Refusal) WithRetryAfter(d clock.Duration) *Refusal {
	clone := *r
	clone.RetryAfter = d
	return &clone
}

// WithCause returns a copy that wraps the error that led to the refusal.
func (r *Refusal) WithCause(err error) *Refusal {
	clone := *r
	clone.cause = err
	return &clone
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.cause != nil {
		return fmt.Sprintf("%s: %s: %v", r.Kind, r.Detail, r.cause)
	}
	return fmt.Sprintf("%s: %s", r.Kind, r.Detail)
}

// Unwrap returns the error that led to the refusal.
func (r *Refusal) Unwrap() error { return r.cause }

// Problem is the problem document sent to callers.
type Problem struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"requestId,omitempty"`
	// Error repeats the detail in the format that clients of model APIs expect.
	Error *ErrorBody `json:"error,omitempty"`
}

// ErrorBody is the error object of the widely used model APIs.
type ErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// Problem returns the problem document.
func (r *Refusal) Problem(requestID string) Problem {
	return Problem{
		Type: typePrefix + string(r.Kind), Title: http.StatusText(r.Status), Status: r.Status,
		Detail: r.Detail, Outcome: r.Outcome, RequestID: requestID,
		Error: &ErrorBody{Message: r.Detail, Type: string(r.Kind), Code: string(r.Outcome)},
	}
}

// Write sends the problem document as the response.
func (r *Refusal) Write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set(OutcomeHeader, string(r.Outcome))
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + clock.Second - 1) / clock.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
		h.Set("Retry-After-Ms", strconv.FormatInt(int64(r.RetryAfter), 10))
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(r.Problem(requestID))
}
