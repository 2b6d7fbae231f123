// Package completion makes the writes for the records of a job that ends: the final state,
// which is kept for ever, and the live records, which are cleared. It has no IO and no clock.
package completion

import (
	"maps"
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
)

// FinalWrites are the records of a job that ends in a state at a time (Unix, milliseconds).
// Its live record is among them and not removed, since its tasks are yet to act on it.
func FinalWrites(job *clusterstate.Job, state jobs.JobState, nowMs int64) []store.Write {
	record := *job.Record
	record.State, record.EndMs, record.DoneCount = state, nowMs, job.DoneCount
	if state == jobs.Done {
		record.DoneCount = record.Spec.TaskCount // of a gang, one done means all are
	}
	return []store.Write{
		decide.Put(jobs.JobPrefix+job.ID, record),
		decide.Put(jobs.FinalPrefix+job.ID, jobs.Final{State: state, DoneCount: record.DoneCount}),
	}
}

// jobRecords counts the records that a job's end writes besides its task ranges: the final
// and the live one.
const jobRecords = 2

// InOneTransaction is the urgent decision that writes a job's final state and removes its
// live records. It is ok only where none of the job's tasks may be on a machine any more,
// one transaction of txnOps writes holds it all, and none of the records is in flight.
func InOneTransaction(
	job *clusterstate.Job,
	state jobs.JobState,
	txnOps int,
	busy func(key string) bool,
) (decision decide.Decision, ok bool) {
	if len(job.Active) > 0 || len(job.Ranges)+jobRecords > txnOps {
		return decide.Decision{}, false
	}
	for _, record := range job.Ranges {
		if busy(record.Key) {
			return decide.Decision{}, false
		}
	}
	return finalDecision(job, state), true
}

// finalDecision writes a job's final state in place of its live records. It is urgent: users
// wait for it, the records do not change any more, and as a large decision it would never
// find the budget that small ones leave.
func finalDecision(job *clusterstate.Job, state jobs.JobState) decide.Decision {
	final := jobs.Final{State: state, DoneCount: job.Record.Spec.TaskCount}
	decision := decide.Decision{
		Urgent:       true,
		CompletesJob: true,
		Writes: []store.Write{
			decide.Put(jobs.FinalPrefix+job.ID, final),
			decide.Remove(jobs.JobPrefix + job.ID),
		},
	}
	for _, first := range slices.Sorted(maps.Keys(job.Ranges)) {
		decision.Writes = append(decision.Writes, decide.Remove(job.Ranges[first].Key))
	}
	return decision
}

// ClearRecords removes the records of a closed job, at most txnOps of them: task ranges
// without a task on a machine, and the job's own once no range is left. What batch records
// still say of its tasks is left out when they are next written.
func ClearRecords(job *clusterstate.Job, txnOps int, busy func(key string) bool) []decide.Decision {
	if len(job.Ranges) == 0 {
		for _, task := range job.Active {
			if mayBeOnMachine(task) {
				return nil
			}
		}
		return []decide.Decision{removal(jobs.JobPrefix + job.ID)}
	}
	var decisions []decide.Decision
	for _, first := range slices.Sorted(maps.Keys(job.Ranges)) {
		record := job.Ranges[first]
		inUse := slices.ContainsFunc(record.Tasks, mayBeOnMachine)
		if !inUse && !busy(record.Key) && len(decisions) < txnOps {
			decisions = append(decisions, removal(record.Key))
		}
	}
	return decisions
}

// mayBeOnMachine tells whether a task is on a machine, or may be for all that is known.
func mayBeOnMachine(task *clusterstate.Task) bool {
	return task.OnMachine() || task.State == clusterstate.Unreadable
}

// removal is the decision to remove one record.
func removal(key string) decide.Decision {
	return decide.Decision{Writes: []store.Write{decide.Remove(key)}}
}

// WithLastTask is the decision that ends a job array with its last task. It is ok only where
// one task range holds all of the job, or batch records do. For a job of one task that is
// four writes instead of five, and the leader's next cycle is not waited for.
func WithLastTask(task *clusterstate.Task) (decision decide.Decision, ok bool) {
	job := task.Job
	if job.Record.Spec.Kind != jobs.JobArray || !inOneRecord(task) || job.DoneCount != job.Record.Spec.TaskCount-1 {
		return decide.Decision{}, false
	}
	if _, ok := jobs.NextTask(task.Task, jobs.TaskEvent{Kind: jobs.Complete}); !ok {
		return decide.Decision{}, false
	}
	state, ok := jobs.NextJob(job.Record.State, jobs.TasksAllDone)
	if !ok {
		return decide.Decision{}, false
	}
	decision = finalDecision(job, state)
	if task.StoredIn.IsBatch() {
		// The batch record is not written for it: its entry of the task outlives the job's
		// record by a moment and goes with the next ends. That nobody has given the task
		// up and started it elsewhere is ensured by its machine's record, which changes
		// before that.
		decision.ReadSet = append(decision.ReadSet, fleet.MachinePrefix+task.Machine)
	}
	return decision, true
}

// inOneRecord tells whether a task's range holds all tasks of its job, or batch records do.
func inOneRecord(task *clusterstate.Task) bool {
	switch len(task.Job.Ranges) {
	case 0:
		return task.StoredIn.IsBatch()
	case 1:
		return len(task.StoredIn.Tasks) == task.Job.Record.Spec.TaskCount
	default:
		return false
	}
}

// ClearBatches removes batch records, at most txnOps of them, that hold only what is left of
// jobs that are over, as known up to an epoch of the state service.
func ClearBatches(
	state *clusterstate.State,
	knownEpoch uint64,
	txnOps int,
	busy func(key string) bool,
) []decide.Decision {
	var decisions []decide.Decision
	for _, key := range clusterstate.SortedKeys(state.Batches) {
		if len(decisions) < txnOps && !busy(key) && isObsoleteBatch(state.Batches[key], knownEpoch) {
			decisions = append(decisions, removal(key))
		}
	}
	return decisions
}

// isObsoleteBatch tells whether a batch record holds only what is left of jobs that are over.
// One that lists no tasks is not known to be such, nor is one that is newer than the epoch.
func isObsoleteBatch(record *clusterstate.TaskRecord, knownEpoch uint64) bool {
	inUse := func(task *clusterstate.Task) bool { return record.Holds(task) && !task.Obsolete(knownEpoch) }
	return len(record.Tasks) > 0 && record.Revision <= knownEpoch && !slices.ContainsFunc(record.Tasks, inUse)
}
