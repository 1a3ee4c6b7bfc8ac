// Package refusal holds the typed refusals that callers see as problem documents
// (RFC 9457). Each says what became of the request: NotRun is said only when no
// byte of it can have been acted upon.
package refusal

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Outcome is what became of a request.
type Outcome string

// Outcomes of a request.
const (
	Complete Outcome = "complete"
	NotRun   Outcome = "notRun"
	Unknown  Outcome = "unknown"
)

// Kind names a refusal. It is the last part of the problem's type.
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
	Draining            Kind = "draining"
	NotReady            Kind = "notReady"
	Internal            Kind = "internal"
)

// typePrefix starts every problem type.
const typePrefix = "urn:jasminecove:problem:"

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// OutcomeHeader carries the outcome beside the problem document.
const OutcomeHeader = "Jasminecove-Outcome"

// Refusal is one refusal. It is immutable; With methods return copies.
type Refusal struct {
	Kind       Kind
	Status     int
	Outcome    Outcome
	Detail     string
	RetryAfter clock.Duration // When to come back, 0 if that would not help.
	cause      error
}

// New returns a refusal of a request that did not run.
func New(kind Kind, status int, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, Status: status, Outcome: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// WithOutcome returns the refusal with another outcome.
func (r *Refusal) WithOutcome(o Outcome) *Refusal {
	next := *r
	next.Outcome = o
	return &next
}

// WithRetryAfter returns the refusal with the span after which to come back.
func (r *Refusal) WithRetryAfter(d clock.Duration) *Refusal {
	next := *r
	next.RetryAfter = d
	return &next
}

// WithCause returns the refusal with the failure that led to it.
func (r *Refusal) WithCause(err error) *Refusal {
	next := *r
	next.cause = err
	return &next
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.cause != nil {
		return fmt.Sprintf("%s: %s: %v", r.Kind, r.Detail, r.cause)
	}
	return fmt.Sprintf("%s: %s", r.Kind, r.Detail)
}

// Unwrap returns the failure that led to the refusal.
func (r *Refusal) Unwrap() error { return r.cause }

// Problem is the document that callers read.
type Problem struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"requestId,omitempty"`
	// Error repeats the detail where clients of model interfaces look for it.
	Error *ErrorBody `json:"error,omitempty"`
}

// ErrorBody is the error of the widely used model interfaces.
type ErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// Problem returns the refusal's document.
func (r *Refusal) Problem(requestID string) Problem {
	return Problem{
		Type: typePrefix + string(r.Kind), Title: http.StatusText(r.Status), Status: r.Status,
		Detail: r.Detail, Outcome: r.Outcome, RequestID: requestID,
		Error: &ErrorBody{Message: r.Detail, Type: string(r.Kind), Code: string(r.Outcome)},
	}
}

// Write answers a request with the problem document.
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
