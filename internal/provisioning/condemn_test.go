package provisioning

import (
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// TestNotDeletedForAnOutage: a machine whose record of a cancelled task nobody could free,
// as the state service was away, has the time to be freed; but not where cancel_s is not over.
func TestNotDeletedForAnOutage(t *testing.T) {
	times := newOffice(t).Cluster
	unresponsive, late, last := times.Workers.UnresponsiveAfter(), times.CancelDelete()+time.Second, times.CancelLast()+time.Second
	for _, c := range []struct {
		name       string
		ended, out time.Duration // ago
		missed     bool          // by the machine's owner
		deleted    bool
	}{
		{"over, and the outage just ended", 70 * time.Second, time.Second, false, false},
		{"over, and the outage ended long ago", 70 * time.Second, unresponsive + time.Second, false, true},
		{"not over, heard, and the outage just ended", late, time.Second, false, false},
		{"not over, heard, and the owners have had time", late, tuning.CancelSettle + time.Second, false, true},
		{"not over, and not heard", late, time.Second, true, true},
		{"not over, and that is all the time left for a delete", last, time.Second, false, true},
		{"cancelled just now", 10 * time.Second, time.Second, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newOffice(t)
			o.machine("i-1", fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a"})
			rec := jobs.Record{
				State: jobs.Cancelled,
				EndMs: o.NowMs() - c.ended.Milliseconds(),
				Spec: jobs.Spec{
					ID:                "wk-000001",
					Class:             "c",
					Team:              "t",
					Kind:              jobs.JobArray,
					Priority:          "standard",
					TaskCount:         1,
					Cores:             2,
					Accelerators:      1,
					MemoryGB:          8,
					Image:             "b",
					ExpectedDurationS: 60,
				},
			}
			if err := o.ApplyJob("wk-000001", jobs.Encode(rec)); err != nil {
				t.Fatal(err)
			}
			if _, err := o.ApplyTaskRange(
				jobs.TaskRangeKey("wk-000001", 0),
				jobs.EncodeTaskRange([]jobs.Task{{State: jobs.Placed, Machine: "i-1", Attempt: 1}}, 8192),
			); err != nil {
				t.Fatal(err)
			}
			if c.missed {
				o.quiet["i-1"] = fleet.Unresponsiveness{Since: o.Now}
			}
			now := o.Now
			o.Now = now.Add(-c.out)
			o.Env.StoreUnavailable = func() bool { return true }
			o.Reconcile()
			o.Now = now
			o.Env.StoreUnavailable = func() bool { return false }
			if got := len(o.decommissionCancelled()) > 0; got != c.deleted {
				t.Errorf("deleted: %v", got)
			}
		})
	}
}
