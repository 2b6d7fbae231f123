package members

import "testing"

func TestCertaintyReturnsOnlyAfterLeaseAndEpoch(t *testing.T) {
	certainty := LeaseCertainty{State: Certain}
	step := func(kind CertaintyEventKind, epoch uint64, want CertaintyState) {
		t.Helper()
		if certainty = certainty.Next(CertaintyEvent{kind, epoch}); certainty.State != want {
			t.Fatalf("after %s: %s, not %s", kind, certainty.State, want)
		}
	}
	step(LeaseConfirmed, 0, Certain)
	step(Stalled, 0, Doubtful)
	step(WatchedTo, 90, Doubtful) // what the watch delivers now may be older
	step(EpochRead, 90, Doubtful)
	step(LeaseConfirmed, 0, LeaseKnown)
	step(EpochRead, 100, CatchingUp)
	step(WatchedTo, 99, CatchingUp)
	step(Stalled, 0, Doubtful) // once more, before it was certain
	step(WatchedTo, 100, Doubtful)
	step(LeaseConfirmed, 0, LeaseKnown)
	step(EpochRead, 120, CatchingUp)
	step(WatchedTo, 120, Certain)
}
