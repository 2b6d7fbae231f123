// Package ending is the records of a job that ends: final states that are kept for
// ever, and live ones that are cleared.
package ending

import (
	"maps"
	"slices"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
)

// Writes is the records of a job that ends, its live one among them: its tasks
// are yet to act on it.
func Writes(j *book.Job, state jobs.JobState, nowMs int64) []store.Write {
	rec := *j.Rec
	rec.State, rec.EndMs, rec.Done = state, nowMs, j.Done
	if state == jobs.Done {
		rec.Done = rec.Spec.Pieces // of a gang, one done means all are
	}
	return []store.Write{decide.Put(jobs.JobPrefix+j.UID, rec), decide.Put(jobs.FinalPrefix+j.UID, jobs.Final{State: state, Done: rec.Done})}
}

// Whole is the urgent decision that writes a job's final state and removes
// its live records in one, when none of its tasks may be on a machine any more and
// one transaction holds it all.
func Whole(j *book.Job, state jobs.JobState, txnOps int, busy func(string) bool) (decide.Decision, bool) {
	if len(j.Active) > 0 || len(j.Slices)+2 > txnOps {
		return decide.Decision{}, false
	}
	for _, sl := range j.Slices {
		if busy(sl.Key) {
			return decide.Decision{}, false
		}
	}
	return final(j, state), true
}

// final is the decision that writes a job's final state in place of its
// live records. Urgent: users wait for it, the records do not change any more,
// and as a large decision it would never find the budget that small ones leave.
func final(j *book.Job, state jobs.JobState) decide.Decision {
	d := decide.Decision{Urgent: true, Writes: []store.Write{
		decide.Put(jobs.FinalPrefix+j.UID, jobs.Final{State: state, Done: j.Rec.Spec.Pieces}),
		decide.Remove(jobs.JobPrefix + j.UID),
	}}
	for _, from := range slices.Sorted(maps.Keys(j.Slices)) {
		d.Writes = append(d.Writes, decide.Remove(j.Slices[from].Key))
	}
	d.Ends = true
	return d
}

// Clear removes the records of a closed job: those of slices without a task on
// a machine, and the job's own once no slice is left. What packs still say of its
// tasks is left out when they are next written.
func Clear(j *book.Job, txnOps int, busy func(string) bool) []decide.Decision {
	if len(j.Slices) == 0 {
		for _, t := range j.Active {
			if t.On() || t.State == book.Unreadable {
				return nil
			}
		}
		return []decide.Decision{{Writes: []store.Write{decide.Remove(jobs.JobPrefix + j.UID)}}}
	}
	var ds []decide.Decision
	for _, from := range slices.Sorted(maps.Keys(j.Slices)) {
		sl := j.Slices[from]
		rest := true
		for _, t := range sl.Tasks {
			rest = rest && !t.On() && t.State != book.Unreadable
		}
		if rest && !busy(sl.Key) && len(ds) < txnOps {
			ds = append(ds, decide.Decision{Writes: []store.Write{decide.Remove(sl.Key)}})
		}
	}
	return ds
}

// WithLast is the decision that ends a sweep with its last task, when one slice
// holds all of the job, or packs do. For a job of one task that is four changes
// instead of five, and the leader's turn is not waited for.
func WithLast(t *book.Task) (decide.Decision, bool) {
	j, sl := t.Job, t.Slice
	whole := len(j.Slices) == 1 && len(sl.Tasks) == j.Rec.Spec.Pieces || len(j.Slices) == 0 && sl.Packed()
	if j.Rec.Spec.Shape != jobs.Sweep || !whole || j.Done != j.Rec.Spec.Pieces-1 {
		return decide.Decision{}, false
	}
	if _, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Complete}); !ok {
		return decide.Decision{}, false
	}
	state, ok := jobs.NextJob(j.Rec.State, jobs.TasksAllDone)
	if !ok {
		return decide.Decision{}, false
	}
	d := final(j, state)
	if sl.Packed() {
		// The pack is not written for it: its record of the task outlives the job's
		// by a moment and goes with the next ends. That nobody has given the task
		// up and started it elsewhere hangs on its machine's record, which changes
		// before that.
		d.Seen = append(d.Seen, fleet.HostPrefix+t.Host)
	}
	return d, true
}

// Packs removes packs that hold only what is left of jobs that are over, as known
// up to an epoch.
func Packs(b *book.Book, known uint64, txnOps int, busy func(string) bool) []decide.Decision {
	var ds []decide.Decision
	for _, key := range book.Sorted(b.Packs) {
		sl := b.Packs[key]
		inUse := func(t *book.Task) bool { return sl.Holds(t) && !t.Over(known) }
		if len(ds) < txnOps && !busy(key) && len(sl.Tasks) > 0 && !slices.ContainsFunc(sl.Tasks, inUse) && sl.Stamp <= known {
			ds = append(ds, decide.Decision{Writes: []store.Write{decide.Remove(key)}})
		}
	}
	return ds
}
