// Package clusterstate holds one controller's view of the cluster, built from the records in the
// state service: jobs, tasks and machines, and the values derived from them, such as allocated
// resources, the teams' quota usage and the queued jobs. Derived values are updated with each
// change. Only changes of the mirror and reservations modify the state; all other code only reads
// it. The package does no IO and reads no clock. It belongs to the controller's event loop: nothing
// in it is safe for concurrent use.
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

// State is one controller's view of the cluster. The maps are indexes: only this package may
// change them, and Audit verifies them against the records.
type State struct {
	Now  time.Time // time of the current event, set by the code that delivers the event
	Jobs map[string]*Job
	// Queued, Complete and Closed are disjoint parts of Jobs.
	Queued   map[string]*Job // live, with waiting tasks
	Complete map[string]*Job // live, with all tasks finished
	Closed   map[string]*Job // ended, with records still to be removed

	TasksOnMachine   map[string]map[string]*Task // by machine, then by task ID
	Assigned         map[string]*Task
	PlacedByPriority [jobs.Priorities]int // tasks on machines by their job's priority

	Machines      map[string]*Machine
	MachineTypes  map[string]*jobs.MachineType
	Usages        map[string]*Usage // by machine, including unknown machines
	Images        fleet.Images
	GangWait      time.Duration     // how long a gang's task waits for the gang with its image
	MachineClaims fleet.Claims      // machines claimed for gangs, by job
	ClaimedBy     map[string]string // the job that claims a machine, by machine
	// Unresponsive maps a controller to the machines that it receives no heartbeats from.
	Unresponsive map[string]fleet.UnresponsiveSet

	Account      *quota.Account         // quota charged for records and uncommitted decisions
	Reservations map[string]Reservation // by task ID

	Batches map[string]*TaskRecord // by key
	// quarantinedBatches maps the key of each unreadable batch record to the IDs of the jobs
	// whose tasks it holds, or to nil if the jobs are unknown too.
	quarantinedBatches map[string][]string
	// batchGeneration counts the batch records applied so far.
	batchGeneration uint64
	// movingTasks maps task IDs to the tasks that batch records written by one transaction no
	// longer hold. A record of the same transaction that is applied later may hold them.
	movingTasks    map[string]*Task
	movingRevision uint64 // revision of that transaction

	machinesByName []*Machine // sorted; nil if it must be rebuilt
	// machineChanged is called for each machine on which something changed.
	machineChanged func(machine string)
}

// New returns an empty state. machineChanged is called for each machine on which something
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

// SortedKeys returns the keys of a map in ascending order. It keeps decisions independent of the
// random iteration order of maps.
func SortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// NowMs returns the time of the current event in milliseconds since the Unix epoch.
func (s *State) NowMs() int64 { return s.Now.UnixMilli() }

// QuotaLeaf returns the node of the quota tree that a job's tasks are charged to.
func (s *State) QuotaLeaf(spec *jobs.Spec) int { return s.Account.Tree().Leaf(spec.QuotaKey()) }

// MachinesByName returns the machines sorted by name. Callers must not modify the slice.
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
