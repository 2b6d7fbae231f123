package simulation

import (
	"encoding/json"
	"strings"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// recordedTask is what the records say of one task.
type recordedTask struct {
	in   string // record that holds it, none if none does
	task jobs.Task
}

// WatchTasks checks, after each transaction, that every task is in one record at most,
// that its try never falls, that what is done stays done, and that no record of a task
// on a machine goes while its job is live.
func (w *Simulator) WatchTasks() {
	tasks := map[string]*recordedTask{}
	holds := map[string]map[string]bool{} // record to pieces
	live := map[string]bool{}             // jobs that are neither done nor cancelled
	next, settled := w.Store.Committed, w.Store.Settled
	lost := map[string]bool{}   // pieces that a record of this transaction no longer holds
	now := map[string][]entry{} // records that this transaction wrote
	w.Store.Committed = func(key string, v json.RawMessage) {
		if next != nil {
			next(key, v)
		}
		switch {
		case strings.HasPrefix(key, jobs.JobPrefix):
			r, err := jobs.DecodeRecord(key[4:], v)
			live[key[4:]] = err == nil && r.State == jobs.Live
		case strings.HasPrefix(key, jobs.TaskPrefix), strings.HasPrefix(key, taskbatch.KeyPrefix):
			now[key] = nil
			for _, e := range recordTasks(key, v) {
				now[key] = append(now[key], entry{jobs.TaskID(e.JobID, e.Index), e.Task})
			}
		}
	}
	w.Store.Settled = func() {
		if settled != nil {
			settled()
		}
		for key := range now {
			for taskID := range holds[key] {
				lost[taskID] = true
				tasks[taskID].in = ""
			}
			holds[key] = map[string]bool{}
		}
		for key, es := range now {
			for _, e := range es {
				h := tasks[e.taskID]
				switch {
				case h == nil:
					h = &recordedTask{}
					tasks[e.taskID] = h
				case h.in != "":
					w.Break("%s is in %s and in %s", e.taskID, h.in, key)
				case e.task.Attempt < h.task.Attempt:
					w.Break("%s: try %d after %d", e.taskID, e.task.Attempt, h.task.Attempt)
				case h.task.State == jobs.Finished && e.task.State != jobs.Finished:
					w.Break("%s: %s after done", e.taskID, e.task.State)
				}
				h.in, h.task = key, e.task
				holds[key][e.taskID] = true
				delete(lost, e.taskID)
			}
		}
		for taskID := range lost {
			jobID, _, _ := jobs.SplitTaskID(taskID)
			if tasks[taskID].task.OnMachine() && live[jobID] {
				w.Break("%s was on a machine when its record went", taskID)
			}
		}
		clear(lost)
		clear(now)
	}
}

// entry is a task in a record.
type entry struct {
	taskID string
	task   jobs.Task
}
