// Package commit writes decisions to the state service: it batches them into transactions,
// sends them, settles what was refused, conflicted or left unanswered (settlement.go), and
// keeps the fence (fence.go). Requests go out by the store client that it is given; it has
// no IO and no clock of its own.
package commit

import (
	"fmt"
	"log/slog"
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Membership is this controller's place in the view.
type Membership interface {
	// HasView tells whether any view is known.
	HasView() bool
	// Epoch is the view's epoch in which this controller has its role.
	Epoch() uint64
	// OwnsMachine tells whether a machine belongs to this controller's shard.
	OwnsMachine(machine string) bool
}

// Guard restricts what may be decided.
type Guard interface {
	// Preconditions are the keys that every decision is conditional on besides the view and
	// the fence: the quota tree and the calendar, where these are on.
	Preconditions() []string
	// ApplyCalendar drops the decisions that the calendar forbids, and makes the others
	// conditional on its allowing them.
	ApplyCalendar(decisions []decide.Decision) []decide.Decision
}

// Loop is the controller's event loop.
type Loop interface {
	// ReviewMachineOf has the machine of a task reviewed.
	ReviewMachineOf(task *clusterstate.Task)
	// Wake has the loop look for decisions to make.
	Wake()
	// WatchNow opens the watch of the state service at once.
	WatchNow()
}

// Config is what a Committer is made of.
type Config struct {
	// Name is this controller's.
	Name string
	// StoreLimits are the limits of a transaction.
	StoreLimits settings.State
	// ValueBytes is the limit of a record's value.
	ValueBytes int
	Log        *slog.Logger
	Client     *store.Client
	Mirror     *store.Mirror
	Membership Membership
	Guard      Guard
	Loop       Loop
}

// Committer writes decisions to the state service. A record is under at most one
// transaction of a Committer at a time. Only the controller's event loop may call it.
type Committer struct {
	state  *clusterstate.State
	config Config
	client *store.Client
	mirror *store.Mirror
	log    *slog.Logger

	fence fence
	// inFlight are the keys under a transaction that is not settled.
	inFlight map[string]bool
	// batchRecords counts the batch records that this process has named.
	batchRecords uint64
	// awaitingWatch are the conflicts that the watch settles.
	awaitingWatch []awaitingEpoch
	// completionWrites counts the writes of completed jobs in flight.
	completionWrites int
	quarantine       decide.Quarantine
}

// New makes a committer over a state.
func New(state *clusterstate.State, config Config) *Committer {
	return &Committer{
		state:    state,
		config:   config,
		client:   config.Client,
		mirror:   config.Mirror,
		log:      config.Log,
		fence:    fence{key: FencePrefix + config.Name},
		inFlight: map[string]bool{},
	}
}

// Busy tells whether a record is under a transaction.
func (c *Committer) Busy(key string) bool { return c.inFlight[key] }

// Quarantined counts the decisions quarantined so far. A correct program never makes one.
func (c *Committer) Quarantined() int { return c.quarantine.Total }

// Commit sends decisions in transactions within the state service's limits. Decisions that
// touch a record in flight are dropped, to be made again in a later cycle, and so are those,
// but for urgent ones, that the budget does not allow at once. All are dropped while the
// state service is unavailable, before a view is known and while the fence is being raised.
func (c *Committer) Commit(decisions []decide.Decision) {
	if c.client.Unavailable() || !c.config.Membership.HasView() || c.Fencing() {
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

// dropQuarantined drops a decision that is in quarantine, and tells whether it was.
func (c *Committer) dropQuarantined(decision decide.Decision) bool {
	if !c.quarantine.Contains(&decision, c.state.Now) {
		return false
	}
	decision.Drop()
	return true
}

// newBatcher makes a batcher of what is known now.
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
		},
		CompletionWrites: c.completionWrites,
		InFlight:         c,
		Budget:           c.client,
		Quarantine:       c,
	}
}

// QuarantineDecision keeps a decision that cannot be committed from being made again at
// once, and logs it the first time. The Batcher calls it.
func (c *Committer) QuarantineDecision(decision *decide.Decision, reason error) {
	if c.quarantine.Add(decision, c.state.Now) {
		c.log.Error("decision quarantined", "reason", reason, "decision", decision.String())
	}
}

// NewBatchKey is the key of a new batch record: every incarnation of a controller has its
// own epoch, so none is ever used twice. The Batcher calls it.
func (c *Committer) NewBatchKey() string {
	c.batchRecords++
	return fmt.Sprintf("%s%d-%s-%d",
		taskbatch.KeyPrefix, c.config.Membership.Epoch(), c.config.Name, c.batchRecords)
}

// send sends a transaction. Its records are in flight until it is settled.
func (c *Committer) send(txn *decide.Transaction) {
	for _, write := range txn.Txn.Writes {
		c.inFlight[decide.WriteKey(write)] = true
	}
	priority := store.PriorityDecision
	if txn.Urgent {
		priority = store.PriorityUrgent
	}
	c.client.Commit(priority, txn.Txn, func(epoch uint64, failed []string, err error) {
		c.settle(txn, epoch, failed, err)
	})
}
