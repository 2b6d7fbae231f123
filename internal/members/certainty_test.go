package members

import "testing"

func TestStandingIsSureOnlyAfterLeaseAndEpoch(t *testing.T) {
	c := LeaseCertainty{CertaintyState: Certain}
	step := func(kind CertaintyEventKind, epoch uint64, want CertaintyState) {
		t.Helper()
		if c = c.Next(CertaintyEvent{kind, epoch}); c.CertaintyState != want {
			t.Fatalf("after %s: %s, not %s", kind, c.CertaintyState, want)
		}
	}
	step(LeaseConfirmed, 0, Certain)
	step(Stalled, 0, Doubtful)
	step(WatchedTo, 90, Doubtful) // what the watch brings now may be older
	step(EpochRead, 90, Doubtful)
	step(LeaseConfirmed, 0, LeaseKnown)
	step(EpochRead, 100, CatchingUp)
	step(WatchedTo, 99, CatchingUp)
	step(Stalled, 0, Doubtful) // once more, before it was sure
	step(WatchedTo, 100, Doubtful)
	step(LeaseConfirmed, 0, LeaseKnown)
	step(EpochRead, 120, CatchingUp)
	step(WatchedTo, 120, Certain)
}
