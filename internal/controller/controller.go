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
func (o Transport) countingErrors(c *callerrors.Counter) Transport {
	wrap := func(party callerrors.Party, call store.Call) store.Call {
		return func(method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
			call(method, target, body, timeout, func(status int, answer []byte, err error) {
				c.Note(party, method, target, status, answer)
				done(status, answer, err)
			})
		}
	}
	worker := o.Worker
	o.State, o.Watch, o.Cloud = wrap(callerrors.State, o.State), wrap(callerrors.State, o.Watch), wrap(callerrors.Cloud, o.Cloud)
	o.Worker = func(endpoint, method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
		worker(endpoint, method, target, body, timeout, func(status int, answer []byte, err error) {
			c.Note(callerrors.Worker, method, target, status, answer)
			done(status, answer, err)
		})
	}
	return o
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
	n := &Controller{settings: set, log: log, rand: rng, role: members.Outside}
	n.transport = out.countingErrors(&n.callErrors)
	n.State = clusterstate.New(quota.Flat(set.TeamMap()), n.reviewMachine)
	n.client = n.newClient()
	n.cancellations = n.newCancellations()
	n.acks = n.newAckLog()
	n.mirror = n.newMirror()
	n.committer = n.newCommitter()
	n.reachability = n.newReachability()
	n.membership = n.newMembership()
	n.calendar = n.newCalendar()
	n.queue = n.newQueue()
	n.provisioner = n.newProvisioner()
	n.shard = n.newShard()
	n.api = n.newAPI()
	n.leaderState.reset()
	n.updateBudget()
	return n
}

// wake has the loop look for decisions to take.
func (n *Controller) wake() { n.dirty = true }

// reviewMachine has a machine's records compared with its heartbeats.
func (n *Controller) reviewMachine(machine string) {
	n.shard.ReviewMachine(machine)
	n.dirty = true
}

// outsideView tells whether the known view does not name this controller.
func (n *Controller) outsideView() bool { return n.role == members.Outside }

// knownEpoch is up to where the mirror shows all changes of the store.
func (n *Controller) knownEpoch() uint64 { return n.mirror.Epoch }

// viewEpoch is the epoch of the view that this controller's role is from.
func (n *Controller) viewEpoch() uint64 { return n.roleEpoch }

// memberNames lists the members of the known view.
func (n *Controller) memberNames() []string { return n.view.Names() }

// mirrorLive tells whether the mirror follows the store.
func (n *Controller) mirrorLive() bool { return n.sync.live }

// Run enters the loop: f is an event, now its time.
func (n *Controller) Run(now time.Time, f func()) {
	last := n.Now
	n.Now = now
	if gap := now.Sub(last); gap >= tuning.Standstill && !last.IsZero() {
		n.handleStall(gap)
	}
	n.client.Dispatch(now)
	f()
	n.api.ReleaseHeld()
	n.cancellations.Broadcast()
	n.broadcastAcks()
	n.reconcile()
}

// hearsAllMembers tells whether the lines of all other members come in.
func (n *Controller) hearsAllMembers() bool {
	if n.view == nil {
		return true
	}
	others := slices.DeleteFunc(slices.Clone(n.view.Names()), func(name string) bool { return name == n.settings.NodeName })
	return n.acks.HearsAll(others, n.Now)
}

// broadcastAcks tells the other controllers what users are about to be told of jobs, before the
// answers leave.
func (n *Controller) broadcastAcks() {
	for _, line := range n.acks.TakeUnsent() {
		h := n.newGossip(cancellation.Message{})
		h.Acknowledged, h.Epoch, h.MachinesHeardEpoch = &line, 0, 0
		b := peer.Encode(h)
		for _, p := range n.settings.Peers {
			n.transport.Gossip(p.NodeName, b)
		}
	}
}

