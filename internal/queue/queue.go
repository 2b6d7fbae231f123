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

// Env is what the queue is told from outside: settings, and what others know.
type Env struct {
	Name          string // this controller
	Objectives    []settings.Objective
	TxnOps        int     // puts and deletes of a transaction
	ValueBytes    int     // bytes of a slice's record
	MaxRangeTasks int     // tasks of a slice
	WriteRPS      float64 // changes a second of all controllers
	Log           *slog.Logger

	// Busy tells whether a record is under a transaction.
	Busy func(key string) bool
	// Allows tells whether the budget allows so many changes now, after those spent.
	Allows func(spent, writes int) bool
	// HasSpareWrites tells whether there is budget to spare.
	HasSpareWrites func() bool
	// Ready tells whether a machine takes new tasks at all, by its record.
	Ready func(m *clusterstate.Machine) bool
	// CanPlace tells whether a task may go on a machine of this part now.
	CanPlace func(t *clusterstate.Task, m *clusterstate.Machine) bool
	// UsesBatches tells whether tasks are given away in packs of many jobs.
	UsesBatches func() bool
	// HasLeftView tells whether a controller is not in the view.
	HasLeftView func(part string) bool
	// Commit takes decisions.
	Commit func([]decide.Decision)
	// Lending is how GPUs are lent to serving, nil for not at all.
	Lending *settings.Lending
	// Gate tells whether work may begin by the calendar, nil if there is none; MoreConds
	// is how many conditions more a decision may have because of it.
	Gate               func(*jobs.Spec) calendar.Verdict
	ExtraPreconditions int
}

// Queue is what waits, and what is done about it.
type Queue struct {
	state *clusterstate.State
	env   Env

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

// New makes an empty queue over a book.
func New(state *clusterstate.State, env Env) *Queue {
	q := &Queue{state: state, env: env, claimValues: map[int]fleet.Claims{}}
	q.loans = q.newLedger(env.Lending)
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
func (q *Queue) UsesBatches() bool { return q.env.UsesBatches() }
