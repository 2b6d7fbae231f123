package clusterstate

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Job is a job with its tasks.
type Job struct {
	ID     string
	Record *jobs.Record        // nil if the record is unknown or unreadable
	Ranges map[int]*TaskRecord // the job's task ranges, by their first index
	Tasks  map[int]*Task
	// Active, Retrying and the counts index Tasks by state, so that a scheduling cycle need not
	// visit the finished tasks of a large job.
	Active          map[int]*Task // released, on a machine, or unreadable
	Retrying        map[int]*Task // pending, with a record of earlier attempts
	DoneCount       int           // number of finished tasks
	PlacedCount     int           // number of tasks on machines
	FirstUnrecorded int           // every task below this index has a record
	// TasksUnreadable is set if a task range of the job cannot be read. It is unknown which
	// tasks that range holds, so no new range is created.
	TasksUnreadable bool
	// RecordUnreadable is set if the job's record cannot be read. The job may be live.
	RecordUnreadable bool
	// AccumulatingSince is the time since which tasks that fit into the available capacity have
	// been waiting for more tasks to be released with them; zero if none are.
	AccumulatingSince time.Time
}

// TaskRecord is a stored record of tasks, in one of two forms.
//
// A task range holds consecutive tasks of one job. The leader creates it when it releases the
// tasks to one shard; from then on mostly the owner of that shard writes it. Every write is
// conditional on the revision of the record, so that writers never undo each other's changes.
//
// A batch record holds tasks of many jobs (package taskbatch). While the write budget is short,
// the leader creates one for each shard, and the shard's owner merges those that it writes. A
// task may therefore move from one batch record to another, but it is in only one at a time.
type TaskRecord struct {
	Key        string
	FirstIndex int  // index of the first task of a task range
	Job        *Job // nil for a batch record
	Tasks      []*Task
	// Revision is the last known revision of a batch record. It is not set for a task range.
	Revision uint64
	// CreatedRevision is a revision at or after the one at which a batch record was created.
	CreatedRevision uint64
}

// IsBatch reports whether the record is a batch record.
func (r *TaskRecord) IsBatch() bool { return r.Job == nil }

// Holds reports whether a task that the record lists is still stored in it, and not in another
// batch record.
func (r *TaskRecord) Holds(t *Task) bool { return t.StoredIn == r && t.Job.Tasks[t.Index] == t }

// Unreadable is the state of a task whose record cannot be read. It is never stored. Such a task
// is charged and counts as active, so that it is neither placed again nor lost.
const Unreadable jobs.TaskState = "unreadable"

// Task is a task's record with the state derived from it.
type Task struct {
	jobs.Task
	ID               string
	Index            int // zero-based index among the job's tasks
	Job              *Job
	StoredIn         *TaskRecord        // nil for a task that has never been released
	Resources        sharding.Resources // as counted in the indexes; zero while the job's record is unknown
	StateSince       time.Time          // when this state was first observed
	PlacedSince      time.Time          // when this attempt was first observed on its machine; zero if it is on none
	ObservedRunning  bool               // a heartbeat of the machine reported the task as running
	PlacementTriedAt time.Time          // when this controller last found no machine for it
	// PreferenceDropped is set if the resources reserved on the preferred machine have been
	// freed because the task is being placed and the placement has a reservation of its own.
	PreferenceDropped bool

	image           string // that it was last recorded to use on its machine
	batchGeneration uint64 // State.batchGeneration when a batch record last listed the task
}

// holdsPreference reports whether resources on its preferred machine are reserved for the task.
func (t *Task) holdsPreference() bool {
	return t.State == jobs.Assigned && t.PreferredMachine != "" && !t.PreferenceDropped
}

// Machine is a machine's record with the state derived from it.
type Machine struct {
	fleet.MachineRecord
	Name       string
	Owner      string // the controller of the machine's shard in the last known view
	Usage      *Usage
	StateSince time.Time // when this state was first observed
}
