package jobs

import "testing"

func TestTrustOf(t *testing.T) {
	for name, c := range map[string]struct {
		failedMachines int
		proven         bool
		want           Trust
	}{
		"no failure":                      {0, false, Trusted},
		"below the limit":                 {2, false, Trusted},
		"at the limit":                    {3, false, Probing},
		"far above the limit":             {9, false, Probing},
		"far above the limit, but proven": {9, true, Trusted},
	} {
		if got := TrustOf(c.failedMachines, c.proven); got != c.want {
			t.Errorf("%s: got %s, want %s", name, got, c.want)
		}
	}
}
