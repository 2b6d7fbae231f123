// Package clusterstate holds what is known from the records in the state service: jobs,
// slices, tasks and machines, and what follows from them, kept up with each
// change: room taken, what teams are charged, which jobs wait. Only changes of the
// mirror and reservations write it; others read it. It has no IO and no clock.
package clusterstate

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
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

// Machine is a machine's record in memory.
type Machine struct {
	fleet.MachineRecord
	Name  string
	Owner string // under the known view
	Usage *Usage
	Since time.Time
}

// Usage is the room taken on a machine: by tasks on it, by released tasks that
// the leader has room in mind for, and by decisions under way.
type Usage struct {
	Resources   sharding.Resources
	Allocations int
}

// Reservation is a release or placement whose transaction runs: it takes room
// on its machine, counts for its zone and is charged to its team already.
type Reservation struct {
	Task      *Task
	Machine   string
	Zone      string
	Resources sharding.Resources
	QuotaKey  quota.Key // charged, if any
	Amount    quota.Amount
}

// Unreadable marks a task whose record cannot be read.
const Unreadable jobs.TaskState = "unreadable"

// State is what one controller knows from the records.
type State struct {
	Now              time.Time // of the event under way; whoever hands it in sets it
	Jobs             map[string]*Job
	Machines         map[string]*Machine
	TasksOnMachine   map[string]map[string]*Task // machine to tasks on it
	Released         map[string]*Task
	PlacedByPriority [jobs.Priorities]int // tasks on machines by rank
	Usages           map[string]*Usage
	Account          *quota.Account // what is charged: records and decisions under way
	MachineTypes     map[string]*jobs.MachineType
	Queued           map[string]*Job // live jobs with tasks that wait
	Complete         map[string]*Job // live jobs whose tasks are done
	Closed           map[string]*Job // ended jobs whose records are to be cleared
	Reservations     map[string]Reservation
	Images           fleet.Images
	Batches          map[string]*TaskRecord
	MachineClaims    fleet.Claims      // machines claimed for gangs, by job
	ClaimedBy        map[string]string // the same by machine
	// Unresponsive is by owner the machines that it does not hear.
	Unresponsive map[string]fleet.UnresponsiveSet

	// quarantinedBatches is the packs that cannot be read, with the jobs whose tasks they hold,
	// none if not even that is known.
	quarantinedBatches map[string][]string
	batchReads         uint64 // of packs so far
	// movingTasks is the tasks that packs of one transaction no longer hold: another pack of
	// the same transaction may be read after them.
	movingTasks    map[string]*Task
	movingRevision uint64

	machinesByName []*Machine // by name, nil when it must be sorted anew
	// machineChanged is told of each machine on which something changed.
	machineChanged func(machine string)
}

// New makes an empty book. happened is told of each machine on which something
// changed.
func New(tree *quota.Tree, happened func(machine string)) *State {
	return &State{
		Jobs: map[string]*Job{}, Machines: map[string]*Machine{}, TasksOnMachine: map[string]map[string]*Task{}, Released: map[string]*Task{},
		Usages: map[string]*Usage{}, Account: quota.NewAccount(tree), MachineTypes: map[string]*jobs.MachineType{},
		Queued: map[string]*Job{}, Complete: map[string]*Job{}, Closed: map[string]*Job{}, Reservations: map[string]Reservation{},
		Images: fleet.Images{}, Batches: map[string]*TaskRecord{}, Unresponsive: map[string]fleet.UnresponsiveSet{}, quarantinedBatches: map[string][]string{}, movingTasks: map[string]*Task{}, machineChanged: happened,
	}
}

// SortedKeys lists a map's keys in order: what a look decides must not hang on the order
// that a map happens to have.
func SortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// NowMs is the time of day of the event under way, in ms.
func (b *State) NowMs() int64 { return b.Now.UnixMilli() }

// QuotaLeaf is the node of the quotas' tree that a job's tasks are charged to.
func (b *State) QuotaLeaf(s *jobs.Spec) int { return b.Account.Tree().Leaf(s.QuotaKey()) }

// notifyMachineOf tells that something changed on a task's machine.
func (b *State) notifyMachineOf(t *Task) {
	if t.Machine != "" {
		b.machineChanged(t.Machine)
	}
}

func (b *State) ensureJob(jobID string) *Job {
	j := b.Jobs[jobID]
	if j == nil {
		j = &Job{ID: jobID, Ranges: map[int]*TaskRecord{}, Tasks: map[int]*Task{}, Active: map[int]*Task{}, Retrying: map[int]*Task{}}
		b.Jobs[jobID] = j
	}
	return j
}

// updateJobIndexes enters a job in the lists that passes go by.
func (b *State) updateJobIndexes(j *Job) {
	live := j.Record != nil && j.Record.State == jobs.Live
	enter := func(list map[string]*Job, in bool) {
		if in {
			list[j.ID] = j
		} else {
			delete(list, j.ID)
		}
	}
	// A gang completes together: one done means every one is.
	complete := live && j.Record.Spec.Kind != jobs.Service && (j.DoneCount >= j.Record.Spec.TaskCount || (j.Record.Spec.Kind == jobs.Gang && j.DoneCount > 0))
	enter(b.Complete, complete)
	enter(b.Queued, live && !complete && len(j.Active)+j.DoneCount < j.Record.Spec.TaskCount)
	enter(b.Closed, j.Record != nil && !live)
	if j.Record == nil && len(j.Tasks) == 0 && len(j.Ranges) == 0 {
		delete(b.Jobs, j.ID)
	}
}

