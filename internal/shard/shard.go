// Package shard manages the machines that a controller owns under the current view. It keeps the
// sessions with their agents, reconciles their heartbeats with the stored records, sends commands,
// and tracks which machines are unresponsive. It performs no IO and reads no clock: its output is
// decisions to commit, replies to heartbeats and calls to agents.
package shard

import (
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/reconcile"
)

// Shard is a controller's state for the machines that it owns. All methods must be called on the
// controller's event loop.
type Shard struct {
	config Config
	state  *clusterstate.State // mirrors the stored records

	view          View
	agents        AgentCaller
	loop          LoopWaker
	scheduler     Scheduler
	provisioner   Provisioner
	commits       CommitQueue
	budget        WriteBudget
	cancellations Cancellations
	complaints    ComplaintLog

	// Reconciling tracks the reconciliation of this controller's machines after it starts.
	Reconciling *reconcile.Tracker

	sessions map[string]*agent.Session // by machine
	// nextCounter is higher than the counter of each session that was dropped in epoch counterEpoch.
	nextCounter, counterEpoch uint64
	health                    map[string]*fleet.Health // by machine

	newestHeartbeats  map[string]heartbeatVersion // by machine, the newest that this controller received
	foreignHeartbeats map[string]foreignHeartbeat // by machine, the last one that may be outdated

	// unresponsiveLists holds, by owner, the lists that are joined into state.Unresponsive.
	unresponsiveLists map[string]fleet.UnresponsiveLists

	// Work for the next reconciliations.
	toReview    map[string]bool // machines to review
	reviewAgain map[string]bool // machines to review again with the next sweep
	delayedEnds map[string]bool // machines whose ended tasks are held back, to be committed in a batch

	awaitingCallSlot []string        // machines that are to be called once the call limits allow it
	vanishedTasks    map[string]bool // tasks to place again on the machine that they vanished from
	placedAgainAt    time.Time       // when vanishedTasks was last processed

	// unverifiedLaunches holds, by machine, the jobs with launches that wait for Cancellations.LaunchUntil
	// to advance.
	unverifiedLaunches map[string][]string
	pendingLaunches    map[string]pendingLaunch // by machine, the command with launches that is in flight

	calls             int // calls to agents in flight
	callsToUnseen     int // of them, to machines that have not sent a heartbeat yet
	callsToUnanswered int // of them, to machines that left their last call unanswered
	lastSweep         time.Time
	lastEndsCommit    time.Time // when ended tasks were last committed
}

// New returns a controller's shard that works on state, the mirror of the stored records.
func New(state *clusterstate.State, config Config, collaborators Collaborators) *Shard {
	return &Shard{
		config:             config,
		state:              state,
		view:               collaborators.View,
		agents:             collaborators.Agents,
		loop:               collaborators.Loop,
		scheduler:          collaborators.Scheduler,
		provisioner:        collaborators.Provisioner,
		commits:            collaborators.Commits,
		budget:             collaborators.Budget,
		cancellations:      collaborators.Cancellations,
		complaints:         collaborators.Complaints,
		Reconciling:        reconcile.New(config.Cluster.Workers.HeartbeatS, config.Log),
		sessions:           map[string]*agent.Session{},
		health:             map[string]*fleet.Health{},
		newestHeartbeats:   map[string]heartbeatVersion{},
		foreignHeartbeats:  map[string]foreignHeartbeat{},
		unresponsiveLists:  map[string]fleet.UnresponsiveLists{},
		toReview:           map[string]bool{},
		reviewAgain:        map[string]bool{},
		unverifiedLaunches: map[string][]string{},
		delayedEnds:        map[string]bool{},
		pendingLaunches:    map[string]pendingLaunch{},
		vanishedTasks:      map[string]bool{},
	}
}

// ReviewMachine schedules a machine for review: the next reconciliation compares its records with
// its heartbeats. It is called at once when a job with tasks on the machine ends or its cancellation
// becomes known; launches of that job that are not on their way yet are then not sent.
func (s *Shard) ReviewMachine(machine string) {
	s.toReview[machine] = true
	s.revokeEndedLaunches(machine)
}

// HasSession reports whether this controller has a session with a machine's agent.
func (s *Shard) HasSession(machine string) bool { return s.sessions[machine] != nil }

// Stalled discounts a gap during which this controller's event loop did not run.
func (s *Shard) Stalled(gap time.Duration) {
	clear(s.foreignHeartbeats)
	for _, session := range s.sessions {
		session.Stalled(gap)
	}
}

// ApplyView applies a new view: it restarts every session under the view's epoch and drops the
// sessions of machines that another controller now owns.
func (s *Shard) ApplyView() {
	clear(s.foreignHeartbeats)
	if epoch := s.view.Epoch(); epoch > s.counterEpoch {
		s.nextCounter, s.counterEpoch = 0, epoch
	}
	for machine, session := range s.sessions {
		if s.view.OwnerOf(machine) != s.config.Name {
			delete(s.sessions, machine)
			continue
		}
		session.NewEpoch(s.view.Epoch())
		if s.Reconciling.Steady() || session.FailedCalls == 0 {
			session.LastCall = time.Time{}
		}
	}
	var own []string
	for _, machine := range s.state.Machines {
		if machine.Owner == s.config.Name {
			s.ensureSession(machine)
			own = append(own, machine.Name)
		}
	}
	var others []string
	if len(own) < len(s.state.Machines) {
		others = slices.DeleteFunc(s.view.Members(), func(name string) bool { return name == s.config.Name })
	}
	s.Reconciling.SetView(s.view.Epoch(), own, others, s.state.Now)
	s.lastSweep = time.Time{}
}

// MachineRemoved forgets a machine whose record was removed. Its session is dropped too, since it
// would otherwise recreate the record. If the worker sends another heartbeat, it counts as a new
// machine.
func (s *Shard) MachineRemoved(machine string) {
	delete(s.health, machine)
	delete(s.newestHeartbeats, machine)
	delete(s.foreignHeartbeats, machine)
	s.dropSession(machine)
	s.Reconciling.Remove(machine)
}
