// Package completion builds the writes that end a job: its final state, which the store keeps
// permanently, and the removal of its live records. It does no IO and reads no clock.
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

// FinalWrites returns the writes for a job that ends in the given state at nowMs (Unix time in
// milliseconds). They update the job's live record instead of removing it, because its tasks have
// yet to act on the new state.
func FinalWrites(job *clusterstate.Job, state jobs.JobState, nowMs int64) []store.Write {
	record := *job.Record
	record.State, record.EndMs, record.DoneCount = state, nowMs, job.DoneCount
	if state == jobs.Done {
		record.DoneCount = record.Spec.TaskCount // one done task of a gang means that all are done
	}
	return []store.Write{
		decide.Put(jobs.JobPrefix+job.ID, record),
		decide.Put(jobs.FinalPrefix+job.ID, jobs.StoredState{State: state, DoneCount: record.DoneCount}),
	}
}

// jobRecords is the number of records that ending a job writes besides its task ranges: the final
// record and the live one.
const jobRecords = 2

// InOneTransaction returns the urgent decision that writes a job's final state and removes its
// live records. ok is true only if no task of the job is active, one transaction of txnOps writes
// suffices, and no transaction on any of the task ranges is in flight.
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

// finalDecision returns the decision that replaces a job's live records with its final state. It is
// urgent because users wait for it, because the records no longer change, and because smaller
// decisions would never leave enough of the write budget for one this large.
func finalDecision(job *clusterstate.Job, state jobs.JobState) decide.Decision {
	final := jobs.StoredState{State: state, DoneCount: job.Record.Spec.TaskCount}
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

// ClearRecords returns the decisions that remove the records of a closed job, at most txnOps of
// them: task ranges without a task on a machine, and the job's own record once no range is left.
// Its entries in batch records are dropped when those are next written.
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

// mayBeOnMachine reports whether a task is on a machine, or may be because its record is
// unreadable.
func mayBeOnMachine(task *clusterstate.Task) bool {
	return task.OnMachine() || task.State == clusterstate.Unreadable
}

// removal returns the decision that removes one record.
func removal(key string) decide.Decision {
	return decide.Decision{Writes: []store.Write{decide.Remove(key)}}
}

// WithLastTask returns the decision that ends a job array together with its last task. ok is true
// only if all of the job's tasks are in a single task range or in batch records. For a job of one
// task this takes four writes instead of five, and the job does not wait for the leader to end it.
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
		// The batch record is not rewritten for this: the task's entry briefly outlives the
		// job's record and is dropped when later ends are written. The precondition on the
		// machine's record ensures that no controller has given the task up and restarted it
		// elsewhere, since a controller changes that record first.
		decision.ReadSet = append(decision.ReadSet, fleet.MachinePrefix+task.Machine)
	}
	return decision, true
}

// inOneRecord reports whether one task range, or batch records alone, hold all tasks of a task's
// job.
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

// ClearBatches returns the decisions that remove obsolete batch records, at most txnOps of them.
// knownEpoch is the store's epoch up to which state holds all changes; guard tells which records may be
// removed.
func ClearBatches(
	state *clusterstate.State,
	knownEpoch uint64,
	guard decide.ReplayGuard,
	txnOps int,
	busy func(key string) bool,
) []decide.Decision {
	var decisions []decide.Decision
	for _, key := range clusterstate.SortedKeys(state.Batches) {
		record := state.Batches[key]
		if len(decisions) < txnOps && !busy(key) && guard.MayRemove(record) && isObsoleteBatch(record, knownEpoch) {
			decisions = append(decisions, removal(key))
		}
	}
	return decisions
}

// isObsoleteBatch reports whether a batch record is known to hold only tasks of jobs that have
// ended. That is not known of a record that lists no tasks or is newer than the epoch.
func isObsoleteBatch(record *clusterstate.TaskRecord, knownEpoch uint64) bool {
	inUse := func(task *clusterstate.Task) bool { return record.Holds(task) && !task.Obsolete(knownEpoch) }
	return len(record.Tasks) > 0 && record.Revision <= knownEpoch && !slices.ContainsFunc(record.Tasks, inUse)
}
