// Package book holds what is known from the records in the state service: jobs,
// slices, tasks and machines, and what follows from them, kept up with each
// change: room taken, what teams are charged, which jobs wait. Only changes of the
// mirror and reservations write it; others read it. It has no IO and no clock.
package book

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/parts"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// Job is a job in memory with its tasks' records.
type Job struct {
	UID    string
	Rec    *jobs.Record // nil while only tasks of it are known
	Slices map[int]*Slice
	Tasks  map[int]*Task
	// The same tasks by state, so that no pass need look at those of a large
	// job that are done.
	Active map[int]*Task // released, on a machine, or unreadable
	Again  map[int]*Task // pending, with a record of earlier tries
	Done   int           // tasks finished
	On     int           // tasks on machines
	Free   int           // below this number every task has a record
	// Unreadable: a slice of it cannot be read. Nobody knows which tasks that
	// slice holds, so no new slice is begun.
	Unreadable bool
	// Doubted: its own record cannot be read, so it may be live.
	Doubted bool
	// Gather is since when tasks that there is room for wait for more of them.
	Gather time.Time
}

// Slice is a record of consecutive tasks of one job. The leader begins it when
// it releases the tasks to one part; from then on mostly the owner of that
// part's machines writes it. Whoever writes it makes the record's own stamp a
// condition, so that writers never undo one another.
//
// A pack is a slice of many jobs' tasks, in no order (package records). While changes
// are scarce the leader begins one for each part, and the part's owner unites those
// that it writes. So a task may move from one pack to another; it is in one only.
type Slice struct {
	Key   string
	From  int
	Job   *Job // nil for a pack
	Tasks []*Task
	// Stamp is the version of a pack that is known.
	Stamp uint64
}

// Packed tells whether it is a pack.
func (sl *Slice) Packed() bool { return sl.Job == nil }

// Holds tells whether a task that it lists is still here, and not in another pack.
func (sl *Slice) Holds(t *Task) bool { return t.Slice == sl && t.Job.Tasks[t.N] == t }

// Task is a task's record in memory.
type Task struct {
	jobs.Task
	Piece string
	N     int
	Job   *Job
	Slice *Slice // nil for a task that has never been released
	Need  parts.Room
	Since time.Time // when this state was first seen
	Ran   bool      // seen running
	Tried time.Time // when its part last looked for a machine in vain
	// Unwanted: the room that the leader had in mind is given up, because the
	// task's placement is under way and has booked its own.
	Unwanted bool

	seen uint64 // the last reading of its pack that it was in
}

// Machine is a machine's record in memory.
type Machine struct {
	fleet.Host
	Name  string
	Owner string // under the known view
	Use   *Usage
	Since time.Time
}

// Usage is the room taken on a machine: by tasks on it, by released tasks that
// the leader has room in mind for, and by decisions under way.
type Usage struct {
	Room  parts.Room
	Count int
}

// Reservation is a release or placement whose transaction runs: it takes room
// on its machine, counts for its zone and is charged to its team already.
type Reservation struct {
	Task   *Task
	Host   string
	Site   string
	Need   parts.Room
	Key    quota.Key // charged, if any
	Amount quota.Amount
}

// Unreadable marks a task whose record cannot be read.
const Unreadable jobs.TaskState = "unreadable"

// Book is what one controller knows from the records.
type Book struct {
	Now      time.Time // of the event under way; whoever hands it in sets it
	Jobs     map[string]*Job
	Machines map[string]*Machine
	OnHost   map[string]map[string]*Task // machine to tasks on it
	Released map[string]*Task
	OnRank   [jobs.Ranks]int // tasks on machines by rank
	Usages   map[string]*Usage
	Account  *quota.Account // what is charged: records and decisions under way
	Builds   map[string]*jobs.Build
	Queued   map[string]*Job // live jobs with tasks that wait
	Complete map[string]*Job // live jobs whose tasks are done
	Closed   map[string]*Job // ended jobs whose records are to be cleared
	Reserved map[string]Reservation
	Images   fleet.Images
	Packs    map[string]*Slice
	Claims   fleet.Claims      // machines claimed for gangs, by job
	ClaimOf  map[string]string // the same by machine
	// Quiet is by owner the machines that it does not hear.
	Quiet map[string]fleet.Quiet

	// aside is the packs that cannot be read, with the jobs whose tasks they hold,
	// none if not even that is known.
	aside   map[string][]string
	reading uint64 // of packs so far
	// left is the tasks that packs of one transaction no longer hold: another pack of
	// the same transaction may be read after them.
	left   map[string]*Task
	leftAt uint64

	order []*Machine // by name, nil when it must be sorted anew
	// happened is told of each machine on which something changed.
	happened func(host string)
}

