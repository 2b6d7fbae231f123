// Package commit writes decisions to the state service. It batches them into transactions, sends
// the transactions, and settles each by its outcome: committed, conflicted, refused or unanswered
// (settlement.go). It also maintains the fence that invalidates unanswered transactions
// (fence.go). All requests go through the given store client; the package does no other IO and
// reads no clock.
package commit

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Membership provides the view and this controller's place in it.
type Membership interface {
	// HasView reports whether any view is known.
	HasView() bool
	// Epoch returns the epoch of the view in which this controller has its role.
	Epoch() uint64
	// OwnsMachine reports whether a machine belongs to this controller's shard.
	OwnsMachine(machine string) bool
}

// Guard restricts which decisions may be committed.
type Guard interface {
	// Preconditions returns the keys that every decision is conditional on besides the view and
	// the fence: those of the quota tree and the calendar, if these are enabled.
	Preconditions() []string
	// ApplyCalendar drops the decisions that the calendar forbids, and makes the others
	// conditional on the calendar still allowing them.
	ApplyCalendar(decisions []decide.Decision) []decide.Decision
}

// Loop is the controller's event loop.
type Loop interface {
	// ReviewMachineOf schedules a review of the machine that a task is on.
	ReviewMachineOf(task *clusterstate.Task)
	// Wake schedules a reconciliation, which makes new decisions.
	Wake()
	// WatchNow opens the watch of the state service without delay if none is open.
	WatchNow()
}

// Verifier is told what committed transactions prove.
type Verifier interface {
	// RecordsVerified is called with the preconditions of a committed transaction: these records were
	// still at these revisions when the state service executed it, some time after sentAt.
	RecordsVerified(preconditions []store.Precondition, sentAt time.Time)
}

// Config holds the settings and dependencies of a Committer.
type Config struct {
	// Name is the name of this controller.
	Name string
	// StoreLimits holds the state service's limits on a transaction.
	StoreLimits settings.State
	// ValueBytes is the maximum size of a record's value.
	ValueBytes int
	// ReplayGuardKey is the key of the replay guard (decide.ReplayGuard).
	ReplayGuardKey string
	Log            *slog.Logger
	Client         *store.Client
	Mirror         *store.Mirror
	Membership     Membership
	Guard          Guard
	Loop           Loop
	Verifier       Verifier
}

// Committer writes decisions to the state service. At most one unsettled transaction of a
// Committer writes a given record. Only the controller's event loop may call its methods.
type Committer struct {
	state  *clusterstate.State
	config Config
	client *store.Client
	mirror *store.Mirror
	log    *slog.Logger

	fence fence
	// inFlight holds the keys that unsettled transactions write.
	inFlight map[string]bool
	// batchKeys counts the batch record keys that this process has generated.
	batchKeys uint64
	// pendingConflicts lists the conflicted transactions that wait for the watch to catch up.
	pendingConflicts []pendingConflict
	// completionWrites counts the writes in flight that record the end of a job.
	completionWrites int
	quarantine       decide.Quarantine
	// stopCounts counts the committed decisions to stop a task, by kind of reason.
	stopCounts map[string]int
}

// New returns a committer that works on a state.
func New(state *clusterstate.State, config Config) *Committer {
	return &Committer{
		state:    state,
		config:   config,
		client:   config.Client,
		mirror:   config.Mirror,
		log:      config.Log,
		fence:    fence{key: FencePrefix + config.Name},
		inFlight: map[string]bool{},

		stopCounts: map[string]int{},
	}
}

// Busy reports whether an unsettled transaction writes a record.
func (c *Committer) Busy(key string) bool { return c.inFlight[key] }

// Quarantined returns how often a decision was quarantined since the start. Without faults in
// the program or the state service it stays 0.
func (c *Committer) Quarantined() int { return c.quarantine.Total }

// Commit sends decisions in transactions within the state service's limits. It drops decisions
// that write a record in flight, and non-urgent decisions that the write budget does not allow
// now; they are made again in a later scheduling cycle. It drops all decisions while the state
// service is unavailable, no view is known, or AwaitsFence reports true.
func (c *Committer) Commit(decisions []decide.Decision) {
	if c.client.Unavailable() || !c.config.Membership.HasView() || c.AwaitsFence() {
		for i := range decisions {
			decisions[i].Drop()
		}
		return
	}
	decisions = slices.DeleteFunc(c.config.Guard.ApplyCalendar(decisions), c.dropQuarantined)
	batcher := c.newBatcher()
	transactions := batcher.Build(decisions)
	c.completionWrites = batcher.CompletionWrites
	for _, txn := range transactions {
		c.send(txn)
	}
}

// dropQuarantined drops a decision if it is in quarantine, and reports whether it was.
func (c *Committer) dropQuarantined(decision decide.Decision) bool {
	if !c.quarantine.Contains(&decision, c.state.Now) {
		return false
	}
	decision.Drop()
	return true
}

// newBatcher returns a batcher that works on the current state.
func (c *Committer) newBatcher() *decide.Batcher {
	preconditions := []string{members.ViewKey, c.fence.key}
	return &decide.Batcher{
		Context: decide.TxnContext{
			Limits: store.Limits{
				Ops:           c.config.StoreLimits.TxnOps,
				Preconditions: c.config.StoreLimits.TxnOps * tuning.PreconditionsPerOp,
				BodyBytes:     tuning.MaxRequestBody,
				ValueBytes:    c.config.ValueBytes,
			},
			Preconditions: append(preconditions, c.config.Guard.Preconditions()...),
			KnownEpoch:    c.mirror.Epoch,
			Records:       c.mirror,
			Machines:      c.config.Membership,
			BatchKeys:     c,
			ReplayGuard:   c.ReplayGuard(),
		},
		CompletionWrites: c.completionWrites,
		InFlight:         c,
		Budget:           c.client,
		Quarantine:       c,
	}
}

// ReplayGuard returns what is known of the replay guard.
func (c *Committer) ReplayGuard() decide.ReplayGuard {
	key := c.config.ReplayGuardKey
	return decide.ReplayGuard{
		Key:             key,
		ChangedRevision: max(c.mirror.Revision(key), c.mirror.Revision(members.ViewKey)),
	}
}

// QuarantineDecision quarantines a decision that cannot be committed, so that it is not retried
// at once, and logs it the first time. It implements decide.Quarantiner.
func (c *Committer) QuarantineDecision(decision *decide.Decision, reason error) {
	if c.quarantine.Add(decision, c.state.Now) {
		c.log.Error("decision quarantined", "reason", reason, "decision", decision.String())
	}
}

// NewBatchKey returns the key of a new batch record. Every incarnation of a controller has its
// own epoch, so no key is ever used twice. It implements decide.BatchKeys.
func (c *Committer) NewBatchKey() string {
	c.batchKeys++
	return fmt.Sprintf("%s%d-%s-%d",
		taskbatch.KeyPrefix, c.config.Membership.Epoch(), c.config.Name, c.batchKeys)
}

// send sends a transaction. The records that it writes are in flight until it is settled.
func (c *Committer) send(txn *decide.Transaction) {
	for _, write := range txn.Txn.Writes {
		c.inFlight[decide.WriteKey(write)] = true
	}
	priority := store.PriorityDecision
	if txn.Urgent {
		priority = store.PriorityUrgent
	}
	sentAt := c.state.Now
	c.client.Commit(priority, txn.Txn, func(epoch uint64, failed []string, err error) {
		if err == nil {
			c.config.Verifier.RecordsVerified(txn.Txn.Preconditions, sentAt)
		}
		c.settle(txn, epoch, failed, err)
	})
}
