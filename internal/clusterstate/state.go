// Package clusterstate holds what one controller knows from the records in the state service:
// jobs, their tasks and machines, and what follows from them, kept up with each change:
// resources taken, what teams are charged, which jobs wait. Only changes of the mirror and
// reservations write it; others read it. It has no IO and no clock, and belongs to the
// controller's event loop: nothing is safe for concurrent use.
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

// State is what one controller knows from the records. The maps are indexes: only this package
// may change them, and Audit recounts them.
type State struct {
	Now  time.Time // of the event under way; whoever hands the event in sets it
	Jobs map[string]*Job
	// Queued, Complete and Closed are disjoint parts of Jobs.
	Queued   map[string]*Job // live, with tasks that wait
	Complete map[string]*Job // live, with all tasks done
	Closed   map[string]*Job // ended, records to be cleared

	TasksOnMachine   map[string]map[string]*Task // by machine, then by task ID
	Assigned         map[string]*Task
	PlacedByPriority [jobs.Priorities]int // tasks on machines by their job's priority

	Machines      map[string]*Machine
	MachineTypes  map[string]*jobs.MachineType
	Usages        map[string]*Usage // by machine, also of machines that are not known
	Images        fleet.Images
	MachineClaims fleet.Claims      // machines claimed for gangs, by job
	ClaimedBy     map[string]string // the same by machine
	// Unresponsive is by controller the machines that it gets no heartbeats from.
	Unresponsive map[string]fleet.UnresponsiveSet

	Account      *quota.Account         // what is charged: records and decisions under way
	Reservations map[string]Reservation // by task ID

	Batches map[string]*TaskRecord // by key
	// quarantinedBatches is by key the batch records that cannot be read, with the jobs whose
	// tasks they hold; no jobs if not even those are known.
	quarantinedBatches map[string][]string
	batchReads         uint64 // batch records applied so far
	// movingTasks is the tasks that batch records of one transaction no longer hold: another
	// record of the same transaction, applied after them, may hold them.
	movingTasks    map[string]*Task
	movingRevision uint64 // of that transaction

	machinesByName []*Machine // sorted, nil when it must be sorted anew
	// machineChanged is called for each machine on which something changed.
	machineChanged func(machine string)
}

// New makes an empty state. machineChanged is called for each machine on which something
// changed.
func New(tree *quota.Tree, machineChanged func(machine string)) *State {
	return &State{
		Jobs:               map[string]*Job{},
		Queued:             map[string]*Job{},
		Complete:           map[string]*Job{},
		Closed:             map[string]*Job{},
		TasksOnMachine:     map[string]map[string]*Task{},
		Assigned:           map[string]*Task{},
		Machines:           map[string]*Machine{},
		MachineTypes:       map[string]*jobs.MachineType{},
		Usages:             map[string]*Usage{},
		Images:             fleet.Images{},
		Unresponsive:       map[string]fleet.UnresponsiveSet{},
		Account:            quota.NewAccount(tree),
		Reservations:       map[string]Reservation{},
		Batches:            map[string]*TaskRecord{},
		quarantinedBatches: map[string][]string{},
		movingTasks:        map[string]*Task{},
		machineChanged:     machineChanged,
	}
}

// SortedKeys lists a map's keys in order: no decision may depend on the order that a map
// happens to have.
func SortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// NowMs is the time of day of the event under way, in ms since 1970.
func (s *State) NowMs() int64 { return s.Now.UnixMilli() }

// QuotaLeaf is the node of the quota tree that a job's tasks are charged to.
func (s *State) QuotaLeaf(spec *jobs.Spec) int { return s.Account.Tree().Leaf(spec.QuotaKey()) }

// MachinesByName lists the machines in order. Callers must not change the list.
func (s *State) MachinesByName() []*Machine {
	if s.machinesByName == nil {
		s.machinesByName = make([]*Machine, 0, len(s.Machines))
		for _, m := range s.Machines {
			s.machinesByName = append(s.machinesByName, m)
		}
		slices.SortFunc(s.machinesByName, func(a, b *Machine) int { return strings.Compare(a.Name, b.Name) })
	}
	return s.machinesByName
}
