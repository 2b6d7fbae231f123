package api

import (
	"encoding/json"
	"testing"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// A controller that cannot read the quota tree in force must start and reclaim nothing by the former
// one: its decisions are conditional on the revision of the tree that it has not read.
func TestUnreadableQuotaTreeSuspendsDecisions(t *testing.T) {
	server := newTestServer(t, true)
	good := jobs.Encode(quota.NewStored(3, 0, quota.Document{}))
	strange := quota.NewStored(4, 0, quota.Document{
		Organisations: []quota.Org{{Name: "org", Teams: []quota.OfTeam{{Name: "nobody"}}}},
	})
	revision := server.mirror.Epoch
	apply := func(value []byte) {
		revision++
		server.mirror.Put(quota.StoreKey, value, revision)
		server.ApplyQuota(json.RawMessage(value))
	}
	decides := func() bool {
		allowed := server.state.Account.Allows(0, quota.Amount{}, 1)
		if server.QuotaSettled() != allowed || server.reclaimDue() != allowed {
			t.Errorf("settled %v, starts allowed %v, reclaim due %v",
				server.QuotaSettled(), allowed, server.reclaimDue())
		}
		return allowed
	}
	apply(good)
	if !decides() {
		t.Fatal("nothing is decided by a tree that was read")
	}
	for name, unreadable := range map[string][]byte{
		"of an unknown version":       []byte(`{"v":99}`),
		"of teams that are not there": jobs.Encode(strange),
	} {
		apply(unreadable)
		if decides() {
			t.Errorf("a tree %s: the former tree is used under its revision", name)
		}
		apply(good)
		if !decides() {
			t.Errorf("a tree %s: nothing is decided after it was replaced", name)
		}
	}
}
