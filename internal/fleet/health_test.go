package fleet

import (
	"testing"
	"time"
)

func TestHealthFaultyAfterFailuresOfSeveralJobs(t *testing.T) {
	now := time.Unix(1000, 0)
	suspects := map[string]bool{}
	blameless := func(jobID string) bool { return !suspects[jobID] }
	h := &Health{}
	if h.Failed("a", now, false, blameless) || !h.BackingOff(now) || h.BackingOff(now.Add(time.Minute)) {
		t.Error("one failure should keep new tasks away for a while, no more")
	}
	suspects["a"] = true // it has failed elsewhere too
	if h.Failed("b", now, false, blameless) {
		t.Error("a job under suspicion counted against the machine")
	}
	if !h.Failed("c", now, false, blameless) {
		t.Error("two blameless jobs failed and the machine is not faulty")
	}
	h.Succeeded()
	for failure, faulty := range []bool{false, false, true} {
		if got := h.Failed("b", now, true, blameless); got != faulty {
			t.Errorf("failure %d of a job that succeeds elsewhere: faulty %v, want %v", failure+1, got, faulty)
		}
	}
	if (*Health)(nil).BackingOff(now) {
		t.Error("a machine without a failure takes no new task")
	}
}
