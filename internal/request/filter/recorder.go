package filter

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"

	"github.com/jasminecove/jasminecove/internal/base/label"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// ReplayedHeader marks a response that was produced by an earlier request with the same key.
const ReplayedHeader = "Idempotency-Replayed"

// recorder buffers a response until its claim is settled.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newRecorder(w http.ResponseWriter) *recorder {
	return &recorder{header: w.Header().Clone(), status: http.StatusOK}
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *recorder) Write(data []byte) (int, error) { return r.body.Write(data) }

// outcome returns the outcome to store with the claim. A body larger than maxStoredBodyBytes is
// not stored.
func (r *recorder) outcome(outcome refusal.Outcome, err error) *fleetpb.Outcome {
	if err != nil {
		return &fleetpb.Outcome{Kind: failureKind(err)}
	}
	if outcome != refusal.Complete {
		return &fleetpb.Outcome{Kind: fleetpb.Outcome_UNKNOWN}
	}
	out := &fleetpb.Outcome{Kind: fleetpb.Outcome_COMPLETE, Status: uint32(r.status)}
	if contentType := r.header.Get("Content-Type"); label.IsText(contentType) {
		out.ContentType = contentType
	}
	if r.body.Len() <= maxStoredBodyBytes {
		out.Body = r.body.Bytes()
	}
	return out
}

func failureKind(err error) fleetpb.Outcome_Kind {
	var ref *refusal.Refusal
	if errors.As(err, &ref) && ref.Outcome == refusal.NotRun {
		return fleetpb.Outcome_NOT_RUN
	}
	return fleetpb.Outcome_UNKNOWN
}

func (r *recorder) copyTo(w http.ResponseWriter) error {
	for k, v := range r.header {
		w.Header()[k] = v
	}
	w.WriteHeader(r.status)
	if _, err := w.Write(r.body.Bytes()); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// replay writes a stored outcome to the caller.
func replay(w http.ResponseWriter, o *fleetpb.Outcome) error {
	if o.ContentType != "" {
		w.Header().Set("Content-Type", o.ContentType)
	}
	w.Header().Set(ReplayedHeader, "true")
	w.Header().Set(refusal.OutcomeHeader, string(refusal.Complete))
	w.WriteHeader(int(o.Status))
	if _, err := w.Write(o.Body); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}