// indexTask enters a task in the lists by state, takes its room and charges it.
func (b *State) indexTask(t *Task) {
	t.Resources = sharding.Resources{}
	if t.Job.Record != nil {
		t.Resources = t.Job.Record.Spec.Resources()
	}
	switch t.State {
	case jobs.Placed, jobs.Stopping:
		m := b.TasksOnMachine[t.Machine]
		if m == nil {
			m = map[string]*Task{}
			b.TasksOnMachine[t.Machine] = m
		}
		m[t.ID] = t
		t.Job.PlacedCount++
		b.countPriority(t, 1)
		t.Job.Active[t.Index] = t
		b.AllocateResources(t.Machine, t.Resources)
		b.noteImage(t)
		b.notifyMachineOf(t)
	case jobs.Released:
		b.Released[t.ID] = t
		t.Job.Active[t.Index] = t
		if t.PreferredMachine != "" && !t.PreferenceReleased {
			b.AllocateResources(t.PreferredMachine, t.Resources)
		}
	case Unreadable:
		t.Job.Active[t.Index] = t
	case jobs.Pending:
		t.Job.Retrying[t.Index] = t
	case jobs.Finished:
		t.Job.DoneCount++
	}
	b.charge(t, 1)
}

func (b *State) unindexTask(t *Task) {
	b.charge(t, -1)
	b.notifyMachineOf(t)
	delete(t.Job.Active, t.Index)
	delete(t.Job.Retrying, t.Index)
	switch t.State {
	case jobs.Placed, jobs.Stopping:
		delete(b.TasksOnMachine[t.Machine], t.ID)
		if len(b.TasksOnMachine[t.Machine]) == 0 {
			delete(b.TasksOnMachine, t.Machine)
		}
		t.Job.PlacedCount--
		b.countPriority(t, -1)
		b.FreeResources(t.Machine, t.Resources)
	case jobs.Released:
		delete(b.Released, t.ID)
		if t.PreferredMachine != "" && !t.PreferenceReleased {
			b.FreeResources(t.PreferredMachine, t.Resources)
		}
	case jobs.Finished:
		t.Job.DoneCount--
	}
}

// countPriority counts tasks on machines by the rank of their job.
func (b *State) countPriority(t *Task, k int) {
	if t.Job.Record != nil {
		b.PlacedByPriority[t.Job.Record.Spec.PriorityOrder()] += k
	}
}

// ApplyClaims takes in which machines are claimed. Of a value that cannot be read
// nothing counts: the leader writes it anew.
func (b *State) ApplyClaims(value json.RawMessage) error {
	claims, err := fleet.DecodeClaims(value)
	b.MachineClaims, b.ClaimedBy = claims, claims.ByMachine()
	return err
}

// charge books a task that is released or may be on a machine.
func (b *State) charge(t *Task, k int) {
	if t.Job.Record != nil && (t.Charged() || t.State == Unreadable) {
		b.Account.Charge(t.Job.Record.Spec.QuotaKey(), t.Job.Record.Spec.Amount(), k)
	}
}

// usageOf is a machine's usage, begun if need be.
func (b *State) usageOf(machine string) *Usage {
	u := b.Usages[machine]
	if u == nil {
		u = &Usage{}
		b.Usages[machine] = u
	}
	return u
}

func (b *State) AllocateResources(machine string, need sharding.Resources) {
	u := b.usageOf(machine)
	u.Resources = u.Resources.Add(need)
	u.Allocations++
}

// FreeResources gives room back; a machine that holds nothing starts from zero again,
// so that rounding does not add up.
func (b *State) FreeResources(machine string, need sharding.Resources) {
	u := b.usageOf(machine)
	u.Resources = u.Resources.Sub(need)
	if u.Allocations--; u.Allocations <= 0 {
		*u = Usage{}
		if b.Machines[machine] == nil {
			delete(b.Usages, machine)
		}
	}
}

// UsedResources is the room taken on a machine.
func (b *State) UsedResources(machine string) sharding.Resources {
	if u := b.Usages[machine]; u != nil {
		return u.Resources
	}
	return sharding.Resources{}
}

// Reserve books what a decision under way will take.
func (b *State) Reserve(t *Task, machine, zone string) {
	b.Unreserve(t.ID)
	spec := &t.Job.Record.Spec
	r := Reservation{Task: t, Machine: machine, Zone: zone, Resources: spec.Resources()}
	// A release under way is in no job's active tasks yet; left out here, the
	// next pass would give its share away a second time.
	if t.Job.Active[t.Index] == nil {
		r.QuotaKey, r.Amount = spec.QuotaKey(), spec.Amount()
		b.Account.Charge(r.QuotaKey, r.Amount, 1)
	}
	b.Reservations[t.ID] = r
	b.AllocateResources(machine, r.Resources)
	if t.State == jobs.Released && t.PreferredMachine != "" && !t.PreferenceReleased {
		t.PreferenceReleased = true
		b.FreeResources(t.PreferredMachine, t.Resources)
	}
}

