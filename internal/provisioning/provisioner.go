// Package provisioning scales the cluster out and in: it reads the cloud's machine list and
// catalogue, requests the machines that the autoscaler's plan and the queue need, gives up and
// deletes machines, and frees their tasks. Only the leader uses it, except for FollowCloud and
// ApplySummary, which every controller may call. Its output is cloud requests and decisions; it
// does no I/O and reads no clock.
package provisioning

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/queue"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Keys in the state service.
const (
	// MachineTypePrefix is the key prefix of the machine types, which all controllers read.
	MachineTypePrefix = "build/"
	// SummaryKey is the key of the autoscaler's summary, or of its first part.
	SummaryKey = "scaler"
)

// Config holds the provisioner's settings and its logger.
type Config struct {
	Operator   settings.Operator
	Cluster    settings.Cluster
	ValueBytes int // maximum size of a value in the state service
	Log        *slog.Logger
	Rand       *rand.Rand // for the autoscaler's samples
}

// Cloud sends requests to the cloud.
type Cloud interface {
	// Send sends a request and calls done with the response on the event loop.
	Send(method, target string, body []byte, timeout time.Duration, done responseFunc)
}

// responseFunc handles a response of the cloud: its status and body, or the error if there is none.
type responseFunc = func(status int, body []byte, err error)

// Leadership reports on this controller's role as the leader.
type Leadership interface {
	// IsLeader reports whether this controller is the leader, and in which epoch.
	IsLeader() (bool, uint64)
	// MayScaleOut reports whether the checks that a leader has to make before it requests machines
	// are complete.
	MayScaleOut() bool
	// Reconciled reports whether reconciliation is complete. Until then writes are needed for more
	// important things than removing records that are no longer read.
	Reconciled() bool
}

// Loop is the controller's event loop.
type Loop interface {
	// Wake makes the loop check for work.
	Wake()
}

// CommitQueue queues decisions to be committed.
type CommitQueue interface {
	// Commit queues decisions. Each is notified whether it was committed.
	Commit(decisions []decide.Decision)
	// Busy reports whether a key is part of a transaction in flight.
	Busy(key string) bool
}

// Budget is the write budget of the state service's client.
type Budget interface {
	// Allows reports whether the given number of writes may be sent now, in addition to those
	// already spent.
	Allows(spent, writes int) bool
	// HasSpareWrites reports whether writes are left for work that is not urgent.
	HasSpareWrites() bool
	// Unavailable reports whether the state service does not respond.
	Unavailable() bool
	// Waiting returns the number of calls that wait to be sent.
	Waiting() int
}

// Records provides the revisions of stored records.
type Records interface {
	// Revision returns a key's latest revision, 0 if the key does not exist.
	Revision(key string) uint64
}

// Transitions builds decisions that change the state of tasks and machines.
type Transitions interface {
	// TaskLost returns the decision for a task whose machine is gone. The task may be placed again
	// after the delay.
	TaskLost(task *clusterstate.Task, kind jobs.TaskEventKind, delay time.Duration) decide.Decision
	// TransitionMachine returns the decisions for an event of a machine.
	TransitionMachine(machine string, event fleet.Event, reason string) []decide.Decision
}

// Machines provides information on machines that is not in their records.
type Machines interface {
	// InUse reports whether a machine is up, sends heartbeats and is not being decommissioned.
	InUse(machine *clusterstate.Machine) bool
	// UnresponsivenessOf returns its owner's report on a machine, and whether the machine is
	// unresponsive.
	UnresponsivenessOf(machine *clusterstate.Machine) (fleet.Unresponsiveness, bool)
	// LastHeard returns the time of the last heartbeat that a machine is known to have sent to
	// another controller than its owner, or the zero time if there was none.
	LastHeard(machine string) time.Time
	// HasSession reports whether this controller has a session with a machine's agent.
	HasSession(machine string) bool
}

// Collaborators are the parts of the controller that the provisioner depends on.
type Collaborators struct {
	Queue       *queue.Queue
	Cloud       Cloud
	Leadership  Leadership
	Loop        Loop
	Commits     CommitQueue
	Budget      Budget
	Records     Records
	Transitions Transitions
	Machines    Machines
}

// Provisioner manages the cluster's machines for the leader. It holds the leader's knowledge of the
// cloud.
type Provisioner struct {
	state         *clusterstate.State
	config        Config
	collaborators Collaborators

	// Summary is the latest stored summary, joined from summaryParts, which are by number.
	Summary      Summary
	summaryParts map[int]Summary
	// ObservingSince is when this controller became the leader, or last resumed after its process
	// had stalled. The controller sets it.
	ObservingSince time.Time

	unavailableAt    time.Time // when the state service was last unavailable
	cloud            cloudState
	followed         followedCloud
	decommissionedAt time.Time // when Decommission last ran
	// partitionedAt is when so many machines were last unresponsive that a network partition was
	// the likelier cause.
	partitionedAt time.Time
}

// New returns a provisioner for the cluster's state.
func New(state *clusterstate.State, config Config, collaborators Collaborators) *Provisioner {
	p := &Provisioner{
		state:         state,
		config:        config,
		collaborators: collaborators,
		summaryParts:  map[int]Summary{},
	}
	p.cloud.reset()
	return p
}

// Reset discards the state that is kept only while leading. A new leader starts from the records,
// the summary and the cloud's machine list.
func (p *Provisioner) Reset() {
	p.cloud.reset()
	p.decommissionedAt = time.Time{}
	p.ObservingSince = p.state.Now
	// Launch requests of the previous leader, whose machines may not be listed yet.
	p.cloud.requests, p.cloud.requestsKnown = slices.Clone(p.Summary.Requests), true
	p.useFollowedCloud()
}

// CatalogKnown reports whether the catalogue of machine types and prices is known.
func (p *Provisioner) CatalogKnown() bool { return p.cloud.catalog != nil }

// ListKnown reports whether this leader knows the cloud's machine list.
func (p *Provisioner) ListKnown() bool { return !p.cloud.listedAt.IsZero() }

// RequestsKnown reports whether the launch requests of the previous leader have been taken over
// from the summary, so that machines missing from the list are counted.
func (p *Provisioner) RequestsKnown() bool { return p.cloud.requestsKnown }

// IsDecommissioning reports whether a machine is given up or has been deleted.
func (p *Provisioner) IsDecommissioning(machine string) bool {
	return p.cloud.givenUp[machine] != "" || p.cloud.deleteConfirmed[machine]
}

// Reconcile does the work that is due: it reads the catalogue and the machine list, plans, and
// sends waiting requests.
func (p *Provisioner) Reconcile() {
	c := &p.cloud
	now := p.state.Now
	if p.collaborators.Budget.Unavailable() {
		p.unavailableAt = now
	}
	p.refillCallTokens()
	if !c.readingCatalog && (c.catalog == nil || now.Sub(c.catalogAt) > tuning.CatalogEvery) {
		p.readCatalog()
	}
	if !c.readingList && (c.listedAt.IsZero() || now.Sub(c.listedAt) > p.listInterval()) {
		p.readList()
	}
	if p.planDue() {
		c.plannedAt = now
		c.openRequests = 0
		p.plan()
	}
	p.sendWaitingCalls()
}

// planDue reports whether the next plan step is due and everything that it needs is known.
func (p *Provisioner) planDue() bool {
	c := &p.cloud
	return c.catalog != nil && !c.listedAt.IsZero() &&
		p.state.Now.Sub(c.plannedAt) >= jobs.Seconds(p.config.Operator.StepS) &&
		!p.collaborators.Budget.Unavailable() && p.collaborators.Leadership.MayScaleOut()
}
