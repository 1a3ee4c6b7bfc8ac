package engine

import (
	"encoding/json"
	"net/http"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Faults are the failures that an engine can simulate.
type Faults struct {
	Leaving          bool `json:"leaving"`
	NoAnnounce       bool `json:"noAnnounce"` // Send no announcements.
	MuteOpenStreams  bool `json:"silent"`     // Send nothing more on the streams that are open; new streams work.
	Stall            bool `json:"stall"`      // Reply to probes, but run no batches.
	MuteAllStreams   bool `json:"deaf"`       // Send nothing on any stream, replies to probes included.
	DuplicateResults bool `json:"twice"`      // Send every result twice.
	DropCache        bool `json:"dropCache"`  // Drop all caches, once.
	ResendLate       bool `json:"late"`       // Send every result again after resendDelay.
	// Slowdown is the factor by which every batch takes longer; 0 means 1.
	Slowdown float64 `json:"slowBy"`
	// ExtraDelay is added to the delay of each result.
	ExtraDelay clock.Duration `json:"extraDelay"`
}

// SetFaults replaces the engine's faults. DropCache and MuteOpenStreams take effect
// once, at this call.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	if f.DropCache {
		e.sessions = map[uint64]*sessionState{}
		f.DropCache = false
	}
	e.faults = f
	if f.MuteOpenStreams || f.MuteAllStreams {
		for s := range e.streams {
			s.mute()
		}
		e.faults.MuteOpenStreams = false
	}
	e.mu.Unlock()
	if f.Leaving {
		e.announcer.AnnounceNow()
	}
}

// serveFaults replaces the engine's faults with those in the JSON request body.
func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}
