// Package clusterstate holds what is known from the records in the state service: jobs,
// slices, tasks and machines, and what follows from them, kept up with each
// change: room taken, what teams are charged, which jobs wait. Only changes of the
// mirror and reservations write it; others read it. It has no IO and no clock.
package clusterstate

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
)

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
