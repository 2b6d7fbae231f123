package provisioning

import (
	"slices"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// cancelled returns the record of a job that was cancelled the given time ago.
func (l *leader) cancelled(jobID string, tasks int, ago time.Duration) jobs.Record {
	return jobs.Record{
		State: jobs.Cancelled,
		EndMs: l.state.NowMs() - ago.Milliseconds(),
		Spec:  testSpec(jobID, tasks),
	}
}

// While the state service is unavailable, the end of a cancelled task cannot be recorded. If
// cancel_s has passed, the machine is not deleted until there has been time to record it. If
// cancel_s has not passed, the machine is deleted in time.
func TestDeleteForCancelledTaskAfterOutage(t *testing.T) {
	cluster := newLeader(t).config.Cluster
	unresponsiveAfter := cluster.Workers.UnresponsiveAfter()
	late, last := cluster.CancelDelete()+time.Second, cluster.LatestCancelDelete()+time.Second
	for _, c := range []struct {
		name           string
		cancelledAgo   time.Duration
		outageEndedAgo time.Duration
		unresponsive   bool // the owner receives no heartbeats
		deleted        bool
	}{
		{"cancel_s over, outage just ended", 70 * time.Second, time.Second, false, false},
		{"cancel_s over, outage ended long ago", 70 * time.Second, unresponsiveAfter + time.Second, false, true},
		{"cancel_s not over, responsive, outage just ended", late, time.Second, false, false},
		{"cancel_s not over, responsive, time to record has passed", late, tuning.CancelSettle + time.Second, false, true},
		{"cancel_s not over, unresponsive", late, time.Second, true, true},
		{"cancel_s not over, remaining time needed for the delete", last, time.Second, false, true},
		{"cancelled recently", 10 * time.Second, time.Second, true, false},
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

// Once writes are possible again, a machine with a cancelled task is not deleted until its owner
// has had time to record the end of the task, provided that the owner receives its heartbeats and
// the remaining time is not needed for the delete itself. A machine without heartbeats is deleted
// at once.
func TestDeleteForCancelledTaskOnceWritable(t *testing.T) {
	cancelTimeout := time.Minute
	for _, c := range []struct {
		name         string
		cancelledAgo time.Duration
		newLeader    bool // the leader has just taken over
		outage       bool // the state service was unavailable until now
		deferred     bool
	}{
		{"leader takes over", cancelTimeout * 7 / 10, true, false, true},
		{"state service available again", cancelTimeout * 7 / 10, false, true, true},
		{"remaining time needed for the delete", cancelTimeout - 4*time.Second, true, true, false},
		{"timeout long over, state service available again", 2 * cancelTimeout, false, true, true},
		{"leader for a long time", cancelTimeout * 7 / 10, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLeader(t)
			l.addRunning("i-heard", "a")
			l.addRunning("i-unresponsive", "a")
			l.unresponsive["i-unresponsive"] = fleet.Unresponsiveness{Since: l.state.Now}
			l.unavailable = c.outage
			l.Reconcile()
			if c.newLeader {
				l.ObservingSince = l.state.Now
			}
			l.applyJob(l.cancelled("wk-9", 2, c.cancelledAgo))
			l.place("wk-9", "i-heard", "i-unresponsive")
			l.unavailable = false
			l.run(int((tuning.CancelSettle - time.Second).Seconds()))
			if got := slices.Contains(l.deleted, "i-unresponsive"); got != (c.cancelledAgo < cancelTimeout) {
				t.Errorf("unresponsive machine deleted: %v", got)
			}
			if got := slices.Contains(l.deleted, "i-heard"); got == c.deferred {
				t.Errorf("responsive machine deleted: %v", got)
			}
			l.run(3)
			if c.cancelledAgo > cancelTimeout {
				l.run(int(l.config.Cluster.Workers.UnresponsiveAfter().Seconds()))
			}
			if !slices.Contains(l.deleted, "i-heard") || !slices.Contains(l.deleted, "i-unresponsive") {
				t.Errorf("both machines should have been deleted in the end, got %v", l.deleted)
			}
		})
	}
}
