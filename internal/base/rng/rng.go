// Package rng provides seeded random numbers. Code that makes decisions takes a Source as an
// argument, so that a run can be reproduced from its seed.
package rng

import "math/rand/v2"

// Source is a seeded random number generator. It is not safe for concurrent use.
type Source = rand.Rand

// New returns a Source seeded with seed.
func New(seed uint64) *Source {
	const stream = 0x6a61736d696e65
	return rand.New(rand.NewPCG(seed, stream))
}
