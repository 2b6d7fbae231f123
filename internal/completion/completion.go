// Package completion is the records of a job that ends: final states that are kept for
// ever, and live ones that are cleared.
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

// FinalWrites is the records of a job that ends, its live one among them: its tasks
// are yet to act on it.
func FinalWrites(j *clusterstate.Job, state jobs.JobState, nowMs int64) []store.Write {
	rec := *j.Record
	rec.State, rec.EndMs, rec.DoneCount = state, nowMs, j.DoneCount
	if state == jobs.Done {
		rec.DoneCount = rec.Spec.TaskCount // of a gang, one done means all are
	}
	return []store.Write{decide.Put(jobs.JobPrefix+j.ID, rec), decide.Put(jobs.FinalPrefix+j.ID, jobs.Final{State: state, DoneCount: rec.DoneCount})}
}

// InOneTransaction is the urgent decision that writes a job's final state and removes
// its live records in one, when none of its tasks may be on a machine any more and
// one transaction holds it all.
func InOneTransaction(j *clusterstate.Job, state jobs.JobState, txnOps int, busy func(string) bool) (decide.Decision, bool) {
	if len(j.Active) > 0 || len(j.Ranges)+2 > txnOps {
		return decide.Decision{}, false
	}
	for _, sl := range j.Ranges {
		if busy(sl.Key) {
			return decide.Decision{}, false
		}
	}
	return final(j, state), true
}

// final is the decision that writes a job's final state in place of its
// live records. Urgent: users wait for it, the records do not change any more,
// and as a large decision it would never find the budget that small ones leave.
func final(j *clusterstate.Job, state jobs.JobState) decide.Decision {
	d := decide.Decision{Urgent: true, Writes: []store.Write{
		decide.Put(jobs.FinalPrefix+j.ID, jobs.Final{State: state, DoneCount: j.Record.Spec.TaskCount}),
		decide.Remove(jobs.JobPrefix + j.ID),
	}}
	for _, from := range slices.Sorted(maps.Keys(j.Ranges)) {
		d.Writes = append(d.Writes, decide.Remove(j.Ranges[from].Key))
	}
	d.CompletesJob = true
	return d
}

// ClearRecords removes the records of a closed job: those of slices without a task on
// a machine, and the job's own once no slice is left. What packs still say of its
// tasks is left out when they are next written.
func ClearRecords(j *clusterstate.Job, txnOps int, busy func(string) bool) []decide.Decision {
	if len(j.Ranges) == 0 {
		for _, t := range j.Active {
			if t.OnMachine() || t.State == clusterstate.Unreadable {
				return nil
			}
		}
		return []decide.Decision{{Writes: []store.Write{decide.Remove(jobs.JobPrefix + j.ID)}}}
	}
	var ds []decide.Decision
	for _, from := range slices.Sorted(maps.Keys(j.Ranges)) {
		sl := j.Ranges[from]
		rest := true
		for _, t := range sl.Tasks {
			rest = rest && !t.OnMachine() && t.State != clusterstate.Unreadable
		}
		if rest && !busy(sl.Key) && len(ds) < txnOps {
			ds = append(ds, decide.Decision{Writes: []store.Write{decide.Remove(sl.Key)}})
		}
	}
	return ds
}

// WithLastTask is the decision that ends a sweep with its last task, when one slice
// holds all of the job, or packs do. For a job of one task that is four changes
// instead of five, and the leader's turn is not waited for.
func WithLastTask(t *clusterstate.Task) (decide.Decision, bool) {
	j, sl := t.Job, t.Stored
	whole := len(j.Ranges) == 1 && len(sl.Tasks) == j.Record.Spec.TaskCount || len(j.Ranges) == 0 && sl.IsBatch()
	if j.Record.Spec.Kind != jobs.JobArray || !whole || j.DoneCount != j.Record.Spec.TaskCount-1 {
		return decide.Decision{}, false
	}
	if _, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Complete}); !ok {
		return decide.Decision{}, false
	}
	state, ok := jobs.NextJob(j.Record.State, jobs.TasksAllDone)
	if !ok {
		return decide.Decision{}, false
	}
	d := final(j, state)
	if sl.IsBatch() {
		// The pack is not written for it: its record of the task outlives the job's
		// by a moment and goes with the next ends. That nobody has given the task
		// up and started it elsewhere hangs on its machine's record, which changes
		// before that.
		d.ReadSet = append(d.ReadSet, fleet.MachinePrefix+t.Machine)
	}
	return d, true
}

// ClearBatches removes packs that hold only what is left of jobs that are over, as known
// up to an epoch.
func ClearBatches(b *clusterstate.State, known uint64, txnOps int, busy func(string) bool) []decide.Decision {
	var ds []decide.Decision
	for _, key := range clusterstate.SortedKeys(b.Batches) {
		sl := b.Batches[key]
		inUse := func(t *clusterstate.Task) bool { return sl.Holds(t) && !t.Obsolete(known) }
		if len(ds) < txnOps && !busy(key) && len(sl.Tasks) > 0 && !slices.ContainsFunc(sl.Tasks, inUse) && sl.Revision <= known {
			ds = append(ds, decide.Decision{Writes: []store.Write{decide.Remove(key)}})
		}
	}
	return ds
}
