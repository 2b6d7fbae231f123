package clusterstate

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Job is a job in memory with its tasks' records.
type Job struct {
	ID     string
	Record *jobs.Record        // nil while only tasks of it are known
	Ranges map[int]*TaskRecord // its task ranges, by their first index
	Tasks  map[int]*Task
	// Active, Retrying and the counts index Tasks by state, so that no scheduling cycle need
	// look at those of a large job that are done.
	Active          map[int]*Task // released, on a machine, or unreadable
	Retrying        map[int]*Task // pending, with a record of earlier attempts
	DoneCount       int           // tasks finished
	PlacedCount     int           // tasks on machines
	FirstUnrecorded int           // every task below this index has a record
	// TasksUnreadable means that a task range of it cannot be read. Nobody knows which tasks
	// that one holds, so no new range is begun.
	TasksUnreadable bool
	// RecordUnreadable means that its own record cannot be read, so that it may be live.
	RecordUnreadable bool
	// AccumulatingSince is since when tasks that there is capacity for wait for more of them;
	// zero if none do.
	AccumulatingSince time.Time
}

// TaskRecord is a stored record of tasks, in one of two forms.
//
// A task range holds consecutive tasks of one job. The leader begins it when it releases the
// tasks to one shard; from then on mostly the owner of that shard writes it. Whoever writes it
// makes the record's own revision a precondition, so that writers never undo one another.
//
// A batch record holds tasks of many jobs (package taskbatch). While writes are scarce the
// leader begins one for each shard, and the shard's owner merges those that it writes. So a
// task may move from one batch record to another; it is in one only.
type TaskRecord struct {
	Key        string
	FirstIndex int  // of a task range
	Job        *Job // nil for a batch record
	Tasks      []*Task
	// Revision is the revision of a batch record that is known; not kept for a task range.
	Revision uint64
}

// IsBatch tells whether it is a batch record.
func (r *TaskRecord) IsBatch() bool { return r.Job == nil }

// Holds tells whether a task that it lists is still stored here, and not in another batch
// record.
func (r *TaskRecord) Holds(t *Task) bool { return t.StoredIn == r && t.Job.Tasks[t.Index] == t }

// Unreadable marks a task whose record cannot be read. It is never stored. Such a task is
// charged and counts as active, so that it is neither placed again nor lost.
const Unreadable jobs.TaskState = "unreadable"

// Task is a task's record in memory.
type Task struct {
	jobs.Task
	ID               string
	Index            int // among its job's tasks, from 0
	Job              *Job
	StoredIn         *TaskRecord        // nil for a task that has never been released
	Resources        sharding.Resources // as the indexes count them; zero while the job's record is unknown
	StateSince       time.Time          // when this state was first seen
	ObservedRunning  bool               // by a heartbeat of its machine
	PlacementTriedAt time.Time          // when its shard last looked for a machine in vain
	// PreferenceDropped means that the resources reserved on the preferred machine are free
	// again, because the task's placement is under way and has reserved its own.
	PreferenceDropped bool

	batchRead uint64 // State.batchReads when a batch record last listed it
}

// holdsPreference tells whether resources on its preferred machine are reserved for it.
func (t *Task) holdsPreference() bool {
	return t.State == jobs.Assigned && t.PreferredMachine != "" && !t.PreferenceDropped
}

// Machine is a machine's record in memory.
type Machine struct {
	fleet.MachineRecord
	Name       string
	Owner      string // the controller of its shard, under the known view
	Usage      *Usage
	StateSince time.Time // when this state was first seen
}
