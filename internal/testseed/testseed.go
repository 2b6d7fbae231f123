// Package testseed runs a package's tests with a fixed seed for the property tests, so that every
// run has the same result. Only tests use it.
package testseed

import (
	"flag"
	"testing"

	// Registers the flags that Main sets.
	_ "pgregory.net/rapid"
)

const (
	seedFlag    = "rapid.seed"
	defaultSeed = "20261201"
)

// Main runs the tests and returns the exit code. TestMain calls it instead of m.Run, before flags
// are parsed. The flag -rapid.seed sets another seed.
func Main(m *testing.M) int {
	flag.Parse()
	seedGiven := false
	flag.Visit(func(f *flag.Flag) { seedGiven = seedGiven || f.Name == seedFlag })
	if !seedGiven {
		_ = flag.Set(seedFlag, defaultSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	return m.Run()
}