// Tick is the loop's clock.
func (n *Controller) Tick(now time.Time) {
	n.Run(now, func() {
		n.measureLoopLag()
		n.continueShutdown()
		n.membership.Reconcile()
		n.reachability.Reconcile()
		n.syncMirror()
		n.sendGossip()
		n.cancellations.Reconcile()
		n.api.ReconcileQueries()
		n.logWriteCounts()
		n.logCallErrors()
		n.dirty = true
	})
}

// reconcile takes the decisions that the last events made possible, not more
// often than the pass gap.
func (n *Controller) reconcile() {
	if !n.dirty || n.Now.Sub(n.settledAt) < tuning.ReconcileGap {
		return
	}
	n.dirty, n.settledAt = false, n.Now
	if !n.caughtUp() || !n.membership.Certain() {
		n.dirty = n.sync.live
		return
	}
	if n.mirror.Epoch < n.mirror.Revision(members.ViewKey) {
		// Our own commit of the view is ahead of the watch: what the last view
		// still committed is not all here yet, and deciding without it would
		// forget charges and placements.
		n.dirty = true
		return
	}
	n.updateRole()
	n.updateChecks()
	n.followCloud()
	n.shard.Reconcile()
	// The leader's pass looks at every machine, so its pace follows their number.
	if gap := tuning.ReconcileGap + time.Duration(len(n.Machines))*tuning.LeaderGapPerMachine; n.Now.Sub(n.leaderPassAt) >= gap {
		n.leaderPassAt = n.Now
		n.runLeaderDuties()
	} else {
		n.dirty = n.dirty || n.role == members.Leader
	}
	n.api.ReconcileRuns()
	n.calendar.Reconcile(n.role != members.Outside)
	n.client.Dispatch(n.Now)
}

// Wait tells how long the loop may sleep.
func (n *Controller) Wait() time.Duration {
	if n.dirty {
		return n.api.WaitForHeld(tuning.ReconcileGap)
	}
	if n.client.Waiting() > 0 {
		return n.api.WaitForHeld(tuning.DispatchGap)
	}
	return n.api.WaitForHeld(tuning.Tick)
}

// Role is this node's role under the last view it knows.
func (n *Controller) Role() members.Role { return n.role }

// ReceiveGossip takes a line from a peer.
func (n *Controller) ReceiveGossip(line []byte) {
	h, err := peer.Decode(line, func(name string) bool {
		return slices.ContainsFunc(n.settings.Peers, func(p settings.Peer) bool { return p.NodeName == name })
	})
	if err != nil {
		var decodeError *peer.DecodeError
		if errors.As(err, &decodeError) {
			n.callErrors.Note(callerrors.Peers, "line", string(decodeError.Reason), http.StatusBadRequest, line)
		}
		return
	}
	n.membership.PeerAlive(h.From)
	n.cancellations.Receive(h.From, h.Message)
	n.acks.PeerAlive(h.From, n.Now)
	if h.Acknowledged != nil {
		n.acks.ApplyPeerAcks(*h.Acknowledged, n.Now)
	}
	n.reachability.ApplyGossip(h.From, h.StoreReachable, h.Isolated)
	n.shard.Reconciling.OtherHeard(h.From, h.MachinesHeardEpoch, h.Epoch)
	if h.Epoch > n.mirror.Epoch {
		if n.lateSince.IsZero() {
			n.lateSince = n.Now
		}
		n.watchNow()
	}
	// A worker that cannot reach its owner always tries the same next node,
	// which need not be the leader.
	for _, machine := range h.Unreached[:min(len(h.Unreached), tuning.MaxUnreached)] {
		if owner := n.ownerOf(machine); owner != h.From && n.Machines[machine] != nil {
			n.reachability.Complain(owner, machine, false)
		}
	}
}

