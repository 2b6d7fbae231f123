// Package provisioning scales the machines out and in: it reads the cloud's list and
// catalogue, requests what the autoscaler's plan and the queue need, gives machines up,
// deletes them and frees their tasks. Only the leader uses it, except FollowCloud and
// ApplySummary, which every controller may call. Requests to the cloud and decisions come
// out; it has no IO and no clock.
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
	// MachineTypePrefix is the prefix of the machine types that all controllers know.
	MachineTypePrefix = "build/"
	// SummaryKey is the key of the autoscaler's summary, or of its first part.
	SummaryKey = "scaler"
)

// Config is the provisioner's settings and its log.
type Config struct {
	Operator   settings.Operator
	Cluster    settings.Cluster
	ValueBytes int // bytes that a value of the state service may have
	Log        *slog.Logger
	Rand       *rand.Rand // for the autoscaler's samples
}

// Cloud sends requests to the cloud.
type Cloud interface {
	// Send sends a request. Its answer comes back on the loop, by done.
	Send(method, target string, body []byte, timeout time.Duration, done answerFunc)
}

// answerFunc takes an answer of the cloud: its status and body, or the error why there is none.
type answerFunc = func(status int, body []byte, err error)

// Leadership is this controller's place as the leader.
type Leadership interface {
	// IsLeader tells whether this controller leads, and under which epoch.
	IsLeader() (bool, uint64)
	// MayScaleOut tells whether all is checked that a leader must know before it requests machines.
	MayScaleOut() bool
	// Reconciled tells whether reconciliation is over. Until then writes are needed for more
	// than records that nobody reads.
	Reconciled() bool
}

// Loop is the controller's event loop.
type Loop interface {
	// Wake has the loop look for work again.
	Wake()
}

// CommitQueue takes decisions to commit.
type CommitQueue interface {
	// Commit takes decisions; each is told whether it was committed.
	Commit(decisions []decide.Decision)
	// Busy tells whether a key is part of a transaction under way.
	Busy(key string) bool
}

// Budget is what the client of the state service may send at present.
type Budget interface {
	// Allows tells whether so many writes may leave now, after those spent already.
	Allows(spent, writes int) bool
	// HasSpareWrites tells whether writes are left for what is in no hurry.
	HasSpareWrites() bool
	// Unavailable tells whether the state service does not answer.
	Unavailable() bool
	// Waiting is the number of calls that wait to be sent.
	Waiting() int
}

// Records tells which records are stored.
type Records interface {
	// Revision is a key's newest revision, 0 if it is not there.
	Revision(key string) uint64
}

// Transitions makes the decisions on tasks and machines.
type Transitions interface {
	// TaskLost is the decision for a task whose machine is gone, to be retried after the pause.
	TaskLost(task *clusterstate.Task, kind jobs.TaskEventKind, pause time.Duration) decide.Decision
	// TransitionMachine is the decisions that an event of a machine asks for.
	TransitionMachine(machine string, event fleet.Event, reason string) []decide.Decision
}

// Machines tells what is known of machines beyond their records.
type Machines interface {
	// InUse tells whether a machine is up and sends heartbeats.
	InUse(machine *clusterstate.Machine) bool
	// UnresponsivenessOf is what its owner says of a machine that sends no heartbeats.
	UnresponsivenessOf(machine *clusterstate.Machine) (fleet.Unresponsiveness, bool)
	// LastHeard is when this controller last heard a machine of another owner.
	LastHeard(machine string) time.Time
	// HasSession tells whether this controller has a session with a machine's agent.
	HasSession(machine string) bool
}

// Collaborators is what the provisioner needs of the controller.
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

// Provisioner is what a leader knows of the cloud.
type Provisioner struct {
	state         *clusterstate.State
	config        Config
	collaborators Collaborators

	// Summary is the newest that was written, joined of summaryParts, by number.
	Summary      Summary
	summaryParts map[int]Summary
	// Since is when this controller came to lead, or last stood still. The controller sets it.
	Since time.Time

	unavailableAt    time.Time // when the state service last did not answer
	cloud            cloudState
	followed         followedCloud
	decommissionedAt time.Time // when machines to delete were last looked for
	// partitionedAt is when so many machines were last unresponsive that the network was the
	// likelier cause.
	partitionedAt time.Time
}

// New makes a provisioner over the cluster's state.
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

// Reset forgets what only a leader keeps: a new one starts from the records, the summary
// and the cloud's list.
func (p *Provisioner) Reset() {
	p.cloud.reset()
	p.decommissionedAt = time.Time{}
	p.Since = p.state.Now
	// What the former leader requested and the list still lacks.
	p.cloud.requests, p.cloud.requestsKnown = slices.Clone(p.Summary.Requests), true
	p.useFollowedCloud()
}

// CatalogKnown tells whether the catalogue of machine types is known, with its prices.
func (p *Provisioner) CatalogKnown() bool { return p.cloud.catalog != nil }

// ListKnown tells whether the cloud's list was read since this controller came to lead.
func (p *Provisioner) ListKnown() bool { return !p.cloud.listedAt.IsZero() }

// RequestsKnown tells whether the machines that the former leader requested are counted, by the
// summary, where the list lacks them.
func (p *Provisioner) RequestsKnown() bool { return p.cloud.requestsKnown }

// GivenUp tells whether a machine is given up, or deleted already.
func (p *Provisioner) GivenUp(machine string) bool {
	return p.cloud.givenUp[machine] != "" || p.cloud.deleteConfirmed[machine]
}

// Reconcile does what is due: it reads the catalogue and the list, plans, and sends the
// waiting requests.
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
	if !c.readingList && (c.listedAt.IsZero() || now.Sub(c.listedAt) > p.listEvery()) {
		p.readList()
	}
	if p.planDue() {
		c.plannedAt = now
		c.openRequests = 0
		p.plan()
	}
	p.sendWaitingCalls()
}

// planDue tells whether the next step of the plan is due and all is known for it.
func (p *Provisioner) planDue() bool {
	c := &p.cloud
	return c.catalog != nil && !c.listedAt.IsZero() &&
		p.state.Now.Sub(c.plannedAt) >= jobs.Seconds(p.config.Operator.StepS) &&
		!p.collaborators.Budget.Unavailable() && p.collaborators.Leadership.MayScaleOut()
}
