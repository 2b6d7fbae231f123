// Package testseed runs a package's tests with a fixed seed for the property tests, so that
// every run has the same verdict. Only tests use it.
package testseed

import (
	"flag"
	"testing"

	// It declares the flags that are set here.
	_ "pgregory.net/rapid"
)

const (
	seedFlag    = "rapid.seed"
	defaultSeed = "20261201"
)

// Main runs the tests and returns the code to exit with. It is for a TestMain, which calls
// it before the flags are parsed. The flag -rapid.seed tries other seeds.
func Main(m *testing.M) int {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == seedFlag })
	if !given {
		_ = flag.Set(seedFlag, defaultSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	return m.Run()
}
