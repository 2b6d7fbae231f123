// Package queue schedules waiting tasks. It contains the queue order (order.go), the leader's
// scheduling cycle (release.go, cycle.go, rounds.go), machine selection (candidates.go), gang
// scheduling (gangs.go, claims.go, accumulation.go), preemption (preempt.go), capacity loans
// (lending.go), the starvation guard (starvation.go), and the placement of tasks by the owner of a
// shard (place.go). It makes decisions and passes them on to be committed. It does no IO and reads
// no clock.
package queue

import (
	"log/slog"
	"time"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/lending"
	"github.com/harrierreel/harrierreel/internal/settings"
)

// Config holds the names, limits and operator settings of a queue. It does not change after New.
type Config struct {
	// Name is the name of this controller.
	Name string
	// Objectives are the service-level objectives of the cluster.
	Objectives []settings.Objective
	// MaxTxnWrites is the maximum number of puts and deletes in a transaction.
	MaxTxnWrites int
	// MaxValueBytes is the maximum length of a value in the store.
	MaxValueBytes int
	// MaxRangeTasks is the maximum number of tasks in a task range.
	MaxRangeTasks int
	// MaxWritesPerS is the number of writes per second that the store accepts from all controllers
	// together.
	MaxWritesPerS float64
	// ExtraPreconditions is the maximum number of additional preconditions that the calendar adds
	// to a decision.
	ExtraPreconditions int
	// Lending configures the lending of GPUs to services. It is nil if lending is off.
	Lending *settings.Lending
	Log     *slog.Logger
}

// WriteBudget is the share of the store's write rate that this controller may use.
type WriteBudget interface {
	// Allows reports whether the given number of writes may be made now, in addition to those
	// already planned.
	Allows(planned, writes int) bool
	// HasSpareWrites reports whether there is budget left for writes that are not urgent.
	HasSpareWrites() bool
}

// CommitQueue commits decisions to the store in transactions.
type CommitQueue interface {
	// Busy reports whether a transaction that writes the record of key is in flight.
	Busy(key string) bool
	// Commit enqueues decisions. The OnSettled function of each is told whether it was committed.
	Commit(decisions []decide.Decision)
}

// MachineAdmission decides which machines accept tasks, by the state of the machines.
type MachineAdmission interface {
	// Ready reports whether a machine accepts new tasks at all, by its record.
	Ready(m *clusterstate.Machine) bool
	// CanPlace reports whether a task may be placed on a machine of this controller's shard now.
	CanPlace(task *clusterstate.Task, m *clusterstate.Machine) bool
}

// ClusterView is the view of the cluster that the controllers have agreed on.
type ClusterView interface {
	// HasLeftView reports whether a controller is not a member of the view.
	HasLeftView(controller string) bool
	// UsesBatches reports whether every controller reads batch records, so that tasks may be
	// released in them.
	UsesBatches() bool
}

// Calendar decides when a job may start.
type Calendar interface {
	// Gate returns whether a job may start now, soon or not yet.
	Gate(spec *jobs.Spec) calendar.Verdict
}

// Collaborators are the components that the queue calls.
type Collaborators struct {
	Budget   WriteBudget
	Commits  CommitQueue
	Machines MachineAdmission
	Cluster  ClusterView
	Calendar Calendar // nil if there is none: every job may start at any time
}

// Queue holds the waiting jobs and schedules them, for the leader and for the owner of a shard.
// Only the controller's event loop may use it.
type Queue struct {
	state    *clusterstate.State
	config   Config
	budget   WriteBudget
	commits  CommitQueue
	machines MachineAdmission
	cluster  ClusterView
	calendar Calendar

	// Waiting lists the tasks for which the last scheduling cycle that examined them found no
	// capacity.
	Waiting []*Waiting

	examined           map[*clusterstate.Job]bool       // by the last cycle that had write budget
	avoidUntil         map[string]time.Time             // by machine: not proposed before that time
	noCapacitySince    map[string]time.Time             // by job
	preemptions        map[string]pendingPreemption     // by task ID, or by job ID where quota is reclaimed
	holds              map[string]heldCapacity          // by job
	claimValues        map[int]fleet.Claims             // claims in the store, by number of the value
	claims             map[string]*claim                // claims for gangs that are being placed, by job
	accumulations      map[string]*capacityAccumulation // by job
	starving           map[string]starvation            // by job
	startStarvingUntil time.Time                        // until then, jobs start after starving for a shorter time
	loans              *lending.Ledger                  // nil if lending is off
	windowReservations []string                         // reserved task IDs, for calendar windows that are about to open
}

// New returns an empty queue over the cluster state.
func New(state *clusterstate.State, config Config, collaborators Collaborators) *Queue {
	q := &Queue{
		state:       state,
		config:      config,
		budget:      collaborators.Budget,
		commits:     collaborators.Commits,
		machines:    collaborators.Machines,
		cluster:     collaborators.Cluster,
		calendar:    collaborators.Calendar,
		claimValues: map[int]fleet.Claims{},
	}
	q.loans = q.newLedger(config.Lending)
	q.Reset()
	return q
}

// Reset discards the state that only a leader keeps. A new leader starts from the records in the
// store.
func (q *Queue) Reset() {
	q.releaseWindowReservations()
	q.Waiting = nil
	q.examined = nil
	q.avoidUntil = map[string]time.Time{}
	q.noCapacitySince = map[string]time.Time{}
	q.preemptions = map[string]pendingPreemption{}
	q.holds = map[string]heldCapacity{}
	q.claims = map[string]*claim{}
	q.accumulations = map[string]*capacityAccumulation{}
	q.starving = map[string]starvation{}
}

// Waiting describes queued tasks of one job that may run within their quota but have found no
// capacity.
type Waiting struct {
	// Task is the first of the tasks.
	Task *clusterstate.Task
	// Tasks are the first few tasks, for which others may be preempted.
	Tasks []*clusterstate.Task
	// Count is the number of tasks that lack capacity. For a large gang it excludes the tasks for
	// which capacity is already held.
	Count int
	// Priority is the priority of the job; 0 is the highest.
	Priority int
	// Entitled is the node of the quota tree whose guarantee covers the tasks, or negative if there
	// is none.
	Entitled int
	// Zone is the zone in which a large gang accumulates capacity, if it must run in a single zone.
	Zone string
	// Accumulates is set for a large gang, for which capacity is held as it becomes free.
	Accumulates bool
	// NotExamined is set if the last cycle did not examine the tasks, so that there may be capacity
	// for them.
	NotExamined bool
	// WindowOpensSoon is set if the job may not start before a calendar window opens.
	WindowOpensSoon bool

	zones map[string]int // the job's tasks by zone in the current cycle; nil if not counted yet
}

// isEntitled reports whether a guarantee covers the tasks.
func (w *Waiting) isEntitled() bool { return w.Entitled >= 0 }

// Avoid excludes a machine from being proposed until the given time.
func (q *Queue) Avoid(machineName string, until time.Time) { q.avoidUntil[machineName] = until }

// UsesBatches reports whether tasks are released in batch records that hold tasks of many jobs.
func (q *Queue) UsesBatches() bool { return q.cluster.UsesBatches() }
