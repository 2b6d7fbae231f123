// Package testseed runs a package's tests with the properties' chance seeded, so that
// every run has the same verdict. Only tests use it.
package testseed

import (
	"flag"
	"testing"

	// It declares the flags that are set here.
	_ "pgregory.net/rapid"
)

// Main is a TestMain; -rapid.seed tries other seeds.
func Main(m *testing.M) int {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "20261201")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	return m.Run()
}
