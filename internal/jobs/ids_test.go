package jobs

import "testing"

func TestSplitTaskID(t *testing.T) {
	if jobID, n, ok := SplitTaskID("wk-000412/3"); !ok || jobID != "wk-000412" || n != 3 {
		t.Error(jobID, n, ok)
	}
	for _, invalid := range []string{"", "wk-1", "wk-1/", "wk-1/-1", "wk-1/03", "x/1", "wk-1/100000", "wk-1/1/2"} {
		if _, _, ok := SplitTaskID(invalid); ok {
			t.Errorf("%q was accepted", invalid)
		}
	}
}