// New makes an empty book. happened is told of each machine on which something
// changed.
func New(tree *quota.Tree, happened func(host string)) *Book {
	return &Book{
		Jobs: map[string]*Job{}, Machines: map[string]*Machine{}, OnHost: map[string]map[string]*Task{}, Released: map[string]*Task{},
		Usages: map[string]*Usage{}, Account: quota.NewAccount(tree), Builds: map[string]*jobs.Build{},
		Queued: map[string]*Job{}, Complete: map[string]*Job{}, Closed: map[string]*Job{}, Reserved: map[string]Reservation{},
		Images: fleet.Images{}, Packs: map[string]*Slice{}, Quiet: map[string]fleet.Quiet{}, aside: map[string][]string{}, left: map[string]*Task{}, happened: happened,
	}
}

// Sorted lists a map's keys in order: what a look decides must not hang on the order
// that a map happens to have.
func Sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Ms is the time of day of the event under way, in ms.
func (b *Book) Ms() int64 { return b.Now.UnixMilli() }

// Leaf is the node of the quotas' tree that a job's tasks are charged to.
func (b *Book) Leaf(s *jobs.Spec) int { return b.Account.Tree().Leaf(s.Key()) }

// touch tells that something changed on a task's machine.
func (b *Book) touch(t *Task) {
	if t.Host != "" {
		b.happened(t.Host)
	}
}

func (b *Book) jobOf(uid string) *Job {
	j := b.Jobs[uid]
	if j == nil {
		j = &Job{UID: uid, Slices: map[int]*Slice{}, Tasks: map[int]*Task{}, Active: map[int]*Task{}, Again: map[int]*Task{}}
		b.Jobs[uid] = j
	}
	return j
}

// refile enters a job in the lists that passes go by.
func (b *Book) refile(j *Job) {
	live := j.Rec != nil && j.Rec.State == jobs.Live
	enter := func(list map[string]*Job, in bool) {
		if in {
			list[j.UID] = j
		} else {
			delete(list, j.UID)
		}
	}
	// A gang completes together: one done means every one is.
	complete := live && j.Rec.Spec.Shape != jobs.Standing && (j.Done >= j.Rec.Spec.Pieces || (j.Rec.Spec.Shape == jobs.Ensemble && j.Done > 0))
	enter(b.Complete, complete)
	enter(b.Queued, live && !complete && len(j.Active)+j.Done < j.Rec.Spec.Pieces)
	enter(b.Closed, j.Rec != nil && !live)
	if j.Rec == nil && len(j.Tasks) == 0 && len(j.Slices) == 0 {
		delete(b.Jobs, j.UID)
	}
}

// index enters a task in the lists by state, takes its room and charges it.
func (b *Book) index(t *Task) {
	t.Need = parts.Room{}
	if t.Job.Rec != nil {
		t.Need = t.Job.Rec.Spec.Need()
	}
	switch t.State {
	case jobs.Placed, jobs.Stopping:
		m := b.OnHost[t.Host]
		if m == nil {
			m = map[string]*Task{}
			b.OnHost[t.Host] = m
		}
		m[t.Piece] = t
		t.Job.On++
		b.countRank(t, 1)
		t.Job.Active[t.N] = t
		b.Occupy(t.Host, t.Need)
		b.sawImage(t)
		b.touch(t)
	case jobs.Released:
		b.Released[t.Piece] = t
		t.Job.Active[t.N] = t
		if t.Want != "" && !t.Unwanted {
			b.Occupy(t.Want, t.Need)
		}
	case Unreadable:
		t.Job.Active[t.N] = t
	case jobs.Pending:
		t.Job.Again[t.N] = t
	case jobs.Finished:
		t.Job.Done++
	}
	b.charge(t, 1)
}

