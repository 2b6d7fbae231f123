package commit

import (
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

// TestGoldenFence holds the transaction that raises the fence, whose value is a time of day.
func TestGoldenFence(t *testing.T) {
	c, out := committer()
	c.fence.needed = true
	if !c.Fencing() || len(*out) != 1 {
		t.Fatalf("sent %+v", *out)
	}
	goldentest.Bytes(t, "fence.json", []byte((*out)[0].body))
}
