package queue

import (
	"testing"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
)

var guaranteedTeams = map[string]quota.Team{
	"a": {Name: "a", Guaranteed: quota.NewAmount(0, 2, 0)},
	"b": {Name: "b", Guaranteed: quota.NewAmount(0, 2, 0)},
	"c": {Name: "c"},
}

// count returns the number of tasks of a job in a state.
func (q *testQueue) count(jobID string, state jobs.TaskState) int {
	n := 0
	for _, task := range q.state.Jobs[jobID].Tasks {
		if task.State == state {
			n++
		}
	}
	return n
}

// endStopped ends the tasks of a job that are being stopped.
func (q *testQueue) endStopped(jobID string) {
	q.t.Helper()
	job := q.state.Jobs[jobID]
	var records []jobs.Task
	for i := range len(job.Tasks) {
		record := job.Tasks[i].Task
		if record.State == jobs.Stopping {
			record, _ = jobs.NextTask(record, jobs.TaskEvent{Kind: jobs.Lost})
		}
		records = append(records, record)
	}
	if _, err := q.state.ApplyTaskRange(jobs.TaskRangeKey(jobID, 0), jobs.EncodeTaskRange(records, 8192)); err != nil {
		q.t.Fatal(err)
	}
}

// Of a team that runs just what it is guaranteed nothing is stopped, however much it has waiting.
func TestWaitingTasksPutNoTeamBeyondItsGuarantee(t *testing.T) {
	q := newTestQueue(t, guaranteedTeams)
	q.addMachine("i-1", "n0", "a")
	q.addJob("wk-1", "b", "standard", 2, nil)
	q.addJob("wk-2", "a", "standard", 1, nil)
	q.addJob("wk-3", "c", "standard", 1, func(s *jobs.Spec) { s.Kind = jobs.Service })
	q.RunCycle()
	q.addJob("wk-4", "b", "standard", 5, nil)
	q.addJob("wk-5", "a", "standard", 1, nil)
	q.RunCycle()
	if got := q.count("wk-1", jobs.Placed); got != 2 {
		t.Errorf("%d tasks run of a team that is guaranteed 2", got)
	}
}

// A victim of higher priority comes first in the queue, but must not take back the room that was made
// for work within a guarantee, and work behind it in the queue must not take a part of that room.
func TestPreemptedRoomIsKeptForItsTask(t *testing.T) {
	q := newTestQueue(t, guaranteedTeams)
	q.addMachine("i-1", "n0", "a")
	q.addJob("wk-1", "b", "urgent", 4, nil)
	q.RunCycle()
	q.addJob("wk-2", "a", "standard", 1, func(s *jobs.Spec) { s.Accelerators = 2 })
	q.addJob("wk-3", "b", "idle", 4, nil)
	q.RunCycle()
	if got := q.count("wk-1", jobs.Stopping); got != 2 {
		t.Fatalf("%d tasks are stopped, want 2", got)
	}
	q.endStopped("wk-1")
	q.RunCycle()
	if got := q.count("wk-2", jobs.Placed); got != 1 {
		t.Error("the room is not given to the task that it was made for")
	}
	if got := q.count("wk-1", jobs.Placed); got != 2 {
		t.Errorf("%d tasks of the victims' job run, want 2", got)
	}
	q.RunCycle()
	if got := q.count("wk-2", jobs.Stopping); got != 0 {
		t.Error("the task is stopped again")
	}
	for _, inconsistency := range q.state.Audit() {
		t.Error(inconsistency)
	}
}
