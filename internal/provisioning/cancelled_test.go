package provisioning

import (
	"slices"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// cancelled is the record of a job that was cancelled some time ago.
func (l *leader) cancelled(jobID string, tasks int, ago time.Duration) jobs.Record {
	return jobs.Record{
		State: jobs.Cancelled,
		EndMs: l.state.NowMs() - ago.Milliseconds(),
		Spec:  testSpec(jobID, tasks),
	}
}

// A machine whose record of a cancelled task nobody could free, since the state service was
// unavailable, has the time to be freed; but not where cancel_s is not over.
func TestCancelledTaskAfterAnOutage(t *testing.T) {
	cluster := newLeader(t).config.Cluster
	unresponsiveAfter := cluster.Workers.UnresponsiveAfter()
	late, last := cluster.CancelDelete()+time.Second, cluster.LatestCancelDelete()+time.Second
	for _, c := range []struct {
		name           string
		cancelledAgo   time.Duration
		outageEndedAgo time.Duration
		unresponsive   bool // for the machine's owner
		deleted        bool
	}{
		{"over, and the outage just ended", 70 * time.Second, time.Second, false, false},
		{"over, and the outage ended long ago", 70 * time.Second, unresponsiveAfter + time.Second, false, true},
		{"not over, heard, and the outage just ended", late, time.Second, false, false},
		{"not over, heard, and the owners have had time", late, tuning.CancelSettle + time.Second, false, true},
		{"not over, and not heard", late, time.Second, true, true},
		{"not over, and that is all the time left for a delete", last, time.Second, false, true},
		{"cancelled just now", 10 * time.Second, time.Second, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLeader(t)
			l.addRunning("i-1", "a")
			l.applyJob(l.cancelled("wk-000001", 1, c.cancelledAgo))
			l.place("wk-000001", "i-1")
			if c.unresponsive {
				l.unresponsive["i-1"] = fleet.Unresponsiveness{Since: l.state.Now}
			}
			now := l.state.Now
			l.state.Now = now.Add(-c.outageEndedAgo)
			l.unavailable = true
			l.Reconcile()
			l.state.Now = now
			l.unavailable = false
			if got := len(l.decommissionCancelled()) > 0; got != c.deleted {
				t.Errorf("deleted: %v, want %v", got, c.deleted)
			}
		})
	}
}

// Once writes can be made again, a machine that its owner hears is given a moment to have what
// was cancelled on it written off, except for the time that a delete itself still needs; one
// that its owner does not hear is deleted at once.
func TestCancelledTaskOnceWritesAreBack(t *testing.T) {
	cancel := time.Minute
	for _, c := range []struct {
		name         string
		cancelledAgo time.Duration
		newLeader    bool // the leader has just begun
		outage       bool // the state service was unavailable until now
		waits        bool
	}{
		{"a leader begins", cancel * 7 / 10, true, false, true},
		{"the state service is back", cancel * 7 / 10, false, true, true},
		{"a delete has no time left", cancel - 4*time.Second, true, true, false},
		{"long over, the state service is back", 2 * cancel, false, true, true},
		{"a leader that has led for long", cancel * 7 / 10, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLeader(t)
			l.addRunning("i-heard", "a")
			l.addRunning("i-unresponsive", "a")
			l.unresponsive["i-unresponsive"] = fleet.Unresponsiveness{Since: l.state.Now}
			l.unavailable = c.outage
			l.Reconcile()
			if c.newLeader {
				l.Since = l.state.Now
			}
			l.applyJob(l.cancelled("wk-9", 2, c.cancelledAgo))
			l.place("wk-9", "i-heard", "i-unresponsive")
			l.unavailable = false
			l.run(int((tuning.CancelSettle - time.Second).Seconds()))
			if got := slices.Contains(l.deleted, "i-unresponsive"); got != (c.cancelledAgo < cancel) {
				t.Errorf("the unresponsive machine deleted: %v", got)
			}
			if got := slices.Contains(l.deleted, "i-heard"); got == c.waits {
				t.Errorf("the machine that is heard deleted: %v", got)
			}
			l.run(3)
			if c.cancelledAgo > cancel {
				l.run(int(l.config.Cluster.Workers.UnresponsiveAfter().Seconds()))
			}
			if !slices.Contains(l.deleted, "i-heard") || !slices.Contains(l.deleted, "i-unresponsive") {
				t.Errorf("not both were deleted in the end: %v", l.deleted)
			}
		})
	}
}
