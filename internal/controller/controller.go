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
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/api"
	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/callerrors"
	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/commit"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/lending"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/membership"
	"github.com/harrierreel/harrierreel/internal/peer"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/provisioning"
	"github.com/harrierreel/harrierreel/internal/queue"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/reachability"
	"github.com/harrierreel/harrierreel/internal/readconsistency"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/shard"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Transport is everything a node can reach. Answers come back on the loop,
// through Run.
type Transport struct {
	State       store.Call
	Watch       store.Call
	Cloud       store.Call
	Worker      func(endpoint, method, target string, body []byte, timeout time.Duration, done func(status int, body []byte, err error))
	Gossip      func(peer string, line []byte)
	WallClockMs func() int64 // time of day in ms; nil: that of the loop
}

// countingErrors is the same with all answers that are refusals counted.
func (t Transport) countingErrors(counter *callerrors.Counter) Transport {
	wrap := func(party callerrors.Party, call store.Call) store.Call {
		return func(method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
			call(method, target, body, timeout, func(status int, answer []byte, err error) {
				counter.Note(party, method, target, status, answer)
				done(status, answer, err)
			})
		}
	}
	worker := t.Worker
	t.State, t.Watch, t.Cloud = wrap(callerrors.State, t.State), wrap(callerrors.State, t.Watch), wrap(callerrors.Cloud, t.Cloud)
	t.Worker = func(endpoint, method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
		worker(endpoint, method, target, body, timeout, func(status int, answer []byte, err error) {
			counter.Note(callerrors.Worker, method, target, status, answer)
			done(status, answer, err)
		})
	}
	return t
}

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

// outsideView tells whether the known view does not name this controller.
func (c *Controller) outsideView() bool { return c.role == members.Outside }

// knownEpoch is up to where the mirror shows all changes of the store.
func (c *Controller) knownEpoch() uint64 { return c.mirror.Epoch }

// viewEpoch is the epoch of the view that this controller's role is from.
func (c *Controller) viewEpoch() uint64 { return c.roleEpoch }

// memberNames lists the members of the known view.
func (c *Controller) memberNames() []string { return c.view.Names() }

// mirrorLive tells whether the mirror follows the store.
func (c *Controller) mirrorLive() bool { return c.sync.live }

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

// hearsAllMembers tells whether the lines of all other members come in.
func (c *Controller) hearsAllMembers() bool {
	if c.view == nil {
		return true
	}
	others := slices.DeleteFunc(slices.Clone(c.view.Names()), func(name string) bool { return name == c.settings.NodeName })
	return c.acks.HearsAll(others, c.Now)
}

