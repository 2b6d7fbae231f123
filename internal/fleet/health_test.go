package fleet

import (
	"testing"
	"time"
)

func TestHealthFaultyAfterFailuresOfSeveralJobs(t *testing.T) {
	now := time.Unix(1000, 0)
	untrusted := map[string]bool{}
	isTrusted := func(jobID string) bool { return !untrusted[jobID] }
	h := &Health{}
	if h.Failed("a", now, false, isTrusted) || !h.BackingOff(now) || h.BackingOff(now.Add(time.Minute)) {
		t.Error("one failure should only prevent new tasks for a while")
	}
	untrusted["a"] = true // it also fails on other machines
	if h.Failed("b", now, false, isTrusted) {
		t.Error("an untrusted job counted against the machine")
	}
	if !h.Failed("c", now, false, isTrusted) {
		t.Error("tasks of two trusted jobs failed and the machine is not faulty")
	}
	h.Succeeded()
	for failure, faulty := range []bool{false, false, true} {
		if got := h.Failed("b", now, true, isTrusted); got != faulty {
			t.Errorf("failure %d of a job that succeeds elsewhere: faulty %v, want %v", failure+1, got, faulty)
		}
	}
	if (*Health)(nil).BackingOff(now) {
		t.Error("a machine without failures takes no new task")
	}
}
