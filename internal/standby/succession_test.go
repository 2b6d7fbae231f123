package standby

import (
	"fmt"
	"testing"
)

func TestSuccessorsAreUnsuspectedWithOtherZonesFirst(t *testing.T) {
	nobody := func(string) bool { return false }
	for name, test := range map[string]struct {
		leader    string
		suspected func(string) bool
		want      string
	}{
		"nobody is suspected":                  {"n0", nobody, "[n1 n3 n4 n2]"},
		"a controller does not suspect itself": {"n0", func(n string) bool { return n == "n1" || n == "n3" }, "[n1 n4 n2]"},
		"names start after the leader's":       {"n3", nobody, "[n0 n2 n4 n1]"},
	} {
		t.Run(name, func(t *testing.T) {
			status := statusOfFive("n1", start)
			status.Leader = test.leader
			if got := fmt.Sprint(Successors(status, test.suspected)); got != test.want {
				t.Errorf("successors %s, want %s", got, test.want)
			}
		})
	}
}
