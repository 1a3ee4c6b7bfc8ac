// Package recovery records how long sessions took from the loss of a stage to
// their next token.
package recovery

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histogram in microseconds.
const (
	lowestMicros  = 1
	highestMicros = 60_000_000
	digits        = 3
)

// Summary is the recoveries so far, in ms.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P99   float64 `json:"p99Ms"`
	Max   float64 `json:"maxMs"`
}

// Recorder collects recoveries. It is safe for concurrent use.
type Recorder struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// New returns an empty Recorder.
func New() *Recorder {
	return &Recorder{h: hdrhistogram.New(lowestMicros, highestMicros, digits)}
}

// Record adds one recovery.
func (r *Recorder) Record(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.h.RecordValue(min(highestMicros, max(lowestMicros, took.Microseconds())))
}

// Summary returns the recoveries so far.
func (r *Recorder) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	ms := func(q float64) float64 { return float64(r.h.ValueAtQuantile(q)) / 1000 }
	return Summary{Count: r.h.TotalCount(), P50: ms(50), P99: ms(99), Max: float64(r.h.Max()) / 1000}
}
