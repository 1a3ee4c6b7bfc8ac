// Package rng provides seeded random numbers. Decisions take a Source from
// outside, so that a run replays from its seed.
package rng

import "math/rand/v2"

// Source is a seeded generator. It is not safe for concurrent use.
type Source = rand.Rand

// New returns a Source that is determined by seed.
func New(seed uint64) *Source {
	const stream = 0x6a61736d696e65
	return rand.New(rand.NewPCG(seed, stream))
}
