package state

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// claim reserves the single run of a call. A claim may be taken again when its
// run is known not to have happened.
func (s *State) claim(c *fleetpb.ClaimBooking) *fleetpb.Result {
	s.expireClaims()
	existing, found := s.claims.get(c.Key)
	if found && existing.Fingerprint != c.Fingerprint {
		return &fleetpb.Result{Code: fleetpb.Result_FINGERPRINT}
	}
	if found && existing.RunId == c.RunId {
		return &fleetpb.Result{}
	}
	if found && existing.Outcome.GetKind() != fleetpb.Outcome_NOT_RUN {
		return &fleetpb.Result{Code: fleetpb.Result_HELD, Outcome: existing.Outcome}
	}
	if !found && s.claims.len() >= MaxClaims {
		return &fleetpb.Result{Code: fleetpb.Result_FULL}
	}
	s.claims.put(c.Key, &fleetpb.ClaimRecord{
		Key: c.Key, Fingerprint: c.Fingerprint, RunId: c.RunId, Owner: c.Owner,
		AtMs: int64(s.now), Outcome: &fleetpb.Outcome{},
	})
	return &fleetpb.Result{}
}

// settle records the outcome of a run. Only the run that holds the claim may
// record it, and only once.
func (s *State) settle(c *fleetpb.SettleClaim) *fleetpb.Result {
	existing, found := s.claims.get(c.Key)
	if !found || existing.RunId != c.RunId {
		return &fleetpb.Result{Code: fleetpb.Result_STALE}
	}
	if existing.Outcome.GetKind() != fleetpb.Outcome_PENDING {
		return &fleetpb.Result{Code: fleetpb.Result_STALE, Outcome: existing.Outcome}
	}
	invariant.Check(s.sink, c.Outcome.GetKind() != fleetpb.Outcome_PENDING, "oneOutcomeAClaim", "claim settled as pending")
	next := &fleetpb.ClaimRecord{
		Key: existing.Key, Fingerprint: existing.Fingerprint, RunId: existing.RunId, Owner: existing.Owner,
		AtMs: existing.AtMs, Outcome: c.Outcome,
	}
	s.claims.put(c.Key, next)
	return &fleetpb.Result{}
}

// expireClaims removes the claims that are past their retention period.
func (s *State) expireClaims() {
	for {
		key, oldest, ok := s.claims.oldest()
		if !ok || s.now.Sub(clock.Time(oldest.AtMs)) < ClaimRetention {
			return
		}
		s.claims.remove(key)
	}
}

// Claim returns the claim for a key, or nil.
func (s *State) Claim(key string) *fleetpb.ClaimRecord {
	r, _ := s.claims.get(key)
	return r
}

// ClaimCount returns the number of retained claims.
func (s *State) ClaimCount() int { return s.claims.len() }
