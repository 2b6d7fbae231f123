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

const maxValueBytes = 8192

var tree = quota.Flat(map[string]quota.Team{"t": {Name: "t"}})

// encodeJob returns the encoded record of a job of three tasks.
func encodeJob(jobID string, state jobs.JobState, kind string) []byte {
	return jobs.Encode(jobs.Record{
		State:      state,
		AcceptedMs: 1,
		Spec: jobs.Spec{
			ID:           jobID,
			Class:        "c",
			Team:         "t",
			Kind:         kind,
			Priority:     "standard",
			TaskCount:    3,
			Cores:        1.5,
			Accelerators: 1,
			MemoryGB:     4,
			Image:        "b",
			ImageGB:      1,
			SpreadZones:  kind == jobs.JobArray,
		},
	})
}

func encodeMachine(zone string) []byte {
	return jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g", Zone: zone})
}

func drawJobID(t *rapid.T) string {
	return rapid.SampledFrom([]string{"wk-1", "wk-2", "wk-3"}).Draw(t, "job ID")
}

func drawMachine(t *rapid.T) string {
	return rapid.SampledFrom([]string{"i-1", "i-2"}).Draw(t, "machine")
}

func drawTask(t *rapid.T) jobs.Task {
	switch rapid.IntRange(0, 4).Draw(t, "state") {
	case 0:
		preferred := rapid.SampledFrom([]string{"", "i-1", "i-2"}).Draw(t, "preferred machine")
		return jobs.Task{State: jobs.Assigned, Controller: "n0", Zone: "a", PreferredMachine: preferred}
	case 1:
		return jobs.Task{State: jobs.Placed, Machine: drawMachine(t), Zone: "a", Attempt: 1}
	case 2:
		return jobs.Task{State: jobs.Stopping, Machine: drawMachine(t), Zone: "a", Attempt: 1}
	case 3:
		return jobs.Task{State: jobs.Finished, Attempt: 1}
	}
	return jobs.Task{State: jobs.Pending, Attempt: 1, FailedOn: []string{drawMachine(t)}}
}

func drawTaskRange(t *rapid.T) []byte {
	var tasks []jobs.Task
	for range rapid.IntRange(1, 3).Draw(t, "tasks") {
		tasks = append(tasks, drawTask(t))
	}
	return jobs.EncodeTaskRange(tasks, maxValueBytes)
}

func drawJob(t *rapid.T, jobID string) []byte {
	states := []jobs.JobState{jobs.Live, jobs.Live, jobs.Cancelled, jobs.Done}
	kinds := []string{jobs.JobArray, jobs.Gang, jobs.Service}
	state := rapid.SampledFrom(states).Draw(t, "job state")
	return encodeJob(jobID, state, rapid.SampledFrom(kinds).Draw(t, "kind"))
}

// reserveLastTask reserves resources for the last task of a random job, if the job's record is
// known.
func reserveLastTask(t *rapid.T, s *State) {
	j := s.Jobs[drawJobID(t)]
	if j == nil || j.Record == nil {
		t.Skip("job record not known")
	}
	task := j.Tasks[2]
	if task == nil {
		task = &Task{Task: jobs.Task{State: jobs.Pending}, ID: jobs.TaskID(j.ID, 2), Index: 2, Job: j}
	}
	s.Reserve(task, drawMachine(t), "a")
}

