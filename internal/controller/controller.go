// Package controller joins the other packages into one controller. One event loop owns all
// state: messages and ticks come in, calls to other services go out, and their answers
// come back through the same loop. But for Serve it does no IO and reads no clock, so the
// scenarios run it against simulated services.
//
// Everything it does follows from the mirror of the store: a decision is a transaction
// conditional on the view and on every record it was made from, and commands to agents and
// calls to the cloud are derived from committed records only. A lost, late or doubtful
// transaction therefore needs no memory of its own: whatever it did shows in the mirror.
package controller

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/harrierreel/harrierreel/internal/api"
	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/callerrors"
	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/commit"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/membership"
	"github.com/harrierreel/harrierreel/internal/provisioning"
	"github.com/harrierreel/harrierreel/internal/queue"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/reachability"
	"github.com/harrierreel/harrierreel/internal/readconsistency"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/shard"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Controller is one controller. Everything but Serve runs on its event loop; nothing in it is
// locked.
type Controller struct {
	settings  *settings.Settings
	transport Transport
	log       *slog.Logger
	rand      *rand.Rand

	client *store.Client
	mirror *store.Mirror
	sync   syncState

	state *clusterstate.State // what is known from the records, and the time of the present event
	view  *members.View

	role          members.Role // under the view of roleEpoch, not under a newer one in view
	roleEpoch     uint64
	gossipedAt    time.Time
	gossipedEpoch uint64 // of the store, as last told to peers

	callErrors    callerrors.Counter
	committer     *commit.Committer
	api           *api.Server
	leaderState   leaderState
	queue         *queue.Queue
	provisioner   *provisioning.Provisioner
	shard         *shard.Shard
	reachability  *reachability.Tracker
	membership    *membership.Membership
	calendar      *calendar.Service // nil: turned off
	cancellations *cancellation.Service
	acks          *readconsistency.AckLog // what users were told of jobs

	dirty              bool // something happened that decisions may follow from
	reconciledAt       time.Time
	leaderReconciledAt time.Time
	writesLoggedAt     time.Time

	checks            standby.Checks // of this controller as a leader
	tickedAt          time.Time      // last tick of the loop's clock
	loopLag           time.Duration  // how late the ticks have been of late
	behindSince       time.Time      // since when peers have read further than the mirror, zero if not
	shuttingDownSince time.Time      // zero: it was not asked to end
}

// New makes a controller that knows nothing yet. It reads as the list of who depends on whom:
// what a collaborator needs of one that is made after it is looked up when it is called.
func New(set *settings.Settings, transport Transport, log *slog.Logger, random *rand.Rand) *Controller {
	c := &Controller{settings: set, log: log, rand: random, role: members.Outside}
	c.transport = transport.countingErrors(&c.callErrors)
	c.state = clusterstate.New(quota.Flat(set.TeamMap()), c.reviewMachine)
	c.client = c.newClient()
	c.cancellations = c.newCancellations()
	c.acks = c.newAckLog()
	c.mirror = c.newMirror()
	c.committer = c.newCommitter()
	c.reachability = c.newReachability()
	c.membership = c.newMembership()
	c.calendar = c.newCalendar()
	c.queue = c.newQueue()
	c.provisioner = c.newProvisioner()
	c.shard = c.newShard()
	c.api = c.newAPI()
	c.leaderState.reset()
	c.updateBudget()
	return c
}

// State is what is known from the records. Callers outside this package only read it, between events.
func (c *Controller) State() *clusterstate.State { return c.state }

// wake has the loop look for decisions to take.
func (c *Controller) wake() { c.dirty = true }

// reviewMachine has a machine's records compared with its heartbeats.
func (c *Controller) reviewMachine(machine string) {
	c.shard.ReviewMachine(machine)
	c.dirty = true
}

// Run handles one event at its time, and what follows from it. It must not be called while
// another Run or Tick is under way.
func (c *Controller) Run(now time.Time, event func()) {
	last := c.state.Now
	c.state.Now = now
	if gap := now.Sub(last); gap >= tuning.Standstill && !last.IsZero() {
		c.handleStall(gap)
	}
	c.client.Dispatch(now)
	event()
	c.api.ReleaseHeld()
	c.cancellations.Broadcast()
	c.broadcastAcks()
	c.reconcile()
}

// Tick does what is due by time. The loop calls it every tuning.Tick.
func (c *Controller) Tick(now time.Time) {
	c.Run(now, func() {
		c.measureLoopLag()
		c.continueShutdown()
		c.membership.Reconcile()
		c.reachability.Reconcile()
		c.syncMirror()
		c.sendGossip()
		c.cancellations.Reconcile()
		c.api.ReconcileQueries()
		c.logWriteCounts()
		c.logCallErrors()
		c.dirty = true
	})
}

// reconcile takes the decisions that the last events made possible, at most once in
// tuning.ReconcileGap.
func (c *Controller) reconcile() {
	if !c.dirty || c.state.Now.Sub(c.reconciledAt) < tuning.ReconcileGap {
		return
	}
	c.dirty, c.reconciledAt = false, c.state.Now
	if !c.caughtUp() || !c.membership.Certain() {
		c.dirty = c.sync.live
		return
	}
	if c.mirror.Epoch < c.mirror.Revision(members.ViewKey) {
		// Our own commit of the view is ahead of the watch: what the last view
		// still committed is not all here yet, and deciding without it would
		// forget charges and placements.
		c.dirty = true
		return
	}
	c.updateRole()
	c.updateChecks()
	c.followCloud()
	c.shard.Reconcile()
	c.reconcileLeader()
	c.api.ReconcileRuns()
	c.calendar.Reconcile(c.role != members.Outside)
	c.client.Dispatch(c.state.Now)
}

// reconcileLeader takes the leader's decisions. It looks at every machine, so the pause between
// two calls grows with their number.
func (c *Controller) reconcileLeader() {
	pause := tuning.ReconcileGap + time.Duration(len(c.state.Machines))*tuning.LeaderGapPerMachine
	if c.state.Now.Sub(c.leaderReconciledAt) < pause {
		c.dirty = c.dirty || c.role == members.Leader
		return
	}
	c.leaderReconciledAt = c.state.Now
	c.runLeaderDuties()
}

// Wait tells how long the loop may sleep.
func (c *Controller) Wait() time.Duration {
	if c.dirty {
		return c.api.WaitForHeld(tuning.ReconcileGap)
	}
	if c.client.Waiting() > 0 {
		return c.api.WaitForHeld(tuning.DispatchGap)
	}
	return c.api.WaitForHeld(tuning.Tick)
}

// Request takes a request of a user, an operator or an agent. respond is called exactly once.
func (c *Controller) Request(request *http1.Message, respond func(http1.Reply)) {
	party := callerrors.AgentRequests
	if api.IsUsers(request) {
		party = callerrors.Users
	}
	c.api.Request(request, func(reply http1.Reply) {
		c.callErrors.Note(party, request.Method, request.Target, reply.Status, reply.Body)
		respond(reply)
	})
}

// reviewMachineOf has a task's machine reviewed.
func (c *Controller) reviewMachineOf(t *clusterstate.Task) {
	if t.Machine != "" {
		c.shard.ReviewMachine(t.Machine)
		c.dirty = true
	}
}
