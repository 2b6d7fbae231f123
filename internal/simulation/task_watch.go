package simulation

import (
	"encoding/json"
	"strings"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// recordedTask is the last recorded state of a task.
type recordedTask struct {
	in   string // key of the record that holds it, "" if none does
	task jobs.Task
}

// WatchTasks checks after each transaction that a task is in at most one record, that its attempt
// number never decreases, that a finished task stays finished, and that the record of a task on a
// machine is not deleted while its job is live.
func (sim *Simulator) WatchTasks() {
	t := &taskWatch{
		sim:           sim,
		tasks:         map[string]*recordedTask{},
		tasksOfRecord: map[string]map[string]bool{},
		live:          map[string]bool{},
		written:       map[string][]entry{},
	}
	sim.observe(t.committed, t.settled)
}

// taskWatch checks the rules for task records in the store.
type taskWatch struct {
	sim           *Simulator
	tasks         map[string]*recordedTask   // by task ID
	tasksOfRecord map[string]map[string]bool // task IDs by key of the record
	live          map[string]bool            // jobs that are neither done nor cancelled
	written       map[string][]entry         // entries of the records that the current transaction wrote, by key
}

// committed handles one write of a transaction.
func (t *taskWatch) committed(key string, v json.RawMessage) {
	switch {
	case strings.HasPrefix(key, jobs.JobPrefix):
		jobID := key[len(jobs.JobPrefix):]
		r, err := jobs.DecodeRecord(jobID, v)
		t.live[jobID] = err == nil && r.State == jobs.Live
	case strings.HasPrefix(key, jobs.TaskPrefix), strings.HasPrefix(key, taskbatch.KeyPrefix):
		t.written[key] = nil
		for _, e := range recordTasks(key, v) {
			t.written[key] = append(t.written[key], entry{jobs.TaskID(e.JobID, e.Index), e.Task})
		}
	}
}

// settled checks the records that a transaction wrote.
func (t *taskWatch) settled() {
	removed := map[string]bool{} // tasks removed from records by this transaction
	for key := range t.written {
		for taskID := range t.tasksOfRecord[key] {
			removed[taskID] = true
			t.tasks[taskID].in = ""
		}
		t.tasksOfRecord[key] = map[string]bool{}
	}
	for key, entries := range t.written {
		for _, e := range entries {
			t.recordTask(key, e)
			delete(removed, e.taskID)
		}
	}
	for taskID := range removed {
		jobID, _, _ := jobs.SplitTaskID(taskID)
		if t.tasks[taskID].task.OnMachine() && t.live[jobID] {
			t.sim.ReportViolation("%s was on a machine when its record went", taskID)
		}
	}
	clear(t.written)
}

// recordTask stores that a record holds a task, and checks it against the task's last recorded
// state.
func (t *taskWatch) recordTask(key string, e entry) {
	known := t.tasks[e.taskID]
	switch {
	case known == nil:
		known = &recordedTask{}
		t.tasks[e.taskID] = known
	case known.in != "":
		t.sim.ReportViolation("%s is in %s and in %s", e.taskID, known.in, key)
	case e.task.Attempt < known.task.Attempt:
		t.sim.ReportViolation("%s: try %d after %d", e.taskID, e.task.Attempt, known.task.Attempt)
	case known.task.State == jobs.Finished && e.task.State != jobs.Finished:
		t.sim.ReportViolation("%s: %s after done", e.taskID, e.task.State)
	}
	known.in, known.task = key, e.task
	t.tasksOfRecord[key][e.taskID] = true
}

// entry is a task in a record.
type entry struct {
	taskID string
	task   jobs.Task
}