func (n *Controller) sendGossip() {
	news := n.mirror.Epoch > n.gossipedEpoch
	if !news && n.Now.Sub(n.gossipedAt) < tuning.GossipEvery {
		return
	}
	if n.Now.Sub(n.gossipedAt) < tuning.GossipEvery/2 {
		return
	}
	n.gossipedAt, n.gossipedEpoch = n.Now, n.mirror.Epoch
	h := n.newGossip(n.cancellations.Handshake())
	h.Unreached = n.reachability.LocalComplaints()
	line := peer.Encode(h)
	for _, p := range n.settings.Peers {
		n.transport.Gossip(p.NodeName, line)
	}
}

// newGossip is what this node says of itself with each line, beside what the line is about.
func (n *Controller) newGossip(m cancellation.Message) peer.Gossip {
	return peer.Gossip{From: n.settings.NodeName, Message: m, Epoch: n.mirror.Epoch, StoreReachable: n.sync.live && !n.client.Unavailable(), Isolated: n.reachability.Isolated(), MachinesHeardEpoch: n.machinesHeardEpoch()}
}

// send sends a peer a line about cancellations.
func (n *Controller) send(name string, m cancellation.Message) {
	n.transport.Gossip(name, peer.Encode(n.newGossip(m)))
}

// machinesHeardEpoch is the view under which this node has heard its machines, as its own watch
// shows: whoever is told waits for that epoch.
func (n *Controller) machinesHeardEpoch() uint64 {
	for _, key := range n.shard.UnresponsiveKeys() {
		if n.mirror.Epoch < n.mirror.Revision(key) {
			return 0
		}
	}
	return n.shard.MachinesHeardEpoch()
}

// logWriteCounts logs what the changes of the state service were spent on.
func (n *Controller) logWriteCounts() {
	if n.Now.Sub(n.changesLoggedAt) >= tuning.Step {
		n.changesLoggedAt = n.Now
		n.log.Debug("changes", "sent", fmt.Sprint(n.client.TakeWriteCounts()))
	}
}

// logCallErrors logs which calls were refused, once a minute.
func (n *Controller) logCallErrors() {
	wrong, load := n.callErrors.Due(n.Now)
	if wrong != "" {
		n.log.Error("calls refused that should not have been made", "calls", wrong)
	}
	if load != "" {
		n.log.Info("calls refused", "calls", load)
	}
}

// ProtocolErrors counts the calls and decisions so far that a correct program never makes.
func (n *Controller) ProtocolErrors() int { return n.callErrors.Unexpected + n.committer.Quarantined() }

// applyChange takes a change of the mirror into the typed state. An unreadable
// record is reported and set aside: it stays in the store, and nothing is
// decided from it.
func (n *Controller) applyChange(key string, value json.RawMessage, revision uint64) {
	n.dirty = true
	switch {
	case n.calendar.Changed(key, value):
	case key == members.ViewKey:
		if v, ok := members.Decode(value); ok {
			n.view = v
			for _, m := range n.Machines {
				m.Owner = n.ownerOf(m.Name)
			}
		} else if value != nil {
			n.log.Error("unreadable view", "stamp", revision)
		}
	case hasPrefix(key, members.MemberPrefix):
		n.membership.ApplyMember(members.NameOfKey(key), value)
	case hasPrefix(key, standby.ProbePrefix):
		n.membership.ApplyProbe(key[len(standby.ProbePrefix):], value)
	case hasPrefix(key, members.CapabilitiesPrefix):
		n.membership.ApplyCapabilities(key[len(members.CapabilitiesPrefix):], value)
	case hasPrefix(key, fleet.UnresponsivePrefix):
		if err := n.shard.ApplyUnresponsive(key[len(fleet.UnresponsivePrefix):], value); err != nil {
			n.log.Error("unreadable list of machines set aside", "key", key, "error", err)
		}
	case hasPrefix(key, jobs.TaskPrefix), hasPrefix(key, taskbatch.KeyPrefix), hasPrefix(key, jobs.JobPrefix):
		n.applyWork(key, value, revision)
	case hasPrefix(key, fleet.MachinePrefix):
		n.applyMachine(key[len(fleet.MachinePrefix):], value)
	case fleet.ClaimsNumber(key) > 0:
		if err := n.queue.ApplyClaims(key, value); err != nil {
			n.log.Error("unreadable claims set aside", "error", err)
		}
	case hasPrefix(key, provisioning.MachineTypePrefix):
		var b jobs.MachineType
		if value == nil {
			delete(n.MachineTypes, key[len(provisioning.MachineTypePrefix):])
		} else if json.Unmarshal(value, &b) == nil && b.Name != "" {
			n.MachineTypes[b.Name] = &b
		} else {
			n.log.Error("unreadable machine type", "key", key)
		}
	case provisioning.IsSummaryKey(key):
		n.provisioner.ApplySummary(key, value)
	case hasPrefix(key, jobs.FinalPrefix):
		n.api.ApplyFinal(key[len(jobs.FinalPrefix):], value)
	case key == quota.StoreKey:
		n.api.ApplyQuota(value)
	case hasPrefix(key, lending.Prefix):
		n.queue.ApplyLoans(key, value)
	case hasPrefix(key, pipelines.RunPrefix):
		n.api.ApplyRun(key[len(pipelines.RunPrefix):], value)
	}
}