// TestAuditFindsNothingAfterRandomChanges applies records in random order, with reservations in
// between, and audits the state after each step. Records may arrive for jobs, task ranges and
// machines that are still unknown or already removed.
func TestAuditFindsNothingAfterRandomChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(tree, func(string) {})
		rangeKey := func(t *rapid.T) string { return jobs.TaskRangeKey(drawJobID(t), 0) }
		check := func(t *rapid.T, err error) {
			t.Helper()
			if err != nil {
				t.Fatal(err)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for _, finding := range s.Audit() {
					t.Error(finding)
				}
			},
			"job": func(t *rapid.T) {
				jobID := drawJobID(t)
				check(t, s.ApplyJob(jobID, drawJob(t, jobID)))
			},
			"job removed": func(t *rapid.T) { check(t, s.ApplyJob(drawJobID(t), nil)) },
			"task range": func(t *rapid.T) {
				_, err := s.ApplyTaskRange(rangeKey(t), drawTaskRange(t))
				check(t, err)
			},
			"task range removed":    func(t *rapid.T) { _, _ = s.ApplyTaskRange(rangeKey(t), nil) },
			"task range unreadable": func(t *rapid.T) { _, _ = s.ApplyTaskRange(rangeKey(t), []byte(`{"v":9}`)) },
			"machine":               func(t *rapid.T) { check(t, s.ApplyMachine(drawMachine(t), "n0", encodeMachine("a"))) },
			"machine removed":       func(t *rapid.T) { _ = s.ApplyMachine(drawMachine(t), "n0", nil) },
			"reserve":               func(t *rapid.T) { reserveLastTask(t, s) },
			"unreserve":             func(t *rapid.T) { s.Unreserve(jobs.TaskID(drawJobID(t), 2)) },
		})
	})
}

// Unreadable records are reported as errors and do not count as known.
func TestUnreadableRecordsAreErrors(t *testing.T) {
	s := New(tree, func(string) {})
	if err := s.ApplyJob("wk-1", []byte(`{}`)); err == nil || s.Jobs["wk-1"] != nil && s.Jobs["wk-1"].Record != nil {
		t.Error("a job without a specification was accepted")
	}
	if _, err := s.ApplyTaskRange("task/odd", nil); err == nil {
		t.Error("a task range with a malformed key was accepted")
	}
	if err := s.ApplyMachine("i-1", "", []byte(`7`)); err == nil || len(s.Machines) > 0 {
		t.Error("a malformed machine was accepted")
	}
	if err := s.ApplyJob("wk-2", encodeJob("wk-2", jobs.Live, jobs.JobArray)); err != nil {
		t.Fatal(err)
	}
	if _, err := s.ApplyTaskRange("task/wk-2/0", []byte(`[]`)); err == nil || !s.Jobs["wk-2"].TasksUnreadable {
		t.Errorf("an unreadable task range was accepted: error %v, job %+v", err, s.Jobs["wk-2"])
	}
	if used := s.Account.Used(tree.Leaf(quota.Key{Team: "t"})); used != quota.NewAmount(1.5, 1, 4) {
		t.Errorf("an unreadable task range is charged %s, want the charge of one task", used)
	}
}

// TasksByZone counts released tasks, tasks on machines in any attempt, and reservations.
func TestTasksByZoneCountsEveryAttempt(t *testing.T) {
	var changedMachines []string
	s := New(tree, func(machine string) { changedMachines = append(changedMachines, machine) })
	s.Now = time.Unix(1, 0)
	_ = s.ApplyJob("wk-1", encodeJob("wk-1", jobs.Live, jobs.JobArray))
	_ = s.ApplyMachine("i-1", "n0", encodeMachine("b"))
	_, _ = s.ApplyTaskRange("task/wk-1/0", jobs.EncodeTaskRange([]jobs.Task{
		{State: jobs.Assigned, Zone: "a"},
		{State: jobs.Stopping, Machine: "i-1", Zone: "a", Attempt: 1},
	}, maxValueBytes))
	j := s.Jobs["wk-1"]
	s.Reserve(&Task{Task: jobs.Task{State: jobs.Pending}, ID: "wk-1/2", Index: 2, Job: j}, "i-1", "b")
	if got := fmt.Sprint(s.TasksByZone(j)); got != "map[a:1 b:2]" {
		t.Error(got)
	}
	if !slices.Contains(changedMachines, "i-1") {
		t.Error("machineChanged was not called for the machine of a placed task")
	}
	if ZoneAllowed(&j.Record.Spec, s.TasksByZone(j), "b") || !ZoneAllowed(&j.Record.Spec, s.TasksByZone(j), "a") {
		t.Error("zone limit of two of three tasks is not enforced")
	}
}