func (b *State) Unreserve(taskID string) {
	r, ok := b.Reservations[taskID]
	if !ok {
		return
	}
	delete(b.Reservations, taskID)
	b.FreeResources(r.Machine, r.Resources)
	if t := r.Task; t.PreferenceReleased && t.Job.Tasks[t.Index] == t {
		t.PreferenceReleased = false // not placed: the leader's booking stands again
		b.AllocateResources(t.PreferredMachine, t.Resources)
	}
	if r.QuotaKey.Team != "" {
		b.Account.Charge(r.QuotaKey, r.Amount, -1)
	}
}

// MachinesByName lists the machines in order.
func (b *State) MachinesByName() []*Machine {
	if b.machinesByName == nil {
		b.machinesByName = make([]*Machine, 0, len(b.Machines))
		for _, m := range b.Machines {
			b.machinesByName = append(b.machinesByName, m)
		}
		slices.SortFunc(b.machinesByName, func(a, b *Machine) int { return strings.Compare(a.Name, b.Name) })
	}
	return b.machinesByName
}

// ApplyTaskRange takes the record of a slice in. Tasks of which it says nothing
// new stay as they are. One that can't be read stands for one task that is never
// placed, and the error says why. It returns the job's uid.
func (b *State) ApplyTaskRange(key string, value json.RawMessage) (jobID string, err error) {
	jobID, from, ok := jobs.SplitTaskID(key[len(jobs.TaskPrefix):])
	if !ok {
		return "", fmt.Errorf("slice with a strange key %s", key)
	}
	j := b.ensureJob(jobID)
	var records []jobs.Task
	if value != nil {
		if records, err = jobs.DecodeTaskRange(value); err != nil {
			// Kept as stopping on no machine: never placed again, never lost.
			records = []jobs.Task{{State: Unreadable}}
		}
	}
	j.TasksUnreadable = len(records) == 1 && records[0].State == Unreadable
	sl := j.Ranges[from]
	if sl == nil {
		sl = &TaskRecord{Key: key, FirstIndex: from, Job: j}
	}
	old := sl.Tasks
	sl.Tasks = make([]*Task, len(records))
	for i := range records {
		if i < len(old) && old[i].Same(&records[i]) {
			sl.Tasks[i] = old[i]
			continue
		}
		t := &Task{Task: records[i], ID: jobs.TaskID(jobID, from+i), Index: from + i, Job: j, Stored: sl, Since: b.Now}
		was := j.Tasks[t.Index]
		if was != nil {
			b.unindexTask(was)
		}
		j.Tasks[t.Index], sl.Tasks[i] = t, t
		b.indexTask(t)
		if was != nil && !t.OnMachine() && t.State != jobs.Finished {
			b.releaseImage(was)
		}
	}
	for i := len(records); i < len(old); i++ {
		b.unindexTask(old[i])
		delete(j.Tasks, old[i].Index)
		j.FirstUnrecorded = min(j.FirstUnrecorded, old[i].Index)
	}
	if len(records) > 0 {
		j.Ranges[from] = sl
	} else {
		delete(j.Ranges, from)
	}
	b.updateJobIndexes(j)
	return jobID, err
}

// ApplyJob takes a job's record in, nil for one that is gone. One that can't be
// read counts as gone, and the error says why.
func (b *State) ApplyJob(jobID string, value json.RawMessage) (err error) {
	j := b.ensureJob(jobID)
	var rec *jobs.Record
	if value != nil {
		if rec, err = jobs.DecodeRecord(jobID, value); err != nil {
			rec = nil
		}
	}
	// What its tasks take and are charged is known from the record only.
	for _, t := range j.Tasks {
		b.unindexTask(t)
	}
	j.Record, j.RecordUnreadable = rec, err != nil
	for _, t := range j.Tasks {
		b.indexTask(t)
		b.notifyMachineOf(t)
	}
	b.updateJobIndexes(j)
	return err
}

// ApplyMachine takes the record of a machine in, nil for one that is gone. owner is
// the controller that it belongs to. A record that can't be read is an error, and
// the machine stays as it was.
func (b *State) ApplyMachine(name, owner string, value json.RawMessage) error {
	if value == nil {
		delete(b.Machines, name)
		b.machinesByName = nil
		if u := b.Usages[name]; u != nil && u.Allocations == 0 {
			delete(b.Usages, name)
		}
		delete(b.Images, name)
		return nil
	}
	h, err := fleet.Decode(value)
	if err != nil {
		return err
	}
	m := b.Machines[name]
	if m == nil {
		m = &Machine{Name: name, Owner: owner, Usage: b.usageOf(name)}
		b.Machines[name] = m
		b.machinesByName = nil
	}
	if m.State != h.State {
		m.Since = b.Now
	}
	m.MachineRecord = *h
	return nil
}
