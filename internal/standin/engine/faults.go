package engine

import (
	"encoding/json"
	"net/http"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Faults are the ways in which an engine can be told to misbehave.
type Faults struct {
	Leaving          bool `json:"leaving"`
	NoAnnounce       bool `json:"noAnnounce"` // Stop announcing.
	MuteOpenStreams  bool `json:"silent"`     // Open streams carry nothing any more; new ones work.
	Stall            bool `json:"stall"`      // Answer probes but run nothing.
	MuteAllStreams   bool `json:"deaf"`       // Answer no probes, on new streams neither.
	DuplicateResults bool `json:"twice"`      // Send every result twice.
	DropCache        bool `json:"dropCache"`  // Lose all caches, once.
	ResendLate       bool `json:"late"`       // Send every result again, late.
	// Slowdown makes every batch take so many times longer; 0 means 1.
	Slowdown float64 `json:"slowBy"`
	// ExtraDelay is added to each result.
	ExtraDelay clock.Duration `json:"extraDelay"`
}

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	if f.DropCache {
		e.sessions = map[uint64]*entry{}
		f.DropCache = false
	}
	e.faults = f
	if f.MuteOpenStreams || f.MuteAllStreams {
		for c := range e.conns {
			c.silence()
		}
		e.faults.MuteOpenStreams = false
	}
	e.mu.Unlock()
	if f.Leaving {
		e.announce.AnnounceNow()
	}
}

// serveFaults replaces the faults by the JSON in the request.
func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}
