package commit

import (
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

// TestGoldenFence compares the request that raises the fence with its golden file. The value of
// the fence is a timestamp.
func TestGoldenFence(t *testing.T) {
	c, requests := newTestCommitter()
	c.fence.needed = true
	if !c.AwaitsFence() || len(*requests) != 1 {
		t.Fatalf("got requests %+v, want one that raises the fence", *requests)
	}
	goldentest.Bytes(t, "fence.json", []byte((*requests)[0].body))
}
