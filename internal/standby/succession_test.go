package standby

import (
	"fmt"
	"testing"
)

// Who follows: other zones than the leader's first, nobody who is suspected.
func TestSuccessors(t *testing.T) {
	x := five("n1", start)
	none := func(string) bool { return false }
	if got := fmt.Sprint(Successors(x, none)); got != "[n1 n3 n4 n2]" {
		t.Error(got)
	}
	if got := fmt.Sprint(Successors(x, func(n string) bool { return n == "n1" || n == "n3" })); got != "[n1 n4 n2]" {
		t.Error("of itself nobody thinks that: ", got)
	}
	x.Leader = "n3"
	if got := fmt.Sprint(Successors(x, none)); got != "[n0 n2 n4 n1]" {
		t.Error(got)
	}
}
