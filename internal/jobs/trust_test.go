package jobs

import "testing"

func TestTrustOf(t *testing.T) {
	for _, c := range []struct {
		machines int
		proven   bool
		want     Trust
	}{{0, false, Trusted}, {2, false, Trusted}, {3, false, Probing}, {9, false, Probing}, {9, true, Trusted}} {
		if got := TrustOf(c.machines, c.proven); got != c.want {
			t.Errorf("%d machines, proven %v: %s, not %s", c.machines, c.proven, got, c.want)
		}
	}
}
