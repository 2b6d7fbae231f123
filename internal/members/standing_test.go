package members

import "testing"

func TestStandingIsSureOnlyAfterLeaseAndEpoch(t *testing.T) {
	c := Certainty{Standing: Sure}
	step := func(kind StandingEventKind, epoch uint64, want Standing) {
		t.Helper()
		if c = c.Next(StandingEvent{kind, epoch}); c.Standing != want {
			t.Fatalf("after %s: %s, not %s", kind, c.Standing, want)
		}
	}
	step(LeaseSettled, 0, Sure)
	step(StoodStill, 0, Doubtful)
	step(FollowedTo, 90, Doubtful) // what the watch brings now may be older
	step(EpochRead, 90, Doubtful)
	step(LeaseSettled, 0, Settled)
	step(EpochRead, 100, Catching)
	step(FollowedTo, 99, Catching)
	step(StoodStill, 0, Doubtful) // once more, before it was sure
	step(FollowedTo, 100, Doubtful)
	step(LeaseSettled, 0, Settled)
	step(EpochRead, 120, Catching)
	step(FollowedTo, 120, Sure)
}
