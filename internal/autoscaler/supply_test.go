package autoscaler

import (
	"math"
	"math/rand/v2"
	"testing"
)

func approxEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestShortfallOfKnownSamples(t *testing.T) {
	samples := []float64{2, 4, 6}
	// With unmet 1 and owned 2 the needs are 1, 3 and 5, of which a supply of 2 leaves 0, 1 and 3.
	if got := Shortfall(samples, 1, 2, 2); !approxEqual(got, 4.0/3) {
		t.Errorf("shortfall %v", got)
	}
	// Owned capacity above all demand leaves no shortfall even without supply.
	if got := Shortfall(samples, 0, 10, 0); got != 0 {
		t.Errorf("shortfall with owned capacity %v", got)
	}
	if got := Shortfall(nil, 5, 0, 0); got != 0 {
		t.Errorf("no samples: %v", got)
	}
}

func TestMinSupplyOfKnownSamples(t *testing.T) {
	samples := []float64{2, 4, 6}
	for _, c := range []struct {
		name                          string
		unmet, owned, tolerance, want float64
	}{
		{"no shortfall allowed, supply is the largest sample", 0, 0, 0, 6},
		// The bound is 2, and with a supply of 2 the shortfall is (0+2+4)/3 = 2.
		{"shortfall of half the expected demand allowed", 0, 0, 0.5, 2},
		{"unmet demand is added to every sample", 1, 0, 0, 7},
		{"owned capacity is subtracted", 0, 2, 0, 4},
		{"shortfall of all demand allowed", 0, 0, 1, 0},
	} {
		if got := MinSupply(samples, c.unmet, c.owned, c.tolerance); !approxEqual(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

func TestMinSupplyIsMinimalWithinBound(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		samples := Sample(10*rng.Float64(), 9*rng.Float64(), 100, rng)
		unmet, owned, tolerance := 3*rng.Float64(), 3*rng.Float64(), 0.3*rng.Float64()
		supply := MinSupply(samples, unmet, owned, tolerance)
		mean := 0.0
		for _, demand := range samples {
			mean += demand / float64(len(samples))
		}
		if got := Shortfall(samples, unmet, owned, supply); got > tolerance*mean+1e-6 {
			t.Fatalf("shortfall %v above the bound %v", got, tolerance*mean)
		}
		if supply > 1e-3 && Shortfall(samples, unmet, owned, supply-1e-3) <= tolerance*mean-1e-6 {
			t.Fatalf("supply %v is not minimal", supply)
		}
	}
}
