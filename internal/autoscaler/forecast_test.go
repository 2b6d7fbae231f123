package autoscaler

import (
	"testing"
)

func TestForecast(t *testing.T) {
	if m, v := Forecast(nil, 1, 1, 0); m != 0 || v != 0 {
		t.Error("demand forecast without a history")
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
	// Residuals of 1, 3, 1, 3 about their line are larger than those of random arrivals.
	if _, v := Forecast([]float64{1, 3, 1, 3}, 1, 1, 0.01); v < 0.5 {
		t.Errorf("the variance in the history should count: %v", v)
	}
}
