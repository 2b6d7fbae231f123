package autoscaler

import (
	"testing"
)

func TestForecast(t *testing.T) {
	if m, v := Forecast(nil, 1, 1, 0); m != 0 || v != 0 {
		t.Error("forecast without a history should be zero")
	}
	if m, v := Forecast([]float64{3, 5}, 4, 1, 0.1); m != 5 || !approxEqual(v, 0.5) {
		t.Errorf("a short history should forecast its last value, got %v, %v", m, v)
	}
	m, v := Forecast([]float64{1, 2, 3, 4}, 2, 1, 0)
	if !approxEqual(m, 6) || v > 1e-9 {
		t.Errorf("an undamped trend should continue: %v, %v", m, v)
	}
	if m, _ := Forecast([]float64{1, 2, 3, 4}, 2, 0.5, 0); !approxEqual(m, 4.75) {
		t.Errorf("a damped trend should weaken with each step: %v", m)
	}
	if m, _ := Forecast([]float64{4, 3, 2, 1}, 5, 1, 0); m != 0 {
		t.Errorf("demand should not be negative: %v", m)
	}
	if _, v := Forecast([]float64{8, 8, 8, 8}, 1, 1, 0.25); !approxEqual(v, 2) {
		t.Errorf("32 arrivals of 1/4 machine each should have a variance of at least 32/16: %v", v)
	}
	// The residuals of 1, 3, 1, 3 from the trend exceed the minimum variance.
	if _, v := Forecast([]float64{1, 3, 1, 3}, 1, 1, 0.01); v < 0.5 {
		t.Errorf("the variance of the history should be used: %v", v)
	}
}
