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
	Record *jobs.Record // nil while only tasks of it are known
	Ranges map[int]*TaskRecord
	Tasks  map[int]*Task
	// The same tasks by state, so that no pass need look at those of a large
	// job that are done.
	Active          map[int]*Task // released, on a machine, or unreadable
	Retrying        map[int]*Task // pending, with a record of earlier tries
	DoneCount       int           // tasks finished
	PlacedCount     int           // tasks on machines
	FirstUnrecorded int           // below this number every task has a record
	// TasksUnreadable: a slice of it cannot be read. Nobody knows which tasks that
	// slice holds, so no new slice is begun.
	TasksUnreadable bool
	// RecordUnreadable: its own record cannot be read, so it may be live.
	RecordUnreadable bool
	// GatheringSince is since when tasks that there is room for wait for more of them.
	GatheringSince time.Time
}

// TaskRecord is a record of consecutive tasks of one job. The leader begins it when
// it releases the tasks to one part; from then on mostly the owner of that
// part's machines writes it. Whoever writes it makes the record's own stamp a
// condition, so that writers never undo one another.
//
// A pack is a slice of many jobs' tasks, in no order (package taskbatch). While changes
// are scarce the leader begins one for each part, and the part's owner unites those
// that it writes. So a task may move from one pack to another; it is in one only.
type TaskRecord struct {
	Key        string
	FirstIndex int
	Job        *Job // nil for a pack
	Tasks      []*Task
	// Revision is the version of a pack that is known.
	Revision uint64
}

// IsBatch tells whether it is a pack.
func (sl *TaskRecord) IsBatch() bool { return sl.Job == nil }

// Holds tells whether a task that it lists is still here, and not in another pack.
func (sl *TaskRecord) Holds(t *Task) bool { return t.Stored == sl && t.Job.Tasks[t.Index] == t }

// Task is a task's record in memory.
type Task struct {
	jobs.Task
	ID               string
	Index            int
	Job              *Job
	Stored           *TaskRecord // nil for a task that has never been released
	Resources        sharding.Resources
	Since            time.Time // when this state was first seen
	ObservedRunning  bool      // seen running
	PlacementTriedAt time.Time // when its part last looked for a machine in vain
	// PreferenceReleased: the room that the leader had in mind is given up, because the
	// task's placement is under way and has booked its own.
	PreferenceReleased bool

	batchRead uint64 // the last reading of its pack that it was in
}

// Unreadable marks a task whose record cannot be read.
const Unreadable jobs.TaskState = "unreadable"

// Machine is a machine's record in memory.
type Machine struct {
	fleet.MachineRecord
	Name  string
	Owner string // under the known view
	Usage *Usage
	Since time.Time
}