func (b *Book) unindex(t *Task) {
	b.charge(t, -1)
	b.touch(t)
	delete(t.Job.Active, t.N)
	delete(t.Job.Again, t.N)
	switch t.State {
	case jobs.Placed, jobs.Stopping:
		delete(b.OnHost[t.Host], t.Piece)
		if len(b.OnHost[t.Host]) == 0 {
			delete(b.OnHost, t.Host)
		}
		t.Job.On--
		b.countRank(t, -1)
		b.Vacate(t.Host, t.Need)
	case jobs.Released:
		delete(b.Released, t.Piece)
		if t.Want != "" && !t.Unwanted {
			b.Vacate(t.Want, t.Need)
		}
	case jobs.Finished:
		t.Job.Done--
	}
}

// countRank counts tasks on machines by the rank of their job.
func (b *Book) countRank(t *Task, k int) {
	if t.Job.Rec != nil {
		b.OnRank[t.Job.Rec.Spec.RankOrder()] += k
	}
}

// ClaimsChanged takes in which machines are claimed. Of a value that cannot be read
// nothing counts: the leader writes it anew.
func (b *Book) ClaimsChanged(value json.RawMessage) error {
	claims, err := fleet.DecodeClaims(value)
	b.Claims, b.ClaimOf = claims, claims.ByHost()
	return err
}

// charge books a task that is released or may be on a machine.
func (b *Book) charge(t *Task, k int) {
	if t.Job.Rec != nil && (t.Charged() || t.State == Unreadable) {
		b.Account.Charge(t.Job.Rec.Spec.Key(), t.Job.Rec.Spec.Amount(), k)
	}
}

// usageOf is a machine's usage, begun if need be.
func (b *Book) usageOf(host string) *Usage {
	u := b.Usages[host]
	if u == nil {
		u = &Usage{}
		b.Usages[host] = u
	}
	return u
}

func (b *Book) Occupy(host string, need parts.Room) {
	u := b.usageOf(host)
	u.Room = u.Room.Add(need)
	u.Count++
}

// Vacate gives room back; a machine that holds nothing starts from zero again,
// so that rounding does not add up.
func (b *Book) Vacate(host string, need parts.Room) {
	u := b.usageOf(host)
	u.Room = u.Room.Sub(need)
	if u.Count--; u.Count <= 0 {
		*u = Usage{}
		if b.Machines[host] == nil {
			delete(b.Usages, host)
		}
	}
}

// Used is the room taken on a machine.
func (b *Book) Used(host string) parts.Room {
	if u := b.Usages[host]; u != nil {
		return u.Room
	}
	return parts.Room{}
}

// Reserve books what a decision under way will take.
func (b *Book) Reserve(t *Task, host, site string) {
	b.Unreserve(t.Piece)
	spec := &t.Job.Rec.Spec
	r := Reservation{Task: t, Host: host, Site: site, Need: spec.Need()}
	// A release under way is in no job's active tasks yet; left out here, the
	// next pass would give its share away a second time.
	if t.Job.Active[t.N] == nil {
		r.Key, r.Amount = spec.Key(), spec.Amount()
		b.Account.Charge(r.Key, r.Amount, 1)
	}
	b.Reserved[t.Piece] = r
	b.Occupy(host, r.Need)
	if t.State == jobs.Released && t.Want != "" && !t.Unwanted {
		t.Unwanted = true
		b.Vacate(t.Want, t.Need)
	}
}

