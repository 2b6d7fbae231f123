package commit

import "testing"

func TestReasonsOfStopsAreCountedWithoutJobs(t *testing.T) {
	for reason, want := range map[string]string{
		"makes room for wk-000001/3":                    "makes room for",
		"gives back of dev/team what wk-000001 is owed": "gives back of dev/team what is owed",
		"moved off a draining machine":                  "moved off a draining machine",
	} {
		if got := reasonKind(reason); got != want {
			t.Errorf("%q is counted as %q, want %q", reason, got, want)
		}
	}
}
