package provisioning

import (
	"slices"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// As changes can be made again, a machine that its owner hears is given a moment to have
// written off what was cancelled on it, but for what a delete itself still needs; one that
// its owner misses is deleted at once.
func TestCancelledOnReturn(t *testing.T) {
	cancel := time.Minute
	for _, c := range []struct {
		name   string
		age    time.Duration // of the cancellation
		begins bool          // the leader has just begun
		outage bool          // the state service was away until now
		waits  bool
	}{
		{"a leader begins", cancel * 7 / 10, true, false, true},
		{"the state service is back", cancel * 7 / 10, false, true, true},
		{"a delete has no time left", cancel - 4*time.Second, true, true, false},
		{"long over, the state service is back", 2 * cancel, false, true, true},
		{"a leader that has led for long", cancel * 7 / 10, false, false, false},
	} {
		o := newOffice(t)
		for _, h := range []string{"i-heard", "i-quiet"} {
			o.machine(h, fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a"})
			o.listed = append(o.listed, fleet.ListedMachine{Name: h, MachineType: "g4", Zone: "a", Status: "running", AgeS: 500})
		}
		o.quiet["i-quiet"] = fleet.Unresponsiveness{Since: o.Now}
		away := c.outage
		o.StoreUnavailable = func() bool { return away }
		o.Reconcile()
		if c.begins {
			o.Since = o.Now
		}
		spec := jobs.Spec{
			ID:        "wk-9",
			Class:     "c",
			Team:      "t",
			Kind:      jobs.JobArray,
			Priority:  "standard",
			TaskCount: 2,
			Cores:     1,
			MemoryGB:  1,
			Image:     "b",
		}
		_ = o.ApplyJob(
			"wk-9",
			jobs.Encode(jobs.Record{State: jobs.Cancelled, EndMs: o.NowMs() - c.age.Milliseconds(), Spec: spec}),
		)
		_, _ = o.ApplyTaskRange(
			"task/wk-9/0",
			jobs.EncodeTaskRange(
				[]jobs.Task{
					{State: jobs.Placed, Machine: "i-heard", Attempt: 1},
					{State: jobs.Placed, Machine: "i-quiet", Attempt: 1},
				},
				8192,
			),
		)
		away = false
		o.run(int((tuning.CancelSettle - time.Second).Seconds()))
		if got := slices.Contains(o.gone, "i-quiet"); got != (c.age < cancel) {
			t.Errorf("%s: the machine that is missed deleted: %v", c.name, got)
		}
		if got := slices.Contains(o.gone, "i-heard"); got == c.waits {
			t.Errorf("%s: the machine that is heard deleted: %v", c.name, got)
		}
		if o.run(3); c.age > cancel {
			o.run(int(o.Cluster.Workers.UnresponsiveAfter().Seconds()))
		}
		if !slices.Contains(o.gone, "i-heard") || !slices.Contains(o.gone, "i-quiet") {
			t.Errorf("%s: not both were deleted in the end: %v", c.name, o.gone)
		}
	}
}
