// Package seeded runs randomised tests with a fixed seed, so that every run gives the same
// result. Environment variables set another seed and the number of runs:
//
//	JASMINECOVE_SEED=7 JASMINECOVE_CHECKS=10000 go test ./internal/pipeline/session
package seeded

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// Environment variables and their defaults.
const (
	SeedVariable   = "JASMINECOVE_SEED"
	ChecksVariable = "JASMINECOVE_CHECKS"
	defaultSeed    = "1"
	defaultChecks  = "100"
)

// Check runs a property on random inputs and logs the seed.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	seed := value(SeedVariable, defaultSeed)
	checks := value(ChecksVariable, defaultChecks)
	for name, v := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, v); err != nil {
			t.Fatalf("set %s: %v", name, err)
		}
	}
	t.Logf("seed %s, %s checks", seed, checks)
	rapid.Check(t, property)
}

// Seeds returns one seed for each run of a loop. The environment overrides the number of
// runs.
func Seeds(t *testing.T, runs int) []uint64 {
	t.Helper()
	first, err := strconv.ParseUint(value(SeedVariable, defaultSeed), 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", SeedVariable, err)
	}
	if n, err := strconv.Atoi(os.Getenv(ChecksVariable)); err == nil {
		runs = n
	}
	t.Logf("seeds %d to %d", first, first+uint64(runs)-1)
	seeds := make([]uint64, runs)
	for i := range seeds {
		seeds[i] = first + uint64(i)
	}
	return seeds
}

// value returns an environment variable, or fallback if it is not set.
func value(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}
