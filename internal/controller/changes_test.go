package controller

import (
	"testing"

	"github.com/harrierreel/harrierreel/internal/commit"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/lending"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/provisioning"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// countHandlers returns the number of handlers that match a key.
func countHandlers(key string) int {
	count := 0
	for i := range recordHandlers {
		if _, ok := recordHandlers[i].match(key); ok {
			count++
		}
	}
	return count
}

// Every key listed at startup matches exactly one handler, so their order does not matter.
func TestEveryListedKeyHasOneHandler(t *testing.T) {
	wholeKeys := []string{members.ViewKey, fleet.ClaimsKey, provisioning.SummaryKey, quota.StoreKey}
	for _, key := range wholeKeys {
		if got := countHandlers(key); got != 1 {
			t.Errorf("%d handlers match %q, want 1", got, key)
		}
	}
	prefixes := append([]string{lending.Prefix}, livePrefixes...)
	for _, prefix := range prefixes {
		want := 1
		switch prefix {
		case commit.FencePrefix:
			want = 0 // the committer reads fences from the mirror itself
		case members.ViewKey, fleet.ClaimsKey, provisioning.SummaryKey:
			continue // whole keys
		}
		if got := countHandlers(prefix + "x-1"); got != want {
			t.Errorf("%d handlers match keys with prefix %q, want %d", got, prefix, want)
		}
		if got := countHandlers(prefix); got != 0 {
			t.Errorf("%d handlers match the bare prefix %q, want 0", got, prefix)
		}
	}
}
