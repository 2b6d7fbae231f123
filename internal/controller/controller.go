// Package controller joins the slices into one controller. One loop owns all state:
// messages and pulses come in, calls to the outside go out, and their answers
// come back through the same loop. It does no IO and reads no clock, so the
// scenarios run it against stand-ins.
//
// Everything it does follows from the mirror of the state service: a decision
// is a transaction conditional on the view and on every record it was made
// from, and commands to workers and the cloud are derived from committed
// records only. A lost, late or doubtful transaction therefore needs no memory
// of its own: whatever it did shows in the mirror.
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

// Controller is one controller.
type Controller struct {
	settings  *settings.Settings
	transport Transport
	log       *slog.Logger
	rand      *rand.Rand

	client *store.Client
	mirror *store.Mirror
	sync   syncState

	*clusterstate.State // what is known from the records
	view                *members.View

	role          members.Role
	roleEpoch     uint64
	gossipedAt    time.Time
	gossipedEpoch uint64

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

	dirty           bool
	settledAt       time.Time
	changesLoggedAt time.Time
	leaderPassAt    time.Time

	checks            standby.Checks // of this node as a leader
	tickedAt          time.Time      // when the loop's clock last came round
	loopLag           time.Duration  // how late it has been of late
	lateSince         time.Time      // since when others have seen more than the mirror, zero if not
	shuttingDownSince time.Time      // asked to end
}

// New makes a controller. It reads as the list of who depends on whom: what a collaborator needs of one that is made
// after it is looked up when it is called.
func New(set *settings.Settings, out Transport, log *slog.Logger, rng *rand.Rand) *Controller {
	c := &Controller{settings: set, log: log, rand: rng, role: members.Outside}
	c.transport = out.countingErrors(&c.callErrors)
	c.State = clusterstate.New(quota.Flat(set.TeamMap()), c.reviewMachine)
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

// wake has the loop look for decisions to take.
func (c *Controller) wake() { c.dirty = true }

// reviewMachine has a machine's records compared with its heartbeats.
func (c *Controller) reviewMachine(machine string) {
	c.shard.ReviewMachine(machine)
	c.dirty = true
}

// Run enters the loop: f is an event, now its time.
func (c *Controller) Run(now time.Time, f func()) {
	last := c.Now
	c.Now = now
	if gap := now.Sub(last); gap >= tuning.Standstill && !last.IsZero() {
		c.handleStall(gap)
	}
	c.client.Dispatch(now)
	f()
	c.api.ReleaseHeld()
	c.cancellations.Broadcast()
	c.broadcastAcks()
	c.reconcile()
}

// Tick is the loop's clock.
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

// reconcile takes the decisions that the last events made possible, not more
// often than the pass gap.
func (c *Controller) reconcile() {
	if !c.dirty || c.Now.Sub(c.settledAt) < tuning.ReconcileGap {
		return
	}
	c.dirty, c.settledAt = false, c.Now
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
	// The leader's pass looks at every machine, so its pace follows their number.
	if gap := tuning.ReconcileGap + time.Duration(len(c.Machines))*tuning.LeaderGapPerMachine; c.Now.Sub(c.leaderPassAt) >= gap {
		c.leaderPassAt = c.Now
		c.runLeaderDuties()
	} else {
		c.dirty = c.dirty || c.role == members.Leader
	}
	c.api.ReconcileRuns()
	c.calendar.Reconcile(c.role != members.Outside)
	c.client.Dispatch(c.Now)
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

// Request takes a request from the front door. respond is called exactly once.
func (c *Controller) Request(m *http1.Message, respond func(http1.Reply)) {
	party := callerrors.Workers
	if api.IsUsers(m) {
		party = callerrors.Users
	}
	c.api.Request(m, func(r http1.Reply) {
		c.callErrors.Note(party, m.Method, m.Target, r.Status, r.Body)
		respond(r)
	})
}

// reviewMachineOf has a task's machine reviewed.
func (c *Controller) reviewMachineOf(t *clusterstate.Task) {
	if t.Machine != "" {
		c.shard.ReviewMachine(t.Machine)
		c.dirty = true
	}
}
