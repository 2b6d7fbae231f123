package fleet

import (
	"testing"
	"time"
)

func TestHealth(t *testing.T) {
	now := time.Unix(1000, 0)
	doubtful := map[string]bool{}
	blameless := func(job string) bool { return !doubtful[job] }
	h := &Health{}
	if h.Failed("a", now, false, blameless) || !h.Rests(now) || h.Rests(now.Add(time.Minute)) {
		t.Error("one failure makes a machine rest, no more")
	}
	doubtful["a"] = true // it has failed elsewhere too
	if h.Failed("b", now, false, blameless) {
		t.Error("a job in doubt speaks against the machine")
	}
	if !h.Failed("c", now, false, blameless) {
		t.Error("two blameless jobs do not")
	}
	h.Succeeded()
	if h.Failed("b", now, true, blameless) || h.Failed("b", now, true, blameless) || !h.Failed("b", now, true, blameless) {
		t.Error("the third failure of a job that is done elsewhere tells")
	}
	if (*Health)(nil).Rests(now) {
		t.Error("no machine rests without a failure")
	}
}
