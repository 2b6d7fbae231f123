package provisioning

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// Machines that never came up, have stopped, have been unresponsive for a long time, or have tasks
// but no record are deleted. Healthy machines are not.
func TestDecommissionDeletesOnlyFailedMachines(t *testing.T) {
	l := newLeader(t)
	for _, name := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"} {
		l.addRunning(name, "a")
	}
	l.listed[1].Status = "failed"
	l.listed = append(l.listed, fleet.ListedMachine{
		Name:        "i-7",
		MachineType: "g4",
		Zone:        "a",
		Status:      "booting",
		AgeS:        5000,
	})
	l.unresponsive["i-3"] = fleet.Unresponsiveness{Since: l.state.Now.Add(-time.Hour)}
	l.applyJob(jobs.Record{State: jobs.Live, Spec: testSpec("wk-9", 1)})
	l.place("wk-9", "i-99")
	l.run(9)
	for _, name := range []string{"i-2", "i-3", "i-7", "i-99"} {
		if !slices.Contains(l.deleted, name) {
			t.Errorf("%s was not deleted: %v", name, l.deleted)
		}
	}
	for _, name := range []string{"i-1", "i-4", "i-5", "i-6"} {
		if slices.Contains(l.deleted, name) {
			t.Errorf("%s was deleted", name)
		}
	}
	freed := false
	for _, decision := range l.committed {
		for _, change := range decision.Changes {
			freed = freed || change.Task.ID == "wk-9/0"
		}
	}
	if !freed {
		t.Error("the task on a deleted machine was not freed")
	}
}

// A controller that loses contact with most agents, as in a network partition, must not delete
// their machines.
func TestManyUnresponsiveMachinesAreNotDeleted(t *testing.T) {
	l := newLeader(t)
	for i := range 20 {
		name := fmt.Sprint("i-", i)
		l.addRunning(name, []string{"a", "b"}[i%2])
		if i < 18 {
			l.unresponsive[name] = fleet.Unresponsiveness{Since: l.state.Now.Add(-20 * time.Second)}
		}
	}
	l.run(9)
	if len(l.deleted) > 0 {
		t.Errorf("deleted %v, want none", l.deleted)
	}
}

// The decisions on machines without a record must be in a definite order, so that two runs of the
// same scenario send the same messages.
func TestMachinesWithoutRecordAreDecommissionedByName(t *testing.T) {
	l := newLeader(t)
	var want []string
	for i := range 20 {
		machine := fmt.Sprintf("i-%02d", i)
		jobID := fmt.Sprintf("wk-%d", i)
		l.applyJob(jobs.Record{State: jobs.Live, Spec: testSpec(jobID, 1)})
		l.place(jobID, machine)
		want = append(want, fleet.MachinePrefix+machine)
	}
	var got []string
	for _, decision := range l.decommissionUnrecorded() {
		got = append(got, decision.Keys()...)
	}
	if !slices.Equal(got, want) {
		t.Errorf("decided on %v, want %v", got, want)
	}
}
