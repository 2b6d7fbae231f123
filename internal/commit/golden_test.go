package commit

import (
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

// TestGoldenFence holds the transaction that raises the fence, whose value is a time of day.
func TestGoldenFence(t *testing.T) {
	c, requests := newTestCommitter()
	c.fence.needed = true
	if !c.Fencing() || len(*requests) != 1 {
		t.Fatalf("sent %+v", *requests)
	}
	goldentest.Bytes(t, "fence.json", []byte((*requests)[0].body))
}
