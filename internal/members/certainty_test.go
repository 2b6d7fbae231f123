package members

import "testing"

func TestCertaintyIsRestoredOnlyAfterLeaseAndEpoch(t *testing.T) {
	certainty := LeaseCertainty{State: Certain}
	step := func(kind CertaintyEventKind, epoch uint64, want CertaintyState) {
		t.Helper()
		if certainty = certainty.Next(CertaintyEvent{kind, epoch}); certainty.State != want {
			t.Fatalf("after %s: state %s, want %s", kind, certainty.State, want)
		}
	}
	step(LeaseConfirmed, 0, Certain)
	step(Stalled, 0, Doubtful)
	step(WatchReached, 90, Doubtful) // the watch may still deliver changes from before the stall
	step(EpochRead, 90, Doubtful)
	step(LeaseConfirmed, 0, LeaseKnown)
	step(EpochRead, 100, CatchingUp)
	step(WatchReached, 99, CatchingUp)
	step(Stalled, 0, Doubtful) // a second stall, before certainty was restored
	step(WatchReached, 100, Doubtful)
	step(LeaseConfirmed, 0, LeaseKnown)
	step(EpochRead, 120, CatchingUp)
	step(WatchReached, 120, Certain)
}
