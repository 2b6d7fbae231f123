// Package provisioning is the slice that keeps the machines: the cloud's list and
// catalogue, what is rented by the scaler's plan and the queue, what is given up,
// deleted and freed. Only the leader uses it. Requests to the cloud and decisions
// come out; it has no IO and no clock.
package provisioning

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/queue"
	"github.com/harrierreel/harrierreel/internal/settings"
)

// Keys in the state service.
const (
	MachineTypePrefix = "build/"
	SummaryKey        = "scaler"
)

// Env is what it is told from outside: settings, and what others know.
type Env struct {
	Operator   settings.Operator
	Cluster    settings.Cluster
	ValueBytes int // bytes of a record
	Log        *slog.Logger
	Rand       *rand.Rand
	Queue      *queue.Queue

	// Send sends a request to the cloud; its answer comes back on the loop.
	Send func(method, target string, body []byte, timeout time.Duration, done func(int, []byte, error))
	// IsLeader tells whether this node leads, and under which epoch.
	IsLeader func() (bool, uint64)
	// MayRent tells whether all is checked that a leader must know before it rents.
	MayRent func() bool
	// Hurried tells whether changes are wanted for more than records that nobody reads.
	Hurried func() bool
	// Wake has the loop look again.
	Wake func()
	// Busy tells whether a record is under a transaction, Recorded whether it is there.
	Busy, Recorded func(key string) bool
	// Allows, Spare, Down and Held are the state of the budget.
	Allows           func(spent, writes int) bool
	HasSpareWrites   func() bool
	StoreUnavailable func() bool
	WaitingCalls     func() int
	// Commit takes decisions; Gone and Moving make them for tasks and machines.
	Commit            func([]decide.Decision)
	TaskLost          func(t *clusterstate.Task, kind jobs.TaskEventKind, pause time.Duration) decide.Decision
	TransitionMachine func(machine string, e fleet.Event, why string) []decide.Decision
	// InUse tells whether a machine is up and sends reports, SilenceOf what its owner says
	// of one that doesn't.
	InUse              func(m *clusterstate.Machine) bool
	UnresponsivenessOf func(m *clusterstate.Machine) (fleet.Unresponsiveness, bool)
	// LastHeard is when this node last heard a machine of another's; HasSession tells
	// whether it hears one of its own.
	LastHeard  func(machine string) time.Time
	HasSession func(machine string) bool
}

// Provisioner is what a leader knows of the cloud.
type Provisioner struct {
	*clusterstate.State
	Env

	// Summary is the newest that was written, summaryParts what it is joined of, by number.
	Summary      Summary
	summaryParts map[int]Summary
	// Since is when this node came to lead, or last stood still.
	Since time.Time
	// downAt is when the state service last did not answer.
	downAt time.Time

	cloud          cloudState
	warm           warm
	decommissionAt time.Time
	manyAt         time.Time // last time at which so many machines were unheard that the network is the likelier cause
}

// New makes a rental over a book.
func New(b *clusterstate.State, env Env) *Provisioner {
	re := &Provisioner{State: b, Env: env, summaryParts: map[int]Summary{}}
	re.cloud.reset()
	return re
}

// Reset forgets what only a leader keeps: a new one starts from the records, the
// summary and the cloud's list.
func (re *Provisioner) Reset() {
	re.cloud.reset()
	re.decommissionAt = time.Time{}
	re.Since = re.Now
	// What the former leader rented and the list still lacks.
	re.cloud.asked, re.cloud.counted = append([]asked(nil), re.Summary.Asked...), true
	re.takeWarm()
}

// Priced tells whether the catalogue of machine types is known, with its prices.
func (re *Provisioner) Priced() bool { return re.cloud.catalog != nil }

// Listed tells whether the cloud's list was read since this node came to lead, Counted
// whether what the former leader rented is counted, by the summary, where the list lacks
// it.
func (re *Provisioner) Listed() bool  { return !re.cloud.listAt.IsZero() }
func (re *Provisioner) Counted() bool { return re.cloud.counted }

// GivenUp tells whether a machine is given up, or deleted already.
func (re *Provisioner) GivenUp(machine string) bool {
	return re.cloud.lost[machine] != "" || re.cloud.freed[machine]
}
