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

// handlersOf counts the handlers that take in changes of a key.
func handlersOf(key string) int {
	count := 0
	for i := range recordHandlers {
		if _, ok := recordHandlers[i].match(key); ok {
			count++
		}
	}
	return count
}

// Each record that is listed at a start is taken in by one handler, whatever their order.
func TestEveryListedKeyHasOneHandler(t *testing.T) {
	wholeKeys := []string{members.ViewKey, fleet.ClaimsKey, provisioning.SummaryKey, quota.StoreKey}
	for _, key := range wholeKeys {
		if got := handlersOf(key); got != 1 {
			t.Errorf("%d handlers of %q, want 1", got, key)
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
		if got := handlersOf(prefix + "x-1"); got != want {
			t.Errorf("%d handlers of keys under %q, want %d", got, prefix, want)
		}
		if got := handlersOf(prefix); got != 0 {
			t.Errorf("%d handlers of the prefix %q alone, want 0", got, prefix)
		}
	}
}
