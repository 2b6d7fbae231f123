package autoscaler

import (
	"math"
	"math/rand/v2"
	"testing"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestShortfallByHand(t *testing.T) {
	samples := []float64{2, 4, 6}
	// Unmet 1, owned 2: needs are 1, 3, 5; against supply 2: 0, 1, 3.
	if got := Shortfall(samples, 1, 2, 2); !near(got, 4.0/3) {
		t.Errorf("shortfall %v", got)
	}
	// Owned room beyond all demand leaves nothing, before supply is counted.
	if got := Shortfall(samples, 0, 10, 0); got != 0 {
		t.Errorf("shortfall with owned room %v", got)
	}
	if got := Shortfall(nil, 5, 0, 0); got != 0 {
		t.Errorf("no samples: %v", got)
	}
}

func TestLeastSupplyByHand(t *testing.T) {
	samples := []float64{2, 4, 6}
	for _, c := range []struct{ unmet, owned, d, want float64 }{
		{0, 0, 0, 6},   // nothing may be short: the largest sample
		{0, 0, 0.5, 3}, // bound 2: (1 + 3)/3 at 3 is 4/3... see below
		{1, 0, 0, 7},
		{0, 2, 0, 4},
		{0, 0, 1, 0}, // everything may be short
	} {
		if c.d == 0.5 {
			// Bound 2 over samples 2, 4, 6: at x = 2 shortfall is (0+2+4)/3 = 2.
			c.want = 2
		}
		if got := MinSupply(samples, c.unmet, c.owned, c.d); !near(got, c.want) {
			t.Errorf("%+v: got %v", c, got)
		}
	}
}

func TestLeastSupplyIsTheLeast(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		samples := Draw(10*rng.Float64(), 9*rng.Float64(), 100, rng)
		unmet, owned, d := 3*rng.Float64(), 3*rng.Float64(), 0.3*rng.Float64()
		x := MinSupply(samples, unmet, owned, d)
		mean := 0.0
		for _, s := range samples {
			mean += s / float64(len(samples))
		}
		if got := Shortfall(samples, unmet, owned, x); got > d*mean+1e-6 {
			t.Fatalf("shortfall %v above the bound %v", got, d*mean)
		}
		if x > 1e-3 && Shortfall(samples, unmet, owned, x-1e-3) <= d*mean-1e-6 {
			t.Fatalf("supply %v is not the least", x)
		}
	}
}

func TestForecast(t *testing.T) {
	if m, v := Forecast(nil, 1, 1, 0); m != 0 || v != 0 {
		t.Error("no history, no demand")
	}
	if m, v := Forecast([]float64{3, 5}, 4, 1, 0.1); m != 5 || !near(v, 0.5) {
		t.Errorf("short history: the last value, got %v, %v", m, v)
	}
	m, v := Forecast([]float64{1, 2, 3, 4}, 2, 1, 0)
	if !near(m, 6) || v > 1e-9 {
		t.Errorf("an undamped line goes on: %v, %v", m, v)
	}
	if m, _ := Forecast([]float64{1, 2, 3, 4}, 2, 0.5, 0); !near(m, 4.75) {
		t.Errorf("a damped one less and less: %v", m)
	}
	if m, _ := Forecast([]float64{4, 3, 2, 1}, 5, 1, 0); m != 0 {
		t.Errorf("demand is never negative: %v", m)
	}
	if _, v := Forecast([]float64{8, 8, 8, 8}, 1, 1, 0.25); !near(v, 2) {
		t.Errorf("32 tasks of a quarter vary by 32 sixteenths at least: %v", v)
	}
	// Residuals of 1, 3, 1, 3 about their line are larger than the grain's.
	if _, v := Forecast([]float64{1, 3, 1, 3}, 1, 1, 0.01); v < 0.5 {
		t.Errorf("what history shows counts: %v", v)
	}
}

func TestAct(t *testing.T) {
	plan := []float64{2, 3, 5, 9}
	if got := Act(plan, 1.2, 2, 1, false); got != (Action{Rent: 1, Surplus: -7}) {
		t.Errorf("renting looks as far as the boot time, draining over the plan: %+v", got)
	}
	if got := Act(plan, 4.5, 2, 1, true); got.Rent != 3 {
		t.Errorf("a fresh leader rents to current demand: %+v", got)
	}
	if got := Act([]float64{0, 0, 0}, 0, 3, 2, false); got != (Action{Rent: 0, Surplus: 3}) {
		t.Errorf("nothing is needed: %+v", got)
	}
}
