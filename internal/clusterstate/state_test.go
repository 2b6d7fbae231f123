package clusterstate

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/testseed"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m)) }

var tree = quota.Flat(map[string]quota.Team{"t": {Name: "t"}})

var shapes = []string{jobs.JobArray, jobs.Gang, jobs.Service}

// record is a job's record of three tasks.
func record(jobID string, state jobs.JobState, shape int) []byte {
	return jobs.Encode(jobs.Record{State: state, AcceptedMs: 1, Spec: jobs.Spec{
		ID: jobID, Class: "c", Team: "t", Kind: shapes[shape], Priority: "standard",
		TaskCount: 3, Cores: 1.5, Accelerators: 1, MemoryGB: 4, Image: "b", ImageGB: 1, SpreadZones: shape == 0,
	}})
}

// TestAnyChanges enters records in any order, also of jobs, slices and machines
// that are not known yet or gone already, with reservations between, and counts
// everything again after each.
func TestAnyChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(tree, func(string) {})
		jobIDs := []string{"wk-1", "wk-2", "wk-3"}
		machines := []string{"i-1", "i-2"}
		jobID := func(t *rapid.T) string { return rapid.SampledFrom(jobIDs).Draw(t, "uid") }
		machine := func(t *rapid.T) string { return rapid.SampledFrom(machines).Draw(t, "host") }
		task := func(t *rapid.T) jobs.Task {
			switch rapid.IntRange(0, 4).Draw(t, "state") {
			case 0:
				return jobs.Task{State: jobs.Released, Controller: "n0", Zone: "a", PreferredMachine: rapid.SampledFrom([]string{"", "i-1", "i-2"}).Draw(t, "want")}
			case 1:
				return jobs.Task{State: jobs.Placed, Machine: machine(t), Zone: "a", Attempt: 1}
			case 2:
				return jobs.Task{State: jobs.Stopping, Machine: machine(t), Zone: "a", Attempt: 1}
			case 3:
				return jobs.Task{State: jobs.Finished, Attempt: 1}
			}
			return jobs.Task{State: jobs.Pending, Attempt: 1, FailedOn: []string{machine(t)}}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for _, bad := range b.Audit() {
					t.Error(bad)
				}
			},
			"job": func(t *rapid.T) {
				id := jobID(t)
				state := rapid.SampledFrom([]jobs.JobState{jobs.Live, jobs.Live, jobs.Cancelled, jobs.Done}).Draw(t, "job state")
				if err := b.ApplyJob(id, record(id, state, rapid.IntRange(0, 2).Draw(t, "shape"))); err != nil {
					t.Fatal(err)
				}
			},
			"job gone": func(t *rapid.T) {
				if err := b.ApplyJob(jobID(t), nil); err != nil {
					t.Fatal(err)
				}
			},
			"slice": func(t *rapid.T) {
				var records []jobs.Task
				for range rapid.IntRange(1, 3).Draw(t, "tasks") {
					records = append(records, task(t))
				}
				if _, err := b.ApplyTaskRange(jobs.TaskRangeKey(jobID(t), 0), jobs.EncodeTaskRange(records, 8192)); err != nil {
					t.Fatal(err)
				}
			},
			"slice gone": func(t *rapid.T) { _, _ = b.ApplyTaskRange(jobs.TaskRangeKey(jobID(t), 0), nil) },
			"slice odd":  func(t *rapid.T) { _, _ = b.ApplyTaskRange(jobs.TaskRangeKey(jobID(t), 0), []byte(`{"v":9}`)) },
			"machine": func(t *rapid.T) {
				if err := b.ApplyMachine(machine(t), "n0", jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g", Zone: "a"})); err != nil {
					t.Fatal(err)
				}
			},
			"machine gone": func(t *rapid.T) { _ = b.ApplyMachine(machine(t), "n0", nil) },
			"reserve": func(t *rapid.T) {
				j := b.Jobs[jobID(t)]
				if j == nil || j.Record == nil {
					t.Skip("no such job")
				}
				x := &Task{Task: jobs.Task{State: jobs.Pending}, ID: jobs.TaskID(j.ID, 2), Index: 2, Job: j}
				if have := j.Tasks[2]; have != nil {
					x = have
				}
				b.Reserve(x, machine(t), "a")
			},
			"unreserve": func(t *rapid.T) { b.Unreserve(jobs.TaskID(jobID(t), 2)) },
		})
	})
}

// What can't be read is told, and nothing is decided from it.
func TestUnreadable(t *testing.T) {
	b := New(tree, func(string) {})
	if err := b.ApplyJob("wk-1", []byte(`{}`)); err == nil || b.Jobs["wk-1"] != nil && b.Jobs["wk-1"].Record != nil {
		t.Error("a job without a specification was read")
	}
	if _, err := b.ApplyTaskRange("task/odd", nil); err == nil {
		t.Error("a slice with a strange key was read")
	}
	if err := b.ApplyMachine("i-1", "", []byte(`7`)); err == nil || len(b.Machines) > 0 {
		t.Error("a strange machine was read")
	}
	if err := b.ApplyJob("wk-2", record("wk-2", jobs.Live, 0)); err != nil {
		t.Fatal(err)
	}
	if _, err := b.ApplyTaskRange("task/wk-2/0", []byte(`[]`)); err == nil || !b.Jobs["wk-2"].TasksUnreadable || b.Account.Used(tree.Leaf(quota.Key{Team: "t"})) != quota.Of(1.5, 1, 4) {
		t.Errorf("%v %+v", err, b.Jobs["wk-2"])
	}
}

// Zones count what is released, what is on machines in any attempt, and what is
// under way.
func TestZones(t *testing.T) {
	var touched []string
	b := New(tree, func(h string) { touched = append(touched, h) })
	b.Now = time.Unix(1, 0)
	_ = b.ApplyJob("wk-1", record("wk-1", jobs.Live, 0))
	_ = b.ApplyMachine("i-1", "n0", jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g", Zone: "b"}))
	_, _ = b.ApplyTaskRange("task/wk-1/0", jobs.EncodeTaskRange([]jobs.Task{{State: jobs.Released, Zone: "a"}, {State: jobs.Stopping, Machine: "i-1", Zone: "a", Attempt: 1}}, 8192))
	j := b.Jobs["wk-1"]
	b.Reserve(&Task{Task: jobs.Task{State: jobs.Pending}, ID: "wk-1/2", Index: 2, Job: j}, "i-1", "b")
	if got := fmt.Sprint(b.TasksByZone(j)); got != "map[a:1 b:2]" {
		t.Error(got)
	}
	if !slices.Contains(touched, "i-1") {
		t.Error("nobody was told of the machine")
	}
	if ZoneAllowed(&j.Record.Spec, b.TasksByZone(j), "b") || !ZoneAllowed(&j.Record.Spec, b.TasksByZone(j), "a") {
		t.Error("at most two of three tasks may be in a zone")
	}
}