// broadcastAcks tells the other controllers what users are about to be told of jobs, before the
// answers leave.
func (c *Controller) broadcastAcks() {
	for _, line := range c.acks.TakeUnsent() {
		h := c.newGossip(cancellation.Message{})
		h.Acknowledged, h.Epoch, h.MachinesHeardEpoch = &line, 0, 0
		b := peer.Encode(h)
		for _, p := range c.settings.Peers {
			c.transport.Gossip(p.NodeName, b)
		}
	}
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

// Role is this node's role under the last view it knows.
func (c *Controller) Role() members.Role { return c.role }

// ReceiveGossip takes a line from a peer.
func (c *Controller) ReceiveGossip(line []byte) {
	h, err := peer.Decode(line, func(name string) bool {
		return slices.ContainsFunc(c.settings.Peers, func(p settings.Peer) bool { return p.NodeName == name })
	})
	if err != nil {
		var decodeError *peer.DecodeError
		if errors.As(err, &decodeError) {
			c.callErrors.Note(callerrors.Peers, "line", string(decodeError.Reason), http.StatusBadRequest, line)
		}
		return
	}
	c.membership.PeerAlive(h.From)
	c.cancellations.Receive(h.From, h.Message)
	c.acks.PeerAlive(h.From, c.Now)
	if h.Acknowledged != nil {
		c.acks.ApplyPeerAcks(*h.Acknowledged, c.Now)
	}
	c.reachability.ApplyGossip(h.From, h.StoreReachable, h.Isolated)
	c.shard.Reconciling.OtherHeard(h.From, h.MachinesHeardEpoch, h.Epoch)
	if h.Epoch > c.mirror.Epoch {
		if c.lateSince.IsZero() {
			c.lateSince = c.Now
		}
		c.watchNow()
	}
	// A worker that cannot reach its owner always tries the same next node,
	// which need not be the leader.
	for _, machine := range h.Unreached[:min(len(h.Unreached), tuning.MaxUnreached)] {
		if owner := c.ownerOf(machine); owner != h.From && c.Machines[machine] != nil {
			c.reachability.Complain(owner, machine, false)
		}
	}
}

func (c *Controller) sendGossip() {
	news := c.mirror.Epoch > c.gossipedEpoch
	if !news && c.Now.Sub(c.gossipedAt) < tuning.GossipEvery {
		return
	}
	if c.Now.Sub(c.gossipedAt) < tuning.GossipEvery/2 {
		return
	}
	c.gossipedAt, c.gossipedEpoch = c.Now, c.mirror.Epoch
	h := c.newGossip(c.cancellations.Handshake())
	h.Unreached = c.reachability.LocalComplaints()
	line := peer.Encode(h)
	for _, p := range c.settings.Peers {
		c.transport.Gossip(p.NodeName, line)
	}
}

// newGossip is what this node says of itself with each line, beside what the line is about.
func (c *Controller) newGossip(m cancellation.Message) peer.Gossip {
	return peer.Gossip{From: c.settings.NodeName, Message: m, Epoch: c.mirror.Epoch, StoreReachable: c.sync.live && !c.client.Unavailable(), Isolated: c.reachability.Isolated(), MachinesHeardEpoch: c.machinesHeardEpoch()}
}

// send sends a peer a line about cancellations.
func (c *Controller) send(name string, m cancellation.Message) {
	c.transport.Gossip(name, peer.Encode(c.newGossip(m)))
}

// machinesHeardEpoch is the view under which this node has heard its machines, as its own watch
// shows: whoever is told waits for that epoch.
func (c *Controller) machinesHeardEpoch() uint64 {
	for _, key := range c.shard.UnresponsiveKeys() {
		if c.mirror.Epoch < c.mirror.Revision(key) {
			return 0
		}
	}
	return c.shard.MachinesHeardEpoch()
}

// logWriteCounts logs what the changes of the state service were spent on.
func (c *Controller) logWriteCounts() {
	if c.Now.Sub(c.changesLoggedAt) >= tuning.Step {
		c.changesLoggedAt = c.Now
		c.log.Debug("changes", "sent", fmt.Sprint(c.client.TakeWriteCounts()))
	}
}

// logCallErrors logs which calls were refused, once a minute.
func (c *Controller) logCallErrors() {
	wrong, load := c.callErrors.Due(c.Now)
	if wrong != "" {
		c.log.Error("calls refused that should not have been made", "calls", wrong)
	}
	if load != "" {
		c.log.Info("calls refused", "calls", load)
	}
}

// ProtocolErrors counts the calls and decisions so far that a correct program never makes.
func (c *Controller) ProtocolErrors() int { return c.callErrors.Unexpected + c.committer.Quarantined() }

// applyChange takes a change of the mirror into the typed state. An unreadable
// record is reported and set aside: it stays in the store, and nothing is
// decided from it.
func (c *Controller) applyChange(key string, value json.RawMessage, revision uint64) {
	c.dirty = true
	switch {
	case c.calendar.Changed(key, value):
	case key == members.ViewKey:
		if v, ok := members.Decode(value); ok {
			c.view = v
			for _, m := range c.Machines {
				m.Owner = c.ownerOf(m.Name)
			}
		} else if value != nil {
			c.log.Error("unreadable view", "stamp", revision)
		}
	case hasPrefix(key, members.MemberPrefix):
		c.membership.ApplyMember(members.NameOfKey(key), value)
	case hasPrefix(key, standby.ProbePrefix):
		c.membership.ApplyProbe(key[len(standby.ProbePrefix):], value)
	case hasPrefix(key, members.CapabilitiesPrefix):
		c.membership.ApplyCapabilities(key[len(members.CapabilitiesPrefix):], value)
	case hasPrefix(key, fleet.UnresponsivePrefix):
		if err := c.shard.ApplyUnresponsive(key[len(fleet.UnresponsivePrefix):], value); err != nil {
			c.log.Error("unreadable list of machines set aside", "key", key, "error", err)
		}
	case hasPrefix(key, jobs.TaskPrefix), hasPrefix(key, taskbatch.KeyPrefix), hasPrefix(key, jobs.JobPrefix):
		c.applyWork(key, value, revision)
	case hasPrefix(key, fleet.MachinePrefix):
		c.applyMachine(key[len(fleet.MachinePrefix):], value)
	case fleet.ClaimsNumber(key) > 0:
		if err := c.queue.ApplyClaims(key, value); err != nil {
			c.log.Error("unreadable claims set aside", "error", err)
		}
	case hasPrefix(key, provisioning.MachineTypePrefix):
		var b jobs.MachineType
		if value == nil {
			delete(c.MachineTypes, key[len(provisioning.MachineTypePrefix):])
		} else if json.Unmarshal(value, &b) == nil && b.Name != "" {
			c.MachineTypes[b.Name] = &b
		} else {
			c.log.Error("unreadable machine type", "key", key)
		}
	case provisioning.IsSummaryKey(key):
		c.provisioner.ApplySummary(key, value)
	case hasPrefix(key, jobs.FinalPrefix):
		c.api.ApplyFinal(key[len(jobs.FinalPrefix):], value)
	case key == quota.StoreKey:
		c.api.ApplyQuota(value)
	case hasPrefix(key, lending.Prefix):
		c.queue.ApplyLoans(key, value)
	case hasPrefix(key, pipelines.RunPrefix):
		c.api.ApplyRun(key[len(pipelines.RunPrefix):], value)
	}
}

// applyWork takes the record of a job or of tasks in.
func (c *Controller) applyWork(key string, value json.RawMessage, revision uint64) {
	var jobIDs []string
	var err error
	switch {
	case hasPrefix(key, taskbatch.KeyPrefix):
		jobIDs, err = c.ApplyBatch(key, value, revision)
	case hasPrefix(key, jobs.TaskPrefix):
		jobIDs = []string{""}
		jobIDs[0], err = c.ApplyTaskRange(key, value)
	default:
		jobIDs = []string{key[len(jobs.JobPrefix):]}
		err = c.ApplyJob(jobIDs[0], value)
	}
	if err != nil {
		c.log.Error("unreadable record set aside", "key", key, "error", err)
	}
	for _, jobID := range jobIDs {
		c.api.RunJobChanged(jobID)
	}
}

// applyMachine takes a machine's record in.
func (c *Controller) applyMachine(name string, value json.RawMessage) {
	c.shard.ReviewMachine(name)
	if err := c.ApplyMachine(name, c.ownerOf(name), value); err != nil {
		c.log.Error("unreadable machine record set aside", "machine", name, "error", err)
	}
	if value == nil {
		c.reachability.MachineRemoved(name)
		c.shard.MachineRemoved(name)
	}
}

func hasPrefix(s, p string) bool { return len(s) > len(p) && s[:len(p)] == p }

// mayDecide tells whether this node may decide for users.
func (c *Controller) mayDecide() bool {
	return !c.client.Unavailable() && c.sync.live && c.role != members.Outside && c.membership.Certain()
}

// healthy tells whether users should be sent here. During an outage of the state
// service every node stays up and refuses at once; a node that alone is refused, as
// its peers' hints show, steps aside.
func (c *Controller) healthy() bool {
	return c.sync.live && c.role != members.Outside && c.membership.Certain() && c.shuttingDownSince.IsZero() && !(c.client.Unavailable() && c.reachability.StoreReachableElsewhere())
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

// ownerOf is the controller that a machine belongs to under the known view.
func (c *Controller) ownerOf(machine string) string {
	if c.view == nil {
		return ""
	}
	return sharding.Owner(machine, c.view.Names())
}
