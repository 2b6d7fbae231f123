// Package controller assembles the other packages into one controller process. A single event
// loop owns all state: it handles incoming messages and ticks, sends calls to other services and
// receives their answers as further events. Except for Serve, the package does no IO and reads
// no clock, so the scenario tests run it against simulated services.
//
// All decisions are based on the mirror, the local copy of the store. Each decision is a
// transaction conditional on the view and on every record it was based on, and commands to agents
// and calls to the cloud are derived from committed records only. The outcome of a lost, delayed
// or unanswered transaction therefore needs no separate tracking: it shows in the mirror.
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
	"github.com/harrierreel/harrierreel/internal/jobs"
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

// Controller is one controller process of the cluster. All of its methods run on its event loop,
// so it uses no locks.
type Controller struct {
	settings  *settings.Settings
	transport Transport
	log       *slog.Logger
	rand      *rand.Rand

	client *store.Client
	mirror *store.Mirror
	sync   syncState

	launchVerification launchVerification

	state *clusterstate.State // decoded records, and the time of the current event
	view  *members.View

	role          members.Role // in the view of roleEpoch; view may already be newer
	roleEpoch     uint64
	gossipedAt    time.Time
	gossipedEpoch uint64 // store epoch in the last gossip message

	callErrors    callerrors.Counter
	committer     *commit.Committer
	api           *api.Server
	leaderState   leaderState
	queue         *queue.Queue
	provisioner   *provisioning.Provisioner
	shard         *shard.Shard
	reachability  *reachability.Tracker
	membership    *membership.Membership
	calendar      *calendar.Service // nil if disabled
	cancellations *cancellation.Service
	acks          *readconsistency.AckLog // job states that were reported to users

	dirty              bool // an event since the last reconciliation may call for decisions
	reconciledAt       time.Time
	leaderReconciledAt time.Time
	countsLoggedAt     time.Time

	checks            standby.Checks // readiness checks of a new leader
	tickedAt          time.Time      // time of the last tick
	loopLag           time.Duration  // see measureLoopLag
	behindSince       time.Time      // since when peers have known a newer epoch; zero if none does
	shuttingDownSince time.Time      // zero unless a shutdown was requested
}

// New returns a controller with an empty state. Collaborators are created in the order of their
// dependencies; those that need one created later look it up at each call.
func New(cfg *settings.Settings, transport Transport, log *slog.Logger, random *rand.Rand) *Controller {
	c := &Controller{settings: cfg, log: log, rand: random, role: members.Outside}
	c.transport = transport.withErrorCounting(&c.callErrors)
	c.state = clusterstate.New(quota.Flat(cfg.TeamMap()), c.reviewMachine)
	c.state.GangWait = jobs.Seconds(cfg.Cluster.Workers.GangWaitS)
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

// State returns the decoded records. Callers outside this package may only read it, between events.
func (c *Controller) State() *clusterstate.State { return c.state }

// wake schedules a reconciliation.
func (c *Controller) wake() { c.dirty = true }

// reviewMachine schedules a comparison of a machine's records with its heartbeats.
func (c *Controller) reviewMachine(machine string) {
	c.shard.ReviewMachine(machine)
	c.dirty = true
}

// Run handles one event at the time now and then reconciles. It must not be called while another
// Run or Tick is running.
func (c *Controller) Run(now time.Time, event func()) {
	last := c.state.Now
	c.state.Now = now
	if gap := now.Sub(last); gap >= tuning.StallGap && !last.IsZero() {
		c.handleStall(gap)
	}
	c.client.Dispatch(now)
	event()
	c.api.ReleaseHeld()
	c.cancellations.Broadcast()
	c.broadcastAcks()
	c.reconcile()
}

// Tick does the periodic work. The loop calls it every tuning.Tick.
func (c *Controller) Tick(now time.Time) {
	c.Run(now, func() {
		c.measureLoopLag()
		c.continueShutdown()
		c.membership.Reconcile()
		c.reachability.Reconcile()
		c.syncMirror()
		c.sendGossip()
		c.cancellations.Reconcile()
		c.logLaunchSuspension()
		c.api.ReconcileQueries()
		c.logCounts()
		c.logCallErrors()
		c.dirty = true
	})
}

// reconcile makes the decisions that the latest events call for, at most once per
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
		// This controller's own commit of the view is ahead of the watch, so the mirror may
		// still lack transactions committed under the previous view. A decision made now would
		// miss their quota charges and placements.
		c.dirty = true
		return
	}
	c.updateRole()
	c.updateChecks()
	c.followCloud()
	c.shard.Reconcile()
	c.verifyLaunches()
	c.reconcileLeader()
	c.api.ReconcileRuns()
	c.calendar.Reconcile(c.role != members.Outside)
	c.client.Dispatch(c.state.Now)
}

// reconcileLeader makes the leader's decisions. It examines every machine, so the minimum pause
// between two passes grows with their number.
func (c *Controller) reconcileLeader() {
	pause := tuning.ReconcileGap + time.Duration(len(c.state.Machines))*tuning.LeaderGapPerMachine
	if c.state.Now.Sub(c.leaderReconciledAt) < pause {
		c.dirty = c.dirty || c.role == members.Leader
		return
	}
	c.leaderReconciledAt = c.state.Now
	c.runLeaderDuties()
}

// Wait returns how long the loop may sleep.
func (c *Controller) Wait() time.Duration {
	if c.dirty {
		return c.api.WaitForHeld(tuning.ReconcileGap)
	}
	if c.client.Waiting() > 0 {
		return c.api.WaitForHeld(tuning.DispatchGap)
	}
	return c.api.WaitForHeld(tuning.Tick)
}

// Request handles a request from a user, an operator or an agent. respond is called exactly once.
func (c *Controller) Request(request *http1.Message, respond func(http1.Reply)) {
	party := callerrors.AgentRequests
	if api.IsUserRequest(request) {
		party = callerrors.Users
	}
	c.api.Request(request, func(reply http1.Reply) {
		c.callErrors.Note(party, request.Method, request.Target, reply.Status, reply.Body)
		respond(reply)
	})
}

// reviewMachineOf schedules a review of the machine that a task is on, if any.
func (c *Controller) reviewMachineOf(t *clusterstate.Task) {
	if t.Machine != "" {
		c.shard.ReviewMachine(t.Machine)
		c.dirty = true
	}
}
