// Package queue is the slice that gives room to what waits: the order of the queue,
// the leader's look at it (cycle.go), room kept and chosen (candidates.go), who makes way
// for whom (preempt.go), gangs (gangs.go), and what an owner places in its part
// (place.go). Decisions come out; it has no IO and no clock.
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
	// HasSpareWrites reports whether there is more than what decisions wait for.
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

// Queue is what waits, and what is done about it.
type Queue struct {
	state    *clusterstate.State
	config   Config
	budget   WriteBudget
	commits  CommitQueue
	machines MachineAdmission
	cluster  ClusterView
	calendar Calendar

	// Waiting is what found no room in the last look.
	Waiting []*Waiting

	examined            map[*clusterstate.Job]bool   // that the last look with changes to spend came to
	avoidUntil          map[string]time.Time         // machines not offered for a while
	noCapacitySince     map[string]time.Time         // jobs, since when they have found no room
	preemptions         map[string]pendingPreemption // tasks that room is made for
	holds               map[string]heldCapacity      // machines kept, by job
	claimValues         map[int]fleet.Claims         // what the state service holds, by number
	claims              map[string]*claim            // of gangs that are being placed
	accumulations       map[string]*capacityAccumulation
	starving            map[string]starvation // jobs that others are served before, though there is room
	starvationCheckedAt time.Time             // those passed over for a shorter time begin with one that was for long
	loans               *lending.Ledger       // nil if nothing is lent
	windowReservations  []string              // bookings for windows that are about to open
}

// NewQueue makes an empty queue over the cluster's state.
func NewQueue(state *clusterstate.State, config Config, collaborators Collaborators) *Queue {
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

// Reset forgets what only a leader keeps: a new one starts from the records.
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

// Waiting is queued tasks of one job that may run by their limits but have found
// no room.
type Waiting struct {
	Task     *clusterstate.Task   // the first of them
	Tasks    []*clusterstate.Task // the first few
	Count    int
	Priority int
	// Entitled is the node of the quotas' tree within whose guarantee it lies,
	// below 0 for none.
	Entitled int
	// Zone is the zone in which a large gang gathers room, if it must be in one. Count
	// is then what it still lacks.
	Zone string
	// Gathers: it is a large gang, for which room is kept as it comes.
	Gathers bool
	// NotExamined: the last look did not come to it, so that there may be room for it.
	NotExamined bool

	zones           map[string]int // of its job's tasks in the look under way, nil if they are to be counted
	WindowOpensSoon bool           // its window is yet to open
}

func (w *Waiting) isEntitled() bool { return w.Entitled >= 0 }

// Avoid keeps tasks off a machine until then.
func (q *Queue) Avoid(machineName string, until time.Time) { q.avoidUntil[machineName] = until }

// UsesBatches tells whether tasks are given away in batches of many jobs.
func (q *Queue) UsesBatches() bool { return q.cluster.UsesBatches() }
