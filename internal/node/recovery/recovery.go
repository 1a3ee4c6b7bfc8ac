// Package recovery records the recovery time of sessions: from the loss of a stage to the
// next token.
package recovery

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histogram in microseconds, and its significant decimal digits.
const (
	minMicros         = 1
	maxMicros         = 60_000_000
	significantDigits = 3
)

// Summary summarizes the recovery times so far, in ms.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P99   float64 `json:"p99Ms"`
	Max   float64 `json:"maxMs"`
}

// Recorder collects recovery times. It is safe for concurrent use.
type Recorder struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// New returns an empty Recorder.
func New() *Recorder {
	return &Recorder{h: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

// Record adds one recovery time, clamped to the range of the histogram.
func (r *Recorder) Record(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.h.RecordValue(min(maxMicros, max(minMicros, d.Microseconds())))
}

// Summary returns the summary of the recovery times so far.
func (r *Recorder) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	ms := func(q float64) float64 { return float64(r.h.ValueAtQuantile(q)) / 1000 }
	return Summary{Count: r.h.TotalCount(), P50: ms(50), P99: ms(99), Max: float64(r.h.Max()) / 1000}
}
