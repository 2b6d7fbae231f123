// Package shard is the slice of an owner: the machines that a controller owns under
// the view, the sessions with their workers, what their reports mean for the
// records, what is commanded, and which machines are not heard. Decisions, answers
// and calls come out; it has no IO and no clock.
package shard

import (
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/provisioning"
	"github.com/harrierreel/harrierreel/internal/queue"
	"github.com/harrierreel/harrierreel/internal/reconcile"
	"github.com/harrierreel/harrierreel/internal/settings"
)

// Env is what an owner is told from outside: settings, and what others know.
type Env struct {
	Name       string
	Cluster    settings.Cluster
	ValueBytes int // bytes of a record
	Log        *slog.Logger
	Queue      *queue.Queue
	Rental     *provisioning.Provisioner

	// Call sends a request to a worker; its answer comes back on the loop.
	Call func(endpoint, method, target string, body []byte, timeout time.Duration, done func(status int, body []byte, err error))
	// Wake has the loop look again.
	Wake func()
	// MayAnswerAgents tells whether this node may answer workers, Outside whether it is
	// outside the view.
	MayAnswerAgents, OutsideView func() bool
	// Epoch is the view's, Members are those in it.
	Epoch   func() uint64
	Members func() []string
	// KnownEpoch is up to where all changes of the state service are known.
	KnownEpoch func() uint64
	// OwnerOf is the controller that a machine belongs to; Complain notes that a
	// worker came here although it was sent there.
	OwnerOf  func(machine string) string
	Complain func(owner, machine string, here bool)
	// Busy tells whether a record is under a transaction.
	Busy func(key string) bool
	// Allows tells whether the budget has so many changes now, Spare whether there is some
	// to spare.
	Allows         func(spent, writes int) bool
	HasSpareWrites func() bool
	// Commit takes decisions.
	Commit func([]decide.Decision)

	// Cancelled tells whether a job was told to be cancelled though its record here may
	// not show it. Renews tells whether workers' leases may be renewed, Launches whether
	// tasks may be launched; Withheld counts a report whose lease was not renewed
	// (package cancellation).
	Cancelled                 func(jobID string) bool
	MayRenewLeases, MayLaunch func() bool
	LeaseWithheld             func()
}

// Shard is what an owner keeps of its machines.
type Shard struct {
	*clusterstate.State
	Env

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

// New makes the part of an owner over a book.
func New(b *clusterstate.State, env Env) *Shard {
	return &Shard{
		State: b, Env: env, Reconciling: reconcile.New(env.Cluster.Workers.ReportS, env.Log), sessions: map[string]*agent.Session{}, health: map[string]*fleet.Health{}, newestHeartbeats: map[string][2]uint64{}, foreignHeartbeats: map[string]foreignHeartbeat{}, unresponsiveLists: map[string]fleet.UnresponsiveLists{},
		toReview: map[string]bool{}, revisit: map[string]bool{}, gathering: map[string]bool{}, vanished: map[string]bool{},
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
		if pt.OwnerOf(machine) != pt.Name {
			delete(pt.sessions, machine)
			continue
		}
		s.NewEpoch(pt.Epoch())
		if pt.Reconciling.Steady() || s.FailedCalls == 0 {
			s.LastCall = time.Time{}
		}
	}
	var own []string
	for _, m := range pt.Machines {
		if m.Owner == pt.Name {
			pt.keepSession(m)
			own = append(own, m.Name)
		}
	}
	var others []string
	if len(own) < len(pt.Machines) {
		others = slices.DeleteFunc(pt.Members(), func(m string) bool { return m == pt.Name })
	}
	pt.Reconciling.View(pt.Epoch(), own, others, pt.Now)
	pt.lastSweep = time.Time{}
}

// ApplyUnresponsive takes in which machines an owner does not hear. The name is that of one of
// its lists, the key without fleet.UnresponsivePrefix.
func (pt *Shard) ApplyUnresponsive(name string, value json.RawMessage) error {
	owner, number := fleet.ParseUnresponsiveKey(name)
	lists := pt.unresponsiveLists[owner]
	if value == nil {
		delete(lists, number)
	} else {
		list, err := fleet.DecodeUnresponsiveList(value)
		if err != nil {
			return err
		}
		if lists == nil {
			lists = fleet.UnresponsiveLists{}
			pt.unresponsiveLists[owner] = lists
		}
		lists[number] = list
	}
	if _, is := lists[1]; !is {
		delete(pt.Unresponsive, owner)
		return nil
	}
	pt.Unresponsive[owner] = lists.Join(pt.Unresponsive[owner], pt.Now)
	pt.confirmComplaints(owner)
	return nil
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