// applyWork takes the record of a job or of tasks in.
func (n *Controller) applyWork(key string, value json.RawMessage, revision uint64) {
	var jobIDs []string
	var err error
	switch {
	case hasPrefix(key, taskbatch.KeyPrefix):
		jobIDs, err = n.ApplyBatch(key, value, revision)
	case hasPrefix(key, jobs.TaskPrefix):
		jobIDs = []string{""}
		jobIDs[0], err = n.ApplyTaskRange(key, value)
	default:
		jobIDs = []string{key[len(jobs.JobPrefix):]}
		err = n.ApplyJob(jobIDs[0], value)
	}
	if err != nil {
		n.log.Error("unreadable record set aside", "key", key, "error", err)
	}
	for _, jobID := range jobIDs {
		n.api.RunJobChanged(jobID)
	}
}

// applyMachine takes a machine's record in.
func (n *Controller) applyMachine(name string, value json.RawMessage) {
	n.shard.ReviewMachine(name)
	if err := n.ApplyMachine(name, n.ownerOf(name), value); err != nil {
		n.log.Error("unreadable machine record set aside", "machine", name, "error", err)
	}
	if value == nil {
		n.reachability.MachineRemoved(name)
		n.shard.MachineRemoved(name)
	}
}

func hasPrefix(s, p string) bool { return len(s) > len(p) && s[:len(p)] == p }

// mayDecide tells whether this node may decide for users.
func (n *Controller) mayDecide() bool {
	return !n.client.Unavailable() && n.sync.live && n.role != members.Outside && n.membership.Certain()
}

// healthy tells whether users should be sent here. During an outage of the state
// service every node stays up and refuses at once; a node that alone is refused, as
// its peers' hints show, steps aside.
func (n *Controller) healthy() bool {
	return n.sync.live && n.role != members.Outside && n.membership.Certain() && n.shuttingDownSince.IsZero() && !(n.client.Unavailable() && n.reachability.StoreReachableElsewhere())
}

// Request takes a request from the front door. respond is called exactly once.
func (n *Controller) Request(m *http1.Message, respond func(http1.Reply)) {
	party := callerrors.Workers
	if api.IsUsers(m) {
		party = callerrors.Users
	}
	n.api.Request(m, func(r http1.Reply) {
		n.callErrors.Note(party, m.Method, m.Target, r.Status, r.Body)
		respond(r)
	})
}

// reviewMachineOf has a task's machine reviewed.
func (n *Controller) reviewMachineOf(t *clusterstate.Task) {
	if t.Machine != "" {
		n.shard.ReviewMachine(t.Machine)
		n.dirty = true
	}
}

// ownerOf is the controller that a machine belongs to under the known view.
func (n *Controller) ownerOf(machine string) string {
	if n.view == nil {
		return ""
	}
	return sharding.Owner(machine, n.view.Names())
}
