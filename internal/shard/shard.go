// Package shard is the slice of an owner: the machines that a controller owns under
// the view, the sessions with their workers, what their reports mean for the
// records, what is commanded, and which machines are not heard. Decisions, answers
// and calls come out; it has no IO and no clock.
package shard

import (
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/reconcile"
)

// Shard is what an owner keeps of its machines.
type Shard struct {
	config Config
	state  *clusterstate.State

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

	sessions          map[string]*agent.Session
	health            map[string]*fleet.Health
	newestHeartbeats  map[string][2]uint64        // machine to session and number of its newest report here
	foreignHeartbeats map[string]foreignHeartbeat // machine to its last report here that may be an old one

	unresponsiveLists map[string]fleet.UnresponsiveLists // by owner, what pt.Quiet is joined of

	// What changed since a pass last looked at it.
	toReview  map[string]bool // machines to review
	revisit   map[string]bool // machines to review again before long
	gathering map[string]bool // machines with ends that are being gathered

	awaitingCall  []string        // machines for which no call was free
	vanished      map[string]bool // tasks to be placed once more where they were
	placedAgainAt time.Time

	calls            int  // to workers under way
	callsToUnmet     int  // of them to machines that have not reported yet
	callsToDoubted   int  // of them to machines that left a call unanswered
	countDifferences bool // the look under way is the one that differences are counted at
	lastSweep        time.Time
	lastEnds         time.Time // when ended tasks were last committed
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
		Reconciling:       reconcile.New(config.Cluster.Workers.ReportS, config.Log),
		sessions:          map[string]*agent.Session{},
		health:            map[string]*fleet.Health{},
		newestHeartbeats:  map[string][2]uint64{},
		foreignHeartbeats: map[string]foreignHeartbeat{},
		unresponsiveLists: map[string]fleet.UnresponsiveLists{},
		toReview:          map[string]bool{},
		revisit:           map[string]bool{},
		gathering:         map[string]bool{},
		vanished:          map[string]bool{},
	}
}

// ReviewMachine has a machine reviewed.
func (pt *Shard) ReviewMachine(machine string) { pt.toReview[machine] = true }

// HasSession tells whether a machine has a session here.
func (pt *Shard) HasSession(machine string) bool { return pt.sessions[machine] != nil }

// Stalled discounts time in which this node did not listen.
func (pt *Shard) Stalled(gap time.Duration) {
	clear(pt.foreignHeartbeats)
	for _, s := range pt.sessions {
		s.Stalled(gap)
	}
}

// NewView begins every session anew under the view's epoch, and ends those of
// machines that are another owner's now.
func (pt *Shard) NewView() {
	clear(pt.foreignHeartbeats)
	for machine, s := range pt.sessions {
		if pt.view.OwnerOf(machine) != pt.config.Name {
			delete(pt.sessions, machine)
			continue
		}
		s.NewEpoch(pt.view.Epoch())
		if pt.Reconciling.Steady() || s.FailedCalls == 0 {
			s.LastCall = time.Time{}
		}
	}
	var own []string
	for _, m := range pt.state.Machines {
		if m.Owner == pt.config.Name {
			pt.keepSession(m)
			own = append(own, m.Name)
		}
	}
	var others []string
	if len(own) < len(pt.state.Machines) {
		others = slices.DeleteFunc(pt.view.Members(), func(m string) bool { return m == pt.config.Name })
	}
	pt.Reconciling.View(pt.view.Epoch(), own, others, pt.state.Now)
	pt.lastSweep = time.Time{}
}

// MachineRemoved forgets a machine. Its session must not bring the record back; should
// the worker report after all, it is met as a new one.
func (pt *Shard) MachineRemoved(machine string) {
	delete(pt.health, machine)
	delete(pt.newestHeartbeats, machine)
	delete(pt.foreignHeartbeats, machine)
	delete(pt.sessions, machine)
	pt.Reconciling.Lost(machine)
}
