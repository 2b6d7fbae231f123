package shard

import (
	"log/slog"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/settings"
)

// Config configures a Shard.
type Config struct {
	Name       string // of this controller
	Cluster    settings.Cluster
	ValueBytes int // maximum size of a stored value, in bytes
	Log        *slog.Logger
}

// Collaborators are the other parts of the controller that a shard calls. All are required.
type Collaborators struct {
	View          View
	Agents        AgentCaller
	Loop          LoopWaker
	Scheduler     Scheduler
	Provisioner   Provisioner
	Commits       CommitQueue
	Budget        WriteBudget
	Cancellations Cancellations
	Complaints    ComplaintLog
}

// View gives access to the membership view that this controller acts under.
type View interface {
	// OutsideView reports whether this controller is not in the view.
	OutsideView() bool
	// MayAnswerAgents reports whether this controller may answer heartbeats.
	MayAnswerAgents() bool
	// Epoch returns the epoch of the view.
	Epoch() uint64
	// KnownEpoch returns the epoch of the key-value store up to which all changes are known. It may
	// be higher than the view's epoch.
	KnownEpoch() uint64
	// Members returns the names of the controllers in the view.
	Members() []string
	// OwnerOf returns the controller that owns a machine without a record.
	OwnerOf(machine string) string
}

// AgentCaller sends requests to workers' agents.
type AgentCaller interface {
	// Call sends a request. It calls done with the answer on the controller's event loop, or with
	// http1.ErrNotSent if the request's permit ended before it was sent.
	Call(request agent.Request, done func(status int, body []byte, err error))
}

// LoopWaker makes the controller's event loop reconcile again without delay.
type LoopWaker interface {
	Wake()
}

// Scheduler places pending tasks on the machines of the shard.
type Scheduler interface {
	// Place runs one scheduling cycle and returns the decisions that place tasks.
	Place() []decide.Decision
	// ClaimedFor returns the ID of the job that a machine is claimed for, or "" if there is none.
	ClaimedFor(machine *clusterstate.Machine) string
	// MayBegin reports whether the calendar allows tasks of a job to start now.
	MayBegin(spec *jobs.Spec) bool
}

// Provisioner scales the fleet out and in.
type Provisioner interface {
	// Decommissioning reports whether a machine is being decommissioned.
	Decommissioning(machine string) bool
	// Draining reports whether a machine accepts no new tasks because it is to be scaled in.
	Draining(machine string) bool
}

// CommitQueue commits decisions to the key-value store.
type CommitQueue interface {
	// Busy reports whether a record is part of a pending transaction. A decision about it has to
	// wait.
	Busy(key string) bool
	// Commit queues decisions, to be committed in the given order.
	Commit(decisions []decide.Decision)
}

// WriteBudget limits the rate of writes to the key-value store.
type WriteBudget interface {
	// Allows reports whether the budget covers a number of writes in addition to those spent.
	Allows(spent, writes int) bool
	// HasSpareWrites reports whether writes need not be economized.
	HasSpareWrites() bool
	// UsesBatches reports whether batch records hold the task states of many jobs.
	UsesBatches() bool
}

// Cancellations gives access to the acknowledged cancellations that this controller knows of (see
// package cancellation).
type Cancellations interface {
	// Cancelled reports whether a job's cancellation was acknowledged. The mirrored record of the
	// job may not show it yet.
	Cancelled(jobID string) bool
	// MayRenewLeases reports whether replies to heartbeats may renew workers' leases.
	MayRenewLeases() bool
	// LaunchUntil returns the time until which launches of a job that is not Cancelled may be sent: for
	// how long its user cannot have been told of a cancellation that is not known here.
	LaunchUntil(jobID string) time.Time
	// LeaseWithheld counts a heartbeat that did not renew its worker's lease.
	LeaseWithheld()
}

// ComplaintLog records which machines cannot reach their owner.
type ComplaintLog interface {
	// Complain records that a worker sent a heartbeat to a controller that is not its owner. local
	// is set if it was sent to this controller, and not set if a peer reported it.
	Complain(owner, machine string, local bool)
}
