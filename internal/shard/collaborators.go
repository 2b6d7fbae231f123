package shard

import (
	"log/slog"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/settings"
)

// Config is what a shard is set to.
type Config struct {
	Name       string // of this controller
	Cluster    settings.Cluster
	ValueBytes int // largest value of a record, in bytes
	Log        *slog.Logger
}

// Collaborators are the other parts of the controller that a shard calls. All are needed.
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

// View is the view of the controllers that this one acts in.
type View interface {
	// OutsideView tells whether the view does not name this controller.
	OutsideView() bool
	// MayAnswerAgents tells whether this controller may answer heartbeats.
	MayAnswerAgents() bool
	// Epoch is the view's.
	Epoch() uint64
	// KnownEpoch is up to where all changes of the key-value store are known; it may be
	// above the view's.
	KnownEpoch() uint64
	// Members are the names of the controllers in the view.
	Members() []string
	// OwnerOf is the controller that a machine without a record belongs to.
	OwnerOf(machine string) string
}

// AgentCaller sends requests to workers' agents.
type AgentCaller interface {
	// Call sends a request; done is called with its answer on the controller's loop.
	Call(
		endpoint, method, target string, body []byte, timeout time.Duration,
		done func(status int, body []byte, err error),
	)
}

// LoopWaker has the controller's loop reconcile again without delay.
type LoopWaker interface {
	Wake()
}

// Scheduler places what waits on the machines of the shard.
type Scheduler interface {
	// Place is one scheduling cycle: the decisions that place tasks.
	Place() []decide.Decision
	// ClaimedFor is the job that a machine is claimed for, "" if it is not.
	ClaimedFor(machine *clusterstate.Machine) string
	// MayBegin tells whether tasks of a job may begin now, by the calendar.
	MayBegin(spec *jobs.Spec) bool
}

// Provisioner scales the machines out and in.
type Provisioner interface {
	// GivenUp tells whether a machine is being decommissioned.
	GivenUp(machine string) bool
	// Draining tells whether a machine takes no new tasks, since it will be scaled in.
	Draining(machine string) bool
}

// CommitQueue takes decisions and commits them to the key-value store.
type CommitQueue interface {
	// Busy tells whether a record is under a transaction; a decision about it waits.
	Busy(key string) bool
	// Commit takes decisions, to be committed in this order.
	Commit(decisions []decide.Decision)
}

// WriteBudget is how much may be written to the key-value store now.
type WriteBudget interface {
	// Allows tells whether there is budget for so many writes beside those spent.
	Allows(spent, writes int) bool
	// HasSpareWrites tells whether writes need not be saved.
	HasSpareWrites() bool
	// UsesBatches tells whether batch records hold the task states of many jobs.
	UsesBatches() bool
}

// Cancellations is what this controller knows of acknowledged cancellations (package
// cancellation).
type Cancellations interface {
	// Cancelled tells whether a job's cancellation was acknowledged, though its record here
	// may not show it.
	Cancelled(jobID string) bool
	// MayRenewLeases tells whether heartbeats may be answered so that workers' leases go on.
	MayRenewLeases() bool
	// MayLaunch tells whether tasks may be launched.
	MayLaunch() bool
	// LeaseWithheld counts a heartbeat whose lease was not renewed.
	LeaseWithheld()
}

// ComplaintLog notes which machines cannot reach their owner.
type ComplaintLog interface {
	// Complain notes that a worker came to another controller than its owner; here tells
	// whether it came to this one.
	Complain(owner, machine string, here bool)
}