func (b *Book) Unreserve(piece string) {
	r, ok := b.Reserved[piece]
	if !ok {
		return
	}
	delete(b.Reserved, piece)
	b.Vacate(r.Host, r.Need)
	if t := r.Task; t.Unwanted && t.Job.Tasks[t.N] == t {
		t.Unwanted = false // not placed: the leader's booking stands again
		b.Occupy(t.Want, t.Need)
	}
	if r.Key.Team != "" {
		b.Account.Charge(r.Key, r.Amount, -1)
	}
}

// ByName lists the machines in order.
func (b *Book) ByName() []*Machine {
	if b.order == nil {
		b.order = make([]*Machine, 0, len(b.Machines))
		for _, m := range b.Machines {
			b.order = append(b.order, m)
		}
		slices.SortFunc(b.order, func(a, b *Machine) int { return strings.Compare(a.Name, b.Name) })
	}
	return b.order
}

// SliceChanged takes the record of a slice in. Tasks of which it says nothing
// new stay as they are. One that can't be read stands for one task that is never
// placed, and the error says why. It returns the job's uid.
func (b *Book) SliceChanged(key string, value json.RawMessage) (uid string, err error) {
	uid, from, ok := jobs.SplitPiece(key[len(jobs.TaskPrefix):])
	if !ok {
		return "", fmt.Errorf("slice with a strange key %s", key)
	}
	j := b.jobOf(uid)
	var records []jobs.Task
	if value != nil {
		if records, err = jobs.DecodeSlice(value); err != nil {
			// Kept as stopping on no machine: never placed again, never lost.
			records = []jobs.Task{{State: Unreadable}}
		}
	}
	j.Unreadable = len(records) == 1 && records[0].State == Unreadable
	sl := j.Slices[from]
	if sl == nil {
		sl = &Slice{Key: key, From: from, Job: j}
	}
	old := sl.Tasks
	sl.Tasks = make([]*Task, len(records))
	for i := range records {
		if i < len(old) && old[i].Same(&records[i]) {
			sl.Tasks[i] = old[i]
			continue
		}
		t := &Task{Task: records[i], Piece: jobs.Piece(uid, from+i), N: from + i, Job: j, Slice: sl, Since: b.Now}
		was := j.Tasks[t.N]
		if was != nil {
			b.unindex(was)
		}
		j.Tasks[t.N], sl.Tasks[i] = t, t
		b.index(t)
		if was != nil && !t.On() && t.State != jobs.Finished {
			b.leftImage(was)
		}
	}
	for i := len(records); i < len(old); i++ {
		b.unindex(old[i])
		delete(j.Tasks, old[i].N)
		j.Free = min(j.Free, old[i].N)
	}
	if len(records) > 0 {
		j.Slices[from] = sl
	} else {
		delete(j.Slices, from)
	}
	b.refile(j)
	return uid, err
}

// JobChanged takes a job's record in, nil for one that is gone. One that can't be
// read counts as gone, and the error says why.
func (b *Book) JobChanged(uid string, value json.RawMessage) (err error) {
	j := b.jobOf(uid)
	var rec *jobs.Record
	if value != nil {
		if rec, err = jobs.DecodeRecord(uid, value); err != nil {
			rec = nil
		}
	}
	// What its tasks take and are charged is known from the record only.
	for _, t := range j.Tasks {
		b.unindex(t)
	}
	j.Rec, j.Doubted = rec, err != nil
	for _, t := range j.Tasks {
		b.index(t)
		b.touch(t)
	}
	b.refile(j)
	return err
}

// HostChanged takes the record of a machine in, nil for one that is gone. owner is
// the controller that it belongs to. A record that can't be read is an error, and
// the machine stays as it was.
func (b *Book) HostChanged(name, owner string, value json.RawMessage) error {
	if value == nil {
		delete(b.Machines, name)
		b.order = nil
		if u := b.Usages[name]; u != nil && u.Count == 0 {
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
		m = &Machine{Name: name, Owner: owner, Use: b.usageOf(name)}
		b.Machines[name] = m
		b.order = nil
	}
	if m.State != h.State {
		m.Since = b.Now
	}
	m.Host = *h
	return nil
}
