// Package queue schedules the tasks that wait: the order of the queue (order.go), the leader's
// scheduling cycle (release.go, cycle.go, rounds.go), the choice of machines (candidates.go), gangs
// (gangs.go, claims.go, accumulation.go), preemption (preempt.go), loans (lending.go), the starvation
// guard (starvation.go), and what the owner of a shard places in it (place.go). It returns and commits
// decisions; it has no IO and no clock.
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

// Config is what the queue is told once: names, limits and the operators' settings.
type Config struct {
	// Name is this controller's.
	Name string
	// Objectives are the service-level objectives of the cluster.
	Objectives []settings.Objective
	// MaxTxnWrites is how many puts and deletes a transaction may have.
	MaxTxnWrites int
	// MaxValueBytes is the length that no value in the store may exceed.
	MaxValueBytes int
	// MaxRangeTasks is how many tasks a task range may hold.
	MaxRangeTasks int
	// MaxWritesPerS is how many writes the store takes a second, of all controllers together.
	MaxWritesPerS float64
	// ExtraPreconditions is how many preconditions more a decision may have because of the calendar.
	ExtraPreconditions int
	// Lending says how GPUs are lent to services, nil for not at all.
	Lending *settings.Lending
	Log     *slog.Logger
}

// WriteBudget is the share of the store's writes that this controller may use.
type WriteBudget interface {
	// Allows reports whether so many writes may be made now, after those spent.
	Allows(spent, writes int) bool
	// HasSpareWrites reports whether there is budget left for writes that are not urgent.
	HasSpareWrites() bool
}

// CommitQueue takes decisions and writes them in transactions.
type CommitQueue interface {
	// Busy reports whether a transaction that writes the record is under way.
	Busy(key string) bool
	// Commit takes decisions; each is told by its OnSettled whether it was committed.
	Commit(decisions []decide.Decision)
}

// MachineAdmission says where tasks may go by what is known of the machines themselves.
type MachineAdmission interface {
	// Ready reports whether a machine takes new tasks at all, by its record.
	Ready(m *clusterstate.Machine) bool
	// CanPlace reports whether a task may go on a machine of this controller's shard now.
	CanPlace(task *clusterstate.Task, m *clusterstate.Machine) bool
}

// ClusterView is what the controllers agree on.
type ClusterView interface {
	// HasLeftView reports whether a controller is not in the view.
	HasLeftView(controller string) bool
	// UsesBatches reports whether every controller reads batch records, so that tasks may be released
	// in them.
	UsesBatches() bool
}

// Calendar says when work may begin.
type Calendar interface {
	// Gate returns whether a job's work may begin now, soon or not yet.
	Gate(spec *jobs.Spec) calendar.Verdict
}

// Collaborators are what the queue calls.
type Collaborators struct {
	Budget   WriteBudget
	Commits  CommitQueue
	Machines MachineAdmission
	Cluster  ClusterView
	Calendar Calendar // nil if there is none: all work may begin at any time
}

// Queue is the jobs that wait, and what the leader and the owner of a shard do about them. It is
// used by the controller's loop alone.
type Queue struct {
	state    *clusterstate.State
	config   Config
	budget   WriteBudget
	commits  CommitQueue
	machines MachineAdmission
	cluster  ClusterView
	calendar Calendar

	// Waiting is what found no room in the last scheduling cycle.
	Waiting []*Waiting

	examined           map[*clusterstate.Job]bool       // by the last cycle with writes to spend
	avoidUntil         map[string]time.Time             // machines that are not proposed before
	noCapacitySince    map[string]time.Time             // by job
	preemptions        map[string]pendingPreemption     // by task, and by job where quota is reclaimed
	holds              map[string]heldCapacity          // by job
	claimValues        map[int]fleet.Claims             // what the store holds, by number of the value
	claims             map[string]*claim                // of gangs that are being placed, by job
	accumulations      map[string]*capacityAccumulation // by job
	starving           map[string]starvation            // by job
	startStarvingUntil time.Time                        // until then jobs that starve for a shorter time start along
	loans              *lending.Ledger                  // nil if nothing is lent
	windowReservations []string                         // task IDs, of windows that are about to open
}

// New makes an empty queue over the cluster's state.
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

// Reset forgets what only a leader keeps: a new leader starts from the records.
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

// Waiting is queued tasks of one job that may run by their limits but have found no room.
type Waiting struct {
	// Task is the first of the tasks.
	Task *clusterstate.Task
	// Tasks are the first few, for which others may be preempted.
	Tasks []*clusterstate.Task
	// Count is how many tasks lack room; of a large gang, for how many no capacity is kept
	// yet.
	Count int
	// Priority is the job's, 0 for the highest.
	Priority int
	// Entitled is the node of the quota tree within whose guarantee it lies, below 0 for none.
	Entitled int
	// Zone is the zone in which a large gang accumulates capacity, if it must be in one.
	Zone string
	// Accumulates is set for a large gang, for which capacity is kept as it comes free.
	Accumulates bool
	// NotExamined is set if the last cycle did not examine it, so that there may be room for it.
	NotExamined bool
	// WindowOpensSoon is set if the job may not begin before a window of the calendar opens.
	WindowOpensSoon bool

	zones map[string]int // its job's tasks by zone in the cycle under way, nil if they are to be counted
}

// isEntitled reports whether it lies within a guarantee.
func (w *Waiting) isEntitled() bool { return w.Entitled >= 0 }

// Avoid proposes a machine for no task until then.
func (q *Queue) Avoid(machineName string, until time.Time) { q.avoidUntil[machineName] = until }

// UsesBatches reports whether tasks are released in batch records of many jobs.
func (q *Queue) UsesBatches() bool { return q.cluster.UsesBatches() }
