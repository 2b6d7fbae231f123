package autoscaler

import (
	"testing"
)

func TestFirstAction(t *testing.T) {
	plan := []float64{2, 3, 5, 9}
	if got := FirstAction(plan, 1.2, 2, 1, false); got != (Action{ScaleOut: 1, Surplus: -7}) {
		t.Errorf("scaling out should consider the boot time, scaling in the whole plan: %+v", got)
	}
	if got := FirstAction(plan, 4.5, 2, 1, true); got.ScaleOut != 3 {
		t.Errorf("a new leader should scale out only for the present demand: %+v", got)
	}
	if got := FirstAction([]float64{0, 0, 0}, 0, 3, 2, false); got != (Action{ScaleOut: 0, Surplus: 3}) {
		t.Errorf("all machines should be surplus: %+v", got)
	}
}
