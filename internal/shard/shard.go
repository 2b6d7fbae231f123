// Package shard is what a controller does for the machines of its shard, those that it
// owns under the view: the sessions with their agents, what heartbeats mean for the
// records, which commands are sent, and which machines are unresponsive. Decisions,
// answers and calls come out; it has no IO and no clock.
package shard

import (
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/reconcile"
)

// Shard is what a controller keeps of the machines that it owns. It belongs to the
// controller's loop: all methods are called from there.
type Shard struct {
	config Config
	state  *clusterstate.State // what is known from the records

	view          View
	agents        AgentCaller
	loop          LoopWaker
	scheduler     Scheduler
	provisioner   Provisioner
	commits       CommitQueue
	budget        WriteBudget
	cancellations Cancellations
	complaints    ComplaintLog

	// Reconciling is what is known of this controller's machines since it started.
	Reconciling *reconcile.Tracker

	sessions map[string]*agent.Session // by machine
	health   map[string]*fleet.Health  // by machine

	newestHeartbeats  map[string]heartbeatMark    // by machine, the newest that came here
	foreignHeartbeats map[string]foreignHeartbeat // by machine, the last here that may be an old one

	// unresponsiveLists are the lists that state.Unresponsive is joined of, by owner.
	unresponsiveLists map[string]fleet.UnresponsiveLists

	// What changed since the last reconciliation.
	toReview    map[string]bool // machines to review
	reviewAgain map[string]bool // machines to review again with the next sweep
	delayedEnds map[string]bool // machines with ends that wait to be committed with others

	awaitingCall  []string        // machines for which no call was free
	vanishedTasks map[string]bool // tasks to be placed once more where they were
	placedAgainAt time.Time       // when vanishedTasks were last gone through

	calls             int // to agents under way
	callsToUnseen     int // of them to machines that have not reported yet
	callsToUnanswered int // of them to machines that left a call unanswered
	lastSweep         time.Time
	lastEnds          time.Time // when ended tasks were last committed
}

// New makes the shard of a controller over what is known from the records.
func New(state *clusterstate.State, config Config, collaborators Collaborators) *Shard {
	return &Shard{
		config:            config,
		state:             state,
		view:              collaborators.View,
		agents:            collaborators.Agents,
		loop:              collaborators.Loop,
		scheduler:         collaborators.Scheduler,
		provisioner:       collaborators.Provisioner,
		commits:           collaborators.Commits,
		budget:            collaborators.Budget,
		cancellations:     collaborators.Cancellations,
		complaints:        collaborators.Complaints,
		Reconciling:       reconcile.New(config.Cluster.Workers.HeartbeatS, config.Log),
		sessions:          map[string]*agent.Session{},
		health:            map[string]*fleet.Health{},
		newestHeartbeats:  map[string]heartbeatMark{},
		foreignHeartbeats: map[string]foreignHeartbeat{},
		unresponsiveLists: map[string]fleet.UnresponsiveLists{},
		toReview:          map[string]bool{},
		reviewAgain:       map[string]bool{},
		delayedEnds:       map[string]bool{},
		vanishedTasks:     map[string]bool{},
	}
}

// ReviewMachine has a machine's records compared with its heartbeats at the next
// reconciliation.
func (s *Shard) ReviewMachine(machine string) { s.toReview[machine] = true }

// HasSession tells whether a machine has a session here.
func (s *Shard) HasSession(machine string) bool { return s.sessions[machine] != nil }

// Stalled discounts time in which this controller's loop did not run.
func (s *Shard) Stalled(gap time.Duration) {
	clear(s.foreignHeartbeats)
	for _, session := range s.sessions {
		session.Stalled(gap)
	}
}

// NewView begins every session anew under the view's epoch, and ends those of machines
// that another controller owns now.
func (s *Shard) NewView() {
	clear(s.foreignHeartbeats)
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
			s.keepSession(machine)
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

// MachineRemoved forgets a machine. Its session must not bring the record back; should the
// worker report after all, it is met as a new one.
func (s *Shard) MachineRemoved(machine string) {
	delete(s.health, machine)
	delete(s.newestHeartbeats, machine)
	delete(s.foreignHeartbeats, machine)
	delete(s.sessions, machine)
	s.Reconciling.Remove(machine)
}
